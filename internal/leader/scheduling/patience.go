package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
)

const (
	// MaxPreemptionDelaySeconds is the longest time, in seconds, that a task of an urgent
	// array waits for other tasks to end by themselves before they are preempted.
	MaxPreemptionDelaySeconds = 5.0
	// preemptionDelayEndSeconds is the age, in seconds since its acceptance, from which such a
	// job preempts at once.
	preemptionDelayEndSeconds = MaxPreemptionDelaySeconds + 1
	// maxGangPreemptionDelaySeconds is the longest time, in seconds, for which resources are
	// reserved for a gang that may not preempt, until all of them are free. Without
	// reservations the gang starves, because job arrays take the resources of each task as
	// they become free.
	maxGangPreemptionDelaySeconds = 45.0
	// preemptionDelaySlackDivisor bounds the preemption delay: it is at most the slack divided
	// by this.
	preemptionDelaySlackDivisor = 8
)

// PreemptionDelay decides how long jobs wait before other tasks are preempted for them.
type PreemptionDelay struct {
	state  *cluster.State
	valuer *valuation.Valuer
}

// PreemptionDelaySeconds returns for how many seconds a job waits for tasks to end by
// themselves before they are preempted. An urgent job waits at most for a small part of its
// slack, and less the longer it has waited already. A gang that may not preempt waits longer
// the longer it has waited already. A service does not wait.
func (p *PreemptionDelay) PreemptionDelaySeconds(job *cluster.Job, now time.Time) float64 {
	if job.Spec.IsService() {
		return 0
	}
	waited := now.Sub(job.AcceptedAt).Seconds()
	if job.Spec.IsGang() && !placement.MayPreempt(&job.Spec) {
		return min(maxGangPreemptionDelaySeconds, MaxPreemptionDelaySeconds+waited/2)
	}
	delay := min(MaxPreemptionDelaySeconds, p.valuer.SlackSeconds(job, now)/preemptionDelaySlackDivisor, preemptionDelayEndSeconds-waited)
	// The delay must not make a gang miss an objective that it can still meet. Without this
	// bound, urgent gangs with an objective of 2 s wait for tasks that are expected to end
	// within 3 s and often end later, and meanwhile nothing else is preempted for them.
	if untilObjective := p.startObjectiveSeconds(job.Spec.Class) - waited; job.Spec.IsGang() && untilObjective > 0 {
		delay = min(delay, untilObjective/2)
	}
	return max(0, delay)
}

// startObjectiveKind is the kind of the service-level objectives for the time until a job starts.
const startObjectiveKind = "wait"

// startObjectiveSeconds returns the number of seconds within which jobs of a class should
// start by their service-level objective; 0 if there is no such objective.
func (p *PreemptionDelay) startObjectiveSeconds(class string) float64 {
	for _, objective := range p.state.Settings.Objectives {
		if objective.Kind == startObjectiveKind && objective.Class == class {
			return float64(objective.Within)
		}
	}
	return 0
}
