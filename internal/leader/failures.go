package leader

import (
	"time"

	"lilaclead/internal/wire"
)

const slowFactor = 1.6

// recordRunTime compares a completed run with the job's others.
func (rc *reconciler) recordRunTime(a *attempt, now time.Time) {
	took := now.Sub(a.runningSince).Seconds()
	j := a.job
	if len(j.runTimes.samples) >= 3 {
		if took > slowFactor*j.runTimes.median()+2 {
			a.machine.slowRuns.slow++
		} else {
			a.machine.slowRuns.normal++
		}
		if a.machine.slowRuns.slow >= 3 && a.machine.slowRuns.slow > 3*a.machine.slowRuns.normal && rc.mayDrainSuspect() {
			rc.drainMachine(a.machine, DrainSlow)
		}
	}
	j.runTimes.add(took)
}

// onTaskFailure tells a faulty machine from a faulty job. A job that fails wherever
// it runs is retried ever more rarely; a machine on which several jobs fail,
// or one that others' machines run well, is drained and returned.
func (rc *reconciler) onTaskFailure(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	if j.failedMachines == nil {
		j.failedMachines = map[wire.MachineID]bool{}
	}
	j.failedMachines[m.id] = true
	j.failures++
	m.failedJobs[j.spec.ID] = true
	m.failures++
	rc.log().Info("task failed", "task", a.task(), "attempt", a.number, "machine", m.id, "job_machines", len(j.failedMachines), "machine_jobs", len(m.failedJobs))
	faultyMachine := len(m.failedJobs) >= 2 || j.succeeded && m.failures >= 2 || m.failures >= 2 && len(j.failedMachines) == 1 && j.failures >= 3
	if faultyMachine && rc.mayDrainSuspect() {
		rc.drainMachine(m, DrainFaulty)
	}
	if len(j.failedMachines) >= 2 {
		n := min(j.failures, 6)
		j.startNotBefore = now.Add(time.Duration(1<<n) * time.Second)
		if len(j.failedMachines) >= 3 {
			// The job is to blame: what it did to the machines is forgiven.
			for _, other := range rc.state.machines {
				if other.failedJobs[j.spec.ID] {
					delete(other.failedJobs, j.spec.ID)
					other.failures = 0
				}
			}
		}
	} else {
		j.startNotBefore = now.Add(500 * time.Millisecond)
	}
}

// mayDrainSuspect bounds what suspicion may take out of service at a time: a fault
// that shows on many machines is not the machines'.
func (rc *reconciler) mayDrainSuspect() bool {
	n, all := 0, 0
	for _, m := range rc.state.machines {
		if m.booting {
			continue
		}
		all++
		if m.drainReason == DrainFaulty || m.drainReason == DrainSlow {
			n++
		}
	}
	return n < max(1, all/4)
}

// drainMachine takes a machine out of service; it is returned when empty.
func (rc *reconciler) drainMachine(m *machine, why DrainReason) {
	if m.drainReason != "" || m.scalingIn {
		return
	}
	m.drainReason = why
	rc.log().Info("drains", "machine", m.id, "why", why, "tasks", len(m.tasks))
	rc.leader.Metrics.Fleet("drained", 1)
	for _, a := range m.tasks {
		switch {
		case a.unstored:
		case !a.launchSent && !a.inherited:
			rc.state.endAttempt(a, TaskPending) // never sent by anyone
		case why == DrainFaulty, why == DrainSlow && a.job.spec.Service():
			rc.dispatcher.stop(a, rc.state.gracePeriodOf(a.job), EvictionReason(why))
		}
	}
	rc.state.requestCycle()
}
