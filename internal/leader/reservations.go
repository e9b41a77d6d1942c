package leader

import (
	"slices"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// pruneReservations drops what is no longer claimed, since it took too long or the job's
// tasks found room elsewhere, and counts for how many units of each job room is
// being made.
func (sc *scheduler) pruneReservations(now time.Time) map[wire.JobID]int {
	n := map[wire.JobID]int{}
	for m := range sc.reservedMachines {
		m.reservations = slices.DeleteFunc(m.reservations, func(c reservation) bool {
			j := sc.state.jobs[c.Job]
			if now.After(c.until) || sc.state.machines[m.id] != m || m.scalingIn || m.drainReason != "" || j == nil || j.cancelled || n[c.Job] >= j.pending() {
				return true
			}
			n[c.Job]++
			return false
		})
		if len(m.reservations) == 0 {
			delete(sc.reservedMachines, m)
		}
	}
	// What is left of a gang's claims is of no use; room is made for all of it anew.
	short := func(id wire.JobID) bool {
		j := sc.state.jobs[id]
		return j != nil && j.spec.Gang() && n[id] > 0 && n[id] < j.spec.Tasks
	}
	for m := range sc.reservedMachines {
		if m.reservations = slices.DeleteFunc(m.reservations, func(c reservation) bool { return short(c.Job) }); len(m.reservations) == 0 {
			delete(sc.reservedMachines, m)
		}
	}
	for id := range n {
		if short(id) {
			delete(n, id)
		}
	}
	return n
}

// extendGangReservations keeps all the room that is being made for a gang until the last of it can
// be free: it needs all of it at once, and what is free first would go to others.
func (sc *scheduler) extendGangReservations() {
	last := map[wire.JobID]time.Time{}
	each := func(f func(c *reservation)) {
		for m := range sc.reservedMachines {
			for i := range m.reservations {
				if j := sc.state.jobs[m.reservations[i].Job]; j != nil && j.spec.Gang() {
					f(&m.reservations[i])
				}
			}
		}
	}
	each(func(c *reservation) { last[c.Job] = latest(last[c.Job], c.until) })
	each(func(c *reservation) { c.until = last[c.Job] })
}

// stopDuration is how long a task that is told to stop takes to be gone, even if only
// the answer to its machine's next report tells it.
func (sc *scheduler) stopDuration(grace wire.Seconds) time.Duration {
	return grace.Duration() + sc.state.heartbeatInterval()*5/4 + 2*time.Second
}

// reserve keeps room that is being made on machines for jobs. A gang's room is kept
// for as long as the room of its other tasks takes.
func (sc *scheduler) reserve(reservations []placement.MachineReservation, now time.Time) {
	for _, r := range reservations {
		m := sc.state.machines[r.Machine]
		until := now.Add(sc.stopDuration(0))
		if j := sc.state.jobs[r.Job]; j != nil && j.spec.Gang() {
			until = until.Add(wire.Seconds(sc.patienceSeconds(j, now)).Duration())
		}
		m.reservations = append(m.reservations, reservation{r.Reservation, r.AwaitedTasks, until})
		sc.reservedMachines[m] = struct{}{}
	}
}

// extendReservations keeps the room on a machine for as long as a task that is
// preempted there may take to save.
func (sc *scheduler) extendReservations(preempted *attempt, now time.Time) {
	until := now.Add(sc.stopDuration(preempted.gracePeriod))
	for i := range preempted.machine.reservations {
		r := &preempted.machine.reservations[i]
		r.until = latest(r.until, until)
	}
}
