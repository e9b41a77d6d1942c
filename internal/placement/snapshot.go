package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// Factors are what operators may set of the design's open values.
type Factors struct {
	Preferred  float64 // factor of the branch over machines with the image
	Fallback   float64 // factor of the branch over any fitting machine
	WaitRaiseS float64 // waiting this long doubles a job's utility per unit
}

// Image as far as it is known to be on a machine.
type Image int

// What is known.
const (
	Absent   Image = iota
	Fetching       // some task there waits for it
	Present        // a task has run with it, and it was not pushed out since
)

// Victim is a task that could be stopped to make room.
type Victim struct {
	Task            wire.Task
	Rank            int
	Uses            Resources
	LostS           float64 // run time that would be repeated, seconds
	BeyondGuarantee bool    // its team runs beyond its own guarantee
	Team            wire.TeamID
	RemainingS      float64 // in which it is expected to end by itself
	CheckpointS     float64 // for which it saves once it is told to stop
}

// Machine that can take tasks.
type Machine struct {
	ID          wire.MachineID
	Type        wire.MachineType
	Zone        wire.Zone
	Spot        bool
	Total       Resources
	Free        Resources // with everything that may still be there taken off
	FetchGBPerS float64
	FetchingGB  float64 // of the images that are being fetched
	Services    int     // tasks of services there
	Images      map[wire.ImageID]Image
	Victims     []Victim
	Cordoned    bool // takes tasks of arrays only when no other machine can
	// Reservations is room that is being made here, Stopping what the tasks take that
	// are being stopped or awaited. Until a claim is used nothing of its rank or below
	// takes that room. (Two tasks of two processors were stopped for one of
	// four; they ended one after the other, and each time another of two took
	// the half that was free. One day stopped 84,361 tasks that way.)
	Reservations []Reservation
	Stopping     Resources
	spareUnits   int       // units of spare room kept here in this round
	spareRoom    Resources // what they take
	gangRoom     Resources // room kept here for the next gangs
}

// Reservation is room that is being made for one unit of a job.
type Reservation struct {
	Job   wire.JobID
	Rank  int
	Takes Resources
}

// roomLeft is the room there will be when all that is being stopped is gone and
// every claim but those that a job may pass over is used.
func (m *Machine) roomLeft(passes func(*Reservation) bool) Resources {
	left := m.Free.Plus(m.Stopping)
	for i := range m.Reservations {
		if !passes(&m.Reservations[i]) {
			left = left.Minus(m.Reservations[i].Takes)
		}
	}
	return left
}

// claimedFor tells whether others' claims leave no room for the job here.
func (m *Machine) claimedFor(j *Job, take Resources) bool {
	return len(m.Reservations) > 0 && !take.Fits(m.roomLeft(func(c *Reservation) bool {
		return c.Job == j.Spec.ID || c.Rank < j.Spec.Priority.Rank()
	}))
}

// useClaim takes away the claim that a unit of the job has used.
func (m *Machine) useClaim(id wire.JobID) {
	if i := slices.IndexFunc(m.Reservations, func(c Reservation) bool { return c.Job == id }); i >= 0 {
		m.Reservations = slices.Delete(slices.Clone(m.Reservations), i, i+1)
	}
}

// Job with tasks that wait.
type Job struct {
	Spec        *wire.JobSpec
	Pending     int
	TasksByZone map[wire.Zone]int
	WaitedS     float64
	Weight      float64 // of one unit: priority, guarantee, deadline
	// Avoid lists machines on which a task of the job failed.
	Avoid map[wire.MachineID]bool
	// Guaranteed: fits into its team's guarantee with the earlier jobs.
	Guaranteed bool
	// Lingers: has waited so long without a start that its next unit may use
	// room kept for services.
	WaitedLong bool
	// Reservations is for how many of its units room is being made.
	Reservations int
	// PatienceS is how long a unit may wait for tasks to end by themselves,
	// rather than have them stopped.
	PatienceS float64
	// StartsInS is how long it may still wait to start in time; 0: no aim says, or
	// it is late already.
	StartsInS float64
}

// Team with what its tasks take and its limit; a limit of 0 is none.
type Team struct {
	Used, Limit Resources
	// Reserved is what is kept of the limit for a gang of the team that has waited
	// long, KeptFor: tasks of arrays and gangs up to KeptRank leave it alone, or
	// they would take for ever what the gang needs all at once.
	Reserved     Resources
	ReservedFor  wire.JobID
	ReservedRank int
}

// Snapshot is all that a round looks at.
type Snapshot struct {
	Machines []Machine
	Jobs     []Job
	Teams    map[wire.TeamID]*Team
	Factors  Factors
	// SpareUnits is room kept free for the next replicas, of SpareTakes each;
	// only services may use it.
	SpareUnits int
	SpareUnit  Resources
	// ExpectedGangs are those for which room is kept free of arrays.
	ExpectedGangs []*wire.JobSpec
	// Preempt allows to stop tasks for jobs of higher priority.
	Preempt bool
	// More, if set, adds the machines that have no room for anything that
	// waits, with their victims. It is asked only when something that may
	// preempt is left: on most rounds of a full deployment nothing is.
	FullMachines func() []Machine
}
