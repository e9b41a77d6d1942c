package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilaclead/internal/fleet"
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

// demands of the jobs that wait, and for the room that is kept for replicas.
func (sc *scheduler) demands(now time.Time, stretch, spareUnits float64) []fleet.Demand {
	jobs := sc.waitingJobs()
	waits := sc.predictWaits(jobs, now)
	zones := sc.state.zones()
	used := sc.usedByTeam()
	var out []fleet.Demand
	for _, j := range jobs {
		units := sc.wantedUnits(j, used, now, stretch)
		if units <= 0 {
			continue
		}
		used[j.spec.Team] = used[j.spec.Team].Plus(placement.ResourcesOf(&j.spec).Times(float64(units)))
		out = sc.appendDemand(out, j, units, waits[j.spec.ID], zones, now, stretch)
	}
	if d, ok := sc.spareDemand(spareUnits, zones); ok {
		out = append(out, d)
	}
	return out
}

// waitingJobs are those with tasks to be placed, in the order they were accepted.
// One that fails wherever it runs gets no room rented.
func (sc *scheduler) waitingJobs() []*job {
	jobs := make([]*job, 0, len(sc.state.jobs))
	for _, j := range sc.state.jobs {
		if !j.cancelled && !j.finished && j.pending() > 0 && j.failures < 3 && !sc.state.quarantined(j.spec.ID) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	return jobs
}

// usedByTeam is the room that each team's tasks hold.
func (sc *scheduler) usedByTeam() map[wire.TeamID]placement.Resources {
	used := map[wire.TeamID]placement.Resources{}
	for _, j := range sc.state.jobs {
		used[j.spec.Team] = used[j.spec.Team].Plus(placement.ResourcesOf(&j.spec).Times(float64(j.activeTasks)))
	}
	return used
}

// wantedUnits is for how many tasks of a job room is wanted now. An array need not
// run all at once: its work may be stretched over a share of what its deadline
// leaves. The team's limit bounds what can run at all.
func (sc *scheduler) wantedUnits(j *job, used map[wire.TeamID]placement.Resources, now time.Time, stretch float64) int {
	team, ok := sc.state.settings.Team(j.spec.Team)
	if !ok {
		return 0
	}
	gang := j.spec.Gang()
	units := j.pending()
	switch {
	case gang && j.activeTasks > 0:
		return 0 // what is left of its last attempt goes first
	case !j.spec.Service() && !gang:
		units = demand.ParallelTasks(units, sc.demandWork(j, now), sc.state.settings.Objectives, stretch)
	}
	left := placement.Resources{CPUs: unlimited, GPUs: unlimited, MemoryGB: unlimited}
	if team.CPUsMax > 0 {
		left.CPUs = team.CPUsMax - used[j.spec.Team].CPUs
	}
	if team.GPUsMax > 0 {
		left.GPUs = team.GPUsMax - used[j.spec.Team].GPUs
	}
	most := placement.ResourcesOf(&j.spec).Units(left)
	if gang && most < units {
		return 0
	}
	return min(units, most)
}

// appendDemand adds the demand of a job for so many of its tasks.
func (sc *scheduler) appendDemand(out []fleet.Demand, j *job, units int, waitS float64, zones []wire.Zone, now time.Time, stretch float64) []fleet.Demand {
	d := fleet.Demand{Spec: &j.spec, Units: units, AllOrNothing: j.spec.Gang(), Rank: float64(j.spec.Priority.Rank()), SlackS: sc.slackSeconds(j, now) * stretch}
	switch {
	case j.spec.Service():
		d.Rank += serviceRank
	case j.spec.Gang() && sc.state.startOverdue(j, now):
		d.Rank += startOverdueRank
		d.PriceStretch = math.Inf(1)
	case sc.state.startOverdue(j, now):
		// Room is had for its first task at any price.
		first := d
		first.Units, first.Rank, first.PriceStretch = 1, d.Rank+startOverdueRank, math.Inf(1)
		out = append(out, first)
		d.Units--
	}
	d.PriceStretch = max(d.PriceStretch, sc.priceStretch(j, waitS, now))
	if j.spec.Spread || j.spec.SameZone {
		d.ZoneLeft = j.zoneCapacityLeft(zones)
	}
	return append(out, d)
}

// spareDemand is for the room that is kept for the next replicas. In one zone alone
// it would not serve a service that is spread.
func (sc *scheduler) spareDemand(spareUnits float64, zones []wire.Zone) (fleet.Demand, bool) {
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

// gangReserves are for the room that is kept for the next gangs. It goes before
// the arrays and behind services and their spare room.
func (sc *scheduler) gangReserves(times float64, now time.Time) []fleet.Demand {
	var out []fleet.Demand
	for _, spec := range sc.expectedGangs(times, now) {
		d := fleet.Demand{Spec: spec, Units: spec.Tasks, Rank: gangReserveRank, AllOrNothing: true}
		if spec.Spread {
			d.ZoneLeft = map[wire.Zone]int{}
			for _, z := range sc.state.zones() {
				d.ZoneLeft[z] = spec.ZoneCap()
			}
		}
		out = append(out, d)
	}
	return out
}

// demandWork is what the rules of package demand need to know of a job.
func (sc *scheduler) demandWork(j *job, now time.Time) demand.Work {
	return demand.Work{Class: j.spec.Class, DeadlineS: float64(j.spec.Deadline), AgeS: now.Sub(j.acceptedAt).Seconds(), ExpectedS: j.expectedSeconds()}
}

// slackSeconds is for how many seconds the job's waiting tasks may still wait.
func (sc *scheduler) slackSeconds(j *job, now time.Time) float64 {
	return demand.SlackS(sc.demandWork(j, now), sc.state.settings.Objectives)
}

// predictWaits predicts how many seconds each waiting array and gang will wait for
// the room there is, and notes the backlog.
func (sc *scheduler) predictWaits(jobs []*job, now time.Time) map[wire.JobID]float64 {
	guaranteed := sc.guaranteed()
	raise := max(1, sc.tuning.Get().WaitRaiseS)
	queue := make([]demand.Queued, 0, len(jobs))
	for _, j := range jobs {
		if j.spec.Service() {
			continue
		}
		queue = append(queue, demand.Queued{
			ID:     j.spec.ID,
			Weight: sc.utilityWeight(j, guaranteed[j.spec.ID], now) * (1 + now.Sub(j.acceptedAt).Seconds()/raise),
			WorkS:  float64(j.pending()) * j.spec.CPUs * max(1, j.expectedSeconds()),
		})
	}
	waits, backlogS := demand.WaitsS(queue, sc.batchProcessors())
	sc.backlogS = backlogS
	return waits
}

// batchProcessors are those that work on arrays and gangs now or soon.
func (sc *scheduler) batchProcessors() float64 {
	processors := 0.0
	for _, m := range sc.state.machines {
		if !m.scalingIn && m.drainReason == "" {
			processors += sc.state.totalResources(m).CPUs
		}
	}
	for _, b := range sc.scaling.PendingScaleOuts() {
		if spec := sc.state.machineSpec(b.Type); spec != nil {
			processors += float64(b.Count) * spec.CPUs
		}
	}
	for _, j := range sc.state.jobs {
		if j.spec.Service() {
			processors -= float64(j.spec.Tasks) * j.spec.CPUs
		}
	}
	return processors
}

// priceStretch tells how far a job may go beyond the limit on the price if it would
// wait so many seconds for room within it.
func (sc *scheduler) priceStretch(j *job, waitS float64, now time.Time) float64 {
	if j.spec.Service() {
		return 1
	}
	return demand.PriceStretch(sc.demandWork(j, now), sc.state.settings.Objectives, waitS, sc.bootSeconds(&j.spec))
}

// bootSeconds is after how many seconds a machine that is rented now can run a task of
// the job at the earliest; infinite if no type fits it.
func (sc *scheduler) bootSeconds(spec *wire.JobSpec) float64 {
	boot := math.Inf(1)
	for _, f := range sc.state.catalog.Get() {
		if f.Fits(spec) && f.FetchGBPerS > 0 {
			boot = min(boot, float64(f.BootTime)+spec.ImageGB/f.FetchGBPerS)
		}
	}
	return boot
}
