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

// Reservation is room on a machine that only one unit of a job, or jobs of a higher rank,
// may use. Part of it may still be occupied by tasks that are stopping.
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
	// Reservations hold room for units that could not start yet. StoppingResources is what
	// the tasks use that are being preempted or awaited. Until a reservation is used, no
	// other job of its rank or below takes its room. Without this, two tasks of two CPUs
	// that are preempted for one of four end one after the other, and each time another
	// task of two CPUs takes the half that is free: 84,361 tasks were preempted that way in
	// one day.
	Reservations      []Reservation
	StoppingResources Resources
	// Headroom that this cycle keeps free on the machine.
	serviceHeadroomUnits int
	serviceHeadroom      Resources
	gangHeadroom         Resources
}

// unreservedRoom returns the room that will be free once the stopping tasks have ended and
// every reservation is used.
func (m *Machine) unreservedRoom() Resources {
	return m.roomAfterReservations(func(*Reservation) bool { return true })
}

// roomAfterReservations returns the room that will be free once the stopping tasks have
// ended and the included reservations are used.
func (m *Machine) roomAfterReservations(included func(*Reservation) bool) Resources {
	room := m.Free.Plus(m.StoppingResources)
	for i := range m.Reservations {
		if included(&m.Reservations[i]) {
			room = room.Minus(m.Reservations[i].Resources)
		}
	}
	return room
}

// reservedForOthers reports whether the reservations of other jobs that the job must
// respect leave no room for a unit of it on the machine.
func (m *Machine) reservedForOthers(j *Job, unit Resources) bool {
	if len(m.Reservations) == 0 {
		return false
	}
	room := m.roomAfterReservations(func(r *Reservation) bool {
		return r.Job != j.Spec.ID && r.Rank >= j.Spec.Priority.Rank()
	})
	return !unit.FitsIn(room)
}

// consumeReservation removes one reservation of the job, if there is any.
func (m *Machine) consumeReservation(id wire.JobID) {
	i := slices.IndexFunc(m.Reservations, func(r Reservation) bool { return r.Job == id })
	if i >= 0 {
		m.Reservations = slices.Delete(slices.Clone(m.Reservations), i, i+1)
	}
}

// reserveRoom adds a reservation. It removes the victims with the given indexes from the
// machine, counts their resources as stopping, and returns them.
func (m *Machine) reserveRoom(r Reservation, victims []int) []Victim {
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
