package autoscaler

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// inventory keeps the machines of the cluster's state in step with the cloud's responses.
type inventory struct {
	state   *cluster.State
	metrics *core.Metrics
}

const (
	// maxListLagFactor bounds the age of a machine list, as a multiple of the configured lag.
	maxListLagFactor = 2
	// listLagMargin covers the time that the request itself took.
	listLagMargin = time.Second
)

// maybeUnlisted reports whether the machines of a request may be missing from the latest
// machine list. Those of an adopted request that is older than the longest list lag are in the
// list, unless they no longer exist.
func (i *inventory) maybeUnlisted(request *scaling.PendingScaleOut) bool {
	maxLag := i.state.Settings.Cloud.ListLag.Duration()*maxListLagFactor + listLagMargin
	return !request.Adopted || time.Since(request.RequestedAt) < maxLag
}

// add adds the machines that a request has started. They may have sent a heartbeat, or have
// been removed again, before the request's response arrived.
func (i *inventory) add(request *scaling.PendingScaleOut, machines []wire.MachineID) {
	for _, id := range machines {
		if _, removed := i.state.RemovedMachines[id]; removed {
			continue
		}
		machine := i.state.GetOrAddMachine(id)
		if !machine.FirstHeartbeatAt.IsZero() {
			continue
		}
		machine.MachineType, machine.Zone, machine.Spot = request.Type, request.Zone, request.Spot
		machine.Booting, machine.RequestedAt = true, request.RequestedAt
	}
}

// remove removes a machine that no longer exists, and makes its tasks pending.
func (i *inventory) remove(machine *cluster.Machine) {
	i.state.RemovedMachines[machine.ID] = time.Now()
	for _, attempt := range machine.Attempts {
		i.metrics.TaskInterrupted(string(cluster.EvictedMachineRemoved))
		i.state.EndAttempt(attempt, cluster.TaskPending)
	}
	delete(i.state.Machines, machine.ID)
	i.state.RequestCycle()
}
