package leader

import (
	"fmt"
	"time"

	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/leader/recovery"
)

// handle dispatches an event to the part of the term that handles it.
func (t *term) handle(event core.Event) {
	switch e := event.(type) {
	case machineListReceived:
		t.onMachineList(e)
	case machineSpecsReceived:
		t.state.RequestCycle()
	case recovery.RecordsLoaded:
		t.onRecordsLoaded(e)
	case recovery.JobRecordsChanged:
		t.onJobRecordsChanged(e)
	case progress.JobRecordReread:
		t.records.OnJobRecordReread(e)
	case progress.RereadDue:
		t.committer.Reread(e.Job)
	case recovery.ResignationDue:
		t.Resign(e.Reason)
	case versionChecked:
		t.adoptVersion(e.version)
	case agents.CommandOutcome:
		t.reconciler.OnCommandOutcome(e)
	case agents.ProbeOutcome:
		t.onProbeOutcome(e)
	case agents.FenceOutcome:
		t.reconciler.OnFenceOutcome(e)
	case autoscaler.ScaleOutsRecorded:
		t.scaler.OnScaleOutsRecorded(e.Requests, e.Err)
	case autoscaler.ScaleOutAnswered:
		t.scaler.OnScaleOutAnswered(e.Request, e.Machines, e.Err)
	case autoscaler.ScaledIn:
		t.scaler.OnScaledIn(e.Machines)
	case progress.TxnAnswered:
		t.committer.OnTxnAnswered(e)
	case progress.TokenRaised:
		t.committer.OnTokenRaised(e)
	case progress.TxnOutcomeRead:
		t.committer.OnOutcomeRead(e)
	case viewRequested:
		e.response <- t.view(time.Now())
	default:
		t.Log.Error("unknown event", "type", fmt.Sprintf("%T", event))
	}
}

// onMachineList updates the machines. It then checks at once whether scheduling can begin,
// because a new term may have been waiting for the list.
func (t *term) onMachineList(e machineListReceived) {
	now := time.Now()
	t.state.MachineListRequestedAt = e.requestedAt
	t.inventory.onMachineList(e.machines, now)
	if !t.state.SchedulingEnabled {
		t.checkLeadership(now)
	}
}

// onRecordsLoaded builds the model from the records, and continues the scale-outs and
// scale-ins that earlier leaders began.
func (t *term) onRecordsLoaded(e recovery.RecordsLoaded) {
	t.records.LoadRecords(e.Jobs, e.Progress)
	t.state.ActiveVersion = e.Version
	t.scaler.AdoptIntents(e.Intents)
	t.leader.Cancels.RecordRead(e.StartedAt)
}

func (t *term) onJobRecordsChanged(e recovery.JobRecordsChanged) {
	t.records.ApplyJobRecordChanges(e.Changes)
	t.leader.Cancels.RecordRead(e.StartedAt)
}

func (t *term) onProbeOutcome(e agents.ProbeOutcome) {
	t.reconciler.OnCommandOutcome(e.CommandOutcome)
	e.Machine.LastRelayUnanswered = e.Err != nil && e.Relayed
}
