package agents

import (
	"context"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/wire"
)

// Dispatcher sends launches of stored attempts, stops and probes to the agents. It repeats
// the commands that are not known to have arrived. Only the goroutine of the term's loop may
// use it.
type Dispatcher struct {
	*core.Loop
	State  *cluster.State
	Client *Client
	// TokenAnnounced is set once a machine list has been received and AnnounceToken finds no
	// machine to probe. It is cleared when a list shows a running machine that has not seen
	// the token.
	TokenAnnounced bool
	// waitingForToken are the machines to which launches may be sent only under a higher token.
	waitingForToken map[*cluster.Machine]struct{}
	// surpassedBy are the machines that have shown a higher token than the term's.
	surpassedBy map[*cluster.Machine]struct{}
}

const (
	// MaxCommands limits the commands in one heartbeat response or direct request, so that its
	// size stays within what agents accept.
	MaxCommands = 400
	// commandTimeout is how long a direct request waits for its response. Its commands may
	// still be executed after that, which cluster.LaunchDelivery accounts for.
	commandTimeout = 2500 * time.Millisecond
	// directStopInterval is the minimum interval between two direct stops of an attempt.
	directStopInterval = 1500 * time.Millisecond
)

// SendDueCommands sends a machine, in one direct request, the stops that are due and the
// launches that it has not been sent yet. Without the key-value store it sends only stops.
func (dp *Dispatcher) SendDueCommands(machine *cluster.Machine) {
	mayLaunch := dp.Lease.Deciding()
	if !canReceive(machine) || !mayLaunch && !dp.Lease.MayAnswerHeartbeats() {
		return
	}
	now := time.Now()
	commands := wire.Commands{Token: dp.Fencing.Token, Epoch: machine.Epoch}
	var launched []*cluster.Attempt
	for task, attempt := range machine.Attempts {
		if len(commands.Commands) >= MaxCommands {
			break
		}
		switch {
		case directStopDue(attempt, now):
			commands.Commands = append(commands.Commands, stopCommand(task, attempt))
			attempt.StopSentAt = now
		case mayLaunch && awaitsLaunch(attempt) && !attempt.LaunchSent && dp.tokenAllowsLaunch(task, attempt):
			commands.Commands = append(commands.Commands, launchCommand(task, attempt))
			attempt.LaunchSent, attempt.LaunchEpoch, attempt.LaunchInFlight = true, machine.Epoch, true
			machine.RecordDirectLaunch(task, cluster.DirectLaunch{Attempt: attempt.Number, Token: commands.Token, Epoch: commands.Epoch})
			launched = append(launched, attempt)
			dp.Attempts.Launched(task, attempt.Number, machine.ID, machine.Epoch, core.LaunchedDirectly)
		}
	}
	if len(commands.Commands) > 0 {
		dp.sendCommands(machine, commands, launched)
	}
}

// canReceive reports whether a direct command can be sent to a machine now: its address is
// known, it has sent a heartbeat in this term, it is not being scaled in, and no other direct
// request to it is in flight.
func canReceive(machine *cluster.Machine) bool {
	contacted := machine.Addr != "" && !machine.FirstHeartbeatAt.IsZero()
	return contacted && !machine.CommandInFlight && !machine.ScalingIn
}

// directStopDue reports whether a direct stop of an attempt is due.
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

// tokenAllowsLaunch reports whether an attempt may be launched under the present token. It may not
// while the agent accepts a copy of a direct launch of an earlier attempt of the same task, or has
// seen a higher token. Then a higher token is requested, and ContactWaitingMachines sends the launch.
func (dp *Dispatcher) tokenAllowsLaunch(task wire.TaskID, attempt *cluster.Attempt) bool {
	machine := attempt.Machine
	if machine.Token > dp.Fencing.Token {
		dp.AwaitHigherToken(machine)
		return false
	}
	if !machine.OtherDirectLaunchAcceptedWith(task, attempt.Number, dp.Fencing.Token, machine.Epoch) {
		return true
	}
	dp.Fencing.LaunchesWait = true
	if dp.waitingForToken == nil {
		dp.waitingForToken = map[*cluster.Machine]struct{}{}
	}
	dp.waitingForToken[machine] = struct{}{}
	return false
}

// AwaitHigherToken requests a higher token for a machine that has shown a higher one than the term's.
func (dp *Dispatcher) AwaitHigherToken(machine *cluster.Machine) {
	dp.Fencing.Surpassed = true
	if dp.surpassedBy == nil {
		dp.surpassedBy = map[*cluster.Machine]struct{}{}
	}
	dp.surpassedBy[machine] = struct{}{}
}

// ContactWaitingMachines shows the present token to the machines that had shown a higher one than
// the term's, and sends the launches that had to wait for a higher token. It is to be called when
// the term has acquired one. The answer to a probe has the launches of its machine sent.
func (dp *Dispatcher) ContactWaitingMachines() {
	for machine := range dp.surpassedBy {
		dp.Probe(machine)
	}
	waiting := dp.waitingForToken
	dp.waitingForToken, dp.surpassedBy = nil, nil
	for machine := range waiting {
		dp.SendDueCommands(machine)
	}
}

// sendCommands sends a direct request in the background and posts its outcome to the term's
// loop.
func (dp *Dispatcher) sendCommands(machine *cluster.Machine, commands wire.Commands, launched []*cluster.Attempt) {
	machine.CommandInFlight = true
	addr, lastPosition := machine.Addr, machine.HeartbeatPosition
	dp.Spawn(func(ctx context.Context) {
		heartbeat, status, err := dp.Client.Send(ctx, addr, commands, commandTimeout)
		dp.Post(CommandOutcome{
			Machine:             machine,
			LastHeartbeatBefore: lastPosition,
			Commands:            commands,
			Launched:            launched,
			Heartbeat:           heartbeat,
			Status:              status,
			Err:                 err,
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
