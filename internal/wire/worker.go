package wire

// Phase of a task on its machine.
type Phase string

// The phases that workers report.
const (
	Pulling Phase = "pulling"
	Active  Phase = "running"
	Waiting Phase = "waiting" // for the other tasks of its gang
	Saving  Phase = "saving"
	Exited  Phase = "exited"
)

// Cause of an exit.
type Cause string

// The causes that workers report.
const (
	CauseDone    Cause = "done"
	CauseStopped Cause = "stopped"
	CauseError   Cause = "error"
	CauseFull    Cause = "full"
	CauseBusy    Cause = "busy"
	CauseNoSuch  Cause = "no_such"
	// Of a gang's task: another one is gone, or the gang was not complete in
	// time. No fault of the machine that it happens on.
	CauseMatesGone Cause = "mates_gone"
	CauseAlone     Cause = "alone"
)

// PartState is one task in a report.
type PartState struct {
	Part  string  `cbor:"part"`
	Try   Attempt `cbor:"try"`
	Phase Phase   `cbor:"status"`
	Cause Cause   `cbor:"cause,omitempty"`
	Saved bool    `cbor:"saved,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Host     MachineID   `cbor:"host"`
	Addr     string      `cbor:"addr"`
	Kit      Kit         `cbor:"kit"`
	Site     Zone        `cbor:"site"`
	Standby  bool        `cbor:"standby"`
	Shift    Session     `cbor:"shift"`
	Tally    Tally       `cbor:"tally"`
	Baton    Token       `cbor:"baton"`
	WarningS *Seconds    `cbor:"warningS"`
	Parts    []PartState `cbor:"parts"`
}

// Newer tells whether the report was made after the given point of the
// worker's life.
func (r *Report) Newer(shift Session, tally Tally) bool {
	return r.Shift > shift || r.Shift == shift && r.Tally > tally
}

// Verb of a command.
type Verb string

// The verbs that workers know.
const (
	Launch Verb = "launch"
	Halt   Verb = "halt"
	Forget Verb = "forget"
)

// Order is one command to a worker.
type Order struct {
	Verb     Verb     `cbor:"verb"`
	Part     string   `cbor:"part"`
	Try      Attempt  `cbor:"try"`
	WindDown *Seconds `cbor:"windDownS,omitempty"`
}

// Orders answers a report (no session) or goes straight to a worker.
type Orders struct {
	Baton  Token   `cbor:"baton"`
	Shift  Session `cbor:"shift,omitempty"`
	Orders []Order `cbor:"orders"`
}

// Elsewhere sends a worker to the node that leads.
type Elsewhere struct {
	ReportsTo NodeID `cbor:"reportsTo,omitempty"`
}
