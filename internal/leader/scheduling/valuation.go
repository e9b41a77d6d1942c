package scheduling

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// guaranteed finds the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (sc *Scheduler) guaranteed() map[wire.JobID]bool {
	jobs := make([]*cluster.Job, 0, len(sc.state.Jobs))
	for _, j := range sc.state.Jobs {
		if !j.Cancelled && !j.Finished {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *cluster.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	sum := map[wire.TeamID]placement.Resources{}
	out := map[wire.JobID]bool{}
	for _, j := range jobs {
		team, ok := sc.state.Settings.Team(j.Spec.Team)
		if !ok {
			continue
		}
		u := sum[j.Spec.Team].Plus(placement.ResourcesOf(&j.Spec).Times(float64(j.Spec.Tasks - j.DoneTasks)))
		sum[j.Spec.Team] = u
		out[j.Spec.ID] = u.CPUs <= team.CPUs+wire.Eps && u.GPUs <= team.GPUs+wire.Eps
	}
	return out
}

// maxLinger is how long a job may start nothing because the room that is free is
// kept for the next replicas. (With the cloud sold out it waited for ever.)
const maxLinger = time.Minute

// starvingWeight lies above that of every array and below that of services.
const starvingWeight = 100

// utilityWeight of one unit of a job: priority first, then guarantee and deadline.
func (sc *Scheduler) utilityWeight(j *cluster.Job, guaranteed bool, now time.Time) float64 {
	w := [4]float64{1, 2, 8, 256}[j.Spec.Priority.Rank()]
	if guaranteed {
		w *= 3
	}
	if !j.Spec.Service() {
		need := j.ExpectedSeconds()
		// The job is worth something only when all of it is done: a unit of
		// a job with little left brings more.
		work := float64(j.Spec.Tasks-j.DoneTasks) * j.Spec.CPUs * max(1, need)
		w *= 1000 / (work + 50)
		switch slack := sc.slackSeconds(j, now); {
		case slack < -need/2:
			w *= 0.1 // late whatever we do
		case slack < need:
			w *= 2
		}
	}
	return w
}

// MaxPatienceS is how long an urgent array's task may wait for others to end by
// themselves in place of being stopped.
const MaxPatienceS = 5.0

// PatienceSeconds of an urgent array: a small part of its slack, and little once it has
// waited. What is always on has none.
func (sc *Scheduler) PatienceSeconds(j *cluster.Job, now time.Time) float64 {
	if j.Spec.Service() {
		return 0
	}
	if j.Spec.Gang() && !placement.MayPreempt(&j.Spec) {
		return min(maxGangPatienceS, MaxPatienceS+now.Sub(j.AcceptedAt).Seconds()/2)
	}
	waited := now.Sub(j.AcceptedAt).Seconds()
	patience := min(MaxPatienceS, sc.slackSeconds(j, now)/8, MaxPatienceS+1-waited)
	// While its start can still be in time it must not be given away: urgent gangs
	// with an aim of 2 s waited for tasks that were expected to end within 3 s, often
	// ended later, and kept the gangs from having anything else stopped meanwhile.
	if left := sc.startObjectiveSeconds(j.Spec.Class) - waited; j.Spec.Gang() && left > 0 {
		patience = min(patience, left/2)
	}
	return max(0, patience)
}

// startObjectiveSeconds is within how many seconds the users' aims want jobs of a class
// started; 0: they don't say.
func (sc *Scheduler) startObjectiveSeconds(class string) float64 {
	for _, o := range sc.state.Settings.Objectives {
		if o.Kind == "wait" && o.Class == class {
			return float64(o.Within)
		}
	}
	return 0
}

// maxGangPatienceS is how long room may be kept for a gang until all of it is free. A
// gang that does not preempt would otherwise wait for ever beside arrays that take
// each task's room as it becomes free.
const maxGangPatienceS = 45.0
