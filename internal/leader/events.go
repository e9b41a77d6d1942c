package leader

import (
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

func (e machineListReceived) handle(t *term) {
	now := time.Now()
	t.state.MachineListRequestedAt = e.requestedAt
	t.inventory.onMachineList(e.machines, now)
	if !t.state.SchedulingEnabled {
		t.checkLeadership(now)
	}
}

// machineSpecsReceived says that the catalog of machine types is fresh.
type machineSpecsReceived struct{}

func (machineSpecsReceived) handle(t *term) { t.state.RequestCycle() }

// recordsRead is all that the state service holds for a new leader.
type recordsRead struct {
	jobs, progress []wire.Entry
	version        upgrade.Version
	intents        earlierIntents
	startedAt      time.Time // when the read began
}

func (e recordsRead) handle(t *term) {
	t.records.loadRecords(e.jobs, e.progress)
	t.state.ActiveVersion = e.version
	t.scaler.adoptIntents(e.intents)
	t.leader.Cancels.RecordRead(e.startedAt)
}

// jobRecordsChanged is the answer to one watch of the jobs' records.
type jobRecordsChanged struct {
	changes   []wire.Change
	startedAt time.Time // when the watch began
}

func (e jobRecordsChanged) handle(t *term) {
	t.records.applyChanges(e.changes)
	t.leader.Cancels.RecordRead(e.startedAt)
}

// jobRecordReread is the outcome of reading one job's record again.
type jobRecordReread struct {
	job   *cluster.Job
	entry wire.Entry
	err   error
}

func (e jobRecordReread) handle(t *term) { t.records.onReread(e) }

// rereadDue says that a job's record is to be read once more.
type rereadDue struct{ job *cluster.Job }

func (e rereadDue) handle(t *term) { t.committer.reread(e.job) }

// resignationDue says that the leadership must be given up.
type resignationDue struct{ reason string }

func (e resignationDue) handle(t *term) { t.resign(e.reason) }

// versionChecked is the version of the behaviour that is active; 0: not known.
type versionChecked struct{ version upgrade.Version }

func (e versionChecked) handle(t *term) { t.takeVersion(e.version) }

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

func (e commandAnswer) handle(t *term) { t.reconciler.onCommandAnswer(e) }

// probeAnswer is the outcome of a probe.
type probeAnswer struct {
	commandAnswer
	relayed bool // through another controller
}

func (e probeAnswer) handle(t *term) {
	t.reconciler.onCommandAnswer(e.commandAnswer)
	e.machine.RelayUnanswered = e.err != nil && e.relayed
}

// scaleOutsRecorded is the outcome of recording scale-outs before they are sent.
type scaleOutsRecorded struct {
	fresh []*scaling.PendingScaleOut
	err   error
}

func (e scaleOutsRecorded) handle(t *term) { t.scaler.onScaleOutsRecorded(e.fresh, e.err) }

// scaleOutAnswered is the cloud's final answer to a scale-out.
type scaleOutAnswered struct {
	request  *scaling.PendingScaleOut
	machines []wire.MachineID
	err      error
}

func (e scaleOutAnswered) handle(t *term) { t.scaler.onScaleOutAnswered(e.request, e.machines, e.err) }

// scaledIn says that the cloud has confirmed that machines are gone.
type scaledIn struct{ machines []wire.MachineID }

func (e scaledIn) handle(t *term) { t.scaler.onScaledIn(e.machines) }

// txnAnswered is the outcome of a transaction.
type txnAnswered struct {
	batch    *progress.Batch
	revision wire.Revision
	err      error
}

func (e txnAnswered) handle(t *term) { t.committer.onTxnResult(e.batch, e.revision, e.err) }

// tokenRaised is a higher fencing token that the term has taken; batch is the
// transaction whose outcome is to be read then, nil if there is none.
type tokenRaised struct {
	token wire.FencingToken
	batch *progress.Batch
}

func (e tokenRaised) handle(t *term) { t.committer.onTokenRaised(e.token, e.batch) }

// txnOutcomeRead tells what became of a transaction without an answer: revision is the
// current one of the key that guard names, 0 if there is no such key.
type txnOutcomeRead struct {
	batch    *progress.Batch
	guard    wire.Guard
	revision wire.Revision
}

func (e txnOutcomeRead) handle(t *term) { t.committer.onOutcomeRead(e) }

// viewRequested asks for the operators' view.
type viewRequested struct{ reply chan<- *View }

func (e viewRequested) handle(t *term) { e.reply <- t.view(time.Now()) }
