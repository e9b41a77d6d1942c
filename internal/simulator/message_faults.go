package simulator

import (
	"slices"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// CommandDelay is how long the network holds up what goes between a machine and the
// node that commands it.
type CommandDelay struct {
	Command           time.Duration // a direct command
	Answer            time.Duration // the answer to one
	HeartbeatResponse time.Duration // the answer to a heartbeat
}

// DelayCommands holds up commands and answers of all machines from now on; a
// zero lag ends it.
func (sim *Simulation) DelayCommands(delay CommandDelay) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.machineFaults.commandDelay = delay
}

// commandDelay returns the present delay of commands.
func (m *worker) commandDelay() CommandDelay {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	return m.sim.machineFaults.commandDelay
}

// Answered is the verb under which direct commands are counted whose answers
// came late.
const Answered wire.Verb = "answered"

// LateCommands returns how many direct launches or stops came after they had been held up
// or had waited for a machine that hung, how many direct commands were executed
// and answered late, and how many orders to forget were executed late.
func (sim *Simulation) LateCommands(v wire.Verb) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machineFaults.lateCommands[v]
}

// countLate counts what came late; the caller holds the lock.
func (sim *Simulation) countLate(since time.Time, commands []wire.Command, verbs ...wire.Verb) {
	if time.Since(since) < time.Second {
		return
	}
	if sim.machineFaults.lateCommands == nil {
		sim.machineFaults.lateCommands = map[wire.Verb]int{}
	}
	for _, command := range commands {
		if slices.Contains(verbs, command.Verb) {
			sim.machineFaults.lateCommands[command.Verb]++
		}
	}
}

// RecordHeartbeats records every heartbeat from now on.
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

// DropHeartbeats drops the heartbeats of a machine on their way, as if each had
// been sent and not arrived. They can be handed over later.
func (sim *Simulation) DropHeartbeats(id wire.MachineID, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.machineFaults.droppedHeartbeats == nil {
		sim.machineFaults.droppedHeartbeats = map[wire.MachineID]bool{}
	}
	sim.machineFaults.droppedHeartbeats[id] = on
}

// DuplicateHeartbeats makes copies of a share of all heartbeats come to all nodes again,
// between the two times after they were sent.
func (sim *Simulation) DuplicateHeartbeats(share float64, from, to time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.machineFaults.duplicateShare, sim.machineFaults.duplicateDelay = share, [2]time.Duration{from, to}
}

// DuplicateCounts returns how many copies were delivered, and how many of them after a newer heartbeat.
func (sim *Simulation) DuplicateCounts() (all, older int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machineFaults.duplicates, sim.machineFaults.staleDuplicates
}

// onHeartbeatSent notes a heartbeat that is about to be sent and reports whether it is
// held up; the caller holds the lock.
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

// DeliveredHeartbeat is a heartbeat that was delivered to a node, with the answer.
type DeliveredHeartbeat struct {
	Node      int
	Heartbeat wire.Heartbeat
	Status    int
	Token     wire.FencingToken // of a 200
	Newer     bool              // the machine had made a newer message before it came
}

// DeliverHeartbeats hands heartbeats to all nodes at once, as the network does with packets
// that it had held, and waits for the answers, which reach no worker.
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

// ResendLastHeartbeat takes the last heartbeat of a machine and sends copies of it to all nodes
// after the given times, whatever has become of the machine.
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
			defer sim.CountFault(false)
			sleep(sim.ctx, delay)
			for i := range sim.controllers {
				sim.Ask(i, "POST", "/hello", heartbeat)
			}
		})
	}
}
