package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Ranks order the demands of a plan: what is higher is packed first. A job's
// priority ranks it among its like.
const (
	serviceRank      = 10  // added: services go before all else
	spareRank        = 9   // the room that is kept for the next replicas
	gangReserveRank  = 8.5 // the room that is kept for the next gangs
	startOverdueRank = 5   // added: what has waited too long for its first start
)

// unlimited is the room that a team without a limit may take.
const unlimited = 1e9

// Demands of the jobs that wait, and for the room that is kept for replicas.
func (sc *Scheduler) Demands(now time.Time, stretch, spareUnits float64) []fleet.Demand {
	jobs := sc.waitingJobs()
	waits := sc.predictWaits(jobs, now)
	zones := sc.state.Zones()
	used := sc.usedByTeam()
	var out []fleet.Demand
	for _, j := range jobs {
		units := sc.wantedUnits(j, used, now, stretch)
		if units <= 0 {
			continue
		}
		used[j.Spec.Team] = used[j.Spec.Team].Plus(placement.ResourcesOf(&j.Spec).Times(float64(units)))
		out = sc.appendDemand(out, j, units, waits[j.Spec.ID], zones, now, stretch)
	}
	if d, ok := sc.spareDemand(spareUnits, zones); ok {
		out = append(out, d)
	}
	return out
}

// waitingJobs are those with tasks to be placed, in the order they were accepted.
// One that fails wherever it runs gets no room rented.
func (sc *Scheduler) waitingJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(sc.state.Jobs))
	for _, j := range sc.state.Jobs {
		if !j.Cancelled && !j.Finished && j.Pending() > 0 && j.Failures < 3 && !sc.state.Quarantined(j.Spec.ID) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *cluster.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	return jobs
}

// usedByTeam is the room that each team's tasks hold.
func (sc *Scheduler) usedByTeam() map[wire.TeamID]placement.Resources {
	used := map[wire.TeamID]placement.Resources{}
	for _, j := range sc.state.Jobs {
		used[j.Spec.Team] = used[j.Spec.Team].Plus(placement.ResourcesOf(&j.Spec).Times(float64(j.ActiveTasks)))
	}
	return used
}

// wantedUnits is for how many tasks of a job room is wanted now. An array need not
// run all at once: its work may be stretched over a share of what its deadline
// leaves. The team's limit bounds what can run at all.
func (sc *Scheduler) wantedUnits(j *cluster.Job, used map[wire.TeamID]placement.Resources, now time.Time, stretch float64) int {
	team, ok := sc.state.Settings.Team(j.Spec.Team)
	if !ok {
		return 0
	}
	gang := j.Spec.Gang()
	units := j.Pending()
	switch {
	case gang && j.ActiveTasks > 0:
		return 0 // what is left of its last attempt goes first
	case !j.Spec.Service() && !gang:
		units = demand.ParallelTasks(units, sc.demandWork(j, now), sc.state.Settings.Objectives, stretch)
	}
	left := placement.Resources{CPUs: unlimited, GPUs: unlimited, MemoryGB: unlimited}
	if team.CPUsMax > 0 {
		left.CPUs = team.CPUsMax - used[j.Spec.Team].CPUs
	}
	if team.GPUsMax > 0 {
		left.GPUs = team.GPUsMax - used[j.Spec.Team].GPUs
	}
	most := placement.ResourcesOf(&j.Spec).Units(left)
	if gang && most < units {
		return 0
	}
	return min(units, most)
}

// appendDemand adds the demand of a job for so many of its tasks.
func (sc *Scheduler) appendDemand(out []fleet.Demand, j *cluster.Job, units int, waitS float64, zones []wire.Zone, now time.Time, stretch float64) []fleet.Demand {
	d := fleet.Demand{Spec: &j.Spec, Units: units, AllOrNothing: j.Spec.Gang(), Rank: float64(j.Spec.Priority.Rank()), SlackS: sc.slackSeconds(j, now) * stretch}
	switch {
	case j.Spec.Service():
		d.Rank += serviceRank
	case j.Spec.Gang() && sc.state.StartOverdue(j, now):
		d.Rank += startOverdueRank
		d.PriceStretch = math.Inf(1)
	case sc.state.StartOverdue(j, now):
		// Room is had for its first task at any price.
		first := d
		first.Units, first.Rank, first.PriceStretch = 1, d.Rank+startOverdueRank, math.Inf(1)
		out = append(out, first)
		d.Units--
	}
	d.PriceStretch = max(d.PriceStretch, sc.PriceStretch(j, waitS, now))
	if j.Spec.Spread || j.Spec.SameZone {
		d.ZoneLeft = j.ZoneCapacityLeft(zones)
	}
	return append(out, d)
}

// spareDemand is for the room that is kept for the next replicas. In one zone alone
// it would not serve a service that is spread.
func (sc *Scheduler) spareDemand(spareUnits float64, zones []wire.Zone) (fleet.Demand, bool) {
	n, r := sc.spareRoom(spareUnits)
	if n <= 0 {
		return fleet.Demand{}, false
	}
	spec := &wire.JobSpec{Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: n, CPUs: r.CPUs, MemoryGB: r.MemoryGB}
	left := map[wire.Zone]int{}
	for _, z := range zones {
		left[z] = (n + 1) / 2
	}
	return fleet.Demand{Spec: spec, Units: n, Rank: spareRank, ZoneLeft: left}, true
}

// GangReserves are for the room that is kept for the next gangs. It goes before
// the arrays and behind services and their spare room.
func (sc *Scheduler) GangReserves(times float64, now time.Time) []fleet.Demand {
	var out []fleet.Demand
	for _, spec := range sc.ExpectedGangs(times, now) {
		d := fleet.Demand{Spec: spec, Units: spec.Tasks, Rank: gangReserveRank, AllOrNothing: true}
		if spec.Spread {
			d.ZoneLeft = map[wire.Zone]int{}
			for _, z := range sc.state.Zones() {
				d.ZoneLeft[z] = spec.ZoneCap()
			}
		}
		out = append(out, d)
	}
	return out
}

// demandWork is what the rules of package demand need to know of a job.
func (sc *Scheduler) demandWork(j *cluster.Job, now time.Time) demand.Work {
	return demand.Work{Class: j.Spec.Class, DeadlineS: float64(j.Spec.Deadline), AgeS: now.Sub(j.AcceptedAt).Seconds(), ExpectedS: j.ExpectedSeconds()}
}

// slackSeconds is for how many seconds the job's waiting tasks may still wait.
func (sc *Scheduler) slackSeconds(j *cluster.Job, now time.Time) float64 {
	return demand.SlackS(sc.demandWork(j, now), sc.state.Settings.Objectives)
}

// predictWaits predicts how many seconds each waiting array and gang will wait for
// the room there is, and notes the backlog.
func (sc *Scheduler) predictWaits(jobs []*cluster.Job, now time.Time) map[wire.JobID]float64 {
	guaranteed := sc.guaranteed()
	raise := max(1, sc.tuning.Get().WaitRaiseS)
	queue := make([]demand.Queued, 0, len(jobs))
	for _, j := range jobs {
		if j.Spec.Service() {
			continue
		}
		queue = append(queue, demand.Queued{
			ID:     j.Spec.ID,
			Weight: sc.utilityWeight(j, guaranteed[j.Spec.ID], now) * (1 + now.Sub(j.AcceptedAt).Seconds()/raise),
			WorkS:  float64(j.Pending()) * j.Spec.CPUs * max(1, j.ExpectedSeconds()),
		})
	}
	waits, backlogS := demand.WaitsS(queue, sc.batchProcessors())
	sc.BacklogS = backlogS
	return waits
}

// batchProcessors are those that work on arrays and gangs now or soon.
func (sc *Scheduler) batchProcessors() float64 {
	processors := 0.0
	for _, m := range sc.state.Machines {
		if !m.ScalingIn && m.DrainReason == "" {
			processors += sc.state.TotalResources(m).CPUs
		}
	}
	for _, b := range sc.scaling.PendingScaleOuts() {
		if spec := sc.state.MachineSpec(b.Type); spec != nil {
			processors += float64(b.Count) * spec.CPUs
		}
	}
	for _, j := range sc.state.Jobs {
		if j.Spec.Service() {
			processors -= float64(j.Spec.Tasks) * j.Spec.CPUs
		}
	}
	return processors
}

// PriceStretch tells how far a job may go beyond the limit on the price if it would
// wait so many seconds for room within it.
func (sc *Scheduler) PriceStretch(j *cluster.Job, waitS float64, now time.Time) float64 {
	if j.Spec.Service() {
		return 1
	}
	return demand.PriceStretch(sc.demandWork(j, now), sc.state.Settings.Objectives, waitS, sc.bootSeconds(&j.Spec))
}

// bootSeconds is after how many seconds a machine that is rented now can run a task of
// the job at the earliest; infinite if no type fits it.
func (sc *Scheduler) bootSeconds(spec *wire.JobSpec) float64 {
	boot := math.Inf(1)
	for _, f := range sc.state.Catalog.Get() {
		if f.Fits(spec) && f.FetchGBPerS > 0 {
			boot = min(boot, float64(f.BootTime)+spec.ImageGB/f.FetchGBPerS)
		}
	}
	return boot
}
