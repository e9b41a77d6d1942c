package placement

import (
	"cmp"
	"slices"
)

// roomOption is a way to make room for one unit of a job on a machine.
type roomOption struct {
	feasible bool
	cost     float64 // seconds of work
	victims  []int   // of the machine, to be awaited or preempted
}

// cheaperThan reports whether the option is feasible and costs less than the other, if
// there is another.
func (o *roomOption) cheaperThan(other *roomOption) bool {
	return o.feasible && (other == nil || o.cost < other.cost)
}

// roomFor finds the victims on a machine that make room for one unit of the job, those
// with the least work lost first. (Urgent tasks on full machines once preempted what
// would have ended in a moment, most of it of the lowest priority, whose jobs were then
// late because they were stopped again and again.)
func roomFor(j *Job, m *Machine, unit Resources) roomOption {
	if !unit.FitsIn(m.Total) || !MachineAllowed(j.Spec, m) {
		return roomOption{}
	}
	option := roomOption{cost: fetchCost(j, m)}
	room := m.unreservedRoom()
	if j.Spec.IsGang() && !j.StartOverdue {
		// It may not use the headroom, and would reserve it for ever.
		room = room.Minus(m.serviceHeadroom)
	}
	if unit.FitsIn(room) {
		option.feasible = true
		return option
	}
	for _, i := range victimOrder(j, m) {
		victim := &m.Victims[i]
		room = room.Plus(victim.Resources)
		option.cost += victimCost(j, victim)
		option.victims = append(option.victims, i)
		if unit.FitsIn(room) {
			option.feasible = true
			break
		}
	}
	return option
}

// victimKind orders the victims of a machine.
type victimKind int

const (
	endsByItself victimKind = iota // in time
	savesInTime
	savesLate // it would save a checkpoint for too long
)

func kindOfVictim(j *Job, v *Victim) victimKind {
	switch {
	case endsInTime(j, v):
		return endsByItself
	case savesTooLong(j, v):
		return savesLate
	}
	return savesInTime
}

// victimOrder returns the tasks on a machine that may be awaited or preempted for the
// job, in the order in which they are taken.
func victimOrder(j *Job, m *Machine) []int {
	order := make([]int, 0, len(m.Victims))
	for i := range m.Victims {
		if v := &m.Victims[i]; endsInTime(j, v) || mayPreempt(j, v) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareVictims(j, &m.Victims[a], &m.Victims[b]) })
	return order
}

// compareVictims puts those first that end by themselves, the earliest first, then those
// of the lowest rank that lose least, and last those that would save for too long.
func compareVictims(j *Job, a, b *Victim) int {
	kind, other := kindOfVictim(j, a), kindOfVictim(j, b)
	if kind != other {
		return cmp.Compare(kind, other)
	}
	if kind == endsByItself {
		return cmp.Compare(a.RemainingSeconds, b.RemainingSeconds)
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.LostWorkSeconds, b.LostWorkSeconds))
}

const (
	// preemptionCost is what a preemption costs beside the work that is repeated,
	// seconds.
	preemptionCost = 5
	// waitingWeight is how many seconds of repeated work a second of waiting, for an
	// image or a checkpoint, may cost a service, or a gang that must start soon: in a
	// full cluster most replicas start in room that was made for them, and the image
	// decides whether they start in time.
	waitingWeight = 20
)

// victimCost returns what it costs to await or preempt a task, in seconds of work.
func victimCost(j *Job, v *Victim) float64 {
	if endsInTime(j, v) {
		return v.RemainingSeconds
	}
	cost := v.LostWorkSeconds + preemptionCost
	if savesTooLong(j, v) {
		cost += waitingWeight * v.CheckpointSeconds
	}
	return cost
}

// fetchCost returns what it costs to fetch the job's image, in seconds of work.
func fetchCost(j *Job, m *Machine) float64 {
	if m.Images[j.Spec.Image] == ImagePresent {
		return 0
	}
	if j.Spec.IsService() || mustStartSoon(j) {
		return waitingWeight * m.fetchSeconds(j)
	}
	return m.fetchSeconds(j)
}
