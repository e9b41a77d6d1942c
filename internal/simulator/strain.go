package simulator

import (
	"context"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// Slow makes everything to and from a host take so much longer; 0: no more.
func (n *Network) Slow(ip string, by time.Duration) {
	n.mu.Lock()
	n.slow[ip] = by
	n.mu.Unlock()
}

// takes is how long a packet is on its way.
func (n *Network) takes(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency + n.slow[from] + n.slow[to] + n.lag[[2]string{from, to}]
}

// Slow makes the links of all machines, also of those to come, take so much
// longer.
func (w *World) Slow(by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowBy = by
	for _, m := range w.machines {
		w.Net.Slow(m.ip, by)
	}
}

// Unlink cuts a machine off from all nodes, with all packets held, or lets them
// through again.
func (w *World) Unlink(id wire.MachineID, on bool) {
	ip := w.IP(id)
	for i := range w.nodes {
		if ip != "" {
			w.Net.Cut(NodeIP(i), ip, on)
		}
	}
}

// Stall makes a machine hang: it says and hears nothing and its tasks don't get
// on, until it goes on. Its session ends by its clock all the same.
func (w *World) Stall(id wire.MachineID, on bool) {
	w.mu.Lock()
	if m := w.machines[id]; m != nil {
		m.stalled = on
	}
	w.mu.Unlock()
	w.Unlink(id, on)
}

// unstalled waits while the machine hangs.
func (m *worker) unstalled(ctx context.Context) {
	for ctx.Err() == nil {
		m.w.mu.Lock()
		hangs := m.stalled
		m.w.mu.Unlock()
		if !hangs {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// SellOut makes the cloud have nothing more to rent in a zone, or have it again.
func (w *World) SellOut(z wire.Zone, on bool) {
	w.mu.Lock()
	w.soldOut[z] = on
	w.mu.Unlock()
}

// Vanish takes machines away at once and without a trace.
func (w *World) Vanish(ids ...wire.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		w.remove(id)
	}
}

// In lists the machines that are up in a zone.
func (w *World) In(z wire.Zone) []wire.MachineID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.MachineID
	for id, m := range w.machines {
		if m.zone == z && m.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Uses is how many processors a team's tasks use that are on machines.
func (c *Checker) Uses(team wire.TeamID) float64 {
	n := 0.0
	for t := range c.on {
		if j := c.jobs[t.Job]; j != nil && j.spec.Team == team {
			n += j.spec.CPUs
		}
	}
	return n
}

// Waiting counts the tasks of a job that have neither completed nor are on a
// machine.
func (c *Checker) Waiting(id wire.JobID) int {
	j, n := c.jobs[id], 0
	for i := range j.spec.Tasks {
		if _, on := c.on[wire.Task{Job: id, Index: i}]; !on && !j.done[i] {
			n++
		}
	}
	return n
}

// SlowSaves makes tasks take their time to save when they are stopped.
func (w *World) SlowSaves() {
	w.mu.Lock()
	w.slowSaves = true
	w.mu.Unlock()
}

// save lets a task that was told to stop save first, and tells whether it does.
// What saves already goes on with it unless it is told to end at once. Call with
// the lock held.
func (m *worker) save(t wire.Task, x *run, windDown *wire.Seconds) bool {
	switch {
	case !m.w.slowSaves:
		return false
	case x.phase == wire.PhaseSaving:
		return windDown != nil && *windDown > 0
	case !x.saved:
		return false
	}
	x.cancel()
	x.phase = wire.PhaseSaving
	m.changed()
	m.w.spawn(func() {
		sleep(m.ctx, m.w.truths[t.Job].Spec.CheckpointTime.Duration())
		m.unstalled(m.ctx)
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if m.tasks[t] == x && x.phase == wire.PhaseSaving {
			m.exit(t, x, wire.CauseStopped)
		}
	})
	return true
}

// Boots makes machines come up in so many times the usual time.
func (w *World) Boots(factor float64) {
	w.mu.Lock()
	w.bootFactor = factor
	w.mu.Unlock()
}

// Unlisted makes the machines that are rented from now on ones that no list ever
// shows, or no more of them. (Lists lag, and one that does not live as long as
// they do may be in none.)
func (w *World) Unlisted(on bool) {
	w.mu.Lock()
	w.unlisted = on
	w.mu.Unlock()
}

// room is what is free on a machine; call with the lock held.
func (m *worker) room() (cpus, ram float64) {
	cpus, ram = m.flavor.CPUs, m.flavor.MemoryGB
	for t, x := range m.tasks {
		if x.phase != wire.PhaseExited {
			cpus -= m.w.truths[t.Job].Spec.CPUs
			ram -= m.w.truths[t.Job].Spec.MemoryGB
		}
	}
	return cpus, ram
}

// CouldRun lists the jobs that have a task waiting for which a machine has room
// now where the job's other tasks let it be, with their team under its limit, and
// how many tasks of each wait.
func (w *World) CouldRun() map[wire.JobID]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[wire.JobID]int{}
	for id, j := range w.check.jobs {
		n := w.check.Waiting(id)
		s, l := &j.spec, w.check.Limits[j.spec.Team]
		if !j.accepted || j.cancelReq || j.told != "" || n == 0 || l.CPUs > 0 && w.check.Uses(s.Team)+s.CPUs > l.CPUs+wire.Eps {
			continue
		}
		zones := w.check.InZones(id)
		for _, m := range w.machines {
			cpus, ram := m.room()
			elsewhere := len(zones) > 1 || len(zones) == 1 && zones[m.zone] == 0
			if m.up && m.notice.IsZero() && cpus+wire.Eps >= s.CPUs && ram+wire.Eps >= s.MemoryGB && (s.SpotAllowed || !m.spot) && (s.Zone == "" || s.Zone == m.zone) &&
				(s.MachineTypes == nil || slices.Contains(s.MachineTypes, m.kit)) && !(s.SameZone && elsewhere) && !(s.Spread && zones[m.zone] >= (s.Tasks+1)/2) {
				out[id] = n
			}
		}
	}
	return out
}

// NoSpot makes the cloud have no more spot machines to rent, or have them again.
func (w *World) NoSpot(on bool) {
	w.mu.Lock()
	w.noSpot = on
	w.mu.Unlock()
}
