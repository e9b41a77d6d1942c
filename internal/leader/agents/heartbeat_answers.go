package agents

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/wire"
)

// HeartbeatResponseCommands returns the commands for the response to a heartbeat. A command is
// repeated until a heartbeat shows that it has arrived.
func (dp *Dispatcher) HeartbeatResponseCommands(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) []wire.Command {
	commands := dp.AppendStops(machine, []wire.Command{}, now)
	commands = dp.appendLaunches(commands, machine, heartbeat)
	return dp.appendCleanups(commands, machine, heartbeat)
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
		if awaitsLaunch(attempt) && !attempt.LaunchInFlight && machine.Inbound.Works() {
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
func (dp *Dispatcher) appendCleanups(commands []wire.Command, machine *cluster.Machine, heartbeat *wire.Heartbeat) []wire.Command {
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
			noGracePeriod := wire.Seconds(0)
			commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: status.Task, Attempt: status.Attempt, GracePeriod: &noGracePeriod})
		case dp.mayForget(machine, task, heartbeat):
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: status.Task, Attempt: status.Attempt})
			dp.Attempts.ForgetOrdered(status.Task, status.Attempt, machine.ID, dp.forgetGround(task))
		}
	}
	return commands
}

// mayForget reports whether an agent may forget the outcome of an attempt: the outcome is
// stored, the agent has seen a token of this term, and no launch that could start the attempt
// again is in flight to it. A late launch would run a forgotten attempt again. If an unanswered
// launch may still arrive, mayForget requests a higher fencing token, with which the agent drops
// that launch.
func (dp *Dispatcher) mayForget(machine *cluster.Machine, task wire.TaskID, heartbeat *wire.Heartbeat) bool {
	if machine.LaunchMayArrive(heartbeat) {
		dp.Fencing.RaiseRequested = true
		return false
	}
	if machine.CommandInFlight || heartbeat.Token < dp.State.FirstToken {
		return false
	}
	return outcomeStored(dp.State.Jobs[task.Job], task)
}

// forgetGround says for the log why the outcome of a task's attempt counts as stored.
func (dp *Dispatcher) forgetGround(task wire.TaskID) string {
	if dp.State.Jobs[task.Job] == nil {
		return "job archived"
	}
	return "outcome stored"
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
