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

const defaultPollInterval = 5 * time.Second

// Options configure a member. Node, SupportedRange and Store are required.
type Options struct {
	Node           duty.NodeID
	SupportedRange Range
	Store          Store
	Clock          duty.Clock   // nil: the system clock
	Log            *slog.Logger // nil: nothing is logged
	// PollInterval is the time between two reads of the records; 0: 5 s.
	PollInterval time.Duration
	// Observe, if set, receives the member's events; it must not block.
	Observe func(Event)
	// OnUndecodable, if set, receives the key of each record that can't be decoded.
	OnUndecodable func(key string, err error)
}

// Member is one process of a controller. It publishes which versions the process supports,
// and tells whether the process may serve. Its methods may be called from any goroutine.
type Member struct {
	Options
	incarnation string
	state       atomic.Pointer[memberState]
	// reportedActive is the highest version that was passed to ObserveActive: by another
	// controller's report, or by this process when it switches or calls ReadActive.
	reportedActive atomic.Uint64
	// lastRefusedVersion is the active version for which a refusal was logged last. Only Run
	// uses it.
	lastRefusedVersion Version
}

// memberState is what a member knows from the records. It is immutable once stored.
type memberState struct {
	active         Version // 0: unknown
	activeRevision duty.Revision
	published      bool
	refusal        error // why the records forbid serving; nil: they allow it
}

// NewMember returns a member with a new, random incarnation. It fails if the supported
// range is invalid.
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

// Incarnation returns the identifier that distinguishes this process from all others of its
// controller.
func (m *Member) Incarnation() string { return m.incarnation }

// ActiveVersion returns the highest active version that this process has read from the
// records or that another controller has reported; 0 if it knows none.
func (m *Member) ActiveVersion() Version {
	return max(m.state.Load().active, Version(m.reportedActive.Load()))
}

// ObserveActive notes that another controller has reported the version as active. The report
// takes effect at once, before the records are read. A version below the highest one reported
// so far is ignored.
func (m *Member) ObserveActive(v Version) {
	for {
		reported := m.reportedActive.Load()
		if uint64(v) <= reported || m.reportedActive.CompareAndSwap(reported, uint64(v)) {
			return
		}
	}
}

// CheckSupport returns why this process must not even acknowledge requests of agents and of
// other controllers. It returns nil once the process knows the active version and supports
// it, unless another process has replaced it or an undecodable record forbids serving.
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

// CheckServe returns why this process must not serve, lead or write; nil while it supports
// the active version and has published what it supports.
func (m *Member) CheckServe() error {
	if err := m.CheckSupport(); err != nil {
		return err
	}
	if !m.state.Load().published {
		return ErrNotPublished
	}
	return nil
}

// ActiveVersionGuard returns the active version as last read, and a guard for transactions
// whose writes depend on it: the guard fails once another version is active. It is for
// writers that hold no lease; a lease holder's writes are ordered by its fencing token
// (docs/upgrades.md).
func (m *Member) ActiveVersionGuard() (duty.Guard, Version) {
	state := m.state.Load()
	return duty.Guard{Key: ActiveKey, Revision: state.activeRevision}, state.active
}

// emit sets the event's time and passes it to Observe, if that is set.
func (m *Member) emit(e Event) {
	if m.Observe != nil {
		e.At = m.Clock.Now()
		m.Observe(e)
	}
}

func (m *Member) notifyUndecodable(key string, err error) {
	if m.OnUndecodable != nil {
		m.OnUndecodable(key, err)
	}
}
