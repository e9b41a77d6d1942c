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

	state    *cluster.State
	patience *Patience
}

func newReservations(state *cluster.State, patience *Patience) *Reservations {
	return &Reservations{ReservedMachines: map[*cluster.Machine]struct{}{}, state: state, patience: patience}
}

// reserve adds the reservations of a cycle. Those of a gang are kept for as long as it may
// wait for the resources of its other tasks.
func (r *Reservations) reserve(reservations []placement.MachineReservation, now time.Time) {
	for _, reservation := range reservations {
		machine := r.state.Machines[reservation.Machine]
		until := now.Add(r.stopDuration(0))
		if job := r.gang(reservation.Job); job != nil {
			wait := wire.Seconds(r.patience.PatienceSeconds(job, now))
			until = until.Add(wait.Duration())
		}
		machine.Reservations = append(machine.Reservations, cluster.Reservation{Reservation: reservation.Reservation, AwaitedTasks: reservation.AwaitedTasks, ExpiresAt: until})
		r.ReservedMachines[machine] = struct{}{}
	}
}

// PruneReservations drops the reservations that are no longer needed, because they have
// expired or the job's tasks found resources elsewhere. It returns for how many tasks of
// each job resources are reserved.
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

// obsolete reports whether a reservation has expired, or neither its machine nor its job
// can use it any more. The job's reservations that are kept so far are counted in reserved.
func (r *Reservations) obsolete(machine *cluster.Machine, reservation cluster.Reservation, reserved map[wire.JobID]int, now time.Time) bool {
	removed := r.state.Machines[machine.ID] != machine || machine.ScalingIn || machine.DrainReason != ""
	if now.After(reservation.ExpiresAt) || removed {
		return true
	}
	job := r.state.Jobs[reservation.Job]
	return job == nil || job.Cancelled || reserved[reservation.Job] >= job.PendingTasks()
}

// dropIncompleteGangs drops what is left of a gang's reservations if some of them were
// dropped: the rest is of no use, and resources are reserved for all of the gang anew.
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

// extendGangReservations keeps all reservations of a gang until the last of them can be
// free: the gang needs all of them at once, and what is free first would go to others.
func (r *Reservations) extendGangReservations() {
	latest := map[wire.JobID]time.Time{}
	r.eachOfGangs(func(reservation *cluster.Reservation) {
		latest[reservation.Job] = cluster.LaterOf(latest[reservation.Job], reservation.ExpiresAt)
	})
	r.eachOfGangs(func(reservation *cluster.Reservation) {
		reservation.ExpiresAt = latest[reservation.Job]
	})
}

// eachOfGangs visits the reservations of gangs.
func (r *Reservations) eachOfGangs(visit func(*cluster.Reservation)) {
	for machine := range r.ReservedMachines {
		for i := range machine.Reservations {
			if reservation := &machine.Reservations[i]; r.gang(reservation.Job) != nil {
				visit(reservation)
			}
		}
	}
}

// ExtendReservations keeps the reservations on a machine for as long as a task that is
// preempted there may take to save its checkpoint.
func (r *Reservations) ExtendReservations(preempted *cluster.Attempt, now time.Time) {
	until := now.Add(r.stopDuration(preempted.GracePeriod))
	for i := range preempted.Machine.Reservations {
		reservation := &preempted.Machine.Reservations[i]
		reservation.ExpiresAt = cluster.LaterOf(reservation.ExpiresAt, until)
	}
}

// stopMargin is the time for which a stopped task's resources are waited for beyond its
// grace period and the next heartbeat.
const stopMargin = 2 * time.Second

// stopDuration returns how long a task that is stopped takes to end, also if only the reply
// to its machine's next heartbeat carries the command. Heartbeats come up to a quarter of
// the interval late.
func (r *Reservations) stopDuration(gracePeriod wire.Seconds) time.Duration {
	return gracePeriod.Duration() + r.state.HeartbeatInterval()*5/4 + stopMargin
}

// gang returns the job if it is a gang; nil if it is none or unknown.
func (r *Reservations) gang(id wire.JobID) *cluster.Job {
	if job := r.state.Jobs[id]; job != nil && job.Spec.IsGang() {
		return job
	}
	return nil
}
