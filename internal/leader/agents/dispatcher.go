package agents

import (
	"context"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/wire"
)

// Dispatcher sends launches of stored attempts, stops and probes to the agents. It sends
// again what is not known to have arrived. It is used by the goroutine of the term's loop
// alone.
type Dispatcher struct {
	*core.Loop
	State  *cluster.State
	Client *Client
	// TokenAnnounced is set once every machine of the first list has been shown the token.
	TokenAnnounced bool
}

const (
	// MaxCommands keeps an answer, or a direct command, within the size that agents accept.
	MaxCommands = 400
	// commandTimeout is how long the answer to a command is waited for. A command that is
	// not answered may still be executed, which launches account for.
	commandTimeout = 2500 * time.Millisecond
	// directStopInterval is the least time between two direct stops of an attempt.
	directStopInterval = 1500 * time.Millisecond
)

// Dispatch sends the commands that a machine has not been sent yet directly to it. Without
// the key-value store it sends stops alone.
func (dp *Dispatcher) Dispatch(machine *cluster.Machine) {
	mayLaunch := dp.Lease.Deciding()
	if !canReceive(machine) || !mayLaunch && !dp.Lease.MayAnswerHeartbeats() {
		return
	}
	now := time.Now()
	commands := wire.Commands{Token: dp.Fencing.Token, Epoch: machine.Epoch}
	var launched []*cluster.Attempt
	for task, attempt := range machine.Tasks {
		if len(commands.Commands) >= MaxCommands {
			break
		}
		switch {
		case directStopDue(attempt, now):
			commands.Commands = append(commands.Commands, stopCommand(task, attempt))
			attempt.StopSentAt = now
		case mayLaunch && awaitsLaunch(attempt) && !attempt.LaunchSent:
			commands.Commands = append(commands.Commands, launchCommand(task, attempt))
			attempt.LaunchSent, attempt.LaunchEpoch, attempt.LaunchInFlight = true, machine.Epoch, true
			launched = append(launched, attempt)
		}
	}
	if len(commands.Commands) > 0 {
		dp.sendCommands(machine, commands, launched)
	}
}

// canReceive reports whether a direct command can be sent to a machine now: it has sent a
// heartbeat in this term, is not being scaled in, and no other command is in flight.
func canReceive(machine *cluster.Machine) bool {
	known := machine.Addr != "" && !machine.FirstHeartbeatAt.IsZero()
	return known && !machine.CommandInFlight && !machine.ScalingIn
}

// directStopDue reports whether a stop of an attempt is to be sent directly.
func directStopDue(attempt *cluster.Attempt, now time.Time) bool {
	return attempt.Stopping && !attempt.Unstored && now.Sub(attempt.StopSentAt) > directStopInterval
}

// awaitsLaunch reports whether a launch of an attempt may be sent, and no heartbeat has
// shown the attempt yet.
func awaitsLaunch(attempt *cluster.Attempt) bool {
	notStarted := !attempt.SeenInHeartbeat && !attempt.Inherited
	stillWanted := !attempt.Stopping && !attempt.Job.Cancelled && attempt.Machine.DrainReason == ""
	return !attempt.Unstored && notStarted && stillWanted && attempt.MayLaunch()
}

// sendCommands sends a direct command. Its outcome is posted to the term's loop.
func (dp *Dispatcher) sendCommands(machine *cluster.Machine, commands wire.Commands, launched []*cluster.Attempt) {
	machine.CommandInFlight = true
	addr, known := machine.Addr, positionOf(machine)
	dp.Spawn(func(ctx context.Context) {
		heartbeat, status, err := dp.Client.Send(ctx, addr, commands, commandTimeout)
		dp.Post(CommandAnswer{
			Machine:     machine,
			KnownBefore: known,
			Commands:    commands,
			Launched:    launched,
			Heartbeat:   heartbeat,
			Status:      status,
			Err:         err,
		})
	})
}

func launchCommand(task wire.TaskID, attempt *cluster.Attempt) wire.Command {
	return wire.Command{Verb: wire.VerbLaunch, Task: task.String(), Attempt: attempt.Number}
}

func stopCommand(task wire.TaskID, attempt *cluster.Attempt) wire.Command {
	gracePeriod := attempt.GracePeriod
	return wire.Command{Verb: wire.VerbStop, Task: task.String(), Attempt: attempt.Number, GracePeriod: &gracePeriod}
}
