package agents

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// CommandsFor returns the commands for the answer to a heartbeat. Whatever has not been
// shown to have arrived is repeated.
func (dp *Dispatcher) CommandsFor(machine *cluster.Machine, heartbeat *wire.Heartbeat, now time.Time) []wire.Command {
	commands := dp.StopCommands(machine, []wire.Command{}, now)
	commands = appendLaunches(commands, machine, heartbeat)
	return dp.appendCleanups(commands, machine, heartbeat)
}

// StopCommands appends the stops of a machine's attempts that are to stop. They may be sent
// without the key-value store too: a stop starts nothing.
func (dp *Dispatcher) StopCommands(machine *cluster.Machine, commands []wire.Command, now time.Time) []wire.Command {
	for task, attempt := range machine.Tasks {
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

// appendLaunches appends the launches of a machine's attempts that it has not shown yet.
func appendLaunches(commands []wire.Command, machine *cluster.Machine, heartbeat *wire.Heartbeat) []wire.Command {
	for task, attempt := range machine.Tasks {
		if len(commands) >= MaxCommands {
			break
		}
		if awaitsLaunch(attempt) && !attempt.LaunchInFlight && machine.Inbound.Works() {
			commands = append(commands, launchCommand(task, attempt))
			attempt.LaunchSent, attempt.LaunchEpoch = true, heartbeat.Epoch
			attempt.ReplyEpoch, attempt.ReplySequence = heartbeat.Epoch, heartbeat.Sequence
		}
	}
	return commands
}

// appendCleanups appends the commands for what a heartbeat shows and this leader has no
// record of: a stop if it runs, else a forget once that is allowed.
func (dp *Dispatcher) appendCleanups(commands []wire.Command, machine *cluster.Machine, heartbeat *wire.Heartbeat) []wire.Command {
	for i := range heartbeat.Tasks {
		state := &heartbeat.Tasks[i]
		if len(commands) >= MaxCommands {
			break
		}
		task, err := wire.ParseTaskID(state.Task)
		if err != nil {
			continue
		}
		if attempt := machine.Tasks[task]; attempt != nil && attempt.Number == state.Attempt {
			continue
		}
		switch {
		case dp.State.IsQuarantined(task.Job): // it may be one of those that can't be decoded
		case state.Phase != wire.PhaseExited:
			atOnce := wire.Seconds(0)
			commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: state.Task, Attempt: state.Attempt, GracePeriod: &atOnce})
		case dp.mayForget(machine, task, heartbeat):
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: state.Task, Attempt: state.Attempt})
		}
	}
	return commands
}

// mayForget reports whether an agent may forget the outcome of an attempt: it is stored,
// and no launch that could start the attempt again is in flight to the agent. A forgotten
// attempt that is launched late would run once more. If such a launch may be in flight it
// asks for a higher token, which ends it.
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

// outcomeStored reports whether the outcomes of a task's attempts are stored; job is nil if
// it is not known, that is archived.
func outcomeStored(job *cluster.Job, task wire.TaskID) bool {
	if job == nil {
		return true
	}
	if job.Finished || job.Archiving {
		return false
	}
	index := task.Index / job.TasksPerChunk
	if index >= len(job.Chunks) {
		return true
	}
	chunk := job.Chunks[index]
	return chunk == nil || !chunk.Dirty && !chunk.WriteInFlight
}
