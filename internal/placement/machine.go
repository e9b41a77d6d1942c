package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// ImageState is the state of an image on a machine, as far as it is known.
type ImageState int

// States of an image.
const (
	ImageAbsent   ImageState = iota
	ImageFetching            // some task there waits for it
	ImagePresent             // a task has run with it, and it was not evicted since
)

// Victim is a task that could be preempted.
type Victim struct {
	Task              wire.TaskID
	Rank              int
	Resources         Resources
	LostWorkSeconds   float64 // run time that would be repeated, seconds
	BeyondGuarantee   bool    // its team runs beyond its own guarantee
	Team              wire.TeamID
	RemainingSeconds  float64 // until it is expected to end by itself
	CheckpointSeconds float64 // that it takes to save a checkpoint once it is told to stop
}

// Reservation is room that is being made for one unit of a job.
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
	Free             Resources // less everything that may still run there
	FetchGBPerSecond float64
	FetchingGB       float64 // of the images that are being fetched
	ServiceTasks     int     // tasks of services there
	Images           map[wire.ImageID]ImageState
	Victims          []Victim
	Cordoned         bool // takes tasks of arrays only when no other machine can
	// Reservations are the rooms that are being made here, and StoppingResources is what the
	// tasks use that are being preempted or awaited. Until a reservation is used no job
	// of its rank or below takes that room. (Two tasks of two processors were stopped
	// for one of four. They ended one after the other, and each time another of two
	// took the half that was free. One day stopped 84,361 tasks that way.)
	Reservations      []Reservation
	StoppingResources Resources
	// Headroom that is kept here in this cycle.
	serviceHeadroomUnits int
	serviceHeadroom      Resources
	gangHeadroom         Resources
}

// unreservedRoom returns the room there will be when everything that is being stopped
// has ended and every reservation is used.
func (m *Machine) unreservedRoom() Resources {
	return m.roomBeside(func(*Reservation) bool { return true })
}

// roomBeside returns the room there will be when everything that is being stopped has
// ended and the reservations that count are used.
func (m *Machine) roomBeside(counts func(*Reservation) bool) Resources {
	room := m.Free.Plus(m.StoppingResources)
	for i := range m.Reservations {
		if counts(&m.Reservations[i]) {
			room = room.Minus(m.Reservations[i].Resources)
		}
	}
	return room
}

// reservedForOthers reports whether reservations that the job must respect leave no
// room for a unit of it here.
func (m *Machine) reservedForOthers(j *Job, unit Resources) bool {
	if len(m.Reservations) == 0 {
		return false
	}
	room := m.roomBeside(func(r *Reservation) bool {
		return r.Job != j.Spec.ID && r.Rank >= j.Spec.Priority.Rank()
	})
	return !unit.FitsIn(room)
}

// consumeReservation removes the reservation that a unit of the job has used.
func (m *Machine) consumeReservation(id wire.JobID) {
	i := slices.IndexFunc(m.Reservations, func(r Reservation) bool { return r.Job == id })
	if i >= 0 {
		m.Reservations = slices.Delete(slices.Clone(m.Reservations), i, i+1)
	}
}

// reserve takes victims off the machine, whose room it reserves, and returns them.
func (m *Machine) reserve(r Reservation, victims []int) []Victim {
	var removed, left []Victim
	for i, v := range m.Victims {
		if !slices.Contains(victims, i) {
			left = append(left, v)
			continue
		}
		removed = append(removed, v)
		m.StoppingResources = m.StoppingResources.Plus(v.Resources)
	}
	m.Victims, m.Reservations = left, append(slices.Clone(m.Reservations), r)
	return removed
}

// fetchSeconds returns how long the machine takes to fetch the job's image beside those
// that it fetches already, with which it shares the rate. (Replicas of four services,
// started on one machine after the loss of a zone, waited 16 s for their images.)
func (m *Machine) fetchSeconds(j *Job) float64 {
	if m.FetchGBPerSecond <= 0 {
		return 0
	}
	return (m.FetchingGB + j.Spec.ImageGB) / m.FetchGBPerSecond
}
