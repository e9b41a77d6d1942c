package upgrade

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// defaultFollow is how often a process looks at the records.
	defaultFollow = 5 * time.Second
	// publishRetry is the pause before a process tries again to publish.
	publishRetry = 500 * time.Millisecond
)

// Options of a member. Node, Supports and Store are needed.
type Options struct {
	Node     duty.NodeID
	Supports Range
	Store    Store
	Clock    duty.Clock   // nil: the machine's own
	Log      *slog.Logger // nil: none
	// Follow is how often the records are looked at; 0: every 5 s.
	Follow time.Duration
	// Observe is told of what is decided; it must not block.
	Observe func(Event)
	// Undecodable is told of a record that can't be decoded.
	Undecodable func(key string, err error)
}

// Member is one process of a controller. It publishes what it understands before it
// may serve, and knows whether it still may.
type Member struct {
	Options
	incarnation string
	state       atomic.Pointer[state]
	// learned is the highest version that another controller has told of.
	learned atomic.Uint64
	warned  Version // the active one that was logged as refused; of Run alone
}

// state is what a member knows. It is never changed once stored.
type state struct {
	active    Version // 0: unknown
	activeAt  duty.Revision
	published bool
	refused   error // nil: it may serve as far as the records say
}

// NewMember makes the member of a process, under an incarnation of its own.
func NewMember(o Options) (*Member, error) {
	if err := o.Supports.Validate(); err != nil {
		return nil, err
	}
	if o.Clock == nil {
		o.Clock = duty.SystemClock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Follow == 0 {
		o.Follow = defaultFollow
	}
	if o.Observe == nil {
		o.Observe = func(Event) {}
	}
	if o.Undecodable == nil {
		o.Undecodable = func(string, error) {}
	}
	m := &Member{Options: o, incarnation: rand.Text()}
	m.state.Store(&state{refused: ErrUnknown})
	return m, nil
}

// Incarnation tells this process from others of its controller.
func (m *Member) Incarnation() string { return m.incarnation }

// Active is the active version as far as this process knows; 0: it does not.
func (m *Member) Active() Version { return max(m.state.Load().active, Version(m.learned.Load())) }

// Learn takes in that another controller knows the version to be active.
func (m *Member) Learn(v Version) {
	for {
		known := m.learned.Load()
		if uint64(v) <= known || m.learned.CompareAndSwap(known, uint64(v)) {
			return
		}
	}
}

// Understands says why this process must not even acknowledge others: nil once a
// version is known to be active that it understands, and none that it does not.
func (m *Member) Understands() error {
	v := m.Active()
	if v == 0 {
		return m.state.Load().refused
	}
	if err := m.Supports.check(v); err != nil {
		return err
	}
	if err := m.state.Load().refused; errors.Is(err, ErrReplaced) || errors.Is(err, ErrUndecodable) {
		return err
	}
	return nil
}

// MayServe says why this process must not serve, lead or write: nil once it has
// published what it understands, as long as it understands what is active.
func (m *Member) MayServe() error {
	if err := m.Understands(); err != nil {
		return err
	}
	if s := m.state.Load(); !s.published {
		return ErrNotPublished
	}
	return nil
}

// Guard is a condition for a transaction that writes by the version: it fails once
// another is active. It is for those who hold no lease; a holder's writes are
// ordered by its token (docs/upgrades.md).
func (m *Member) Guard() (duty.Guard, Version) {
	s := m.state.Load()
	return duty.Guard{Key: ActiveKey, Revision: s.activeAt}, s.active
}

// Run publishes and then follows the records until the context ends.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := m.Follow
		if !m.step(ctx) {
			wait = publishRetry
		}
		select {
		case <-ctx.Done():
		case <-m.Clock.After(wait):
		}
	}
}

// step looks at the records once; false: it is to be tried again soon.
func (m *Member) step(ctx context.Context) bool {
	class := store.Critical
	if m.state.Load().published {
		class = store.Background
	}
	r, err := read(ctx, m.Store, class)
	if err != nil {
		return false
	}
	for _, key := range r.undecodable {
		m.Undecodable(key, ErrUndecodable)
	}
	last := m.state.Load()
	if r.damaged(ActiveKey) && last.published {
		// Nobody can switch while it is so: what was active still is.
		return true
	}
	// A record that was removed is published again: nobody else has taken its place.
	_, recorded := r.supports[m.Node]
	next := state{active: r.active.Version, activeAt: r.activeAt, published: last.published && recorded}
	next.refused = m.judge(&r, next.published)
	if next.refused == nil && !next.published {
		next.published = m.publish(ctx, &r)
	}
	if next.refused != nil {
		next.published = false
		m.refuse(next.active, next.refused)
	}
	m.state.Store(&next)
	return next.published || next.refused != nil
}

// judge says why this process must not serve by what was read.
func (m *Member) judge(r *records, published bool) error {
	switch own := r.supports[m.Node]; {
	case r.damaged(ActiveKey):
		return fmt.Errorf("%w: %s", ErrUndecodable, ActiveKey)
	case r.damaged(SupportKey(m.Node)) && !published:
		return fmt.Errorf("%w: %s", ErrUndecodable, SupportKey(m.Node))
	case r.damaged(SupportKey(m.Node)):
		return nil // damage, and no other process: that one would have refused
	case !m.Supports.Contains(r.active.Version):
		return m.Supports.check(r.active.Version)
	case published && own.record.Incarnation != m.incarnation, errors.Is(m.state.Load().refused, ErrReplaced):
		return ErrReplaced
	}
	return nil
}

// publish records what this process understands, in place of the last one under its
// name. It fails if another version is active by then, or if somebody else publishes.
func (m *Member) publish(ctx context.Context, r *records) bool {
	record := SupportRecord{Min: m.Supports.Min, Max: m.Supports.Max, Incarnation: m.incarnation, At: wire.TimestampOf(m.Clock.Now())}
	_, err := m.Store.Commit(ctx, store.Critical, duty.Txn{
		Guards: []duty.Guard{{Key: ActiveKey, Revision: r.activeAt}, {Key: SupportKey(m.Node), Revision: r.supports[m.Node].revision}},
		Writes: []duty.Write{{Put: SupportKey(m.Node), Value: wire.Encode(record)}},
	})
	// Without an answer, or with a conflict: what is read next tells.
	if err != nil && !m.ownRecord(ctx) {
		return false
	}
	m.Log.Info("publishes its versions", "understands", m.Supports, "active", r.active.Version)
	m.Observe(Event{At: m.Clock.Now(), Kind: Published, Version: m.Supports.Max})
	return true
}

// ownRecord tells whether this process has published. It did so while the version was
// active that it had read: the write's guard says so.
func (m *Member) ownRecord(ctx context.Context) bool {
	e, err := m.Store.Get(ctx, store.Critical, SupportKey(m.Node))
	var record SupportRecord
	return err == nil && wire.Decode(e.Value, &record) == nil && record.Incarnation == m.incarnation
}

// refuse logs once why this process does not serve.
func (m *Member) refuse(active Version, why error) {
	if m.warned == active {
		return
	}
	m.warned = active
	m.Log.Error("does not serve", "why", why, "active", active, "understands", m.Supports)
	m.Observe(Event{At: m.Clock.Now(), Kind: Refused, Version: active, Reason: why.Error()})
}
