package upgrade

import (
	"context"
	"slices"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Deployment is what the lease holder knows about the controllers and the operators'
// settings. The records of versions don't contain it.
type Deployment struct {
	// Controllers are all configured controllers, this one included.
	Controllers []duty.NodeID
	// ConnectedIncarnation returns the incarnation of another controller's process that is
	// connected now; empty if none is, or if its program does not negotiate versions.
	ConnectedIncarnation func(duty.NodeID) string
	// MaxVersion is the highest version that the operators allow; 0: any.
	MaxVersion Version
	// Guards make the switch fail if the records that MaxVersion was read from have changed
	// since.
	Guards []duty.Guard
}

// Blocker is the reason why a controller blocks the next version; empty: it does not. The
// values are shown to operators.
type Blocker string

// The reasons why a controller blocks the next version.
const (
	NothingPublished  Blocker = "nothing published: never started, or of a version from before"
	NotSupported      Blocker = "does not understand the next version"
	NotConnected      Blocker = "not in contact, or of a version from before"
	OtherIncarnation  Blocker = "another process runs than the one that published"
	UndecodableRecord Blocker = "its record can't be decoded"
)

// ControllerStatus describes one controller to operators: what its last process published,
// and why it blocks the next version.
type ControllerStatus struct {
	Node        duty.NodeID    `cbor:"node"`
	Min         Version        `cbor:"min"`
	Max         Version        `cbor:"max"`
	Incarnation string         `cbor:"process"`
	PublishedAt wire.Timestamp `cbor:"published_at"`
	Blocker     Blocker        `cbor:"missing"`
}

// Status describes the progress of an upgrade.
type Status struct {
	Active Version `cbor:"active"`
	// Next is the version that all controllers have to support before it becomes active. If
	// it equals Active, there is no next version.
	Next       Version `cbor:"next"`
	MaxVersion Version `cbor:"ceiling"` // the operators' limit; 0: none
	// LimitedByOperators is true if MaxVersion is below the version that would be next
	// without it.
	LimitedByOperators bool               `cbor:"held"`
	Controllers        []ControllerStatus `cbor:"controllers"`
}

// Ready reports whether there is a next version and every controller supports it.
func (s *Status) Ready() bool {
	isBlocked := func(c ControllerStatus) bool { return c.Blocker != "" }
	return s.Next > s.Active && !slices.ContainsFunc(s.Controllers, isBlocked)
}

// ReadStatus reads the progress of the upgrade. It fails if the store can't be read, which
// may be retried, or if the active version can't be decoded.
func (m *Member) ReadStatus(ctx context.Context, deployment Deployment) (Status, error) {
	r, err := readRecordsWithActive(ctx, m.Store, store.ClassUser)
	if err != nil {
		return Status{}, err
	}
	return m.status(&r, deployment), nil
}

// status evaluates each controller against the next version: the highest that this program
// supports and the operators allow, but never one below the active version.
func (m *Member) status(r *records, deployment Deployment) Status {
	s := Status{
		Active:     r.active.Version,
		Next:       max(r.active.Version, m.SupportedRange.Max),
		MaxVersion: deployment.MaxVersion,
	}
	if deployment.MaxVersion > 0 && s.Next > deployment.MaxVersion {
		s.Next, s.LimitedByOperators = max(s.Active, deployment.MaxVersion), true
	}
	for _, node := range deployment.Controllers {
		published := r.supports[node].record
		s.Controllers = append(s.Controllers, ControllerStatus{
			Node:        node,
			Min:         published.Min,
			Max:         published.Max,
			Incarnation: published.Incarnation,
			PublishedAt: published.At,
			Blocker:     m.blockerOf(r, deployment, node, s.Next),
		})
	}
	return s
}

// blockerOf returns why a controller blocks the next version; empty if it does not.
func (m *Member) blockerOf(r *records, deployment Deployment, node duty.NodeID, next Version) Blocker {
	support, published := r.supports[node]
	connectedIncarnation := m.incarnation
	if node != m.Node {
		connectedIncarnation = deployment.ConnectedIncarnation(node)
	}
	switch {
	case r.isUndecodable(SupportKey(node)):
		return UndecodableRecord
	case !published:
		return NothingPublished
	case !support.record.Range().Contains(next):
		return NotSupported
	case connectedIncarnation == "":
		return NotConnected
	case connectedIncarnation != support.record.Incarnation:
		return OtherIncarnation
	}
	return ""
}
