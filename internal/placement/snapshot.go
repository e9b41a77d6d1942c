package placement

import (
	"lilaclead/internal/wire"
)

// UtilityFactors are the weights that operators may set.
type UtilityFactors struct {
	Preferred           float64 // of the branch over machines that have the image
	Fallback            float64 // of the branch over any fitting machine
	WaitDoublingSeconds float64 // after so many seconds of waiting a job's utility per unit has doubled
}

// Job is a job with tasks that wait. A unit is one of its tasks.
type Job struct {
	Spec          *wire.JobSpec
	PendingTasks  int
	TasksByZone   map[wire.Zone]int
	WaitedSeconds float64
	Weight        float64 // of one unit: priority, guarantee, deadline
	// AvoidMachines lists machines on which a task of the job failed.
	AvoidMachines map[wire.MachineID]bool
	// WithinGuarantee reports that the job fits into its team's guaranteed quota beside the
	// jobs before it.
	WithinGuarantee bool
	// StartOverdue reports that the job has waited so long without a start that its next
	// unit may use headroom.
	StartOverdue bool
	// ReservedUnits is the number of its units for which room is reserved.
	ReservedUnits int
	// PreemptionDelaySeconds is how long a unit may wait for tasks to end by themselves, rather than
	// have them preempted.
	PreemptionDelaySeconds float64
	// StartSlackSeconds is how long the job may still wait to start in time; 0: no objective
	// says, or it is late already.
	StartSlackSeconds float64
}

// Team is a team's resource usage and its limit; a limit of 0 is none.
type Team struct {
	Used, Limit Resources
	// Reserved is the part of the limit that is kept for ReservedFor, a gang of the team
	// that has waited long. Arrays and gangs up to ReservedRank leave it alone: they
	// would use for ever what the gang needs all at once.
	Reserved     Resources
	ReservedFor  wire.JobID
	ReservedRank int
}

// Snapshot is the input of a scheduling cycle.
type Snapshot struct {
	Machines []Machine
	Jobs     []Job
	Teams    map[wire.TeamID]*Team
	Factors  UtilityFactors
	// HeadroomUnits is how many units of headroom are kept for the next replicas; only
	// services may use them.
	HeadroomUnits int
	HeadroomUnit  Resources
	// ExpectedGangs are those for which headroom is kept from arrays.
	ExpectedGangs []*wire.JobSpec
	// AllowPreemption allows to preempt tasks for jobs of higher priority.
	AllowPreemption bool
	// FullMachines, if set, returns the machines that have no room for anything that
	// waits, with their victims. It is called only when a job that may preempt is left:
	// in most cycles of a full cluster there is none.
	FullMachines func() []Machine
}
