package simulator

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// CommandDelay is how long the network delays messages between machines and the controller that
// commands them.
type CommandDelay struct {
	Command           time.Duration // of a direct command
	Answer            time.Duration // of the response to a direct command
	HeartbeatResponse time.Duration // of the response to a heartbeat
}

// DelayCommands sets the delays of commands and responses for all machines from now on; the zero
// value ends them.
func (sim *Simulation) DelayCommands(delay CommandDelay) {
	set(sim, &sim.machineFaults.commandDelay, delay)
}

// commandDelay returns the present delay of commands.
func (m *worker) commandDelay() CommandDelay {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	return m.sim.machineFaults.commandDelay
}

// LateAnswer is the verb under which LateCommands counts direct requests that were executed and
// answered late.
const LateAnswer wire.Verb = "answered"

// LateCommands counts late commands by verb: for VerbLaunch and VerbStop direct commands that were
// executed late because they were delayed or the machine hung, for VerbForget commands that were
// executed late, and for LateAnswer direct requests that were executed and answered late. Late
// means by a second or more.
func (sim *Simulation) LateCommands(v wire.Verb) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machineFaults.lateCommands[v]
}

// countLate counts the commands with one of the verbs if a second or more has passed since a time;
// the caller holds the lock.
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
