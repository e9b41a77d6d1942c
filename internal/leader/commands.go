package leader

import (
	"context"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// dispatcher sends commands to the agents: launches of what is stored, stops, and
// probes. What is not known to have arrived it sends again.
type dispatcher struct {
	*eventLoop
	state   *State
	fencing *fencing
	// tokenAnnounced: every machine of the first list has been shown the token.
	tokenAnnounced bool
}

// maxCommands keeps an answer, or a command, within the size that workers take.
const maxCommands = 400

// commands for the answer to a report: whatever has not been shown to have
// arrived is repeated.
func (dp *dispatcher) commandsFor(m *machine, rep *wire.Heartbeat, now time.Time) []wire.Command {
	out := dp.stopCommands(m, []wire.Command{}, now)
	for task, a := range m.tasks {
		if len(out) >= maxCommands {
			return out
		}
		if !a.stopping && !a.unstored && !a.observed && !a.launchInFlight && m.drainReason == "" && !a.job.cancelled && !a.inherited && m.inbound.Works() && a.mayLaunch() {
			out = append(out, wire.Command{Verb: wire.Launch, Task: task.String(), Attempt: a.number})
			a.launchSent, a.launchEpoch, a.replyEpoch, a.replySequence = true, rep.Epoch, rep.Epoch, rep.Sequence
		}
	}
	for i := range rep.Tasks {
		p := &rep.Tasks[i]
		if len(out) >= maxCommands {
			return out
		}
		task, err := wire.ParseTask(p.Task)
		if err != nil {
			continue
		}
		if a := m.tasks[task]; a != nil && a.number == p.Attempt {
			continue
		}
		switch {
		case dp.state.quarantined(task.Job): // it may be one of those that can't be read
		case p.Phase != wire.PhaseExited:
			zero := wire.Seconds(0)
			out = append(out, wire.Command{Verb: wire.Stop, Task: p.Task, Attempt: p.Attempt, GracePeriod: &zero})
		case dp.mayForget(m, task, rep):
			out = append(out, wire.Command{Verb: wire.Forget, Task: p.Task, Attempt: p.Attempt})
		}
	}
	return out
}

// stopCommands adds the halts of a machine's tasks that are to stop. These may be
// sent without the state service too: a halt starts nothing.
func (dp *dispatcher) stopCommands(m *machine, out []wire.Command, now time.Time) []wire.Command {
	for task, a := range m.tasks {
		if len(out) >= maxCommands {
			break
		}
		if a.stopping && !a.unstored {
			out = append(out, stopCommand(task, a))
			a.stopSentAt = now
		}
	}
	return out
}

// dispatcher.mayForget: the outcome is stored, and no launch that could start the
// attempt again is under way to the worker. A forgotten attempt that is
// launched late would run once more.
func (dp *dispatcher) mayForget(m *machine, task wire.Task, rep *wire.Heartbeat) bool {
	if m.launchMayArrive(rep) {
		dp.fencing.raiseRequested = true // a new token ends what may still be on its way
		return false
	}
	if m.commandInFlight || rep.Token < dp.state.firstToken {
		return false
	}
	j := dp.state.jobs[task.Job]
	if j == nil {
		return true
	}
	if j.finished || j.archiving {
		return false
	}
	n := task.Index / j.tasksPerChunk
	if n >= len(j.chunks) {
		return true
	}
	c := j.chunks[n]
	return c == nil || !c.dirty && !c.writeInFlight
}

func stopCommand(task wire.Task, a *attempt) wire.Command {
	w := a.gracePeriod
	return wire.Command{Verb: wire.Stop, Task: task.String(), Attempt: a.number, GracePeriod: &w}
}

// dispatch sends what is new for a machine straight to it.
func (dp *dispatcher) dispatch(m *machine) {
	// Without the state service what is to stop is still halted.
	withoutState := !dp.lease.Deciding()
	if m.commandInFlight || m.addr == "" || m.firstHeartbeatAt.IsZero() || m.scalingIn || withoutState && !dp.lease.Answering() {
		return
	}
	now := time.Now()
	cmd := wire.Commands{Token: dp.fencing.token, Epoch: m.epoch}
	var launched []*attempt
	for task, a := range m.tasks {
		switch {
		case a.unstored || len(cmd.Commands) >= maxCommands:
		case a.stopping:
			if now.Sub(a.stopSentAt) > 1500*time.Millisecond {
				cmd.Commands = append(cmd.Commands, stopCommand(task, a))
				a.stopSentAt = now
			}
		case !withoutState && a.mayLaunch() && !a.launchSent && !a.inherited && !a.observed && m.drainReason == "" && !a.job.cancelled:
			cmd.Commands = append(cmd.Commands, wire.Command{Verb: wire.Launch, Task: task.String(), Attempt: a.number})
			a.launchSent, a.launchEpoch, a.launchInFlight = true, m.epoch, true
			launched = append(launched, a)
		}
	}
	if len(cmd.Commands) > 0 {
		dp.sendCommands(m, cmd, launched)
	}
}

// sendCommands sends a direct command and takes in its answer.
func (dp *dispatcher) sendCommands(m *machine, cmd wire.Commands, launched []*attempt) {
	m.commandInFlight = true
	addr, asked := m.addr, heartbeatPosition{m.epoch, m.sequence}
	dp.spawn(func(ctx context.Context) {
		heartbeat, status, err := dp.leader.sendCommands(ctx, addr, cmd, commandTimeout)
		dp.post(commandAnswer{m, asked, cmd, launched, heartbeat, status, err})
	})
}

// heartbeatPosition of a report among all of a machine's.
type heartbeatPosition struct {
	epoch    wire.AgentEpoch
	sequence wire.Sequence
}

func (rc *reconciler) onCommandAnswer(e commandAnswer) {
	m, asked, cmd, launched, rep, status, err := e.machine, e.askedAt, e.commands, e.launched, e.heartbeat, e.status, e.err
	m.commandInFlight = false
	now := time.Now()
	for _, a := range launched {
		a.launchInFlight = false
	}
	switch {
	case err == nil && (status == http.StatusOK || status == http.StatusConflict) && rep.Machine == m.id:
		rc.leader.Metrics.Command("ok")
		rc.inboundWorks(m)
		m.lastMessageAt = now
		if !rep.Newer(asked.epoch, asked.sequence) && !m.restarted {
			// Made after we asked, and yet not newer than what we had then.
			rc.onRestart(m, rep, now)
			break
		}
		rc.reconcile(m, rep, false, now)
	case err != nil && wire.NotSent(err):
		rc.leader.Metrics.Command("not sent")
		m.unansweredProbes++
		m.heartbeatsMissingSince = time.Time{} // silent, which is looked after otherwise
		m.inbound.Unanswered()
		for _, a := range launched {
			if !a.observed {
				a.launchSent = false // certainly never left; the next report's answer carries it
			}
		}
	default:
		rc.leader.Metrics.Command("lost")
		m.unansweredProbes++
		m.heartbeatsMissingSince = time.Time{}
		m.inbound.Unanswered()
		rc.log().Debug("command not answered", "machine", m.id, "commands", len(cmd.Commands), "err", err, "status", status)
		for _, a := range launched {
			a.launchUnanswered, a.unansweredLaunchToken = true, cmd.Token
		}
		if len(launched) > 0 {
			m.unansweredLaunch = unansweredCommand{max(m.unansweredLaunch.token, cmd.Token), max(m.unansweredLaunch.epoch, cmd.Epoch)}
		}
	}
	if m.unansweredProbes == 0 {
		rc.dispatcher.dispatch(m)
	}
}

const (
	// commandTimeout is how long a command's answer is waited for. What is
	// not answered may still be executed: launches are careful with it.
	commandTimeout = 2500 * time.Millisecond
	// probeTimeout is shorter, as two in a row tell a machine's end.
	probeTimeout = 1200 * time.Millisecond
)

// sendCommands sends a command to a worker.
func (l *Leader) sendCommands(ctx context.Context, addr string, cmd wire.Commands, timeout time.Duration) (*wire.Heartbeat, int, error) {
	if cmd.Commands == nil {
		cmd.Commands = []wire.Command{}
	}
	line := l.commandSlots
	if len(cmd.Commands) == 0 {
		line = l.probeSlots
	}
	select {
	case line <- struct{}{}:
		defer func() { <-line }()
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, l.workerClient, "POST", "http://"+addr+"/commands", cmd, 1<<20)
	if err != nil {
		return nil, 0, err
	}
	var rep wire.Heartbeat
	if err := wire.Decode(raw, &rep); err != nil {
		return nil, 0, err
	}
	return &rep, status, nil
}
