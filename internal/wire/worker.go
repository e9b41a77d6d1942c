package wire

// TaskPhase is the state of a task on its machine.
type TaskPhase string

// The phases in the heartbeats of workers.
const (
	PhaseFetching      TaskPhase = "pulling" // of its image
	PhaseRunning       TaskPhase = "running"
	PhaseWaiting       TaskPhase = "waiting" // for the other tasks of its gang
	PhaseCheckpointing TaskPhase = "saving"  // of a checkpoint
	PhaseExited        TaskPhase = "exited"
)

// ExitCause says why a task ended.
type ExitCause string

// The causes in the heartbeats of workers.
const (
	CauseDone    ExitCause = "done"
	CauseStopped ExitCause = "stopped"
	CauseError   ExitCause = "error"
	CauseFull    ExitCause = "full"
	CauseBusy    ExitCause = "busy"
	CauseNoSuch  ExitCause = "no_such"
	// CauseGangBroken and CauseGangIncomplete are of a gang's task: another one has
	// ended, or the gang was not complete in time. Neither counts as a failure of the
	// machine on which it happens.
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

// Heartbeat is the heartbeat of a worker, with its status and that of its tasks.
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

// IsNewerThan reports whether the heartbeat was made after the one with the given epoch and
// sequence number.
func (h *Heartbeat) IsNewerThan(epoch AgentEpoch, sequence Sequence) bool {
	return h.Epoch > epoch || h.Epoch == epoch && h.Sequence > sequence
}

// Verb says what a command tells a worker to do.
type Verb string

// The verbs of commands.
const (
	VerbLaunch Verb = "launch"
	VerbStop   Verb = "halt"
	VerbForget Verb = "forget"
)

// Command is one command to a worker, about one attempt of a task.
type Command struct {
	Verb        Verb          `cbor:"verb"`
	Task        string        `cbor:"part"`
	Attempt     AttemptNumber `cbor:"try"`
	GracePeriod *Seconds      `cbor:"windDownS,omitempty"`
}

// Commands answers a heartbeat, without an epoch, or is sent to a worker directly.
type Commands struct {
	Token    FencingToken `cbor:"baton"`
	Epoch    AgentEpoch   `cbor:"shift,omitempty"`
	Commands []Command    `cbor:"orders"`
}

// Redirect refers a worker to the node that is the leader.
type Redirect struct {
	Leader NodeID `cbor:"reportsTo,omitempty"`
}
