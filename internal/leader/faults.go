package leader

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// runStats keeps the last run times of a job's tasks.
type runStats struct {
	s   []float64
	mid float64
}

func (r *runStats) add(v float64) {
	r.s = append(r.s, v)
	if len(r.s) > 15 {
		r.s = r.s[1:]
	}
	c := slices.Clone(r.s)
	slices.Sort(c)
	r.mid = c[len(c)/2]
}

func (r *runStats) median() float64 { return r.mid }

// slowStats counts completions of a machine against its peers'.
type slowStats struct{ slow, fine int }

const slowFactor = 1.6

// timed compares a completed run with the job's others.
func (t *term) timed(a *attempt, now time.Time) {
	took := now.Sub(a.runningSince).Seconds()
	j := a.job
	if len(j.runs.s) >= 3 {
		if took > slowFactor*j.runs.median()+2 {
			a.machine.slow.slow++
		} else {
			a.machine.slow.fine++
		}
		if a.machine.slow.slow >= 3 && a.machine.slow.slow > 3*a.machine.slow.fine && t.sparable() {
			t.drainMachine(a.machine, "slow")
		}
	}
	j.runs.add(took)
}

// failed tells a faulty machine from a faulty job. A job that fails wherever
// it runs is retried ever more rarely; a machine on which several jobs fail,
// or one that others' machines run well, is drained and returned.
func (t *term) failed(a *attempt, now time.Time) {
	j, m := a.job, a.machine
	if j.failedOn == nil {
		j.failedOn = map[wire.MachineID]bool{}
	}
	j.failedOn[m.id] = true
	j.failures++
	m.errs[j.spec.ID] = true
	m.errCount++
	t.log().Info("task failed", "task", a.task(), "try", a.number, "machine", m.id, "job_machines", len(j.failedOn), "machine_jobs", len(m.errs))
	faultyMachine := len(m.errs) >= 2 || j.succeeded && m.errCount >= 2 || m.errCount >= 2 && len(j.failedOn) == 1 && j.failures >= 3
	if faultyMachine && t.sparable() {
		t.drainMachine(m, "faulty")
	}
	if len(j.failedOn) >= 2 {
		n := min(j.failures, 6)
		j.notBefore = now.Add(time.Duration(1<<n) * time.Second)
		if len(j.failedOn) >= 3 {
			// The job is to blame: what it did to the machines is forgiven.
			for _, other := range t.machines {
				if other.errs[j.spec.ID] {
					delete(other.errs, j.spec.ID)
					other.errCount = 0
				}
			}
		}
	} else {
		j.notBefore = now.Add(500 * time.Millisecond)
	}
}

// sparable bounds what suspicion may take out of service at a time: a fault
// that shows on many machines is not the machines'.
func (t *term) sparable() bool {
	n, all := 0, 0
	for _, m := range t.machines {
		if m.booting {
			continue
		}
		all++
		if m.drain == "faulty" || m.drain == "slow" {
			n++
		}
	}
	return n < max(1, all/4)
}

// drainMachine takes a machine out of service; it is returned when empty.
func (t *term) drainMachine(m *machine, why string) {
	if m.drain != "" || m.releasing {
		return
	}
	m.drain = why
	t.log().Info("drains", "machine", m.id, "why", why, "tasks", len(m.tasks))
	t.l.Metrics.Fleet("drained", 1)
	for _, a := range m.tasks {
		switch {
		case a.planned:
		case !a.sent && !a.inherited:
			t.drop(a, taskPending) // never sent by anyone
		case why == "faulty", why == "slow" && a.job.spec.Service():
			t.halt(a, t.windDownOf(a.job), why)
		}
	}
	t.requestRound()
}
