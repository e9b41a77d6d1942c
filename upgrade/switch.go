package upgrade

import (
	"context"
	"errors"
	"fmt"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Deployment is what the holder of the lease knows beside the records.
type Deployment struct {
	// Controllers are all that are configured, this one included.
	Controllers []duty.NodeID
	// Present is the incarnation of another controller's process that was in contact
	// a moment ago; empty: none was, or it is of a version from before this package.
	Present func(duty.NodeID) string
	// Ceiling is the highest version that the operators allow; 0: any.
	Ceiling Version
	// Guards make the switch fail if what Ceiling rests on has changed since.
	Guards []duty.Guard
}

// Missing is why a controller holds up the next version; empty: it does not.
type Missing string

// The reasons.
const (
	NothingPublished Missing = "nothing published: never started, or of a version from before"
	NotUnderstood    Missing = "does not understand the next version"
	NotInContact     Missing = "not in contact, or of a version from before"
	OtherProcess     Missing = "another process runs than the one that published"
	Damaged          Missing = "its record can't be decoded"
)

// ControllerStatus is one controller as operators see it.
type ControllerStatus struct {
	Node        duty.NodeID    `cbor:"node"`
	Min         Version        `cbor:"min"`
	Max         Version        `cbor:"max"`
	Incarnation string         `cbor:"process"`
	PublishedAt wire.Timestamp `cbor:"published_at"`
	Missing     Missing        `cbor:"missing"`
}

// Status of an upgrade.
type Status struct {
	Active  Version `cbor:"active"`
	Next    Version `cbor:"next"`    // that all are to understand; Active: there is none
	Ceiling Version `cbor:"ceiling"` // by the operators; 0: none
	// Held: only the operators hold the next version back.
	Held        bool               `cbor:"held"`
	Controllers []ControllerStatus `cbor:"controllers"`
}

// Ready tells whether every controller supports the next version.
func (s *Status) Ready() bool {
	for _, c := range s.Controllers {
		if c.Missing != "" {
			return false
		}
	}
	return s.Next > s.Active
}

// Look reads how far the upgrade is.
func (m *Member) Look(ctx context.Context, d Deployment) (Status, error) {
	r, err := read(ctx, m.Store, store.User)
	if err != nil {
		return Status{}, err
	}
	if r.damaged(ActiveKey) {
		return Status{}, fmt.Errorf("%w: %s", ErrUndecodable, ActiveKey)
	}
	return m.status(&r, d), nil
}

// status judges each controller for the highest version that any of them, or this
// program, understands.
func (m *Member) status(r *records, d Deployment) Status {
	s := Status{Active: r.active.Version, Next: max(r.active.Version, m.Supports.Max), Ceiling: d.Ceiling}
	if d.Ceiling > 0 && s.Next > d.Ceiling {
		s.Next, s.Held = max(s.Active, d.Ceiling), true
	}
	for _, node := range d.Controllers {
		own := r.supports[node].record
		s.Controllers = append(s.Controllers, ControllerStatus{Node: node, Min: own.Min, Max: own.Max, Incarnation: own.Incarnation,
			PublishedAt: own.At, Missing: m.missing(r, d, node, s.Next)})
	}
	return s
}

// missing says why a controller holds up a version.
func (m *Member) missing(r *records, d Deployment, node duty.NodeID, next Version) Missing {
	published, known := r.supports[node]
	present := m.incarnation
	if node != m.Node {
		present = d.Present(node)
	}
	switch {
	case r.damaged(SupportKey(node)):
		return Damaged
	case !known:
		return NothingPublished
	case !published.record.Range().Contains(next):
		return NotUnderstood
	case present == "":
		return NotInContact
	case present != published.record.Incarnation:
		return OtherProcess
	}
	return ""
}

// ErrNotReady says that some controller holds up the next version, or the operators do.
var ErrNotReady = errors.New("not every controller supports the next version")

// Advance moves the active version up if every controller supports the next one. Only
// the holder of the lease does so: the write fails under another's, if another process
// has published since the records were read, or if the operators' word has changed. It
// returns what is active then. After ErrUnknown of the state service it may be either.
func (m *Member) Advance(ctx context.Context, permit duty.Permit[duty.Cleanup], d Deployment) (Version, error) {
	r, err := read(ctx, m.Store, store.Background)
	if err != nil {
		return 0, err
	}
	if r.damaged(ActiveKey) {
		return 0, fmt.Errorf("%w: %s", ErrUndecodable, ActiveKey)
	}
	status := m.status(&r, d)
	if !status.Ready() {
		return status.Active, ErrNotReady
	}
	guards := append([]duty.Guard{{Key: ActiveKey, Revision: r.activeAt}}, d.Guards...)
	for _, node := range d.Controllers {
		guards = append(guards, duty.Guard{Key: SupportKey(node), Revision: r.supports[node].revision})
	}
	record := ActiveRecord{Version: status.Next, By: m.Node, At: wire.TimestampOf(m.Clock.Now())}
	revision, err := permit.Commit(ctx, store.Critical, duty.Txn{Guards: guards, Writes: []duty.Write{{Put: ActiveKey, Value: wire.Encode(record)}}})
	if err != nil {
		return status.Active, err
	}
	m.state.Store(&state{active: status.Next, activeAt: revision, published: true})
	m.Learn(status.Next)
	m.Log.Info("switches the active version", "from", status.Active, "to", status.Next)
	m.Observe(Event{At: m.Clock.Now(), Kind: Switched, Version: status.Next, Token: permit.Token(), Reason: fmt.Sprintf("from %d", status.Active)})
	return status.Next, nil
}

// ReadActive reads the active version for a new holder of the lease. Read after the
// lease was taken it is at least what every earlier holder has written by: their
// switches fail from then on.
func (m *Member) ReadActive(ctx context.Context) (Version, error) {
	active, revision, err := readActive(ctx, m.Store)
	if errors.Is(err, ErrUndecodable) && m.MayServe() == nil {
		// Damaged since this process knew it. To act by an earlier version than the
		// active one harms nothing: whoever understands the later one reads it.
		m.Undecodable(ActiveKey, err)
		return m.Active(), nil
	}
	if err != nil {
		return 0, err
	}
	if s := m.state.Load(); revision > s.activeAt || s.active == 0 {
		m.state.CompareAndSwap(s, &state{active: active.Version, activeAt: revision, published: s.published, refused: s.refused})
	}
	m.Learn(active.Version)
	return active.Version, m.Understands()
}
