package simulator

import (
	"context"
	"math/rand/v2"
	"time"

	"lilaclead/internal/wire"
)

// machineFaults holds the faults of machines and their messages other than cuts: heartbeats that
// are duplicated or dropped, commands that are delayed, and machines that hang. The simulation's
// lock guards it.
type machineFaults struct {
	rng                *rand.Rand                          // of the machines' restarts
	recordedHeartbeats map[wire.MachineID][]wire.Heartbeat // nil: not recorded
	droppedHeartbeats  map[wire.MachineID]bool             // machines whose heartbeats are dropped
	duplicateShare     float64                             // share of the heartbeats that are duplicated
	duplicateDelay     [2]time.Duration                    // shortest and longest delay of the duplicates
	duplicates         int                                 // duplicates delivered
	staleDuplicates    int                                 // of these, delivered after a newer heartbeat of the machine
	hung               map[wire.MachineID]chan struct{}    // by hanging machine: closed when it resumes
	hungFor            map[wire.MachineID]time.Duration    // how long each machine has hung, without a hang that still lasts
	hungSince          map[wire.MachineID]time.Time        // when each machine last began to hang
	commandDelay       CommandDelay
	mostListedTasks    int // in one heartbeat
	largestHeartbeat   int // bytes of the largest heartbeat as JSON
	launchRefusals     map[wire.MachineID]launchRefusals
	lateCommands       map[wire.Verb]int // late commands by verb: see LateCommands
}

// MakeFaulty makes all tasks that start on a machine from now on fail.
func (sim *Simulation) MakeFaulty(id wire.MachineID) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil {
		m.faulty = true
	}
}

// RepairMachines makes tasks that start from now on succeed on all machines, present and future.
func (sim *Simulation) RepairMachines() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.provisionFaulty = 0
	for _, m := range sim.machines {
		m.faulty = false
	}
}

// RestartMachine restarts a machine at once: its epoch, sequence number and token start anew, and
// its tasks and images are gone. It contacts a random controller first.
func (sim *Simulation) RestartMachine(id wire.MachineID) {
	sim.mu.Lock()
	first := sim.machineFaults.rng.IntN(len(sim.controllers))
	sim.mu.Unlock()
	sim.RestartMachineAt(id, first)
}

// RestartMachineAt is RestartMachine with the controller that the machine contacts first.
func (sim *Simulation) RestartMachineAt(id wire.MachineID, controller int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m := sim.machines[id]; m != nil && m.up {
		sim.lastFault = time.Now()
		m.endAllTasks()
		m.restarts++
		m.firstTarget = controller
		m.endAgent()
		m.epoch, m.sequence, m.token = 1, 0, 0
		m.leaseRenewedAt, m.cachedImages = time.Now(), map[wire.ImageID]bool{}
	}
}

// HangMachines makes machines hang, or resume. A machine that hangs sends nothing, answers
// nothing and does no work, and its lease expires. When it resumes, it checks its lease first and
// then executes the commands that wait for it.
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

// awaitAwake waits while HangMachines makes the machine hang.
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

// workFor waits for a duration, not counting the time in which the machine hangs.
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

// StallMachine makes a machine stall, or resume. A stalled machine is cut off from all controllers
// and its tasks don't complete, but its lease still ends by its own clock.
func (sim *Simulation) StallMachine(id wire.MachineID, on bool) {
	sim.mu.Lock()
	if m := sim.machines[id]; m != nil {
		m.stalled = on
	}
	sim.mu.Unlock()
	sim.PartitionMachine(id, on)
}

// awaitUnstalled waits while the machine is stalled.
func (m *worker) awaitUnstalled(ctx context.Context) {
	for ctx.Err() == nil {
		m.sim.mu.Lock()
		stalled := m.stalled
		m.sim.mu.Unlock()
		if !stalled {
			return
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// PartitionMachine cuts a machine off from all controllers and holds the packets, or ends the cut
// and delivers them.
func (sim *Simulation) PartitionMachine(id wire.MachineID, on bool) {
	ip := sim.MachineIP(id)
	for i := range sim.controllers {
		if ip != "" {
			sim.Net.Cut(NodeIP(i), ip, on)
		}
	}
}

// BlockInbound holds all packets to machines, or delivers them again.
func (sim *Simulation) BlockInbound(on bool, ids ...wire.MachineID) {
	for _, id := range ids {
		sim.Net.BlockInbound(sim.MachineIP(id), on)
	}
}

// BlockOutbound keeps machines from opening connections, or allows it again. Connections that
// others open to them work.
func (sim *Simulation) BlockOutbound(on bool, ids ...wire.MachineID) {
	for _, id := range ids {
		sim.Net.BlockOutbound(sim.MachineIP(id), on)
	}
}

// SlowMachineLinks sets an extra latency of the links of all machines, also of machines that are
// provisioned later.
func (sim *Simulation) SlowMachineLinks(extra time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.linkDelay = extra
	for _, m := range sim.machines {
		sim.Net.SlowHost(m.ip, extra)
	}
}

// SetMachineSpeed sets a machine's speed, a factor that is 1 by default. The machine fetches images
// at this speed. A gang progresses at the speed of its slowest machine.
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

// launchRefusals are the launches that a machine is still to refuse, and the cause that it gives.
type launchRefusals struct {
	left  int
	cause wire.ExitCause
}

// RefuseLaunches makes a machine refuse its next n launches as if it were full.
func (sim *Simulation) RefuseLaunches(id wire.MachineID, n int) {
	sim.RefuseLaunchesBecause(id, n, wire.CauseFull)
}

// RefuseLaunchesBecause makes a machine refuse its next n launches with a cause.
func (sim *Simulation) RefuseLaunchesBecause(id wire.MachineID, n int, cause wire.ExitCause) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.machineFaults.launchRefusals == nil {
		sim.machineFaults.launchRefusals = map[wire.MachineID]launchRefusals{}
	}
	sim.machineFaults.launchRefusals[id] = launchRefusals{n, cause}
}

// refusesLaunch reports whether the machine refuses this launch and why, and counts it; the caller
// holds the lock.
func (m *worker) refusesLaunch() (cause wire.ExitCause, refused bool) {
	refusals := m.sim.machineFaults.launchRefusals[m.id]
	if refusals.left == 0 {
		return "", false
	}
	refusals.left--
	m.sim.machineFaults.launchRefusals[m.id] = refusals
	return refusals.cause, true
}

// EnableSlowSaves makes stopped tasks that belong to no gang take their checkpoint time to save.
// Without it they save at once. Tasks of gangs always take the time.
func (sim *Simulation) EnableSlowSaves() {
	set(sim, &sim.slowSaves, true)
}
