// Package detector judges, from what arrives and what does not, which zones and
// machines can be reached. It is pure: it reads no clock, sends nothing and knows
// no jobs. Its owner tells it of every message and asks it what to believe.
package detector

import (
	"time"

	"lilaclead/internal/wire"
)

const (
	// A zone is taken for partitioned when nothing came from it for monitor.unresponsiveAfter, in
	// which minMissedReports of its own were due, by what came from the others.
	// (Waiting until most of its machines were overdue, the leader had returned
	// three quarters of a large zone one by one.)
	silentAfter      = 1500 * time.Millisecond
	minMissedReports = 12
	// minMachines is how many a zone must have, or have lost, to be judged.
	minMachines = 4
	// Its controllers being lost as well, less is enough.
	minMissedReportsNoController = minMissedReports / 6
	minMachinesNoController      = 2

	// partitionedFor is for how long a zone counts as partitioned after it last
	// seemed so; latelyReports for how many report intervals as lately so.
	partitionedFor = 2 * silentAfter
	latelyReports  = 3
)

// contact is when something last came from a zone's machines, and how many reports
// had come from all zones by then.
type contact struct {
	at      time.Time
	reports int
}

// Zones judges which zones are partitioned from this node. It is not safe for
// concurrent use.
type Zones struct {
	startedAt     time.Time
	lately        time.Duration
	reports       int // that came in, in all
	contacts      map[wire.Zone]contact
	partitionedAt map[wire.Zone]time.Time // when a zone last seemed partitioned
}

// NewZones begins with no zone known, at a time from which machines that live
// report every interval.
func NewZones(now time.Time, reportInterval time.Duration) *Zones {
	return &Zones{startedAt: now, lately: latelyReports * reportInterval,
		contacts: map[wire.Zone]contact{}, partitionedAt: map[wire.Zone]time.Time{}}
}

// Heard notes that something came from a machine of a zone: a report that it sent,
// or the answer to a command.
func (z *Zones) Heard(zone wire.Zone, report bool, now time.Time) {
	if report {
		z.reports++
	}
	z.contacts[zone] = contact{now, z.reports}
}

// Known are the zones of which something came, in no order.
func (z *Zones) Known() []wire.Zone {
	out := make([]wire.Zone, 0, len(z.contacts))
	for zone := range z.contacts {
		out = append(out, zone)
	}
	return out
}

// Counts of machines that should report.
type Counts struct {
	Up, Lost        int // of the zone; lost are those that are long overdue
	AllUp           int // of all zones
	ControllersLost bool
}

// Judge takes in the counts of a zone. It tells whether the zone begins to seem
// partitioned: most of its machines are lost, or nothing came from any for a while.
// Reports are counted, not time: when this node is slow nothing comes from any zone.
func (z *Zones) Judge(zone wire.Zone, n Counts, now time.Time) bool {
	if !z.silent(zone, n, now) {
		return false
	}
	begins := !z.LatelyPartitioned(zone, now)
	z.partitionedAt[zone] = now
	return begins
}

func (z *Zones) silent(zone wire.Zone, n Counts, now time.Time) bool {
	minReports, least := minMissedReports, minMachines
	if n.ControllersLost {
		minReports, least = minMissedReportsNoController, minMachinesNoController
	}
	if n.Lost >= least && n.Lost*2 > n.Up {
		return true
	}
	last := z.contacts[zone]
	since := last.at
	if since.Before(z.startedAt) {
		since = z.startedAt
	}
	// Of the reports since then the zone's share was due from it.
	missed := (z.reports-last.reports)*n.Up >= minReports*n.AllUp
	return n.Up >= least && now.Sub(since) > silentAfter && missed
}

// Partitioned tells whether a zone seems partitioned from this node now.
func (z *Zones) Partitioned(zone wire.Zone, now time.Time) bool {
	at, ok := z.partitionedAt[zone]
	return ok && now.Sub(at) < partitionedFor
}

// LatelyPartitioned tells whether a zone seems partitioned, or did so lately: its
// machines need a while to report again.
func (z *Zones) LatelyPartitioned(zone wire.Zone, now time.Time) bool {
	at, ok := z.partitionedAt[zone]
	return ok && now.Sub(at) < z.lately
}

// Behind tells whether a machine that was last seen then has not been since its
// zone seemed partitioned.
func (z *Zones) Behind(zone wire.Zone, seenAt, now time.Time) bool {
	return z.LatelyPartitioned(zone, now) && seenAt.Before(z.partitionedAt[zone])
}
