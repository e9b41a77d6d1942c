package simulator

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// CutMode is what a cut does with packets and connections.
type CutMode string

// The modes.
const (
	// CutHeld: packets wait and come in order after the cut.
	CutHeld CutMode = "held"
	// CutRefused: open connections are reset, new ones refused.
	CutRefused CutMode = "refused"
	// CutSilent: packets are lost without a word; when the cut is over, the
	// connections that it broke are found reset.
	CutSilent CutMode = "silent"
)

// CutModes lists them.
var CutModes = []CutMode{CutHeld, CutRefused, CutSilent}

// Apart cuts two hosts from each other, or ends the cut.
func (n *Network) Apart(a, b string, mode CutMode, on bool) {
	if mode == CutRefused {
		n.mu.Lock()
		if n.filtered == nil {
			n.filtered = map[[2]string]bool{}
		}
		n.filtered[[2]string{a, b}], n.filtered[[2]string{b, a}] = on, on
		n.mu.Unlock()
	}
	if mode == CutSilent && !on || mode == CutRefused && on {
		for _, c := range n.matching(func(c *conn) bool {
			x, y := hostOf(string(c.local)), hostOf(string(c.remote))
			return x == a && y == b || x == b && y == a
		}) {
			c.shut(func(p *pipe) { p.reset = true })
		}
	}
	if mode != CutRefused {
		n.Cut(a, b, on)
	}
}

// CutNode cuts the i-th node from the state service and from the other nodes,
// not from workers, users and the cloud, or ends the cut.
func (w *World) CutNode(i int, mode CutMode, on bool) {
	for k := range w.nodes {
		if k != i {
			w.Net.Apart(NodeIP(i), NodeIP(k), mode, on)
		}
	}
	w.Net.Apart(NodeIP(i), hostOf(StateAddr), mode, on)
}

// NodeCut tells whether connections between two hosts are cut now.
func (n *Network) NodeCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.filtered[[2]string{a, b}] || n.held[[2]string{a, b}] && n.held[[2]string{b, a}]
}

// Out tells whether an outage is on.
func (s *State) Out() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out
}

// run time of one of the job's tasks.
func (t *Truth) runS(index int) float64 {
	if index < len(t.EachS) {
		return t.EachS[index]
	}
	return t.RunS
}

// InZones counts a job's tasks on machines by zone.
func (c *Checker) InZones(id wire.JobID) map[wire.Zone]int {
	n := map[wire.Zone]int{}
	for t, p := range c.on {
		if t.Job == id {
			n[p.Zone]++
		}
	}
	return n
}

// Completed counts the job's tasks that have completed.
func (c *Checker) Completed(id wire.JobID) int {
	if j := c.jobs[id]; j != nil {
		return len(j.done)
	}
	return 0
}

// Confirmed is when a user was first told that the job is cancelled.
func (c *Checker) Confirmed(id wire.JobID) (time.Time, bool) {
	j := c.jobs[id]
	if j == nil || j.told != wire.Cancelled {
		return time.Time{}, false
	}
	return j.cancelled, true
}

// Owed lists the accepted jobs that nobody asked to cancel.
func (c *Checker) Owed() []wire.JobID {
	var out []wire.JobID
	for id, j := range c.jobs {
		if j.accepted && !j.cancelReq {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// LeadStamp is the revision of the leader's key, 0 while nobody holds it.
func (w *World) LeadStamp() wire.Revision {
	w.State.mu.Lock()
	defer w.State.mu.Unlock()
	if e := w.State.keys["lead"]; e != nil {
		return e.stamp
	}
	return 0
}

// Zone of a machine; empty if it is gone.
func (w *World) Zone(id wire.MachineID) wire.Zone {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[id]; m != nil {
		return m.zone
	}
	return ""
}

// LagWatches makes the answers to open watches come late, as the service's
// answers do at times.
func (s *State) LagWatches(d time.Duration) {
	s.mu.Lock()
	s.lag = d
	s.mu.Unlock()
}
