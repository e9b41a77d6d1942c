package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// ImageState is the last known state of an image on a machine.
type ImageState int

// States of an image.
const (
	ImageAbsent   ImageState = iota
	ImageFetching            // some task on the machine waits for it
	ImagePresent             // a task has run with it, and it has not been evicted since
)

// Victim is a task that could be preempted.
type Victim struct {
	Task              wire.TaskID
	Rank              int
	Resources         Resources
	LostWorkSeconds   float64 // run time that would be repeated
	BeyondGuarantee   bool    // its team uses more than its guaranteed quota
	Team              wire.TeamID
	RemainingSeconds  float64 // expected time until it ends by itself
	CheckpointSeconds float64 // time to save a checkpoint once it is told to stop
}

// Reservation holds resources on a machine for one unit of a job. Apart from that job, only
// jobs of a higher rank may use them. Tasks that are stopping may still occupy some of them.
type Reservation struct {
	Job       wire.JobID
	Rank      int
	Resources Resources
}

// Machine is a machine that can take tasks.
type Machine struct {
	ID               wire.MachineID
	Type             wire.MachineType
	Zone             wire.Zone
	Spot             bool
	Total            Resources
	Free             Resources // Total less what tasks that may still run there use
	FetchGBPerSecond float64
	FetchingGB       float64 // size of the images that are being fetched
	ServiceTasks     int     // number of tasks of services on the machine
	Images           map[wire.ImageID]ImageState
	Victims          []Victim
	Cordoned         bool // arrays and gangs use it only if no other machine fits
	// Reservations hold resources for units that could not start yet. StoppingResources are
	// the resources of the tasks that are being preempted or awaited. Until a reservation is
	// used, no other job of its rank or below takes its resources. Without this, two tasks of
	// two CPUs that are preempted for one of four end one after the other, and each time
	// another task of two CPUs takes the CPUs that are free: 84,361 tasks were preempted that
	// way in one day.
	Reservations      []Reservation
	StoppingResources Resources
	// Headroom that this cycle keeps free on the machine.
	serviceHeadroomUnits int
	serviceHeadroom      Resources
	gangHeadroom         Resources
}

// unreservedResources returns the resources that will be free once the stopping tasks have
// ended and every reservation is used.
func (m *Machine) unreservedResources() Resources {
	return m.resourcesAfterReservations(func(*Reservation) bool { return true })
}

// resourcesAfterReservations returns the resources that will be free once the stopping tasks
// have ended and the included reservations are used.
func (m *Machine) resourcesAfterReservations(included func(*Reservation) bool) Resources {
	remaining := m.Free.Plus(m.StoppingResources)
	for i := range m.Reservations {
		if included(&m.Reservations[i]) {
			remaining = remaining.Minus(m.Reservations[i].Resources)
		}
	}
	return remaining
}

// reservedForOthers reports whether the reservations of other jobs of the job's rank or above
// leave too little for a unit of it on the machine, even once the stopping tasks have ended.
func (m *Machine) reservedForOthers(j *Job, unit Resources) bool {
	if len(m.Reservations) == 0 {
		return false
	}
	remaining := m.resourcesAfterReservations(func(r *Reservation) bool {
		return r.Job != j.Spec.ID && r.Rank >= j.Spec.Priority.Rank()
	})
	return !unit.FitsIn(remaining)
}

// consumeReservation removes one reservation of the job, if there is any.
func (m *Machine) consumeReservation(id wire.JobID) {
	i := slices.IndexFunc(m.Reservations, func(r Reservation) bool { return r.Job == id })
	if i >= 0 {
		m.Reservations = slices.Delete(slices.Clone(m.Reservations), i, i+1)
	}
}

// addReservation adds a reservation. It removes the victims with the given indexes from the
// machine, counts their resources as stopping, and returns them.
func (m *Machine) addReservation(r Reservation, victims []int) []Victim {
	var removed, remaining []Victim
	for i, v := range m.Victims {
		if !slices.Contains(victims, i) {
			remaining = append(remaining, v)
			continue
		}
		removed = append(removed, v)
		m.StoppingResources = m.StoppingResources.Plus(v.Resources)
	}
	m.Victims, m.Reservations = remaining, append(slices.Clone(m.Reservations), r)
	return removed
}

// fetchSeconds returns how long the machine takes to fetch the job's image. The image
// shares the fetch rate with those that are being fetched already: replicas of four
// services that start on one machine after the loss of a zone wait 16 s for their images.
func (m *Machine) fetchSeconds(j *Job) float64 {
	if m.FetchGBPerSecond <= 0 {
		return 0
	}
	return (m.FetchingGB + j.Spec.ImageGB) / m.FetchGBPerSecond
}
