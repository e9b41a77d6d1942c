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
	// of them: showing the token to all of them takes more than four ticks.
	largeDeployment = 4 * agents.MaxProbesPerTick
)

// enoughMachinesHeard reports whether enough of the machines that should be up have sent
// a heartbeat with this term's token: all of a small deployment, and half of a large one,
// where showing the token to the last takes seconds. A machine that is in no list or did
// not answer a probe is not waited for. A machine that was not heard gets no new tasks,
// and its tasks count as active until it is known to be gone. Without a list (the cloud's
// API may be down for minutes) the machines that the records name are waited for.
func (t *term) enoughMachinesHeard(now time.Time) bool {
	if !t.state.MachineListReceived && now.Sub(t.state.TermStartedAt) < machineListWait {
		return false
	}
	heard, missing := t.countFirstHeartbeats()
	return missing == 0 || missing <= heard && heard > largeDeployment
}

// countFirstHeartbeats counts the machines that have sent a heartbeat with this term's
// token, and those that should but have not.
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

// awaitsHeartbeat reports whether a machine that was not heard seems to be up.
func (t *term) awaitsHeartbeat(m *cluster.Machine) bool {
	listed := m.Addr != "" || !t.state.MachineListReceived
	return listed && m.UnansweredCommands == 0
}
