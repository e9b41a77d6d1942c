package leader

import (
	"fmt"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/progress"
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

// versionChecked is the version of the behaviour that is active; 0: not known.
type versionChecked struct{ version upgrade.Version }

// viewRequested asks for the operators' view.
type viewRequested struct{ reply chan<- *View }

// handle hands an event to the part of the term that it is for.
func (t *term) handle(event core.Event) {
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
		t.scaler.AdoptIntents(e.intents)
		t.leader.Cancels.RecordRead(e.startedAt)
	case jobRecordsChanged:
		t.records.applyChanges(e.changes)
		t.leader.Cancels.RecordRead(e.startedAt)
	case progress.JobRecordReread:
		t.records.onReread(e)
	case progress.RereadDue:
		t.committer.Reread(e.Job)
	case resignationDue:
		t.Resign(e.reason)
	case versionChecked:
		t.takeVersion(e.version)
	case agents.CommandAnswer:
		t.reconciler.OnCommandAnswer(e)
	case agents.ProbeAnswer:
		t.reconciler.OnCommandAnswer(e.CommandAnswer)
		e.Machine.RelayUnanswered = e.Err != nil && e.Relayed
	case autoscaler.ScaleOutsRecorded:
		t.scaler.OnScaleOutsRecorded(e.Fresh, e.Err)
	case autoscaler.ScaleOutAnswered:
		t.scaler.OnScaleOutAnswered(e.Request, e.Machines, e.Err)
	case autoscaler.ScaledIn:
		t.scaler.OnScaledIn(e.Machines)
	case progress.TxnAnswered:
		t.committer.OnTxnResult(e.Batch, e.Revision, e.Err)
	case progress.TokenRaised:
		t.committer.OnTokenRaised(e.Token, e.Batch)
	case progress.TxnOutcomeRead:
		t.committer.OnOutcomeRead(e)
	case viewRequested:
		e.reply <- t.view(time.Now())
	default:
		t.Log.Error("unknown event", "type", fmt.Sprintf("%T", event))
	}
}
