package agents

import (
	"context"
	"net/http"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// maxFenceRequests is how many requests one call of Client.Fence may make: the epoch of the agent may
// turn out to be another one, and the agent may start a task in between.
const maxFenceRequests = 3

// FenceOutcome is an event: the outcome of fencing a machine.
type FenceOutcome struct {
	Machine   *cluster.Machine
	Heartbeat *wire.Heartbeat // of the agent after it was fenced; nil if Err is set
	Err       error
}

// Fence shows a restarted machine a token above all under which launches were sent to it, and stops
// its tasks, see Client.Fence. The machine must not be used any more in this term, since it refuses
// the term's commands until the term acquires a higher token. The outcome is posted to the term's
// loop.
func (dp *Dispatcher) Fence(machine *cluster.Machine, heartbeat *wire.Heartbeat) {
	if machine.FenceInFlight || machine.Addr == "" {
		return
	}
	machine.FenceInFlight = true
	addr, token, seen := machine.Addr, dp.Fencing.Token+1, *heartbeat
	dp.Spawn(func(ctx context.Context) {
		fenced, err := dp.Client.Fence(ctx, addr, token, &seen, AnyTask)
		dp.Post(FenceOutcome{Machine: machine, Heartbeat: fenced, Err: err})
	})
}

// AnyTask selects every task of a heartbeat.
func AnyTask(*wire.TaskStatus) bool { return true }

// Fence shows the agent that sent a heartbeat a token and stops those of its tasks that mustStop
// selects, also ones that it has started since. From then on the agent refuses all commands with a
// lower token, late copies of them included. Fence returns the agent's heartbeat after that.
//
// A token is the revision of the leader's key. So one more than the token of the last leader is above
// all tokens under which launches were sent, and not above the token of the next leader.
func (c *Client) Fence(ctx context.Context, addr string, token wire.FencingToken, heartbeat *wire.Heartbeat, mustStop func(*wire.TaskStatus) bool) (*wire.Heartbeat, error) {
	latest := heartbeat
	for range maxFenceRequests {
		request := wire.Commands{Token: token, Epoch: latest.Epoch, Commands: stopsFor(latest, mustStop)}
		answer, status, err := c.Send(ctx, addr, request, ProbeTimeout)
		if err != nil {
			return nil, err
		}
		if answer.Machine != heartbeat.Machine {
			return nil, &WrongMachineError{Addr: addr, Want: heartbeat.Machine, Got: answer.Machine}
		}
		latest = answer
		accepted := status == http.StatusOK
		if accepted && len(stopsFor(latest, mustStop)) == 0 || latest.Token > token {
			break
		}
	}
	return latest, nil
}

// stopsFor returns the commands that stop those tasks of a heartbeat at once that have not exited and
// that mustStop selects.
func stopsFor(heartbeat *wire.Heartbeat, mustStop func(*wire.TaskStatus) bool) []wire.Command {
	var stops []wire.Command
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.Phase == wire.PhaseExited || !mustStop(status) || len(stops) >= MaxCommands {
			continue
		}
		stops = append(stops, status.StopAtOnce())
	}
	return stops
}
