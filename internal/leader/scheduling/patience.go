package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
)

const (
	// MaxPatienceS is for how many seconds a task of an urgent array may wait for others
	// to end by themselves before they are preempted.
	MaxPatienceS = 5.0
	// patienceEndS is how many seconds after its acceptance such a job preempts at once.
	patienceEndS = MaxPatienceS + 1
	// maxGangPatienceS is for how many seconds resources may be reserved for a gang until
	// all of them are free. A gang that does not preempt would otherwise starve beside job
	// arrays, which take each task's resources as they become free.
	maxGangPatienceS = 45.0
	// patienceSlackDivisor: the patience is at most this part of the slack.
	patienceSlackDivisor = 8
)

// Patience decides for how long jobs wait before others are preempted for them.
type Patience struct {
	state  *cluster.State
	valuer *valuation.Valuer
}

// PatienceSeconds returns for how many seconds a job waits for tasks to end by themselves
// before they are preempted. An urgent job waits for a small part of its slack, and little
// once it has waited; a service does not wait.
func (p *Patience) PatienceSeconds(job *cluster.Job, now time.Time) float64 {
	if job.Spec.IsService() {
		return 0
	}
	waited := now.Sub(job.AcceptedAt).Seconds()
	if job.Spec.IsGang() && !placement.MayPreempt(&job.Spec) {
		return min(maxGangPatienceS, MaxPatienceS+waited/2)
	}
	patience := min(MaxPatienceS, p.valuer.SlackSeconds(job, now)/patienceSlackDivisor, patienceEndS-waited)
	// Patience must not make a gang miss an objective that it can still meet. Urgent gangs
	// with an objective of 2 s waited for tasks that were expected to end within 3 s and
	// often ended later, and meanwhile nothing else was preempted for them.
	if left := p.startObjectiveSeconds(job.Spec.Class) - waited; job.Spec.IsGang() && left > 0 {
		patience = min(patience, left/2)
	}
	return max(0, patience)
}

// startObjective is the kind of the service-level objectives for the time until a job starts.
const startObjective = "wait"

// startObjectiveSeconds returns within how many seconds the service-level objectives want
// jobs of a class started; 0 if there is no such objective.
func (p *Patience) startObjectiveSeconds(class string) float64 {
	for _, objective := range p.state.Settings.Objectives {
		if objective.Kind == startObjective && objective.Class == class {
			return float64(objective.Within)
		}
	}
	return 0
}
