// Package duty lets one process at a time carry out a duty, as renting machines or
// returning them. Candidate campaigns for a lease in the state service; Lease is held
// by one of them and surely known to its holder to be held, or not; Permit is the
// right to one act of a duty, which only a lease gives; Intents records what a holder
// is about to ask of a receiver that can't tell an old holder's request from a new
// one's. docs/duties.md says why a late act does no harm.
package duty

import (
	"context"
	"errors"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// The state service's types, as its protocol has them.
type (
	// FencingToken says who is entitled to act: the holder with the highest one. It is the
	// revision of the lease's key.
	FencingToken = wire.FencingToken
	// Revision of a key.
	Revision = wire.Revision
	// GrantID names a grant of the state service, to which the lease's key is bound.
	GrantID = wire.GrantID
	// NodeID names a node.
	NodeID = wire.NodeID
	// Entry is a key with its value.
	Entry = wire.Entry
	// Guard is a condition of a transaction.
	Guard = wire.Guard
	// Write is a change of a transaction.
	Write = wire.Write
	// Txn is a transaction.
	Txn = wire.Txn
	// RequestClass says whether a request waits for the rate budget.
	RequestClass = store.RequestClass
	// ConflictError lists the guards that failed.
	ConflictError = store.ConflictError
)

// Store is what the package needs of the state service. A change that may have been
// executed, or may still be, is answered with an error that is ErrUnknown.
type Store interface {
	Grant(ctx context.Context, life time.Duration) (GrantID, error)
	Renew(ctx context.Context, grant GrantID, timeout time.Duration) error
	EndGrant(ctx context.Context, grant GrantID) error
	Get(ctx context.Context, class RequestClass, key string) (Entry, error)
	Commit(ctx context.Context, class RequestClass, txn Txn) (Revision, error)
}

// What a Store's call can come to.
var (
	// ErrMissing: there is no such key or grant.
	ErrMissing = store.ErrMissing
	// ErrUnknown: the outcome is not known.
	ErrUnknown = store.ErrUnknown
	// ErrInvalid: the state service calls the request malformed.
	ErrInvalid = store.ErrInvalid
)

// Why something is not done.
var (
	// ErrGrantExpired: the state service has ended the lease's grant.
	ErrGrantExpired = errors.New("the grant is gone")
	// ErrNoHolder: nobody holds the lease.
	ErrNoHolder = errors.New("the leadership is vacant")
	// ErrHeldByOther: another process holds the lease.
	ErrHeldByOther = errors.New("another node leads")
	// ErrNotHeld: the lease is not surely held now.
	ErrNotHeld = errors.New("the lease is not surely held")
	// ErrNoPermit: the permit was not given by a lease.
	ErrNoPermit = errors.New("no permit")
	// ErrUndecodable: a record can't be decoded, and what rests on it is refused.
	ErrUndecodable = errors.New("undecodable record")
	// ErrTooLarge: the intents have no room in their record.
	ErrTooLarge = errors.New("too many open intents for one record")
)

// Name of a duty.
type Name string

// Duty is a type that stands for a duty, so that a permit for one can't be used for
// another.
type Duty interface{ Name() Name }

// nameOf a duty.
func nameOf[D Duty]() Name {
	var d D
	return d.Name()
}

// The scheduler's own duties.
type (
	// ScaleOut asks the cloud for machines.
	ScaleOut struct{}
	// ScaleIn gives machines back to the cloud.
	ScaleIn struct{}
	// Preemption stops tasks: to make room, to drain a machine, or as nobody owns them.
	Preemption struct{}
	// Cleanup changes and drops records.
	Cleanup struct{}
)

// Name of the duty.
func (ScaleOut) Name() Name { return "renting" }

// Name of the duty.
func (ScaleIn) Name() Name { return "returning" }

// Name of the duty.
func (Preemption) Name() Name { return "reclaiming" }

// Name of the duty.
func (Cleanup) Name() Name { return "cleanup" }

// Clock tells the time. Its steady part must not stand still while the process is
// paused, and may be off by Timing.Drift.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock is the machine's own clock.
type SystemClock struct{}

// Now is the time.
func (SystemClock) Now() time.Time { return time.Now() }

// After tells when so much time has passed.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// EventKind says what happened to a lease, or to an act under it.
type EventKind string

// The kinds of events.
const (
	Acquired EventKind = "acquired"
	Raised   EventKind = "token raised"
	Resigned EventKind = "resigned"
	Lost     EventKind = "lost"
	Accepted EventKind = "act accepted"
	Refused  EventKind = "act refused"
	Recorded EventKind = "intents recorded"
)

// Event is something that was decided. Duty is empty where it is about the lease.
type Event struct {
	At     time.Time
	Kind   EventKind
	Duty   Name
	Token  FencingToken
	Reason string
}

// Observer is told of events. It must not block.
type Observer func(Event)
