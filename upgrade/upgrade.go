// Package upgrade says which version of the behaviour is active in a deployment whose
// controllers are upgraded one at a time. Each controller publishes the range of
// versions that it understands before it serves; the active version, a fact in the
// state service, moves up by one guarded write, and only once every configured
// controller has published support for the next one. What is new asks for the
// active version when it writes. docs/upgrades.md weighs the ways.
package upgrade

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Version of the behaviour: of what is written, and of what must be understood.
type Version uint64

// Base is the version that is active where none was ever recorded: what was written
// before there was this package.
const Base Version = 1

// Range of versions that a program understands. It reads what was written under each
// of them, and behaves as the active one asks.
type Range struct{ Min, Max Version }

// Contains tells whether a version is understood.
func (r Range) Contains(v Version) bool { return r.Min <= v && v <= r.Max }

// check says why a version is not understood, nil if it is.
func (r Range) check(v Version) error {
	switch {
	case v > r.Max:
		return fmt.Errorf("%w: %d, understood are %v", ErrTooOld, v, r)
	case v < r.Min:
		return fmt.Errorf("%w: %d, understood are %v", ErrTooNew, v, r)
	}
	return nil
}

func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// Validate says what is wrong with a range.
func (r Range) Validate() error {
	if r.Min < Base || r.Max < r.Min {
		return fmt.Errorf("versions %v: must go up from %d at least", r, Base)
	}
	return nil
}

// Keys of the records.
const (
	Prefix        = "version/"
	ActiveKey     = Prefix + "active"
	supportPrefix = Prefix + "support/"
)

// SupportKey is where a controller publishes what it understands.
func SupportKey(node duty.NodeID) string { return supportPrefix + string(node) }

// ActiveRecord is the active version.
type ActiveRecord struct {
	Version Version        `cbor:"version"`
	By      duty.NodeID    `cbor:"by"`
	At      wire.Timestamp `cbor:"at"`
}

// SupportRecord is what one process of a controller understands.
type SupportRecord struct {
	Min         Version        `cbor:"min"`
	Max         Version        `cbor:"max"`
	Incarnation string         `cbor:"process"`
	At          wire.Timestamp `cbor:"at"`
}

// Range that was published.
func (s SupportRecord) Range() Range { return Range{s.Min, s.Max} }

// Store is what the package needs of the state service.
type Store interface {
	duty.Store
	List(ctx context.Context, class duty.RequestClass, prefix string) ([]duty.Entry, duty.Revision, error)
}

// Why a controller must not serve.
var (
	// ErrUnknown: the active version was not read yet, nor heard of.
	ErrUnknown = errors.New("the active version is not known yet")
	// ErrNotPublished: this process has not published what it understands yet.
	ErrNotPublished = errors.New("the versions of this process are not published yet")
	// ErrTooOld: a later version is active than this program understands.
	ErrTooOld = errors.New("this program is too old for the active version")
	// ErrTooNew: an earlier version is active than this program understands.
	ErrTooNew = errors.New("this program is too new for the active version")
	// ErrReplaced: another process has published under this controller's name since.
	ErrReplaced = errors.New("another process serves under this controller's name")
	// ErrUndecodable: a record of versions can't be decoded.
	ErrUndecodable = errors.New("undecodable record of versions")
)

// records are those of a deployment as they were read.
type records struct {
	active   ActiveRecord
	activeAt duty.Revision // 0: none recorded
	supports map[duty.NodeID]support
	// undecodable keys; what rests on them is refused.
	undecodable []string
}

// support is a controller's record with its revision.
type support struct {
	record   SupportRecord
	revision duty.Revision
}

// read reads all records.
func read(ctx context.Context, s Store, class duty.RequestClass) (records, error) {
	entries, _, err := s.List(ctx, class, Prefix)
	if err != nil {
		return records{}, err
	}
	r := records{active: ActiveRecord{Version: Base}, supports: map[duty.NodeID]support{}}
	for _, e := range entries {
		if !r.take(e) {
			r.undecodable = append(r.undecodable, e.Key)
		}
	}
	return r, nil
}

// take takes in one record; false: it can't be decoded.
func (r *records) take(e duty.Entry) bool {
	if e.Key == ActiveKey {
		r.activeAt = e.Revision
		var active ActiveRecord
		if wire.Decode(e.Value, &active) != nil || active.Version < Base {
			return false
		}
		r.active = active
		return true
	}
	node, isSupport := strings.CutPrefix(e.Key, supportPrefix)
	if !isSupport {
		return true // of a later version, and not ours to judge
	}
	s := support{revision: e.Revision}
	valid := wire.Decode(e.Value, &s.record) == nil && s.record.Range().Validate() == nil
	if !valid {
		s.record = SupportRecord{}
	}
	r.supports[duty.NodeID(node)] = s
	return valid
}

// damaged tells whether a record can't be decoded.
func (r *records) damaged(key string) bool { return slices.Contains(r.undecodable, key) }

// readActive reads the active version alone.
func readActive(ctx context.Context, s Store) (ActiveRecord, duty.Revision, error) {
	e, err := s.Get(ctx, store.Critical, ActiveKey)
	if errors.Is(err, duty.ErrNotFound) {
		return ActiveRecord{Version: Base}, 0, nil
	}
	if err != nil {
		return ActiveRecord{}, 0, err
	}
	var r records
	if !r.take(e) {
		return ActiveRecord{}, e.Revision, fmt.Errorf("%w: %s", ErrUndecodable, ActiveKey)
	}
	return r.active, e.Revision, nil
}

// EventKind says what happened.
type EventKind string

// The kinds of events.
const (
	Published EventKind = "versions published"
	Switched  EventKind = "version switched"
	Refused   EventKind = "version refused"
)

// Event is something that was decided.
type Event struct {
	At      time.Time
	Kind    EventKind
	Version Version
	Token   duty.FencingToken // of who switched
	Reason  string
}
