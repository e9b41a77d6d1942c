package capacity

import (
	"maps"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// unlimited is the amount of each resource that a team without a limit may use.
const unlimited = 1e9

// demandEstimate collects the demands while Estimator.Demands runs.
type demandEstimate struct {
	*Estimator
	now time.Time
	// stretchShare is the share of the time until a job array is due over which its work may be
	// stretched. It is also the share of a job's slack for which its tasks may wait.
	stretchShare float64
	waitSeconds  map[wire.JobID]float64 // expected waits for the present resources
	zones        []wire.Zone
	teamUsage    map[wire.TeamID]placement.Resources // including the demands added so far
	demands      []fleet.Demand
}

// addJob adds the demands for the wanted tasks of a waiting job.
func (e *demandEstimate) addJob(job *cluster.Job) {
	units, hold := e.wantedUnits(job)
	if hold != "" {
		e.Holds[job.Spec.ID] = hold
	}
	if units <= 0 {
		return
	}
	e.teamUsage[job.Spec.Team] = e.teamUsage[job.Spec.Team].Plus(placement.ResourcesOf(&job.Spec).Times(float64(units)))
	jobDemand := e.jobDemand(job, units)
	switch {
	case job.Spec.IsService():
		jobDemand.Rank += serviceRank
	case !e.state.StartOverdue(job, e.now):
	case job.Spec.IsGang():
		jobDemand.Rank += startOverdueRank
		jobDemand.PriceLimitFactor = anyPrice
	default:
		// Only the first task of an overdue job array may cost any price.
		e.demands = append(e.demands, firstTaskDemand(jobDemand))
		jobDemand.Units--
	}
	jobDemand.PriceLimitFactor = max(jobDemand.PriceLimitFactor, e.PriceLimitFactor(job, e.waitSeconds[job.Spec.ID], e.now))
	if job.Spec.Spread || job.Spec.SameZone {
		jobDemand.ZoneCapacityLeft = job.ZoneCapacityLeft(e.zones)
	}
	e.demands = append(e.demands, jobDemand)
}

// jobDemand returns the demand for a number of a job's tasks, ranked by its priority alone.
func (e *demandEstimate) jobDemand(job *cluster.Job, units int) fleet.Demand {
	return fleet.Demand{
		Spec:          &job.Spec,
		Units:         units,
		AllOrNothing:  job.Spec.IsGang(),
		Rank:          float64(job.Spec.Priority.Rank()),
		SlackSeconds:  e.valuer.SlackSeconds(job, e.now) * e.stretchShare,
		AvoidMachines: machinesToAvoid(job),
	}
}

// firstTaskDemand returns the part of a demand that is for the first task of an overdue job.
func firstTaskDemand(d fleet.Demand) fleet.Demand {
	d.Units = 1
	d.Rank += startOverdueRank
	d.PriceLimitFactor = anyPrice
	return d
}

// wantedUnits returns the number of a job's tasks for which resources are wanted now. Not all
// tasks of a job array need to run at once: its work may be stretched over a share of the time
// that its deadline leaves. The team's limit bounds the number for every job. The
// reason is empty unless it lowers the number.
func (e *demandEstimate) wantedUnits(job *cluster.Job) (int, HoldReason) {
	team, ok := e.state.Settings.Team(job.Spec.Team)
	if !ok {
		return 0, HeldByTeamLimit
	}
	gang := job.Spec.IsGang()
	if gang && job.ActiveTasks > 0 {
		return 0, HeldByLastAttempt
	}
	units := plannedTasks(job)
	var hold HoldReason
	if units < job.PendingTasks() {
		hold = HeldByFailures
	}
	if !job.Spec.IsService() && !gang {
		units = demand.ParallelTasks(units, valuation.TimingOf(job, e.now), e.state.Settings.Objectives, e.stretchShare)
	}
	allowed := placement.ResourcesOf(&job.Spec).UnitsIn(limitLeft(team.MaxCPUs, team.MaxGPUs, e.teamUsage[job.Spec.Team]))
	switch {
	case allowed >= units:
		return units, hold
	case gang:
		return 0, HeldByTeamLimit
	}
	return allowed, HeldByTeamLimit
}

// limitLeft returns the resources that a team may use in addition to those that it uses. A
// maximum of 0 means no limit.
func limitLeft(maxCPUs, maxGPUs float64, used placement.Resources) placement.Resources {
	left := placement.Resources{CPUs: unlimited, GPUs: unlimited, MemoryGB: unlimited, Tasks: unlimited}
	if maxCPUs > 0 {
		left.CPUs = maxCPUs - used.CPUs
	}
	if maxGPUs > 0 {
		left.GPUs = maxGPUs - used.GPUs
	}
	return left
}

// addSpareReplicas adds the demand for the resources that are kept free for the next replicas.
// It is spread over the zones, because a service that is spread over zones could not use
// resources that are all in one zone.
func (e *demandEstimate) addSpareReplicas(minReplicas float64) {
	spare := SpareReplicasOf(e.state, minReplicas)
	if spare.Count <= 0 {
		return
	}
	zoneCapacityLeft := map[wire.Zone]int{}
	for _, zone := range e.zones {
		zoneCapacityLeft[zone] = (spare.Count + 1) / 2
	}
	spec := &wire.JobSpec{Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: spare.Count, CPUs: spare.ReplicaResources.CPUs, MemoryGB: spare.ReplicaResources.MemoryGB}
	e.demands = append(e.demands, fleet.Demand{Spec: spec, Units: spare.Count, Rank: spareReplicaRank, ZoneCapacityLeft: zoneCapacityLeft, Reserve: true,
		AvoidMachines: e.machinesAvoidedByServices()})
}

// machinesAvoidedByServices returns the machines whose resources do not count for some service.
func (e *demandEstimate) machinesAvoidedByServices() map[wire.MachineID]bool {
	avoided := map[wire.MachineID]bool{}
	for _, job := range e.state.Jobs {
		if job.Spec.IsService() {
			maps.Copy(avoided, machinesToAvoid(job))
		}
	}
	return avoided
}
