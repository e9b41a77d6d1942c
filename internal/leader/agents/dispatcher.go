package agents

import (
	"context"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/wire"
)

// Dispatcher sends commands to the agents: launches of what is stored, stops, and
// probes. What is not known to have arrived it sends again.
type Dispatcher struct {
	*core.Loop
	State  *cluster.State
	Agents *Client
	// tokenAnnounced: every machine of the first list has been shown the token.
	TokenAnnounced bool
}

// MaxCommands keeps an answer, or a command, within the size that workers take.
const MaxCommands = 400

// CommandsFor returns the commands for the answer to a report: whatever has not been shown to have
// arrived is repeated.
func (dp *Dispatcher) CommandsFor(m *cluster.Machine, rep *wire.Heartbeat, now time.Time) []wire.Command {
	out := dp.StopCommands(m, []wire.Command{}, now)
	for task, a := range m.Tasks {
		if len(out) >= MaxCommands {
			return out
		}
		if !a.Stopping && !a.Unstored && !a.Observed && !a.LaunchInFlight && m.DrainReason == "" && !a.Job.Cancelled && !a.Inherited && m.Inbound.Works() && a.MayLaunch() {
			out = append(out, wire.Command{Verb: wire.Launch, Task: task.String(), Attempt: a.Number})
			a.LaunchSent, a.LaunchEpoch, a.ReplyEpoch, a.ReplySequence = true, rep.Epoch, rep.Epoch, rep.Sequence
		}
	}
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		if len(out) >= MaxCommands {
			return out
		}
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.Tasks[task]; a != nil && a.Number == p.Attempt {
			continue
		}
		switch {
		case dp.State.Quarantined(task.Job): // it may be one of those that can't be read
		case p.Phase != wire.PhaseExited:
			zero := wire.Seconds(0)
			out = append(out, wire.Command{Verb: wire.Stop, Task: p.Task, Attempt: p.Attempt, GracePeriod: &zero})
		case dp.mayForget(m, task, rep):
			out = append(out, wire.Command{Verb: wire.Forget, Task: p.Task, Attempt: p.Attempt})
		}
	}
	return out
}

// StopCommands adds the halts of a machine's tasks that are to stop. These may be
// sent without the state service too: a halt starts nothing.
func (dp *Dispatcher) StopCommands(m *cluster.Machine, out []wire.Command, now time.Time) []wire.Command {
	for task, a := range m.Tasks {
		if len(out) >= MaxCommands {
			break
		}
		if a.Stopping && !a.Unstored {
			out = append(out, stopCommand(task, a))
			a.StopSentAt = now
		}
	}
	return out
}

// mayForget: the outcome is stored, and no launch that could start the
// attempt again is under way to the worker. A forgotten attempt that is
// launched late would run once more.
func (dp *Dispatcher) mayForget(m *cluster.Machine, task wire.Task, rep *wire.Heartbeat) bool {
	if m.LaunchMayArrive(rep) {
		dp.Fencing.RaiseRequested = true // a new token ends what may still be on its way
		return false
	}
	if m.CommandInFlight || rep.Token < dp.State.FirstToken {
		return false
	}
	j := dp.State.Jobs[task.Job]
	if j == nil {
		return true
	}
	if j.Finished || j.Archiving {
		return false
	}
	n := task.Index / j.TasksPerChunk
	if n >= len(j.Chunks) {
		return true
	}
	c := j.Chunks[n]
	return c == nil || !c.Dirty && !c.WriteInFlight
}

func stopCommand(task wire.Task, a *cluster.Attempt) wire.Command {
	w := a.GracePeriod
	return wire.Command{Verb: wire.Stop, Task: task.String(), Attempt: a.Number, GracePeriod: &w}
}

// Dispatch sends what is new for a machine straight to it.
func (dp *Dispatcher) Dispatch(m *cluster.Machine) {
	// Without the state service what is to stop is still halted.
	withoutState := !dp.Lease.Deciding()
	if m.CommandInFlight || m.Addr == "" || m.FirstHeartbeatAt.IsZero() || m.ScalingIn || withoutState && !dp.Lease.Answering() {
		return
	}
	now := time.Now()
	cmd := wire.Commands{Token: dp.Fencing.Token, Epoch: m.Epoch}
	var launched []*cluster.Attempt
	for task, a := range m.Tasks {
		switch {
		case a.Unstored || len(cmd.Commands) >= MaxCommands:
		case a.Stopping:
			if now.Sub(a.StopSentAt) > 1500*time.Millisecond {
				cmd.Commands = append(cmd.Commands, stopCommand(task, a))
				a.StopSentAt = now
			}
		case !withoutState && a.MayLaunch() && !a.LaunchSent && !a.Inherited && !a.Observed && m.DrainReason == "" && !a.Job.Cancelled:
			cmd.Commands = append(cmd.Commands, wire.Command{Verb: wire.Launch, Task: task.String(), Attempt: a.Number})
			a.LaunchSent, a.LaunchEpoch, a.LaunchInFlight = true, m.Epoch, true
			launched = append(launched, a)
		}
	}
	if len(cmd.Commands) > 0 {
		dp.sendCommands(m, cmd, launched)
	}
}

// sendCommands sends a direct command and takes in its answer.
func (dp *Dispatcher) sendCommands(m *cluster.Machine, cmd wire.Commands, launched []*cluster.Attempt) {
	m.CommandInFlight = true
	addr, asked := m.Addr, Position{m.Epoch, m.Sequence}
	dp.Spawn(func(ctx context.Context) {
		heartbeat, status, err := dp.Agents.Send(ctx, addr, cmd, commandTimeout)
		dp.Post(CommandAnswer{m, asked, cmd, launched, heartbeat, status, err})
	})
}

const (
	// commandTimeout is how long a command's answer is waited for. What is
	// not answered may still be executed: launches are careful with it.
	commandTimeout = 2500 * time.Millisecond
	// ProbeTimeout is shorter, as two in a row tell a machine's end.
	ProbeTimeout = 1200 * time.Millisecond
)
