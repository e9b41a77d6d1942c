package leader

import (
	"time"

	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// heard is when something last came from a zone's machines, and how many
// reports had come from all zones by then.
type heard struct {
	at      time.Time
	reports int
}

const (
	// hushAfter and hushReports: a zone is taken for cut off when nothing came
	// from it for a while in which so many reports of its own were due, by what
	// came from the others. (Waiting until most of its machines were overdue,
	// the leader had returned three quarters of a large zone one by one.)
	// Its controllers being lost as well, a sixth of that is enough, and fewer
	// machines.
	hushAfter   = 1500 * time.Millisecond
	hushReports = 12
)

// hushed tells whether a zone with n of the machines that are up has gone
// silent as a whole: most are lost, or nothing came from any for a while.
// Reports are counted, not time: when this node is slow nothing comes from any
// zone.
func (t *term) hushed(z wire.Zone, n, lost, up int, now time.Time) bool {
	need, least := hushReports, 4
	if at := t.zoneSilentSince(z); !at.IsZero() && now.Sub(at) > peer.X {
		need, least = need/6, 2
	}
	h := t.heard[z]
	return lost >= least && lost*2 > n || n >= least && now.Sub(latest(h.at, t.startedAt)) > hushAfter && (t.reports-h.reports)*n >= need*up
}

// wasCut tells whether a zone seems cut off, or did so lately: its machines
// need a while to be heard again.
func (t *term) wasCut(z wire.Zone, now time.Time) bool {
	at, ok := t.cutAt[z]
	return ok && now.Sub(at) < 3*report(t)
}

// isCut tells whether a zone seems cut off now.
func (t *term) isCut(z wire.Zone, now time.Time) bool {
	at, ok := t.cutAt[z]
	return ok && now.Sub(at) < 2*hushAfter
}

// behindCut tells whether a machine was not heard since its zone seemed cut
// off. It takes nothing new, and its room is not counted on: what was placed
// there once waited for the end of the cut, and nothing was rented in its
// place.
func (t *term) behindCut(m *machine, now time.Time) bool {
	return t.wasCut(m.zone, now) && m.seenAt.Before(t.cutAt[m.zone])
}
