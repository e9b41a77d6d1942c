package scheduling

import (
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Reservations are the resources that are being freed on machines for waiting jobs.
type Reservations struct {
	// ReservedMachines are the machines with reservations.
	ReservedMachines map[*cluster.Machine]struct{}

	state           *cluster.State
	preemptionDelay *PreemptionDelay
}

func newReservations(state *cluster.State, delay *PreemptionDelay) *Reservations {
	return &Reservations{ReservedMachines: map[*cluster.Machine]struct{}{}, state: state, preemptionDelay: delay}
}

// reserve adds the reservations of a cycle. Those of a gang last longer, by the time for which
// it may wait for the resources of its other tasks.
func (r *Reservations) reserve(reservations []placement.MachineReservation, now time.Time) {
	for _, reservation := range reservations {
		machine := r.state.Machines[reservation.Machine]
		expiresAt := now.Add(r.stopDuration(0))
		if job := r.gang(reservation.Job); job != nil {
			wait := wire.Seconds(r.preemptionDelay.PreemptionDelaySeconds(job, now))
			expiresAt = expiresAt.Add(wait.Duration())
		}
		machine.Reservations = append(machine.Reservations, cluster.Reservation{Reservation: reservation.Reservation, AwaitedTasks: reservation.AwaitedTasks, ExpiresAt: expiresAt})
		r.ReservedMachines[machine] = struct{}{}
	}
}

// PruneReservations drops the reservations that are obsolete, and all reservations of a gang
// that keeps only some of them. It returns the number of reservations that are left to each
// job; a reservation is for one task.
func (r *Reservations) PruneReservations(now time.Time) map[wire.JobID]int {
	reserved := map[wire.JobID]int{}
	r.dropWhere(func(machine *cluster.Machine, reservation cluster.Reservation) bool {
		if r.obsolete(machine, reservation, reserved, now) {
			return true
		}
		reserved[reservation.Job]++
		return false
	})
	r.dropIncompleteGangs(reserved)
	return reserved
}

// obsolete reports whether a reservation has expired, its machine is removed, scaling in or
// draining, or its job does not need it, for instance because its tasks found resources
// elsewhere. reserved counts the reservations of each job that are kept so far.
func (r *Reservations) obsolete(machine *cluster.Machine, reservation cluster.Reservation, reserved map[wire.JobID]int, now time.Time) bool {
	leaving := r.state.Machines[machine.ID] != machine || machine.ScalingIn || machine.DrainReason != ""
	if now.After(reservation.ExpiresAt) || leaving {
		return true
	}
	job := r.state.Jobs[reservation.Job]
	return job == nil || job.Cancelled || reserved[reservation.Job] >= job.PendingTasks()
}

// dropIncompleteGangs drops the remaining reservations of a gang if some of its reservations
// were dropped: the gang can't start on a part of its resources, and a later cycle reserves
// resources for all of its tasks again.
func (r *Reservations) dropIncompleteGangs(reserved map[wire.JobID]int) {
	incomplete := func(id wire.JobID) bool {
		job := r.gang(id)
		return job != nil && reserved[id] > 0 && reserved[id] < job.Spec.Tasks
	}
	r.dropWhere(func(_ *cluster.Machine, reservation cluster.Reservation) bool {
		return incomplete(reservation.Job)
	})
	for id := range reserved {
		if incomplete(id) {
			delete(reserved, id)
		}
	}
}

// dropWhere drops the reservations for which a condition holds.
func (r *Reservations) dropWhere(drop func(*cluster.Machine, cluster.Reservation) bool) {
	for machine := range r.ReservedMachines {
		machine.Reservations = slices.DeleteFunc(machine.Reservations, func(reservation cluster.Reservation) bool {
			return drop(machine, reservation)
		})
		if len(machine.Reservations) == 0 {
			delete(r.ReservedMachines, machine)
		}
	}
}

// extendGangReservations extends all reservations of a gang to the latest expiry among them.
// The gang needs all of the resources at once, and those that are free first would otherwise
// go to other jobs.
func (r *Reservations) extendGangReservations() {
	latest := map[wire.JobID]time.Time{}
	r.forEachGangReservation(func(reservation *cluster.Reservation) {
		latest[reservation.Job] = cluster.LaterOf(latest[reservation.Job], reservation.ExpiresAt)
	})
	r.forEachGangReservation(func(reservation *cluster.Reservation) {
		reservation.ExpiresAt = latest[reservation.Job]
	})
}

func (r *Reservations) forEachGangReservation(visit func(*cluster.Reservation)) {
	for machine := range r.ReservedMachines {
		for i := range machine.Reservations {
			if reservation := &machine.Reservations[i]; r.gang(reservation.Job) != nil {
				visit(reservation)
			}
		}
	}
}

// ExtendReservations extends the reservations on the machine of a preempted task until the task
// should have ended. The task may take its grace period to save its checkpoint.
func (r *Reservations) ExtendReservations(preempted *cluster.Attempt, now time.Time) {
	endsBy := now.Add(r.stopDuration(preempted.GracePeriod))
	for i := range preempted.Machine.Reservations {
		reservation := &preempted.Machine.Reservations[i]
		reservation.ExpiresAt = cluster.LaterOf(reservation.ExpiresAt, endsBy)
	}
}

// stopMargin is added to a task's grace period and the delay of the next heartbeat, for the
// stopped task to end and its resources to become free.
const stopMargin = 2 * time.Second

// stopDuration returns the longest time that a stopped task should take to end. It covers the
// case that only the response to the machine's next heartbeat delivers the stop command, and
// that this heartbeat is late by up to a quarter of the interval.
func (r *Reservations) stopDuration(gracePeriod wire.Seconds) time.Duration {
	return gracePeriod.Duration() + r.state.HeartbeatInterval()*5/4 + stopMargin
}

// gang returns the job with an ID; nil if the job is unknown or not a gang.
func (r *Reservations) gang(id wire.JobID) *cluster.Job {
	if job := r.state.Jobs[id]; job != nil && job.Spec.IsGang() {
		return job
	}
	return nil
}
