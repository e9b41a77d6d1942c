package reconcile

import (
	"errors"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/wire"
)

// Reconciler compares the heartbeats of the agents with the records and answers them. It is
// not safe for concurrent use: only the goroutine of the term's loop uses it.
type Reconciler struct {
	*core.Loop
	*drainer
	faults     *faultDetector
	state      *cluster.State
	delegate   *delegation.Delegate
	dispatcher *agents.Dispatcher
	scaler     *autoscaler.Scaler
	// EarlyHeartbeats holds, for each machine, the newest heartbeat that arrived before the
	// records were read. It is nil after those heartbeats are reconciled.
	EarlyHeartbeats map[wire.MachineID]wire.Heartbeat
}

// NewReconciler returns the reconciler of a term.
func NewReconciler(loop *core.Loop, state *cluster.State, delegate *delegation.Delegate, dispatcher *agents.Dispatcher, scaler *autoscaler.Scaler) *Reconciler {
	drainer := &drainer{Loop: loop, state: state, dispatcher: dispatcher}
	return &Reconciler{
		Loop:            loop,
		drainer:         drainer,
		faults:          &faultDetector{drainer},
		state:           state,
		delegate:        delegate,
		dispatcher:      dispatcher,
		scaler:          scaler,
		EarlyHeartbeats: map[wire.MachineID]wire.Heartbeat{},
	}
}

// HeartbeatCall is a heartbeat with the channel for its response.
type HeartbeatCall struct {
	Heartbeat wire.Heartbeat
	Relayed   bool // the heartbeat came through another controller
	Response  chan HeartbeatResponse
}

// HeartbeatResponse is the response to a heartbeat: commands, a redirect or a rejection.
type HeartbeatResponse struct {
	Commands *wire.Commands // nil if the heartbeat is redirected or rejected
	Redirect bool           // the agent should send its heartbeats to this node directly
	Rejected error          // why the heartbeat is not answered
}

// Reasons for rejecting a heartbeat. The agent then sends it to another controller. The texts
// are sent to the agent.
var (
	errNotLeading           = errors.New("can't tell whether this node still leads")
	errCancellationsUnknown = errors.New("can't tell what was cancelled")
	errMachineRemoved       = errors.New("this machine was returned")
	errMachineRestarted     = errors.New("this machine restarted and is being returned")
	errStaleHeartbeat       = errors.New("an older report than the last")
	errCancelPending        = errors.New("a cancelled task may still start there")
)
