package agents

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

const (
	// maxForgetDelay is how long an exit that waits for a higher token is kept before one is
	// acquired. Heartbeats list the exits meanwhile, and one token serves all machines.
	maxForgetDelay = time.Minute
	// manyKeptExits is the number of kept exits in one heartbeat from which a higher token is
	// acquired without that delay, so that they leave the machine most of its tasks.
	manyKeptExits = placement.MaxTasksPerMachine / 4
)

// HeartbeatResponseCommands returns the commands for the response to a heartbeat. A command is
// repeated until a heartbeat shows that it has arrived.
func (dp *Dispatcher) HeartbeatResponseCommands(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) []wire.Command {
	commands := dp.AppendStops(machine, []wire.Command{}, now)
	commands = dp.appendLaunches(commands, machine, heartbeat)
	return dp.appendCleanups(commands, machine, heartbeat, now)
}

// AppendStops appends a stop for each of a machine's attempts that is to be stopped. Stops
// may also be sent without the key-value store, because a stop starts nothing.
func (dp *Dispatcher) AppendStops(machine *cluster.Machine, commands []wire.Command, now time.Time) []wire.Command {
	for task, attempt := range machine.Attempts {
		if len(commands) >= MaxCommands {
			break
		}
		if attempt.Stopping && !attempt.Unstored {
			commands = append(commands, stopCommand(task, attempt))
			attempt.StopSentAt = now
		}
	}
	return commands
}

// appendLaunches appends a launch for each of a machine's attempts that may be launched and
// that no heartbeat has shown yet, unless a direct launch of it is in flight. It appends none
// while the path to the machine counts as lost.
func (dp *Dispatcher) appendLaunches(commands []wire.Command, machine *cluster.Machine, heartbeat *wire.Heartbeat) []wire.Command {
	for task, attempt := range machine.Attempts {
		if len(commands) >= MaxCommands {
			break
		}
		if awaitsLaunch(attempt) && !attempt.LaunchInFlight && machine.Inbound.Works() && dp.tokenAllowsLaunch(task, attempt) {
			commands = append(commands, launchCommand(task, attempt))
			attempt.LaunchSent, attempt.LaunchEpoch = true, heartbeat.Epoch
			attempt.ResponseEpoch, attempt.ResponseSequence = heartbeat.Epoch, heartbeat.Sequence
			dp.Attempts.Launched(task, attempt.Number, machine.ID, heartbeat.Epoch, core.LaunchedByHeartbeatResponse)
		}
	}
	return commands
}

// appendCleanups appends commands for the attempts in a heartbeat of which this leader has no
// record: a stop if the attempt has not exited, otherwise a forget once that is allowed.
func (dp *Dispatcher) appendCleanups(commands []wire.Command, machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) []wire.Command {
	keptExits := 0
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if len(commands) >= MaxCommands {
			break
		}
		task, err := wire.ParseTaskID(status.Task)
		if err != nil {
			continue
		}
		if attempt := machine.Attempts[task]; attempt != nil && attempt.Number == status.Attempt {
			continue
		}
		switch {
		case dp.State.IsQuarantined(task.Job): // its record may be one that can't be decoded
		case status.Phase != wire.PhaseExited:
			commands = append(commands, status.StopAtOnce())
		case dp.mayForget(machine, task, heartbeat):
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: status.Task, Attempt: status.Attempt})
			dp.Attempts.ForgetOrdered(status.Task, status.Attempt, machine.ID, dp.forgetGround(task))
		case dp.forgetAwaitsToken(machine, task, heartbeat):
			keptExits++
		}
	}
	if keptExits > 0 {
		dp.Fencing.RequestRaiseBy(now.Add(maxForgetDelay))
	}
	if keptExits >= manyKeptExits {
		dp.Fencing.LaunchesWait = true
	}
	return commands
}

// mayForget reports whether an agent may forget the outcome of an attempt: the outcome is
// stored, the agent has seen a token of this term, and no direct launch can start the attempt
// again. Such a launch may be in flight, or unanswered, or a copy of an answered one. The agent
// refuses it once it has a higher token, which the forget command brings, too.
func (dp *Dispatcher) mayForget(machine *cluster.Machine, task wire.TaskID, heartbeat *wire.Heartbeat) bool {
	if machine.LaunchMayArrive(heartbeat) {
		dp.Fencing.RaiseRequested = true
		return false
	}
	if machine.CommandInFlight || heartbeat.Token < dp.State.FirstToken {
		return false
	}
	if machine.DirectLaunchAcceptedWith(task, dp.Fencing.Token, heartbeat.Epoch) {
		return false
	}
	return outcomeStored(dp.State.Jobs[task.Job], task)
}

// forgetAwaitsToken reports whether an agent may forget the outcome of an attempt once the term
// has a higher token.
func (dp *Dispatcher) forgetAwaitsToken(machine *cluster.Machine, task wire.TaskID, heartbeat *wire.Heartbeat) bool {
	copyMayStart := machine.DirectLaunchAcceptedWith(task, dp.Fencing.Token, heartbeat.Epoch)
	return copyMayStart && outcomeStored(dp.State.Jobs[task.Job], task)
}

// forgetGround says for the log why an attempt of a task may be forgotten.
func (dp *Dispatcher) forgetGround(task wire.TaskID) string {
	if dp.State.Jobs[task.Job] == nil {
		return "job archived, no launch accepted"
	}
	return "outcome stored, no launch accepted"
}

// outcomeStored reports whether the outcomes of a task's attempts are stored. A nil job is
// one that this leader does not have because it is archived.
func outcomeStored(job *cluster.Job, task wire.TaskID) bool {
	if job == nil {
		return true
	}
	if job.Finished || job.Archiving {
		return false
	}
	chunkIndex := task.Index / job.TasksPerChunk
	if chunkIndex >= len(job.Chunks) {
		return true
	}
	chunk := job.Chunks[chunkIndex]
	return chunk == nil || !chunk.Dirty && !chunk.WriteInFlight
}
