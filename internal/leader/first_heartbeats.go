package leader

import (
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
)

const (
	// machineListWait is how long after its start a term waits for the first machine list.
	machineListWait = time.Second
	// largeDeployment is the number of machines above which scheduling waits for only half
	// of them, because announcing the token to all of them takes more than four ticks.
	largeDeployment = 4 * agents.MaxProbesPerTick
)

// enoughMachinesHeard reports whether enough of the machines that should be up have sent
// a heartbeat with this term's token: all of them in a small deployment, and half of them
// in a large one, where announcing the token to the last machine takes seconds.
//
// It does not wait for a machine that is in no list or did not answer a probe. Without a
// list (the cloud's API may be down for minutes) it waits for the machines that the records
// name. A machine that has sent no heartbeat gets no new tasks, and its tasks count as
// active until it is known to be gone.
func (t *term) enoughMachinesHeard(now time.Time) bool {
	if !t.state.MachineListReceived && now.Sub(t.state.TermStartedAt) < machineListWait {
		return false
	}
	heard, missing := t.countFirstHeartbeats()
	return missing == 0 || missing <= heard && heard > largeDeployment
}

// countFirstHeartbeats counts the machines that have sent a heartbeat with this term's
// token, and those that should but have not. It leaves out booting machines, and those that an
// earlier leader was scaling in.
func (t *term) countFirstHeartbeats() (heard, missing int) {
	for _, m := range t.state.Machines {
		switch {
		case m.Booting, m.DrainReason == cluster.DrainAdoptedScaleIn:
		case m.Token >= t.state.FirstToken:
			heard++
		case t.awaitsHeartbeat(m):
			missing++
		}
	}
	return heard, missing
}

// awaitsHeartbeat reports whether a machine that has sent no heartbeat with this term's
// token seems to be up, so that one can be expected.
func (t *term) awaitsHeartbeat(m *cluster.Machine) bool {
	listed := m.Addr != "" || !t.state.MachineListReceived
	return listed && m.UnansweredCommands == 0
}
