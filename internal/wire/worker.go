package wire

import "slices"

// TaskPhase is the state of a task on its machine.
type TaskPhase string

// The phases in the heartbeats of agents.
const (
	PhaseFetching      TaskPhase = "pulling" // fetches its image
	PhaseRunning       TaskPhase = "running"
	PhaseWaiting       TaskPhase = "waiting" // waits for the other tasks of its gang
	PhaseCheckpointing TaskPhase = "saving"  // takes a checkpoint
	PhaseExited        TaskPhase = "exited"
)

// ExitCause says why a task ended.
type ExitCause string

// The causes in the heartbeats of agents.
const (
	CauseDone    ExitCause = "done"
	CauseStopped ExitCause = "stopped"
	CauseError   ExitCause = "error"
	CauseFull    ExitCause = "full"    // the launch was refused: the machine lacks resources for the task
	CauseBusy    ExitCause = "busy"    // the launch was refused: an earlier attempt of the task still runs
	CauseNoSuch  ExitCause = "no_such" // the launch was refused: there is no such task
	// CauseGangBroken and CauseGangIncomplete occur only with tasks of a gang: another task
	// of the gang has ended, or the gang was not complete in time. Neither counts as a
	// failure of the machine on which it happens.
	CauseGangBroken     ExitCause = "mates_gone"
	CauseGangIncomplete ExitCause = "alone"
)

// TaskStatus is the state of one task in a heartbeat.
type TaskStatus struct {
	Task            string        `cbor:"part"`
	Attempt         AttemptNumber `cbor:"try"`
	Phase           TaskPhase     `cbor:"status"`
	Cause           ExitCause     `cbor:"cause,omitempty"`
	CheckpointSaved bool          `cbor:"saved,omitempty"`
}

// Heartbeat is the heartbeat of an agent, with its status and that of its tasks.
type Heartbeat struct {
	Machine    MachineID    `cbor:"host"`
	Addr       string       `cbor:"addr"`
	Type       MachineType  `cbor:"kit"`
	Zone       Zone         `cbor:"site"`
	Spot       bool         `cbor:"standby"`
	Epoch      AgentEpoch   `cbor:"shift"`
	Sequence   Sequence     `cbor:"tally"`
	Token      FencingToken `cbor:"baton"`
	SpotNotice *Seconds     `cbor:"warningS"`
	Tasks      []TaskStatus `cbor:"parts"`
}

// IsNewerThan reports whether the heartbeat was made after the agent's heartbeat with the
// given epoch and sequence number.
func (h *Heartbeat) IsNewerThan(epoch AgentEpoch, sequence Sequence) bool {
	return h.Epoch > epoch || h.Epoch == epoch && h.Sequence > sequence
}

// Lists reports whether the heartbeat has a status of the attempt of a task.
func (h *Heartbeat) Lists(task TaskID, attempt AttemptNumber) bool {
	name := task.String()
	return slices.ContainsFunc(h.Tasks, func(status TaskStatus) bool {
		return status.Task == name && status.Attempt == attempt
	})
}

// HasUnfinishedTask reports whether the heartbeat has a task that has not exited.
func (h *Heartbeat) HasUnfinishedTask() bool {
	return slices.ContainsFunc(h.Tasks, func(status TaskStatus) bool { return status.Phase != PhaseExited })
}

// HeartbeatPosition is the place of a heartbeat among those of its machine. The zero value precedes
// all heartbeats.
type HeartbeatPosition struct {
	Epoch    AgentEpoch
	Sequence Sequence
	Token    FencingToken // highest token that the agent had seen
}

// Position returns the heartbeat's position.
func (h *Heartbeat) Position() HeartbeatPosition {
	return HeartbeatPosition{Epoch: h.Epoch, Sequence: h.Sequence, Token: h.Token}
}

// Precedes reports whether a heartbeat is newer than the one at the position. The order of epochs
// and sequence numbers holds for one agent only: a machine that restarts has a new agent, which
// counts from the start. But no agent shows a lower token than before. A heartbeat with a lower
// token is therefore a late copy, or of an agent that has restarted since.
func (p HeartbeatPosition) Precedes(heartbeat *Heartbeat) bool {
	return heartbeat.Token >= p.Token && heartbeat.IsNewerThan(p.Epoch, p.Sequence)
}

// Verb says what a command tells an agent to do.
type Verb string

// The verbs of commands.
const (
	VerbLaunch Verb = "launch"
	VerbStop   Verb = "halt"
	VerbForget Verb = "forget" // leave an exited task out of further heartbeats
)

// Command is one command to an agent, about one attempt of a task.
type Command struct {
	Verb        Verb          `cbor:"verb"`
	Task        string        `cbor:"part"`
	Attempt     AttemptNumber `cbor:"try"`
	GracePeriod *Seconds      `cbor:"windDownS,omitempty"`
}

// StopAtOnce returns the command that stops the task without a grace period.
func (s *TaskStatus) StopAtOnce() Command {
	noGracePeriod := Seconds(0)
	return Command{Verb: VerbStop, Task: s.Task, Attempt: s.Attempt, GracePeriod: &noGracePeriod}
}

// Commands is the response to a heartbeat, or a request that is sent to an agent directly.
// Epoch is set only in the request.
type Commands struct {
	Token    FencingToken `cbor:"baton"`
	Epoch    AgentEpoch   `cbor:"shift,omitempty"`
	Commands []Command    `cbor:"orders"`
}

// Redirect is a response to a heartbeat that refers the agent to the leader.
type Redirect struct {
	Leader NodeID `cbor:"reportsTo,omitempty"`
}
