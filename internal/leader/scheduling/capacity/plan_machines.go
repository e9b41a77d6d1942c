package capacity

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

const (
	// maxBoots is how many boot times a plan waits for a machine's first heartbeat.
	maxBoots = 2
	// maxMissedHeartbeats is how many heartbeat intervals without a message a plan
	// tolerates.
	maxMissedHeartbeats = 3
	// billedUpfrontS is the number of seconds from its start that every machine is billed
	// for.
	billedUpfrontS = 60
)

// dependable reports whether a plan may count on a machine's resources.
func (p *Planner) dependable(machine *cluster.Machine, spec *wire.MachineSpec, now time.Time) bool {
	if machine.Booting && now.Sub(machine.RequestedAt) > spec.BootTime.Duration()*maxBoots {
		return false
	}
	if !machine.Booting && p.state.SinceLastMessage(machine, now) > maxMissedHeartbeats*p.state.HeartbeatInterval() {
		return false
	}
	return !p.state.UnseenSincePartition(machine, now) && !p.state.OutboundConnectivityLost(machine, now)
}

// planMachine describes a machine to a plan. An idle one is kept for idleBoots times the
// boot time of its type.
func (p *Planner) planMachine(machine *cluster.Machine, spec *wire.MachineSpec, idleBoots float64, now time.Time) fleet.Machine {
	described := fleet.Machine{
		ID:              machine.ID,
		Type:            machine.MachineType,
		Zone:            machine.Zone,
		Spot:            machine.Spot,
		Total:           p.state.TotalResources(machine),
		Free:            p.state.FreeResources(machine),
		Booting:         machine.Booting,
		PrepaidSeconds:  billedUpfrontS - now.Sub(machine.RequestedAt).Seconds(),
		Price:           spec.Price(machine.Spot),
		KeepIdleSeconds: idleBoots * float64(spec.BootTime),
	}
	for _, attempt := range machine.Tasks {
		addTaskToPlan(&described, attempt, now)
	}
	slices.SortFunc(described.ExpectedReleases, func(a, b fleet.ExpectedRelease) int { return cmp.Compare(a.InSeconds, b.InSeconds) })
	if idle(machine) {
		idleSince := cluster.LaterOf(machine.LastUsedAt, machine.FirstHeartbeatAt)
		described.Idle, described.IdleSeconds = true, now.Sub(idleSince).Seconds()
	}
	return described
}

// addTaskToPlan adds a task to the description of its machine.
func addTaskToPlan(described *fleet.Machine, attempt *cluster.Attempt, now time.Time) {
	if attempt.Job.Spec.IsService() {
		described.ServiceTasks++
		return
	}
	takes := attempt.Resources()
	described.ExpectedReleases = append(described.ExpectedReleases, fleet.ExpectedRelease{InSeconds: attempt.PlannedRemainingSeconds(now), Resources: takes})
	if takes.CPUs > described.LargestArrayTask.CPUs {
		described.LargestArrayTask = takes
	}
}

// idle reports whether a machine has booted and nothing is on it.
func idle(machine *cluster.Machine) bool {
	return !machine.Booting && len(machine.Tasks) == 0 && len(machine.OrphanTasks) == 0
}

// appendPending adds the machines of the scale-out requests that are not yet answered.
func (p *Planner) appendPending(machines []fleet.Machine) []fleet.Machine {
	for _, request := range p.tracker.PendingScaleOuts() {
		spec := p.state.MachineSpec(request.Type)
		if spec == nil {
			continue
		}
		total := cluster.MachineResources(spec)
		expected := fleet.Machine{Type: request.Type, Zone: request.Zone, Spot: request.Spot, Total: total, Free: total, Booting: true, Price: spec.Price(request.Spot)}
		for range request.Count {
			machines = append(machines, expected)
		}
	}
	return machines
}
