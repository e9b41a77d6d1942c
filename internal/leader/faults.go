package leader

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// runStats keeps the last run times of a job's tasks.
type runStats struct {
	seconds []float64
	mid     float64
}

func (r *runStats) add(v float64) {
	r.seconds = append(r.seconds, v)
	if len(r.seconds) > 15 {
		r.seconds = r.seconds[1:]
	}
	c := slices.Clone(r.seconds)
	slices.Sort(c)
	r.mid = c[len(c)/2]
}

func (r *runStats) median() float64 { return r.mid }

// slowStats counts completions of a machine against its peers'.
type runTimeCounts struct{ slow, normal int }

const slowFactor = 1.6

// onCompletion compares a completed run with the job's others.
func (t *term) onCompletion(a *attempt, now time.Time) {
	took := now.Sub(a.runningSince).Seconds()
	j := a.job
	if len(j.runs.seconds) >= 3 {
		if took > slowFactor*j.runs.median()+2 {
			a.machine.runTimes.slow++
		} else {
			a.machine.runTimes.normal++
		}
		if a.machine.runTimes.slow >= 3 && a.machine.runTimes.slow > 3*a.machine.runTimes.normal && t.mayCondemn() {
			t.drainMachine(a.machine, drainSlow)
		}
	}
	j.runs.add(took)
}

// onFailure tells a faulty machine from a faulty job. A job that fails wherever
// it runs is retried ever more rarely; a machine on which several jobs fail,
// or one that others' machines run well, is drained and returned.
func (t *term) onFailure(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	if j.failedOn == nil {
		j.failedOn = map[wire.MachineID]bool{}
	}
	j.failedOn[m.id] = true
	j.failures++
	m.failedJobs[j.spec.ID] = true
	m.failures++
	t.log().Info("task failed", "task", a.task(), "attempt", a.number, "machine", m.id, "job_machines", len(j.failedOn), "machine_jobs", len(m.failedJobs))
	faultyMachine := len(m.failedJobs) >= 2 || j.succeeded && m.failures >= 2 || m.failures >= 2 && len(j.failedOn) == 1 && j.failures >= 3
	if faultyMachine && t.mayCondemn() {
		t.drainMachine(m, drainFaulty)
	}
	if len(j.failedOn) >= 2 {
		n := min(j.failures, 6)
		j.notBefore = now.Add(time.Duration(1<<n) * time.Second)
		if len(j.failedOn) >= 3 {
			// The job is to blame: what it did to the machines is forgiven.
			for _, other := range t.machines {
				if other.failedJobs[j.spec.ID] {
					delete(other.failedJobs, j.spec.ID)
					other.failures = 0
				}
			}
		}
	} else {
		j.notBefore = now.Add(500 * time.Millisecond)
	}
}

// mayCondemn bounds what suspicion may take out of service at a time: a fault
// that shows on many machines is not the machines'.
func (t *term) mayCondemn() bool {
	n, all := 0, 0
	for _, m := range t.machines {
		if m.booting {
			continue
		}
		all++
		if m.drainReason == drainFaulty || m.drainReason == drainSlow {
			n++
		}
	}
	return n < max(1, all/4)
}

// drainMachine takes a machine out of service; it is returned when empty.
func (t *term) drainMachine(m *machine, why drainReason) {
	if m.drainReason != "" || m.releasing {
		return
	}
	m.drainReason = why
	t.log().Info("drains", "machine", m.id, "why", why, "tasks", len(m.tasks))
	t.l.Metrics.Fleet("drained", 1)
	for _, a := range m.tasks {
		switch {
		case a.planned:
		case !a.sent && !a.inherited:
			t.drop(a, taskPending) // never sent by anyone
		case why == drainFaulty, why == drainSlow && a.job.spec.Service():
			t.halt(a, t.gracePeriodOf(a.job), moveCause(why))
		}
	}
	t.requestRound()
}
