package placement

import (
	"cmp"
	"slices"
)

// fetchWeight is how many seconds of repeated work a second of waiting, for an
// image or for what saves, may cost a service, or a gang that hurries: on a full
// deployment most replicas start in room that was made for them, and the image
// decides whether they start in time.
const fetchWeight = 20

func fetchCost(m *Machine, j *Job) float64 {
	if m.Images[j.Spec.Image] == Present {
		return 0
	}
	if j.Spec.Service() || hurries(j) {
		return fetchWeight * fetchSeconds(m, j)
	}
	return fetchSeconds(m, j)
}

// fetchSeconds is how long a machine takes to fetch the job's image beside those
// that it fetches already: they share its rate. (Replicas of four services,
// started on one machine after a zone's loss, waited 16 s for their images.)
func fetchSeconds(m *Machine, j *Job) float64 {
	if m.FetchGBPerS <= 0 {
		return 0
	}
	return (m.FetchingGB + j.Spec.ImageGB) / m.FetchGBPerS
}

// clearing is what room for one unit costs on a machine.
type clearing struct {
	ok    bool
	lost  float64
	picks []int
}

// clear takes the tasks of a clearing off a machine, claims their room, and returns
// them.
func (m *Machine) clear(c clearing, claim Reservation) []Victim {
	var taken, left []Victim
	for vi, v := range m.Victims {
		if !slices.Contains(c.picks, vi) {
			left = append(left, v)
			continue
		}
		taken = append(taken, v)
		m.Stopping = m.Stopping.Plus(v.Uses)
	}
	m.Victims, m.Reservations = left, append(slices.Clone(m.Reservations), claim)
	return taken
}

// clearForUnit finds the tasks to await or stop on a machine for one unit of the job,
// those with the least work lost first. (Urgent tasks on full machines once
// stopped what would have ended in a moment, most of it of the lowest priority,
// whose jobs were then late by what was stopped again and again.)
func clearForUnit(m *Machine, j *Job, take Resources) clearing {
	if !take.Fits(m.Total) || !Allowed(j.Spec, m) {
		return clearing{}
	}
	c := clearing{lost: fetchCost(m, j)}
	free := m.roomLeft(func(*Reservation) bool { return false })
	if j.Spec.Gang() && !j.WaitedLong {
		free = free.Minus(m.spareRoom) // it may not use that, and would claim it for ever
	}
	if c.ok = take.Fits(free); c.ok {
		return c
	}
	for _, vi := range clearingOrder(m, j) {
		if take.Fits(free) {
			break
		}
		free = free.Plus(m.Victims[vi].Uses)
		c.lost += clearingCost(j, &m.Victims[vi])
		c.picks = append(c.picks, vi)
	}
	c.ok = take.Fits(free)
	return c
}

// clearingOrder lists the tasks that may be awaited or stopped for the job: those
// that end by themselves in time, then the others, those that would save for too
// long last.
func clearingOrder(m *Machine, j *Job) []int {
	order := make([]int, 0, len(m.Victims))
	for vi := range m.Victims {
		if v := &m.Victims[vi]; endsInTime(j, v) || MayPreempt(j.Spec) && mayStop(j, v) {
			order = append(order, vi)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		va, vb := &m.Victims[a], &m.Victims[b]
		switch ea, eb := endsInTime(j, va), endsInTime(j, vb); {
		case ea && eb:
			return cmp.Compare(va.RemainingS, vb.RemainingS)
		case ea:
			return -1
		case eb:
			return 1
		}
		switch oa, ob := outlasts(j, va), outlasts(j, vb); {
		case oa && !ob:
			return 1
		case ob && !oa:
			return -1
		}
		return cmp.Or(cmp.Compare(va.Rank, vb.Rank), cmp.Compare(va.LostS, vb.LostS))
	})
	return order
}

// stopCostS is what stopping a task costs beside the work that is repeated, seconds.
const stopCostS = 5

// clearingCost is what it costs to await or stop a task, in seconds of work.
func clearingCost(j *Job, v *Victim) float64 {
	if endsInTime(j, v) {
		return v.RemainingS
	}
	lost := v.LostS + stopCostS
	if outlasts(j, v) {
		lost += fetchWeight * v.CheckpointS
	}
	return lost
}
