package placement

import (
	"cmp"
	"slices"
)

// roomOption is a way to make room for one unit of a job on a machine, by awaiting or
// preempting victims.
type roomOption struct {
	feasible    bool
	costSeconds float64 // of work that is lost or delayed
	victims     []int   // indexes in the machine's Victims
}

// cheaperThan reports whether the option is feasible and costs less than the other, which
// may be nil.
func (o *roomOption) cheaperThan(other *roomOption) bool {
	return o.feasible && (other == nil || o.costSeconds < other.costSeconds)
}

// roomFor chooses the victims on a machine that make room for one unit of the job, in the
// order of compareVictims. Without this order, urgent tasks on full machines preempt tasks
// that would have ended in a moment. Most of those have the lowest priority, and their
// jobs are late because they are stopped again and again.
func roomFor(j *Job, m *Machine, unit Resources) roomOption {
	if !unit.FitsIn(m.Total) || !MachineAllowed(j.Spec, m) {
		return roomOption{}
	}
	option := roomOption{costSeconds: fetchCostSeconds(j, m)}
	available := m.unreservedResources()
	if j.Spec.IsGang() && !j.MayUseHeadroom {
		// The gang may not use the services' headroom. A reservation there would never be used.
		available = available.Minus(m.serviceHeadroom)
	}
	if unit.FitsIn(available) {
		option.feasible = true
		return option
	}
	for _, i := range victimOrder(j, m) {
		victim := &m.Victims[i]
		available = available.Plus(victim.Resources)
		option.costSeconds += victimCostSeconds(j, victim)
		option.victims = append(option.victims, i)
		if unit.FitsIn(available) {
			option.feasible = true
			break
		}
	}
	return option
}

// victimKind is the first criterion of the order of victims: lower kinds are chosen first.
type victimKind int

const (
	endsByItself victimKind = iota // within the job's preemption delay
	stopsInTime
	stopsLate // saving its checkpoint takes too long
)

func kindOfVictim(j *Job, v *Victim) victimKind {
	switch {
	case endsInTime(j, v):
		return endsByItself
	case checkpointsTooLong(j, v):
		return stopsLate
	}
	return stopsInTime
}

// victimOrder returns the indexes of the tasks on a machine that may be awaited or
// preempted for the job, in the order of compareVictims.
func victimOrder(j *Job, m *Machine) []int {
	order := make([]int, 0, len(m.Victims))
	for i := range m.Victims {
		if v := &m.Victims[i]; endsInTime(j, v) || mayPreemptVictim(j, v) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareVictims(j, &m.Victims[a], &m.Victims[b]) })
	return order
}

// compareVictims puts tasks first that end by themselves, the earliest first. Then come
// tasks that stop in time, and last those whose checkpoint takes too long. Both are
// ordered by rank and within a rank by lost work, the lowest first.
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
	// preemptionCostSeconds is the cost of a preemption in addition to the repeated work.
	preemptionCostSeconds = 5
	// waitingWeight is the cost, in seconds of work, of a second that a service or a gang
	// that must start soon waits for its image, or that such a gang waits for a checkpoint.
	// In a full cluster, most replicas start in room that was made for them, and the image
	// decides whether they start in time.
	waitingWeight = 20
)

// victimCostSeconds returns the cost to await or preempt a task, in seconds of work.
func victimCostSeconds(j *Job, v *Victim) float64 {
	if endsInTime(j, v) {
		return v.RemainingSeconds
	}
	cost := v.LostWorkSeconds + preemptionCostSeconds
	if checkpointsTooLong(j, v) {
		cost += waitingWeight * v.CheckpointSeconds
	}
	return cost
}

// fetchCostSeconds returns the cost to fetch the job's image, in seconds of work.
func fetchCostSeconds(j *Job, m *Machine) float64 {
	if m.Images[j.Spec.Image] == ImagePresent {
		return 0
	}
	if j.Spec.IsService() || mustStartSoon(j) {
		return waitingWeight * m.fetchSeconds(j)
	}
	return m.fetchSeconds(j)
}
