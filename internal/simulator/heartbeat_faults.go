package simulator

import (
	"slices"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// recordHeartbeatSize records the size of a heartbeat unless an earlier one lists more tasks; the
// caller holds the lock.
func (sim *Simulation) recordHeartbeatSize(heartbeat *wire.Heartbeat) {
	faults := &sim.machineFaults
	if len(heartbeat.Tasks) >= faults.mostListedTasks {
		faults.mostListedTasks = len(heartbeat.Tasks)
		faults.largestHeartbeat = max(faults.largestHeartbeat, wire.MaxJSONSize(heartbeat))
	}
}

// LargestHeartbeat returns the size in bytes, as JSON, of the heartbeat that lists the most tasks,
// and the number of those tasks.
func (sim *Simulation) LargestHeartbeat() (bytes, tasks int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machineFaults.largestHeartbeat, sim.machineFaults.mostListedTasks
}

// RecordHeartbeats records every heartbeat from now on: see RecordedHeartbeats.
func (sim *Simulation) RecordHeartbeats() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.machineFaults.recordedHeartbeats = map[wire.MachineID][]wire.Heartbeat{}
}

// RecordedHeartbeats returns the recorded heartbeats of a machine, in order.
func (sim *Simulation) RecordedHeartbeats(id wire.MachineID) []wire.Heartbeat {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.machineFaults.recordedHeartbeats[id])
}

// DropHeartbeats makes the network drop the heartbeats of a machine, or deliver them again. A test
// can deliver dropped ones later with RecordedHeartbeats and DeliverHeartbeats.
func (sim *Simulation) DropHeartbeats(id wire.MachineID, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.machineFaults.droppedHeartbeats == nil {
		sim.machineFaults.droppedHeartbeats = map[wire.MachineID]bool{}
	}
	sim.machineFaults.droppedHeartbeats[id] = on
}

// DuplicateHeartbeats makes the network deliver a share of all heartbeats again, to all
// controllers, after a delay from minDelay to maxDelay.
func (sim *Simulation) DuplicateHeartbeats(share float64, minDelay, maxDelay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.machineFaults.duplicateShare, sim.machineFaults.duplicateDelay = share, [2]time.Duration{minDelay, maxDelay}
}

// DuplicateCounts returns how many duplicates were delivered, and how many of them after a newer
// heartbeat of the same machine.
func (sim *Simulation) DuplicateCounts() (all, stale int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machineFaults.duplicates, sim.machineFaults.staleDuplicates
}

// onHeartbeatSent applies the faults of heartbeats to one that is about to be sent, and reports
// whether it is dropped; the caller holds the lock.
func (sim *Simulation) onHeartbeatSent(m *worker, heartbeat wire.Heartbeat) bool {
	faults := &sim.machineFaults
	if faults.recordedHeartbeats != nil {
		faults.recordedHeartbeats[m.id] = append(faults.recordedHeartbeats[m.id], heartbeat)
	}
	if faults.duplicateShare > 0 && sim.rng.Float64() < faults.duplicateShare {
		after := faults.duplicateDelay[0] + time.Duration(sim.rng.Float64()*float64(faults.duplicateDelay[1]-faults.duplicateDelay[0]))
		sim.spawn(func() {
			sleep(sim.ctx, after)
			sim.DeliverHeartbeats(heartbeat)
		})
	}
	return faults.droppedHeartbeats[m.id]
}

// DeliveredHeartbeat is a heartbeat that was delivered to a controller, with the response.
type DeliveredHeartbeat struct {
	Node      int
	Heartbeat wire.Heartbeat
	Status    int
	Token     wire.FencingToken // token of the response, if Status is 200
	Newer     bool              // the machine had created a newer message before the delivery
}

// DeliverHeartbeats delivers heartbeats to all controllers at once, as a network does with packets
// that it held, and waits for the responses, which reach no worker.
func (sim *Simulation) DeliverHeartbeats(heartbeats ...wire.Heartbeat) []DeliveredHeartbeat {
	out := make([]DeliveredHeartbeat, 0, len(heartbeats)*len(sim.controllers))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, heartbeat := range heartbeats {
		sim.mu.Lock()
		sim.machineFaults.duplicates++
		m := sim.machines[heartbeat.Machine]
		newer := m != nil && (m.epoch > heartbeat.Epoch || m.epoch == heartbeat.Epoch && m.sequence > heartbeat.Sequence)
		if newer {
			sim.machineFaults.staleDuplicates++
		}
		sim.mu.Unlock()
		for i := range sim.controllers {
			wg.Go(func() {
				status, raw, _ := sim.Ask(i, "POST", "/hello", heartbeat)
				delivered := DeliveredHeartbeat{Node: i, Heartbeat: heartbeat, Status: status, Newer: newer}
				var commands wire.Commands
				if status == 200 && wire.Decode(raw, &commands) == nil {
					delivered.Token = commands.Token
				}
				mu.Lock()
				out = append(out, delivered)
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	return out
}

// ResendLastHeartbeat sends copies of the last heartbeat of a machine to all controllers after each
// of the delays, whether or not the machine still exists then.
func (sim *Simulation) ResendLastHeartbeat(id wire.MachineID, delays ...time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := sim.machines[id]
	if m == nil {
		return
	}
	heartbeat := m.lastHeartbeat
	for _, delay := range delays {
		sim.reportFault(true)
		sim.spawn(func() {
			defer sim.ReportFault(false)
			sleep(sim.ctx, delay)
			for i := range sim.controllers {
				sim.Ask(i, "POST", "/hello", heartbeat)
			}
		})
	}
}
