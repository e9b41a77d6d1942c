package wire

// TaskPhase is the state of a task on its machine.
type TaskPhase string

// The phases that workers report.
const (
	PhaseFetching TaskPhase = "pulling"
	PhaseRunning  TaskPhase = "running"
	PhaseWaiting  TaskPhase = "waiting" // for the other tasks of its gang
	PhaseSaving   TaskPhase = "saving"
	PhaseExited   TaskPhase = "exited"
)

// ExitCause says why a task ended.
type ExitCause string

// The causes that workers report.
const (
	CauseDone    ExitCause = "done"
	CauseStopped ExitCause = "stopped"
	CauseError   ExitCause = "error"
	CauseFull    ExitCause = "full"
	CauseBusy    ExitCause = "busy"
	CauseNoSuch  ExitCause = "no_such"
	// Of a gang's task: another one is gone, or the gang was not complete in
	// time. No fault of the machine that it happens on.
	CauseGangBroken     ExitCause = "mates_gone"
	CauseGangIncomplete ExitCause = "alone"
)

// TaskState is one task in a report.
type TaskState struct {
	Task    string    `cbor:"part"`
	Attempt Attempt   `cbor:"try"`
	Phase   TaskPhase `cbor:"status"`
	Cause   ExitCause `cbor:"cause,omitempty"`
	Saved   bool      `cbor:"saved,omitempty"`
}

// Heartbeat is what a worker says of itself.
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
	Tasks      []TaskState  `cbor:"parts"`
}

// Newer tells whether the report was made after the given session and sequence
// number.
func (r *Heartbeat) Newer(session AgentEpoch, sequence Sequence) bool {
	return r.Epoch > session || r.Epoch == session && r.Sequence > sequence
}

// Verb of a command.
type Verb string

// The verbs that workers know.
const (
	Launch Verb = "launch"
	Stop   Verb = "halt"
	Forget Verb = "forget"
)

// Command is one command to a worker.
type Command struct {
	Verb        Verb     `cbor:"verb"`
	Task        string   `cbor:"part"`
	Attempt     Attempt  `cbor:"try"`
	GracePeriod *Seconds `cbor:"windDownS,omitempty"`
}

// Commands answers a report (no session) or goes straight to a worker.
type Commands struct {
	Token    FencingToken `cbor:"baton"`
	Epoch    AgentEpoch   `cbor:"shift,omitempty"`
	Commands []Command    `cbor:"orders"`
}

// Redirect sends a worker to the node that leads.
type Redirect struct {
	ReportsTo NodeID `cbor:"reportsTo,omitempty"`
}
