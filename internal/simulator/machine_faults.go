package simulator

import (
	"context"
	"time"

	"lilaclead/internal/wire"
)

// machineFaults is what may happen to workers and their messages beside cuts: reports
// that are copied or held up on their way, and machines that hang. The simulation's
// lock guards it.
type machineFaults struct {
	recordedHeartbeats map[wire.MachineID][]wire.Heartbeat // nil: none are kept
	droppedHeartbeats  map[wire.MachineID]bool             // their next heartbeats arrive nowhere
	duplicateShare     float64                             // of the heartbeats that are copied
	duplicateDelay     [2]time.Duration                    // when the copies come
	duplicates         int                                 // that came
	staleDuplicates    int                                 // of these, after a newer heartbeat of their machine
	hung               map[wire.MachineID]chan struct{}    // closed when the machine goes on
	hungFor            map[wire.MachineID]time.Duration    // how long each hung until now
	hungSince          map[wire.MachineID]time.Time        // when it last began to hang
	commandDelay       CommandDelay
	lateCommands       map[wire.Verb]int // commands that came late, and direct ones answered late
}

// MakeFaulty makes a machine fail all its tasks from now on.
func (sim *Simulation) MakeFaulty(id wire.MachineID) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		m.faulty = true
	}
}

// RestartMachine restarts a machine at once: it reports like a new worker, and its
// tasks and images are gone.
func (sim *Simulation) RestartMachine(id wire.MachineID) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		sim.lastFault = time.Now()
		m.endAllTasks()
		m.restarts++
		m.epoch, m.sequence, m.token = 1, 0, 0
		m.leaseRenewedAt, m.cachedImages = time.Now(), map[wire.ImageID]bool{}
		m.requestHeartbeat()
	}
}

// HangMachines makes machines hang, or go on. One that hangs reports nothing, answers
// nothing and does no work, and its lease runs on. When it goes on, it looks at
// its lease first and then at the commands that wait for it.
func (sim *Simulation) HangMachines(on bool, ids ...wire.MachineID) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	faults := &sim.machineFaults
	if faults.hung == nil {
		faults.hung, faults.hungFor, faults.hungSince = map[wire.MachineID]chan struct{}{}, map[wire.MachineID]time.Duration{}, map[wire.MachineID]time.Time{}
	}
	for _, id := range ids {
		resumed := faults.hung[id]
		switch {
		case on && resumed == nil:
			faults.hung[id], faults.hungSince[id] = make(chan struct{}), time.Now()
		case !on && resumed != nil:
			delete(faults.hung, id)
			faults.hungFor[id] += time.Since(faults.hungSince[id])
			if m := sim.machines[id]; m != nil {
				m.checkLease()
			}
			close(resumed)
		}
	}
}

// awaitAwake waits while the machine hangs.
func (m *worker) awaitAwake(ctx context.Context) {
	for {
		m.sim.mu.Lock()
		resumed := m.sim.machineFaults.hung[m.id]
		m.sim.mu.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return
		}
	}
}

// workFor takes a time in which the machine does not hang.
func (m *worker) workFor(ctx context.Context, d time.Duration) {
	hungFor := func() time.Duration {
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		return m.sim.machineFaults.hungFor[m.id]
	}
	for d > 0 && ctx.Err() == nil {
		m.awaitAwake(ctx)
		before := hungFor()
		sleep(ctx, d)
		m.awaitAwake(ctx)
		d = hungFor() - before
	}
}

// StallMachine makes a machine hang: it says and hears nothing and its tasks don't get
// on, until it goes on. Its session ends by its clock all the same.
func (sim *Simulation) StallMachine(id wire.MachineID, on bool) {
	sim.mu.Lock()
	if m := sim.machines[id]; m != nil {
		m.stalled = on
	}
	sim.mu.Unlock()
	sim.PartitionMachine(id, on)
}

// awaitUnstalled waits while the machine hangs.
func (m *worker) awaitUnstalled(ctx context.Context) {
	for ctx.Err() == nil {
		m.sim.mu.Lock()
		hangs := m.stalled
		m.sim.mu.Unlock()
		if !hangs {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// PartitionMachine cuts a machine off from all nodes, with all packets held, or lets them
// through again.
func (sim *Simulation) PartitionMachine(id wire.MachineID, on bool) {
	ip := sim.MachineIP(id)
	for i := range sim.controllers {
		if ip != "" {
			sim.Net.Cut(NodeIP(i), ip, on)
		}
	}
}

// BlockInbound makes machines ones that nothing reaches, or no more.
func (sim *Simulation) BlockInbound(on bool, ids ...wire.MachineID) {
	for _, id := range ids {
		sim.Net.BlockInbound(sim.MachineIP(id), on)
	}
}

// BlockOutbound makes machines ones that can open no connection, or no more. What
// others open to them works.
func (sim *Simulation) BlockOutbound(on bool, ids ...wire.MachineID) {
	for _, id := range ids {
		sim.Net.BlockOutbound(sim.MachineIP(id), on)
	}
}

// SlowMachineLinks makes the links of all machines, also of those to come, take so much
// longer.
func (sim *Simulation) SlowMachineLinks(by time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.linkDelay = by
	for _, m := range sim.machines {
		sim.Net.SlowHost(m.ip, by)
	}
}

// SetMachineSpeed gives a machine a speed, at which it fetches; gangs go at that of
// their slowest.
func (sim *Simulation) SetMachineSpeed(id wire.MachineID, speed float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.gangs.speed == nil {
		sim.gangs.speed = map[wire.MachineID]float64{}
	}
	sim.gangs.speed[id] = speed
}

// speedOf returns a machine's speed; the caller holds the lock.
func (sim *Simulation) speedOf(id wire.MachineID) float64 {
	if speed, ok := sim.gangs.speed[id]; ok {
		return speed
	}
	return 1
}

// RefuseLaunches makes a machine refuse so many launches as if it were full.
func (sim *Simulation) RefuseLaunches(id wire.MachineID, n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.gangs.launchRefusals == nil {
		sim.gangs.launchRefusals = map[wire.MachineID]int{}
	}
	sim.gangs.launchRefusals[id] = n
}

// refusesLaunch reports whether it refuses this launch as full.
func (m *worker) refusesLaunch() bool {
	if m.sim.gangs.launchRefusals[m.id] > 0 {
		m.sim.gangs.launchRefusals[m.id]--
		return true
	}
	return false
}

// EnableSlowSaves makes tasks take their time to save when they are stopped.
func (sim *Simulation) EnableSlowSaves() {
	sim.mu.Lock()
	sim.slowSaves = true
	sim.mu.Unlock()
}
