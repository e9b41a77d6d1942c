package valuation

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Valuer weighs the jobs of a cluster.
type Valuer struct {
	state *cluster.State
}

// NewValuer returns the valuer of a cluster's jobs.
func NewValuer(state *cluster.State) *Valuer { return &Valuer{state: state} }

// Guaranteed returns for each unfinished job of a known team whether the job fits into the
// team's guaranteed quota together with the team's unfinished jobs that were accepted earlier.
func (v *Valuer) Guaranteed() map[wire.JobID]bool {
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
		guaranteed[job.Spec.ID] = sum.CPUs <= team.GuaranteedCPUs+wire.AmountTolerance && sum.GPUs <= team.GuaranteedGPUs+wire.AmountTolerance
	}
	return guaranteed
}

// unfinishedJobs returns the jobs that are neither cancelled nor finished, in the order in
// which they were accepted.
func (v *Valuer) unfinishedJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(v.state.Jobs))
	for _, job := range v.state.Jobs {
		if !job.Cancelled && !job.Finished {
			jobs = append(jobs, job)
		}
	}
	SortByAcceptance(jobs)
	return jobs
}

// priorityWeights are the weights of one task by the rank of its job's priority.
var priorityWeights = [4]float64{1, 2, 8, 256}

const (
	// StarvingWeight is the weight of a job whose start is overdue. It is above the weights of
	// most arrays and gangs, and below those of production services.
	StarvingWeight = 100
	// guaranteedFactor raises the weight of a job within its team's guaranteed quota.
	guaranteedFactor = 3
	// A job's weight is multiplied by workScale / (work + workOffset), where work is the
	// number of CPU seconds that its unfinished tasks need.
	workScale  = 1000
	workOffset = 50
	// lateFactor lowers the weight of a job that will be late by more than half of its run time
	// even if it starts now.
	lateFactor = 0.1
	// dueFactor raises the weight of a job that will be late unless it starts soon: its slack is
	// less than its run time.
	dueFactor = 2
)

// UtilityWeight returns the weight of one task of a job.
func (v *Valuer) UtilityWeight(job *cluster.Job, guaranteed bool, now time.Time) float64 {
	weight := priorityWeights[job.Spec.Priority.Rank()]
	if guaranteed {
		weight *= guaranteedFactor
	}
	if job.Spec.IsService() {
		return weight
	}
	// A job is of use only when all of it is done: a task of a job with little work left
	// is of more use than one of a job with much.
	runTime := job.ExpectedRunSeconds()
	work := float64(job.Spec.Tasks-job.DoneTasks) * job.Spec.CPUs * max(1, runTime)
	weight *= workScale / (work + workOffset)
	switch slack := v.SlackSeconds(job, now); {
	case slack < -runTime/2:
		weight *= lateFactor
	case slack < runTime:
		weight *= dueFactor
	}
	return weight
}

// SlackSeconds returns for how many seconds the job's pending tasks may still wait without
// making the job late. It is negative for a job that will be late.
func (v *Valuer) SlackSeconds(job *cluster.Job, now time.Time) float64 {
	return demand.SlackSeconds(TimingOf(job, now), v.state.Settings.Objectives)
}

// TimingOf returns a job in the form that the rules of package demand take.
func TimingOf(job *cluster.Job, now time.Time) demand.JobTiming {
	return demand.JobTiming{
		Class:              job.Spec.Class,
		DeadlineSeconds:    float64(job.Spec.Deadline),
		AgeSeconds:         now.Sub(job.AcceptedAt).Seconds(),
		ExpectedRunSeconds: job.ExpectedRunSeconds(),
	}
}
