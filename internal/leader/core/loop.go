package core

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/leader/election"
	"lilaclead/internal/wire"
)

// Loop is what the parts of a term share: the lease and the fencing token, how they
// start I/O, how its results come back to the term's loop, and how the term ends. Its
// fields are used by the loop's goroutine, but for those of Published.
type Loop struct {
	Lease     *election.Lease
	Fencing   Fencing
	Published Published
	Log       *slog.Logger
	Metrics   *Metrics

	// Events are the results of I/O and the requests that the loop handles.
	Events chan Event
	// Done is closed when the term is over.
	Done chan struct{}

	endOnce   sync.Once
	endReason string

	// ctx is that of the background work, from Begin on; it ends with the term.
	ctx        context.Context
	background sync.WaitGroup
}

// Event is the result of I/O, or a request from another goroutine. Each kind is a type
// of its own in the package that posts it; the term hands it to the part that it is for.
type Event any

// eventBacklog is how many events may wait for the loop before those who post wait.
const eventBacklog = 32

// NewLoop returns the loop of a term under a lease.
func NewLoop(lease *election.Lease, log *slog.Logger, metrics *Metrics) *Loop {
	return &Loop{
		Lease:   lease,
		Fencing: Fencing{Token: lease.Token()},
		Log:     log,
		Metrics: metrics,
		Events:  make(chan Event, eventBacklog),
		Done:    make(chan struct{}),
	}
}

// Begin sets the context of the work that Spawn starts.
func (l *Loop) Begin(ctx context.Context) { l.ctx = ctx }

// Context returns the context that Begin set.
func (l *Loop) Context() context.Context { return l.ctx }

// Spawn runs work in the background, with a context that ends with the term. Wait waits
// for its end.
func (l *Loop) Spawn(work func(ctx context.Context)) {
	ctx := l.ctx
	l.background.Go(func() { work(ctx) })
}

// Wait waits until all background work has ended. The term's context must have ended.
func (l *Loop) Wait() { l.background.Wait() }

// Post hands an event to the term's loop, unless the term is over.
func (l *Loop) Post(e Event) {
	select {
	case l.Events <- e:
	case <-l.Done:
	}
}

// End ends the term; only the first reason counts. It is safe for concurrent use.
func (l *Loop) End(reason string) {
	l.endOnce.Do(func() {
		l.endReason = reason
		close(l.Done)
	})
}

// EndReason returns why the term is over, once Done is closed.
func (l *Loop) EndReason() string { return l.endReason }

// resignFor is how long this controller leaves the leadership to others after it
// resigned.
const resignFor = 15 * time.Second

// Resign gives up the leadership and ends the term.
func (l *Loop) Resign(reason string) {
	l.Log.Info("leadership resigned", "reason", reason)
	l.Lease.Resign(l.ctx, time.Now().Add(resignFor))
	l.End(reason)
}

// Pause waits for a duration; false if the context ended before.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Fencing is the state of the term's fencing token.
type Fencing struct {
	Token          wire.FencingToken // also the revision of the leader's key
	Raising        bool              // a higher token is being taken
	RaiseRequested bool
	RaiseNotBefore time.Time
}

// Published is what other goroutines read of a term.
type Published struct {
	// DelegationToken is the token under which other controllers may renew leases as
	// delegates; 0: none yet.
	DelegationToken atomic.Uint64
	// UnconfirmedCancelSince is since when there are cancellations of which a launch may
	// still be on its way unseen; nil or zero: none.
	UnconfirmedCancelSince atomic.Pointer[time.Time]
}
