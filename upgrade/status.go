package upgrade

import (
	"context"
	"slices"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Deployment is what the holder of the lease knows beside the records.
type Deployment struct {
	// Controllers are all that are configured, this one included.
	Controllers []duty.NodeID
	// ConnectedIncarnation returns the incarnation of another controller's process that was in contact
	// a moment ago; empty if none was, or if its program does not negotiate versions.
	ConnectedIncarnation func(duty.NodeID) string
	// MaxVersion is the highest version that the operators allow; 0: any.
	MaxVersion Version
	// Guards make the switch fail if what that limit rests on has changed since.
	Guards []duty.Guard
}

// Blocker is why a controller holds up the next version; empty: it does not. The values
// are part of what is shown to operators.
type Blocker string

// The reasons why a controller holds up the next version.
const (
	NothingPublished  Blocker = "nothing published: never started, or of a version from before"
	NotSupported      Blocker = "does not understand the next version"
	NotConnected      Blocker = "not in contact, or of a version from before"
	OtherIncarnation  Blocker = "another process runs than the one that published"
	UndecodableRecord Blocker = "its record can't be decoded"
)

// ControllerStatus is one controller as operators see it.
type ControllerStatus struct {
	Node        duty.NodeID    `cbor:"node"`
	Min         Version        `cbor:"min"`
	Max         Version        `cbor:"max"`
	Incarnation string         `cbor:"process"`
	PublishedAt wire.Timestamp `cbor:"published_at"`
	Blocker     Blocker        `cbor:"missing"`
}

// Status describes how far an upgrade is.
type Status struct {
	Active Version `cbor:"active"`
	// Next is the version that all controllers have to support; if it equals Active there
	// is none.
	Next       Version `cbor:"next"`
	MaxVersion Version `cbor:"ceiling"` // by the operators; 0: none
	// LimitedByOperators is true if only the operators hold the next version back.
	LimitedByOperators bool               `cbor:"held"`
	Controllers        []ControllerStatus `cbor:"controllers"`
}

// Ready reports whether there is a next version and every controller supports it.
func (s *Status) Ready() bool {
	isBlocked := func(c ControllerStatus) bool { return c.Blocker != "" }
	return s.Next > s.Active && !slices.ContainsFunc(s.Controllers, isBlocked)
}

// ReadStatus reads how far the upgrade is. It fails if the store can't be read, which may be
// retried, or if the active version can't be decoded.
func (m *Member) ReadStatus(ctx context.Context, d Deployment) (Status, error) {
	r, err := readDecidableRecords(ctx, m.Store, store.ClassUser)
	if err != nil {
		return Status{}, err
	}
	return m.status(&r, d), nil
}

// status judges each controller by the highest version that this program supports and the
// operators allow.
func (m *Member) status(r *records, d Deployment) Status {
	s := Status{
		Active:     r.active.Version,
		Next:       max(r.active.Version, m.SupportedRange.Max),
		MaxVersion: d.MaxVersion,
	}
	if d.MaxVersion > 0 && s.Next > d.MaxVersion {
		s.Next, s.LimitedByOperators = max(s.Active, d.MaxVersion), true
	}
	for _, node := range d.Controllers {
		published := r.supports[node].record
		s.Controllers = append(s.Controllers, ControllerStatus{
			Node:        node,
			Min:         published.Min,
			Max:         published.Max,
			Incarnation: published.Incarnation,
			PublishedAt: published.At,
			Blocker:     m.blockerOf(r, d, node, s.Next),
		})
	}
	return s
}

// blockerOf returns why a controller holds up a version; empty if it does not.
func (m *Member) blockerOf(r *records, d Deployment, node duty.NodeID, next Version) Blocker {
	support, published := r.supports[node]
	connected := m.incarnation
	if node != m.Node {
		connected = d.ConnectedIncarnation(node)
	}
	switch {
	case r.isUndecodable(SupportKey(node)):
		return UndecodableRecord
	case !published:
		return NothingPublished
	case !support.record.Range().Contains(next):
		return NotSupported
	case connected == "":
		return NotConnected
	case connected != support.record.Incarnation:
		return OtherIncarnation
	}
	return ""
}
