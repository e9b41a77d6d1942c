package reconcile

import (
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
)

// drainer takes machines out of service.
type drainer struct {
	*core.Loop
	state      *cluster.State
	dispatcher *agents.Dispatcher
}

// suspectDivisor limits the machines that may be drained on suspicion at the same time to a
// quarter of the machines that have booted. One is always allowed.
const suspectDivisor = 4

// drainSuspect drains a machine on the suspicion that it is faulty or slow, if
// MayDrainSuspectMachine permits it.
func (d *drainer) drainSuspect(machine *cluster.Machine, reason cluster.DrainReason) {
	if d.MayDrainSuspectMachine() {
		d.drain(machine, reason)
	}
}

// MayDrainSuspectMachine reports whether one more machine may be drained on the suspicion that
// it is faulty or slow. A fault that shows on many machines is not a fault of the machines.
func (d *drainer) MayDrainSuspectMachine() bool {
	suspects, total := 0, 0
	for _, machine := range d.state.Machines {
		if machine.Booting {
			continue
		}
		total++
		if machine.DrainReason == cluster.DrainFaulty || machine.DrainReason == cluster.DrainSlow {
			suspects++
		}
	}
	return suspects < max(1, total/suspectDivisor)
}

// drain takes a machine out of service. The machine is scaled in once it has no tasks.
func (d *drainer) drain(machine *cluster.Machine, reason cluster.DrainReason) {
	if machine.DrainReason != "" || machine.ScalingIn {
		return
	}
	machine.DrainReason = reason
	d.Log.Info("drain started", "machine", machine.ID, "reason", reason, "tasks", len(machine.Attempts))
	d.Metrics.FleetChange("drained", 1)
	for _, attempt := range machine.Attempts {
		neverSent := !attempt.LaunchSent && !attempt.Inherited
		switch {
		case attempt.Unstored:
		case neverSent:
			d.state.EndAttempt(attempt, cluster.TaskPending)
		case stopsTask(reason, attempt.Job):
			d.dispatcher.Stop(attempt, d.state.GracePeriodOf(attempt.Job), cluster.EvictionReason(reason))
		}
	}
	d.state.RequestCycle()
}

// stopsTask reports whether a drain for the given reason stops the tasks of a job instead of
// letting them end by themselves. The drain of a faulty machine stops all tasks. That of a slow
// machine stops only the replicas of services, which would never end.
func stopsTask(reason cluster.DrainReason, job *cluster.Job) bool {
	return reason == cluster.DrainFaulty || reason == cluster.DrainSlow && job.Spec.IsService()
}
