package upgrade

import (
	"cmp"
	"crypto/rand"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"lilaclead/duty"
)

// defaultPollInterval is how often a process reads the records.
const defaultPollInterval = 5 * time.Second

// Options configure a member. Node, SupportedRange and Store are required.
type Options struct {
	Node           duty.NodeID
	SupportedRange Range
	Store          Store
	Clock          duty.Clock   // nil: the machine's own
	Log            *slog.Logger // nil: none
	// PollInterval is how often the records are read; 0: every 5 s.
	PollInterval time.Duration
	// Observe, if set, receives the member's events; it must not block.
	Observe func(Event)
	// OnUndecodable, if set, receives the key of each record that can't be decoded.
	OnUndecodable func(key string, err error)
}

// Member is one process of a controller. It publishes what it supports before it may
// serve, and knows whether it still may. Its methods may be called from any goroutine.
type Member struct {
	Options
	incarnation string
	state       atomic.Pointer[memberState]
	// reportedActive is the highest active version that another controller has reported.
	reportedActive atomic.Uint64
	// loggedRefusalAt is the active version at which a refusal was logged last. Only Run
	// uses it.
	loggedRefusalAt Version
}

// memberState is what a member knows from the records. It is never changed once stored.
type memberState struct {
	active         Version // 0: unknown
	activeRevision duty.Revision
	published      bool
	refusal        error // nil: the records allow it to serve
}

// NewMember returns the member of a process, under an incarnation of its own. It fails if
// the supported range is invalid.
func NewMember(o Options) (*Member, error) {
	if err := o.SupportedRange.Validate(); err != nil {
		return nil, err
	}
	o.Clock = cmp.Or[duty.Clock](o.Clock, duty.SystemClock{})
	o.Log = cmp.Or(o.Log, slog.New(slog.DiscardHandler))
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	m := &Member{Options: o, incarnation: rand.Text()}
	m.state.Store(&memberState{refusal: ErrActiveUnknown})
	return m, nil
}

// Incarnation distinguishes this process from others of its controller.
func (m *Member) Incarnation() string { return m.incarnation }

// ActiveVersion returns the active version that this process knows of, from the records or from
// another controller; 0 if it knows none.
func (m *Member) ActiveVersion() Version {
	return max(m.state.Load().active, Version(m.reportedActive.Load()))
}

// ObserveActive records that another controller has reported the version as active. It counts at
// once, before the records are read; a lower version than the known one is ignored.
func (m *Member) ObserveActive(v Version) {
	for {
		known := m.reportedActive.Load()
		if uint64(v) <= known || m.reportedActive.CompareAndSwap(known, uint64(v)) {
			return
		}
	}
}

// CheckSupport returns why this process must not even acknowledge others; nil once it
// knows the active version and supports it.
func (m *Member) CheckSupport() error {
	active := m.ActiveVersion()
	refusal := m.state.Load().refusal
	if active == 0 {
		return refusal
	}
	if err := m.SupportedRange.check(active); err != nil {
		return err
	}
	if errors.Is(refusal, ErrProcessReplaced) || errors.Is(refusal, ErrUndecodable) {
		return refusal
	}
	return nil
}

// CheckServe returns why this process must not serve, lead or write; nil once it has
// published what it supports, as long as it supports the active version.
func (m *Member) CheckServe() error {
	if err := m.CheckSupport(); err != nil {
		return err
	}
	if !m.state.Load().published {
		return ErrNotPublished
	}
	return nil
}

// ActiveVersionGuard returns the active version as last read, and a condition for a
// transaction whose writes depend on it: the condition fails once another version is
// active. It is for writers that hold no lease; a lease holder's writes are ordered by its
// token (docs/upgrades.md).
func (m *Member) ActiveVersionGuard() (duty.Guard, Version) {
	state := m.state.Load()
	return duty.Guard{Key: ActiveKey, Revision: state.activeRevision}, state.active
}

// emit passes an event to the observer, if there is one.
func (m *Member) emit(e Event) {
	if m.Observe != nil {
		e.At = m.Clock.Now()
		m.Observe(e)
	}
}

// notifyUndecodable passes the key of an undecodable record on, if anybody asked for it.
func (m *Member) notifyUndecodable(key string, err error) {
	if m.OnUndecodable != nil {
		m.OnUndecodable(key, err)
	}
}
