package placement

import (
	"lilaclead/internal/wire"
)

// UtilityFactors are the weights in a job's utility that operators may set.
type UtilityFactors struct {
	Preferred           float64 // factor of the branch over machines that have the image
	Fallback            float64 // factor of the branch over any fitting machine
	WaitDoublingSeconds float64 // waiting time that doubles a job's utility per unit
}

// Job is a job with pending tasks. A unit is one of its tasks.
type Job struct {
	Spec          *wire.JobSpec
	PendingTasks  int
	TasksByZone   map[wire.Zone]int
	WaitedSeconds float64
	Weight        float64 // of one unit, from the job's priority, guarantee and deadline
	// AvoidMachines are the machines on which a task of the job failed.
	AvoidMachines map[wire.MachineID]bool
	// WithinGuarantee reports that the job fits into its team's guaranteed quota together
	// with the jobs before it.
	WithinGuarantee bool
	// MayUseHeadroom reports that the job has waited so long without a start that its next
	// unit may use headroom.
	MayUseHeadroom bool
	// ReservedUnits is the number of the job's units for which resources are reserved.
	ReservedUnits int
	// PreemptionDelaySeconds is how long a unit may wait for tasks to end by themselves
	// instead of preempting them.
	PreemptionDelaySeconds float64
	// StartSlackSeconds is how long the job may still wait and start in time. It is 0 if the
	// job has no start objective or is late already.
	StartSlackSeconds float64
}

// Team is a team's resource usage and its limit. A limit of 0 means no limit.
type Team struct {
	Used, Limit Resources
	// Reserved is the part of the limit that is reserved for ReservedFor, a gang of the team
	// that has waited long. Arrays and other gangs up to ReservedRank may not use it.
	// Otherwise, their tasks would always occupy some of what the gang needs all at once.
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
	// HeadroomUnits is how many units of HeadroomUnit are kept free for new replicas of
	// services. Other jobs may use this headroom only once their start is overdue.
	HeadroomUnits int
	HeadroomUnit  Resources
	// ExpectedGangs are the gangs for which headroom is kept free. Arrays may use this
	// headroom only once their start is overdue.
	ExpectedGangs []*wire.JobSpec
	// AllowPreemption turns on reservations and preemptions for jobs that did not start.
	AllowPreemption bool
	// FullMachines, if set, returns the machines on which no pending unit fits, with their
	// victims. It is called only if a job that may reserve resources did not start:
	// most cycles of a full cluster have no such job.
	FullMachines func() []Machine
}
