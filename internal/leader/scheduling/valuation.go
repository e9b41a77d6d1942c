package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Valuation weighs the waiting jobs against each other: by priority, quota, deadline and
// service-level objectives.
type Valuation struct {
	state *cluster.State
}

// guaranteed returns the jobs that fit into their team's guaranteed quota together with the
// team's unfinished jobs that were accepted earlier.
func (v *Valuation) guaranteed() map[wire.JobID]bool {
	used := map[wire.TeamID]placement.Resources{}
	guaranteed := map[wire.JobID]bool{}
	for _, job := range v.unfinishedJobs() {
		team, ok := v.state.Settings.Team(job.Spec.Team)
		if !ok {
			continue
		}
		unfinishedTasks := job.Spec.Tasks - job.DoneTasks
		sum := used[job.Spec.Team].Plus(placement.ResourcesOf(&job.Spec).Times(float64(unfinishedTasks)))
		used[job.Spec.Team] = sum
		guaranteed[job.Spec.ID] = sum.CPUs <= team.CPUs+wire.Eps && sum.GPUs <= team.GPUs+wire.Eps
	}
	return guaranteed
}

// unfinishedJobs returns the jobs that are neither cancelled nor finished, in the order in
// which they were accepted.
func (v *Valuation) unfinishedJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(v.state.Jobs))
	for _, job := range v.state.Jobs {
		if !job.Cancelled && !job.Finished {
			jobs = append(jobs, job)
		}
	}
	sortByAcceptance(jobs)
	return jobs
}

// priorityWeights are the weights of one task by the rank of its job's priority.
var priorityWeights = [4]float64{1, 2, 8, 256}

const (
	// starvingWeight is above that of every job array and below that of services.
	starvingWeight = 100
	// guaranteedFactor raises the weight of a job within its team's guaranteed quota.
	guaranteedFactor = 3
	// A job's weight is multiplied by workScale / (work + workOffset), where work are its
	// unfinished CPU seconds.
	workScale  = 1000
	workOffset = 50
	// lateFactor lowers the weight of a job that is late whatever is started.
	lateFactor = 0.1
	// dueFactor raises the weight of a job that is late unless it starts soon.
	dueFactor = 2
)

// utilityWeight returns the weight of one task of a job.
func (v *Valuation) utilityWeight(job *cluster.Job, guaranteed bool, now time.Time) float64 {
	weight := priorityWeights[job.Spec.Priority.Rank()]
	if guaranteed {
		weight *= guaranteedFactor
	}
	if job.Spec.Service() {
		return weight
	}
	// A job is of use only when all of it is done: a task of a job with little work left
	// is of more use than one of a job with much.
	runTime := job.ExpectedSeconds()
	work := float64(job.Spec.Tasks-job.DoneTasks) * job.Spec.CPUs * max(1, runTime)
	weight *= workScale / (work + workOffset)
	switch slack := v.slackSeconds(job, now); {
	case slack < -runTime/2:
		weight *= lateFactor
	case slack < runTime:
		weight *= dueFactor
	}
	return weight
}

// slackSeconds returns for how many seconds the job's pending tasks may still wait.
func (v *Valuation) slackSeconds(job *cluster.Job, now time.Time) float64 {
	return demand.SlackS(demandWork(job, now), v.state.Settings.Objectives)
}

// demandWork returns what the rules of package demand need to know of a job.
func demandWork(job *cluster.Job, now time.Time) demand.Work {
	return demand.Work{
		Class:     job.Spec.Class,
		DeadlineS: float64(job.Spec.Deadline),
		AgeS:      now.Sub(job.AcceptedAt).Seconds(),
		ExpectedS: job.ExpectedSeconds(),
	}
}

// startObjectiveSeconds returns within how many seconds the service-level objectives want
// jobs of a class started; 0 if there is no such objective.
func (v *Valuation) startObjectiveSeconds(class string) float64 {
	for _, objective := range v.state.Settings.Objectives {
		if objective.Kind == "wait" && objective.Class == class {
			return float64(objective.Within)
		}
	}
	return 0
}
