package capacity

import (
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// unlimited stands for the resources that a team without a limit may use.
const unlimited = 1e9

// demandEstimate collects the demands of one estimate.
type demandEstimate struct {
	*Estimator
	now          time.Time
	stretchShare float64 // the share of its remaining time over which a job array may be stretched
	waits        map[wire.JobID]float64
	zones        []wire.Zone
	used         map[wire.TeamID]placement.Resources // with the demands so far
	demands      []fleet.Demand
}

// addJob adds the demand of a waiting job.
func (e *demandEstimate) addJob(job *cluster.Job) {
	units := e.wantedUnits(job)
	if units <= 0 {
		return
	}
	e.used[job.Spec.Team] = e.used[job.Spec.Team].Plus(placement.ResourcesOf(&job.Spec).Times(float64(units)))
	d := e.jobDemand(job, units)
	switch {
	case job.Spec.IsService():
		d.Rank += serviceRank
	case !e.state.StartOverdue(job, e.now):
	case job.Spec.IsGang():
		d.Rank += startOverdueRank
		d.PriceLimitFactor = anyPrice
	default:
		// Only the first task of a job array is due at any price.
		e.demands = append(e.demands, firstTaskDemand(d))
		d.Units--
	}
	d.PriceLimitFactor = max(d.PriceLimitFactor, e.PriceStretch(job, e.waits[job.Spec.ID], e.now))
	if job.Spec.Spread || job.Spec.SameZone {
		d.ZoneCapacityLeft = job.ZoneCapacityLeft(e.zones)
	}
	e.demands = append(e.demands, d)
}

// jobDemand returns the demand for a number of a job's tasks, ranked by its priority alone.
func (e *demandEstimate) jobDemand(job *cluster.Job, units int) fleet.Demand {
	return fleet.Demand{
		Spec:         &job.Spec,
		Units:        units,
		AllOrNothing: job.Spec.IsGang(),
		Rank:         float64(job.Spec.Priority.Rank()),
		SlackSeconds: e.valuer.SlackSeconds(job, e.now) * e.stretchShare,
	}
}

// firstTaskDemand returns the part of a demand that is for the first task of an overdue job.
func firstTaskDemand(d fleet.Demand) fleet.Demand {
	d.Units = 1
	d.Rank += startOverdueRank
	d.PriceLimitFactor = anyPrice
	return d
}

// wantedUnits returns for how many tasks of a job resources are wanted now. Not all tasks
// of a job array need to run at once: its work may be stretched over a share of the time
// that its deadline leaves. The team's limit bounds what can run at all.
func (e *demandEstimate) wantedUnits(job *cluster.Job) int {
	team, ok := e.state.Settings.Team(job.Spec.Team)
	if !ok {
		return 0
	}
	gang := job.Spec.IsGang()
	if gang && job.ActiveTasks > 0 {
		return 0 // the rest of its last attempt ends first
	}
	units := job.PendingTasks()
	if !job.Spec.IsService() && !gang {
		units = demand.ParallelTasks(units, valuation.WorkOf(job, e.now), e.state.Settings.Objectives, e.stretchShare)
	}
	allowed := placement.ResourcesOf(&job.Spec).UnitsIn(limitLeft(team.MaxCPUs, team.MaxGPUs, e.used[job.Spec.Team]))
	if gang && allowed < units {
		return 0
	}
	return min(units, allowed)
}

// limitLeft returns what a team's limit leaves beside the resources that are used. A limit
// of 0 is none.
func limitLeft(maxCPUs, maxGPUs float64, used placement.Resources) placement.Resources {
	left := placement.Resources{CPUs: unlimited, GPUs: unlimited, MemoryGB: unlimited}
	if maxCPUs > 0 {
		left.CPUs = maxCPUs - used.CPUs
	}
	if maxGPUs > 0 {
		left.GPUs = maxGPUs - used.GPUs
	}
	return left
}

// addSpareReplicas adds the demand for the resources that are kept for the next replicas.
// In a single zone they would be of no use to a service that is spread over zones.
func (e *demandEstimate) addSpareReplicas(minUnits float64) {
	spare := SpareReplicasOf(e.state, minUnits)
	if spare.Count <= 0 {
		return
	}
	zoneLeft := map[wire.Zone]int{}
	for _, zone := range e.zones {
		zoneLeft[zone] = (spare.Count + 1) / 2
	}
	spec := &wire.JobSpec{Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: spare.Count, CPUs: spare.Takes.CPUs, MemoryGB: spare.Takes.MemoryGB}
	e.demands = append(e.demands, fleet.Demand{Spec: spec, Units: spare.Count, Rank: spareRank, ZoneCapacityLeft: zoneLeft})
}
