package leader

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// guaranteed finds the jobs that fit into their team's guarantee together
// with the team's earlier unfinished jobs.
func (sc *scheduler) guaranteed() map[wire.JobID]bool {
	jobs := make([]*job, 0, len(sc.state.jobs))
	for _, j := range sc.state.jobs {
		if !j.cancelled && !j.finished {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	sum := map[wire.TeamID]placement.Resources{}
	out := map[wire.JobID]bool{}
	for _, j := range jobs {
		team, ok := sc.state.settings.Team(j.spec.Team)
		if !ok {
			continue
		}
		u := sum[j.spec.Team].Plus(placement.ResourcesOf(&j.spec).Times(float64(j.spec.Tasks - j.doneTasks)))
		sum[j.spec.Team] = u
		out[j.spec.ID] = u.CPUs <= team.CPUs+wire.Eps && u.GPUs <= team.GPUs+wire.Eps
	}
	return out
}

// maxLinger is how long a job may start nothing because the room that is free is
// kept for the next replicas. (With the cloud sold out it waited for ever.)
const maxLinger = time.Minute

// starvingWeight lies above that of every array and below that of services.
const starvingWeight = 100

// utilityWeight of one unit of a job: priority first, then guarantee and deadline.
func (sc *scheduler) utilityWeight(j *job, guaranteed bool, now time.Time) float64 {
	w := [4]float64{1, 2, 8, 256}[j.spec.Priority.Rank()]
	if guaranteed {
		w *= 3
	}
	if !j.spec.Service() {
		need := j.expectedSeconds()
		// The job is worth something only when all of it is done: a unit of
		// a job with little left brings more.
		work := float64(j.spec.Tasks-j.doneTasks) * j.spec.CPUs * max(1, need)
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

// maxPatienceS is how long an urgent array's task may wait for others to end by
// themselves in place of being stopped.
const maxPatienceS = 5.0

// patienceSeconds of an urgent array: a small part of its slack, and little once it has
// waited. What is always on has none.
func (sc *scheduler) patienceSeconds(j *job, now time.Time) float64 {
	if j.spec.Service() {
		return 0
	}
	if j.spec.Gang() && !placement.MayPreempt(&j.spec) {
		return min(maxGangPatienceS, maxPatienceS+now.Sub(j.acceptedAt).Seconds()/2)
	}
	waited := now.Sub(j.acceptedAt).Seconds()
	patience := min(maxPatienceS, sc.slackSeconds(j, now)/8, maxPatienceS+1-waited)
	// While its start can still be in time it must not be given away: urgent gangs
	// with an aim of 2 s waited for tasks that were expected to end within 3 s, often
	// ended later, and kept the gangs from having anything else stopped meanwhile.
	if left := sc.startObjectiveSeconds(j.spec.Class) - waited; j.spec.Gang() && left > 0 {
		patience = min(patience, left/2)
	}
	return max(0, patience)
}

// startObjectiveSeconds is within how many seconds the users' aims want jobs of a class
// started; 0: they don't say.
func (sc *scheduler) startObjectiveSeconds(class string) float64 {
	for _, o := range sc.state.settings.Objectives {
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
