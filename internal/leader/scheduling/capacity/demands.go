package capacity

import (
	"math"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling/valuation"
	"lilaclead/internal/placement"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// Ranks order the demands of a plan: the highest is packed first. Among demands of one kind
// a job's priority decides.
const (
	// serviceRank is added for services, which go before everything else.
	serviceRank = 10
	// spareReplicaRank is the rank of the resources kept free for the next replicas.
	spareReplicaRank = 9
	// gangReserveRank is the rank of the resources kept free for the next gangs.
	gangReserveRank = 8.5
	// startOverdueRank is added for a job that has waited too long without a start.
	startOverdueRank = 5
)

// anyPrice is the price limit factor of a demand that is met whatever it costs.
var anyPrice = math.Inf(1)

// Estimator estimates for how many tasks of each job resources are needed.
type Estimator struct {
	// BacklogSeconds is how many seconds the present resources would need for all waiting
	// work. Demands sets it.
	BacklogSeconds float64
	// Holds are the jobs for which the last plan requested no machines. Demands and
	// Planner.Plan set it.
	Holds Holds

	state   *cluster.State
	tuning  *tuning.Current
	tracker *scaling.Tracker
	valuer  *valuation.Valuer
}

// NewEstimator returns the demand estimator of a cluster.
func NewEstimator(state *cluster.State, values *tuning.Current, tracker *scaling.Tracker, valuer *valuation.Valuer) *Estimator {
	return &Estimator{state: state, tuning: values, tracker: tracker, valuer: valuer}
}

// Demands returns the demands of the waiting jobs, and the demand for the resources that are
// kept free for the next replicas, at least minSpareReplicas of them.
func (e *Estimator) Demands(now time.Time, stretchShare, minSpareReplicas float64) []fleet.Demand {
	e.Holds = Holds{}
	jobs := e.waitingJobs()
	estimate := &demandEstimate{
		Estimator:    e,
		now:          now,
		stretchShare: stretchShare,
		waitSeconds:  e.predictWaits(jobs, now),
		zones:        e.state.Zones(),
		teamUsage:    e.usedByTeam(),
	}
	for _, job := range jobs {
		estimate.addJob(job)
	}
	estimate.addSpareReplicas(minSpareReplicas)
	return estimate.demands
}

// waitingJobs returns the jobs with tasks to be placed for which machines may be requested,
// in the order in which they were accepted. It records the others as held.
func (e *Estimator) waitingJobs() []*cluster.Job {
	jobs := make([]*cluster.Job, 0, len(e.state.Jobs))
	for _, job := range e.state.Jobs {
		switch {
		case !hasPendingTasks(job):
		case e.state.IsQuarantined(job.Spec.ID):
			e.Holds[job.Spec.ID] = HeldByQuarantine
		default:
			jobs = append(jobs, job)
		}
	}
	valuation.SortByAcceptance(jobs)
	return jobs
}

// usedByTeam returns the resources that each team's active tasks take.
func (e *Estimator) usedByTeam() map[wire.TeamID]placement.Resources {
	used := map[wire.TeamID]placement.Resources{}
	for _, job := range e.state.Jobs {
		used[job.Spec.Team] = used[job.Spec.Team].Plus(placement.ResourcesOf(&job.Spec).Times(float64(job.ActiveTasks)))
	}
	return used
}

// ReservesFor returns the demands for the resources that are kept free for expected gangs.
// They rank above the demands of job arrays and waiting gangs, and below those of services and
// spare replicas.
func (e *Estimator) ReservesFor(gangs []*wire.JobSpec) []fleet.Demand {
	var reserves []fleet.Demand
	for _, spec := range gangs {
		reserve := fleet.Demand{Spec: spec, Units: spec.Tasks, Rank: gangReserveRank, AllOrNothing: true, Reserve: true}
		if job := e.state.Jobs[spec.ID]; job != nil {
			reserve.AvoidMachines = machinesToAvoid(job)
		}
		if spec.Spread {
			reserve.ZoneCapacityLeft = map[wire.Zone]int{}
			for _, zone := range e.state.Zones() {
				reserve.ZoneCapacityLeft[zone] = spec.MaxTasksPerZone()
			}
		}
		reserves = append(reserves, reserve)
	}
	return reserves
}

// PriceLimitFactor returns the factor on the price limit for the machines of a job that would
// wait for waitSeconds for resources within the limit. A factor of 1 keeps the limit.
func (e *Estimator) PriceLimitFactor(job *cluster.Job, waitSeconds float64, now time.Time) float64 {
	if job.Spec.IsService() {
		return 1
	}
	return demand.PriceLimitFactor(valuation.TimingOf(job, now), e.state.Settings.Objectives, waitSeconds, e.bootAndFetchSeconds(&job.Spec))
}

// bootAndFetchSeconds returns the shortest time, in seconds, in which a machine of any type
// boots and fetches the job's image; infinity if no type fits the job.
func (e *Estimator) bootAndFetchSeconds(spec *wire.JobSpec) float64 {
	earliest := math.Inf(1)
	for _, machineType := range e.state.Catalog.Get() {
		if machineType.CanRun(spec) && machineType.FetchGBPerSecond > 0 {
			earliest = min(earliest, float64(machineType.BootTime)+spec.ImageGB/machineType.FetchGBPerSecond)
		}
	}
	return earliest
}
