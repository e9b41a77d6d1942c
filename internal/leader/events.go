package leader

import (
	"fmt"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// machineListReceived is an answer of the cloud with its machine list.
type machineListReceived struct {
	machines    []wire.ListedMachine
	requestedAt time.Time
}

// machineSpecsReceived says that the catalog of machine types is fresh.
type machineSpecsReceived struct{}

// recordsRead is all that the state service holds for a new leader.
type recordsRead struct {
	jobs, progress []wire.Entry
	version        upgrade.Version
	intents        earlierIntents
	startedAt      time.Time // when the read began
}

// jobRecordsChanged is the answer to one watch of the jobs' records.
type jobRecordsChanged struct {
	changes   []wire.Change
	startedAt time.Time // when the watch began
}

// jobRecordReread is the outcome of reading one job's record again.
type jobRecordReread struct {
	job   *cluster.Job
	entry wire.Entry
	err   error
}

// rereadDue says that a job's record is to be read once more.
type rereadDue struct{ job *cluster.Job }

// resignationDue says that the leadership must be given up.
type resignationDue struct{ reason string }

// versionChecked is the version of the behaviour that is active; 0: not known.
type versionChecked struct{ version upgrade.Version }

// commandAnswer is the outcome of a direct command to an agent, or of a probe.
type commandAnswer struct {
	machine   *cluster.Machine
	askedAt   heartbeatPosition // newest position known when it was sent
	commands  wire.Commands
	launched  []*cluster.Attempt
	heartbeat *wire.Heartbeat
	status    int
	err       error
}

// probeAnswer is the outcome of a probe.
type probeAnswer struct {
	commandAnswer
	relayed bool // through another controller
}

// scaleOutsRecorded is the outcome of recording scale-outs before they are sent.
type scaleOutsRecorded struct {
	fresh []*scaling.PendingScaleOut
	err   error
}

// scaleOutAnswered is the cloud's final answer to a scale-out.
type scaleOutAnswered struct {
	request  *scaling.PendingScaleOut
	machines []wire.MachineID
	err      error
}

// scaledIn says that the cloud has confirmed that machines are gone.
type scaledIn struct{ machines []wire.MachineID }

// txnAnswered is the outcome of a transaction.
type txnAnswered struct {
	batch    *progress.Batch
	revision wire.Revision
	err      error
}

// tokenRaised is a higher fencing token that the term has taken; batch is the
// transaction whose outcome is to be read then, nil if there is none.
type tokenRaised struct {
	token wire.FencingToken
	batch *progress.Batch
}

// txnOutcomeRead tells what became of a transaction without an answer: revision is the
// current one of the key that guard names, 0 if there is no such key.
type txnOutcomeRead struct {
	batch    *progress.Batch
	guard    wire.Guard
	revision wire.Revision
}

// viewRequested asks for the operators' view.
type viewRequested struct{ reply chan<- *View }

// handle hands an event to the part of the term that it is for.
func (t *term) handle(event Event) {
	switch e := event.(type) {
	case machineListReceived:
		now := time.Now()
		t.state.MachineListRequestedAt = e.requestedAt
		t.inventory.onMachineList(e.machines, now)
		if !t.state.SchedulingEnabled {
			t.checkLeadership(now)
		}
	case machineSpecsReceived:
		t.state.RequestCycle()
	case recordsRead:
		t.records.loadRecords(e.jobs, e.progress)
		t.state.ActiveVersion = e.version
		t.scaler.adoptIntents(e.intents)
		t.leader.Cancels.RecordRead(e.startedAt)
	case jobRecordsChanged:
		t.records.applyChanges(e.changes)
		t.leader.Cancels.RecordRead(e.startedAt)
	case jobRecordReread:
		t.records.onReread(e)
	case rereadDue:
		t.committer.reread(e.job)
	case resignationDue:
		t.Resign(e.reason)
	case versionChecked:
		t.takeVersion(e.version)
	case commandAnswer:
		t.reconciler.onCommandAnswer(e)
	case probeAnswer:
		t.reconciler.onCommandAnswer(e.commandAnswer)
		e.machine.RelayUnanswered = e.err != nil && e.relayed
	case scaleOutsRecorded:
		t.scaler.onScaleOutsRecorded(e.fresh, e.err)
	case scaleOutAnswered:
		t.scaler.onScaleOutAnswered(e.request, e.machines, e.err)
	case scaledIn:
		t.scaler.onScaledIn(e.machines)
	case txnAnswered:
		t.committer.onTxnResult(e.batch, e.revision, e.err)
	case tokenRaised:
		t.committer.onTokenRaised(e.token, e.batch)
	case txnOutcomeRead:
		t.committer.onOutcomeRead(e)
	case viewRequested:
		e.reply <- t.view(time.Now())
	default:
		t.Log.Error("unknown event", "type", fmt.Sprintf("%T", event))
	}
}
