package simulator

import (
	"time"

	"lilaclead/internal/wire"
)

// SetCloudOutage begins or ends an outage of the cloud's API.
func (sim *Simulation) SetCloudOutage(on bool) {
	set(sim, &sim.cloudOutage, on)
}

// LoseScaleInResponses makes the next n scale-in requests take effect without a response.
func (sim *Simulation) LoseScaleInResponses(n int) {
	set(sim, &sim.loseScaleInResponses, n)
}

// LoseScaleOutResponses makes the next n scale-out requests take effect without a response.
func (sim *Simulation) LoseScaleOutResponses(n int) {
	set(sim, &sim.loseScaleOutResponses, n)
}

// SetSoldOut makes scale-out in a zone fail for lack of capacity, or succeed again.
func (sim *Simulation) SetSoldOut(z wire.Zone, on bool) {
	sim.mu.Lock()
	sim.soldOut[z] = on
	sim.mu.Unlock()
}

// SetSpotSoldOut makes scale-out of spot machines fail for lack of capacity, or succeed again.
func (sim *Simulation) SetSpotSoldOut(on bool) {
	set(sim, &sim.spotSoldOut, on)
}

// LimitCapacity limits the machines that the cloud can still provide to n of each type in each
// zone, spot and on demand each.
func (sim *Simulation) LimitCapacity(n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for key, left := range sim.capacity {
		sim.capacity[key] = min(left, n)
	}
}

// SetCapacity sets the machines that the cloud can still provide to n of each type in each zone,
// spot and on demand each.
func (sim *Simulation) SetCapacity(n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for key := range sim.capacity {
		sim.capacity[key] = n
	}
}

// SellOutEverything makes the cloud refuse every further machine, however many are scaled in.
func (sim *Simulation) SellOutEverything() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for key := range sim.capacity {
		sim.capacity[key] = -1000
	}
}

// ProvisionFaulty makes all tasks fail on the next n machines that are provisioned.
func (sim *Simulation) ProvisionFaulty(n int) {
	set(sim, &sim.provisionFaulty, n)
}

// SetUnlisted determines whether machines that are provisioned from now on are missing from
// every list. This happens to a machine whose lifetime is shorter than the lag of the lists.
func (sim *Simulation) SetUnlisted(on bool) {
	set(sim, &sim.provisionUnlisted, on)
}

// SetBootFactor multiplies the time that machines take to boot by a factor.
func (sim *Simulation) SetBootFactor(factor float64) {
	set(sim, &sim.bootFactor, factor)
}

// SetQuickBoots makes machines boot within two seconds, or in the usual time again.
func (sim *Simulation) SetQuickBoots(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.bootFactor = 1; on {
		sim.bootFactor = 0.1
	}
}

// ReclaimMachines makes the cloud take back, without notice, at most n machines for which passes
// returns true, and returns how many.
func (sim *Simulation) ReclaimMachines(n int, passes func(spot bool, tasks int) bool) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	ids := sim.machinesWhere(func(m *worker) bool { return m.up && passes(m.spot, len(m.tasks)) })
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		sim.removeMachine(id)
		sim.lastFault = time.Now()
	}
	return len(ids)
}

// ReclaimMachine makes the cloud take a machine back without notice.
func (sim *Simulation) ReclaimMachine(id wire.MachineID) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.removeMachine(id)
	sim.lastFault = time.Now()
}

// RemoveMachines removes machines at once. Unlike ReclaimMachine it does not count as a fault.
func (sim *Simulation) RemoveMachines(ids ...wire.MachineID) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, id := range ids {
		sim.removeMachine(id)
	}
}

// GiveSpotNotice gives a machine a spot notice, and removes the machine after the time left.
func (sim *Simulation) GiveSpotNotice(id wire.MachineID, left time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		m.reclaimAt = time.Now().Add(left)
		m.requestHeartbeat()
		sim.spawn(func() {
			sleep(sim.ctx, left)
			sim.mu.Lock()
			sim.removeMachine(id)
			sim.lastFault = time.Now()
			sim.mu.Unlock()
		})
	}
}
