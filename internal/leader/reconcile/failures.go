package reconcile

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

const slowFactor = 1.6

// recordRunTime compares a completed run with the job's others.
func (rc *Reconciler) recordRunTime(a *cluster.Attempt, now time.Time) {
	took := now.Sub(a.RunningSince).Seconds()
	j := a.Job
	if len(j.RunTimes.Samples) >= 3 {
		if took > slowFactor*j.RunTimes.Median()+2 {
			a.Machine.SlowRuns.Slow++
		} else {
			a.Machine.SlowRuns.Normal++
		}
		if a.Machine.SlowRuns.Slow >= 3 && a.Machine.SlowRuns.Slow > 3*a.Machine.SlowRuns.Normal && rc.MayDrainSuspect() {
			rc.drainMachine(a.Machine, cluster.DrainSlow)
		}
	}
	j.RunTimes.Add(took)
}

// onTaskFailure tells a faulty machine from a faulty job. A job that fails wherever
// it runs is retried ever more rarely; a machine on which several jobs fail,
// or one that others' machines run well, is drained and returned.
func (rc *Reconciler) onTaskFailure(a *cluster.Attempt, now time.Time) {
	j, m := a.Job, a.Machine
	if j.FailedMachines == nil {
		j.FailedMachines = map[wire.MachineID]bool{}
	}
	j.FailedMachines[m.ID] = true
	j.Failures++
	m.FailedJobs[j.Spec.ID] = true
	m.Failures++
	rc.Log.Info("task failed", "task", a.Task(), "attempt", a.Number, "machine", m.ID, "job_machines", len(j.FailedMachines), "machine_jobs", len(m.FailedJobs))
	faultyMachine := len(m.FailedJobs) >= 2 || j.Succeeded && m.Failures >= 2 || m.Failures >= 2 && len(j.FailedMachines) == 1 && j.Failures >= 3
	if faultyMachine && rc.MayDrainSuspect() {
		rc.drainMachine(m, cluster.DrainFaulty)
	}
	if len(j.FailedMachines) >= 2 {
		n := min(j.Failures, 6)
		j.StartNotBefore = now.Add(time.Duration(1<<n) * time.Second)
		if len(j.FailedMachines) >= 3 {
			// The job is to blame: what it did to the machines is forgiven.
			for _, other := range rc.state.Machines {
				if other.FailedJobs[j.Spec.ID] {
					delete(other.FailedJobs, j.Spec.ID)
					other.Failures = 0
				}
			}
		}
	} else {
		j.StartNotBefore = now.Add(500 * time.Millisecond)
	}
}

// MayDrainSuspect bounds what suspicion may take out of service at a time: a fault
// that shows on many machines is not the machines'.
func (rc *Reconciler) MayDrainSuspect() bool {
	n, all := 0, 0
	for _, m := range rc.state.Machines {
		if m.Booting {
			continue
		}
		all++
		if m.DrainReason == cluster.DrainFaulty || m.DrainReason == cluster.DrainSlow {
			n++
		}
	}
	return n < max(1, all/4)
}

// drainMachine takes a machine out of service; it is returned when empty.
func (rc *Reconciler) drainMachine(m *cluster.Machine, why cluster.DrainReason) {
	if m.DrainReason != "" || m.ScalingIn {
		return
	}
	m.DrainReason = why
	rc.Log.Info("drains", "machine", m.ID, "why", why, "tasks", len(m.Tasks))
	rc.Metrics.Fleet("drained", 1)
	for _, a := range m.Tasks {
		switch {
		case a.Unstored:
		case !a.LaunchSent && !a.Inherited:
			rc.state.EndAttempt(a, cluster.TaskPending) // never sent by anyone
		case why == cluster.DrainFaulty, why == cluster.DrainSlow && a.Job.Spec.Service():
			rc.dispatcher.Stop(a, rc.state.GracePeriodOf(a.Job), cluster.EvictionReason(why))
		}
	}
	rc.state.RequestCycle()
}
