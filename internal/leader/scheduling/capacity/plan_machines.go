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
	// maxBootTimes is how long a plan counts on a machine that has sent no heartbeat yet, in
	// boot times of its type.
	maxBootTimes = 2
	// maxMissedHeartbeats is how long a plan counts on a machine without a message from it,
	// in heartbeat intervals.
	maxMissedHeartbeats = 3
	// minBilledSeconds is the time from its start that is billed for every machine, however
	// soon it is returned.
	minBilledSeconds = 60
)

// dependable reports whether a plan may count on a machine's resources.
func (p *Planner) dependable(machine *cluster.Machine, spec *wire.MachineSpec, now time.Time) bool {
	if machine.Booting && now.Sub(machine.RequestedAt) > spec.BootTime.Duration()*maxBootTimes {
		return false
	}
	if !machine.Booting && p.state.SinceLastMessage(machine, now) > maxMissedHeartbeats*p.state.HeartbeatInterval() {
		return false
	}
	return !p.state.UnseenSincePartition(machine, now) && !p.state.OutboundConnectivityLost(machine, now)
}

// planMachine returns the view of a machine that package fleet plans with. An idle machine is
// kept for idleBootTimes times the boot time of its type.
func (p *Planner) planMachine(machine *cluster.Machine, spec *wire.MachineSpec, idleBootTimes float64, now time.Time) fleet.Machine {
	view := fleet.Machine{
		ID:              machine.ID,
		Type:            machine.MachineType,
		Zone:            machine.Zone,
		Spot:            machine.Spot,
		Total:           p.state.TotalResources(machine),
		Free:            p.state.FreeResources(machine),
		Booting:         machine.Booting,
		PrepaidSeconds:  minBilledSeconds - now.Sub(machine.RequestedAt).Seconds(),
		PricePerHour:    spec.Price(machine.Spot),
		KeepIdleSeconds: idleBootTimes * float64(spec.BootTime),
	}
	for _, attempt := range machine.Attempts {
		addTask(&view, attempt, now)
	}
	slices.SortFunc(view.ExpectedReleases, func(a, b fleet.ExpectedRelease) int { return cmp.Compare(a.InSeconds, b.InSeconds) })
	if idle(machine) {
		idleSince := cluster.LaterOf(machine.LastUsedAt, machine.FirstHeartbeatAt)
		view.Idle, view.IdleSeconds = true, now.Sub(idleSince).Seconds()
	}
	return view
}

// addTask adds a task to the view of its machine.
func addTask(view *fleet.Machine, attempt *cluster.Attempt, now time.Time) {
	if attempt.Job.Spec.IsService() {
		view.ServiceTasks++
		return
	}
	taskResources := attempt.Resources()
	view.ExpectedReleases = append(view.ExpectedReleases, fleet.ExpectedRelease{InSeconds: attempt.PlannedRemainingSeconds(now), Resources: taskResources})
	if taskResources.CPUs > view.LargestBatchTask.CPUs {
		view.LargestBatchTask = taskResources
	}
}

// idle reports whether a machine has booted and nothing is on it.
func idle(machine *cluster.Machine) bool {
	return !machine.Booting && len(machine.Attempts) == 0 && len(machine.OrphanTasks) == 0
}

// appendPendingScaleOuts adds the machines of the scale-out requests that are not yet
// answered.
func (p *Planner) appendPendingScaleOuts(machines []fleet.Machine) []fleet.Machine {
	for _, request := range p.tracker.PendingScaleOuts() {
		spec := p.state.MachineSpec(request.Type)
		if spec == nil {
			continue
		}
		total := cluster.ResourcesOfMachineType(spec)
		expected := fleet.Machine{Type: request.Type, Zone: request.Zone, Spot: request.Spot, Total: total, Free: total, Booting: true, PricePerHour: spec.Price(request.Spot)}
		for range request.Count {
			machines = append(machines, expected)
		}
	}
	return machines
}
