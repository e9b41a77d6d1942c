package scheduling

import (
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// PruneReservations drops what is no longer claimed, since it took too long or the job's
// tasks found room elsewhere, and counts for how many units of each job room is
// being made.
func (sc *Scheduler) PruneReservations(now time.Time) map[wire.JobID]int {
	n := map[wire.JobID]int{}
	for m := range sc.ReservedMachines {
		m.Reservations = slices.DeleteFunc(m.Reservations, func(c cluster.Reservation) bool {
			j := sc.state.Jobs[c.Job]
			if now.After(c.Until) || sc.state.Machines[m.ID] != m || m.ScalingIn || m.DrainReason != "" || j == nil || j.Cancelled || n[c.Job] >= j.Pending() {
				return true
			}
			n[c.Job]++
			return false
		})
		if len(m.Reservations) == 0 {
			delete(sc.ReservedMachines, m)
		}
	}
	// What is left of a gang's claims is of no use; room is made for all of it anew.
	short := func(id wire.JobID) bool {
		j := sc.state.Jobs[id]
		return j != nil && j.Spec.Gang() && n[id] > 0 && n[id] < j.Spec.Tasks
	}
	for m := range sc.ReservedMachines {
		if m.Reservations = slices.DeleteFunc(m.Reservations, func(c cluster.Reservation) bool { return short(c.Job) }); len(m.Reservations) == 0 {
			delete(sc.ReservedMachines, m)
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
func (sc *Scheduler) extendGangReservations() {
	last := map[wire.JobID]time.Time{}
	each := func(f func(c *cluster.Reservation)) {
		for m := range sc.ReservedMachines {
			for i := range m.Reservations {
				if j := sc.state.Jobs[m.Reservations[i].Job]; j != nil && j.Spec.Gang() {
					f(&m.Reservations[i])
				}
			}
		}
	}
	each(func(c *cluster.Reservation) { last[c.Job] = cluster.Latest(last[c.Job], c.Until) })
	each(func(c *cluster.Reservation) { c.Until = last[c.Job] })
}

// stopDuration is how long a task that is told to stop takes to be gone, even if only
// the answer to its machine's next report tells it.
func (sc *Scheduler) stopDuration(grace wire.Seconds) time.Duration {
	return grace.Duration() + sc.state.HeartbeatInterval()*5/4 + 2*time.Second
}

// reserve keeps room that is being made on machines for jobs. A gang's room is kept
// for as long as the room of its other tasks takes.
func (sc *Scheduler) reserve(reservations []placement.MachineReservation, now time.Time) {
	for _, r := range reservations {
		m := sc.state.Machines[r.Machine]
		until := now.Add(sc.stopDuration(0))
		if j := sc.state.Jobs[r.Job]; j != nil && j.Spec.Gang() {
			until = until.Add(wire.Seconds(sc.PatienceSeconds(j, now)).Duration())
		}
		m.Reservations = append(m.Reservations, cluster.Reservation{Reservation: r.Reservation, AwaitedTasks: r.AwaitedTasks, Until: until})
		sc.ReservedMachines[m] = struct{}{}
	}
}

// ExtendReservations keeps the room on a machine for as long as a task that is
// preempted there may take to save.
func (sc *Scheduler) ExtendReservations(preempted *cluster.Attempt, now time.Time) {
	until := now.Add(sc.stopDuration(preempted.GracePeriod))
	for i := range preempted.Machine.Reservations {
		r := &preempted.Machine.Reservations[i]
		r.Until = cluster.Latest(r.Until, until)
	}
}
