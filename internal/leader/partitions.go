package leader

import (
	"time"

	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// lastFromZone is when something last came from a zone's machines, and how many
// reports had come from all zones by then.
type zoneContact struct {
	at      time.Time
	reports int
}

const (
	// partitionAfter and partitionReports: a zone is taken for cut off when nothing came
	// from it for a while in which so many reports of its own were due, by what
	// came from the others. (Waiting until most of its machines were overdue,
	// the leader had returned three quarters of a large zone one by one.)
	// Its controllers being lost as well, a sixth of that is enough, and fewer
	// machines.
	partitionAfter   = 1500 * time.Millisecond
	partitionReports = 12
)

// zoneSilent tells whether a zone with n of the machines that are up has gone
// silent as a whole: most are lost, or nothing came from any for a while.
// Reports are counted, not time: when this node is slow nothing comes from any
// zone.
func (t *term) zoneSilent(z wire.Zone, n, lost, up int, now time.Time) bool {
	need, least := partitionReports, 4
	if at := t.zoneSilentSince(z); !at.IsZero() && now.Sub(at) > peer.AckLifetime {
		need, least = need/6, 2
	}
	h := t.lastFromZone[z]
	return lost >= least && lost*2 > n || n >= least && now.Sub(latest(h.at, t.startedAt)) > partitionAfter && (t.reportCount-h.reports)*n >= need*up
}

// latelyPartitioned tells whether a zone seems partitioned from this node, or did so
// lately: its machines need a while to report again.
func (t *term) latelyPartitioned(z wire.Zone, now time.Time) bool {
	at, ok := t.partitionedAt[z]
	return ok && now.Sub(at) < 3*reportInterval(t)
}

// partitioned tells whether a zone seems partitioned from this node now.
func (t *term) partitioned(z wire.Zone, now time.Time) bool {
	at, ok := t.partitionedAt[z]
	return ok && now.Sub(at) < 2*partitionAfter
}

// behindPartition tells whether a machine was not heard since its zone seemed cut
// off. It takes nothing new, and its room is not counted on: what was placed
// there once waited for the end of the cut, and nothing was rented in its
// place.
func (t *term) behindPartition(m *machine, now time.Time) bool {
	return t.latelyPartitioned(m.zone, now) && m.seenAt.Before(t.partitionedAt[m.zone])
}
