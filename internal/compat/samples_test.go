package compat_test

import (
	"time"

	"lilaclead/duty"
	"lilaclead/internal/admin"
	"lilaclead/internal/cancels"
	"lilaclead/internal/leader"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// sample is a value whose encoding is in testdata/keys.hex under its name.
type sample struct {
	name  string
	value any
}

// samples returns at least one value of every type that is stored or sent. The samples of a
// type together set each of its fields, and no two fields to equal values, so that a
// changed, dropped or exchanged key is noticed.
func samples() []sample {
	return []sample{
		{"job", store.JobRecord{Spec: fullJobSpec(), Status: wire.StatusCancelled, AcceptedAt: 1796000000123, CancelledAt: 1796000005321, TasksPerChunk: 37}},
		{"chunk", store.ChunkRecord{NextAttempt: 17, Done: []int{0, 3}, Active: []store.ActiveAttempt{{Task: 4, Attempt: 12, Machine: "n-000231"}}, SubchunkTasks: 64}},
		{"held", store.ActiveAttempt{Task: 5, Attempt: 13, Machine: "n-000232"}},
		{"past", store.FinalRecord{Status: wire.StatusDone, Done: 1600}},
		{"bookings", duty.IntentRecord[autoscaler.ScaleOutIntent]{Token: 43, At: 1796000000124, Open: []autoscaler.ScaleOutIntent{{Request: wire.ScaleOutRequest{Name: "b-43-1", Type: "g8", Zone: "a", Spot: true, Count: 9}, Since: 1796000000125}}}},
		{"booking, recorded", autoscaler.ScaleOutIntent{Request: wire.ScaleOutRequest{Name: "b-43-2", Type: "g8", Zone: "b", Spot: true, Count: 8}, Since: 1796000000126}},
		{"returns", duty.IntentRecord[wire.MachineID]{Token: 44, At: 1796000000127, Open: []wire.MachineID{"n-000231", "n-000232"}}},
		{"active version", upgrade.ActiveRecord{Version: 2, By: "worker-2", At: 1796000000128}},
		{"support", upgrade.SupportRecord{Min: 1, Max: 2, Incarnation: "c0ffee", At: 1796000000129}},
		{"job, later", store.JobRecord{Spec: fullJobSpec(), Status: wire.StatusQueued, AcceptedAt: 1796000000130, MinVersion: 2}},
		{"upgrade status", upgrade.Status{Active: 1, Next: 2, MaxVersion: 3, LimitedByOperators: true, Controllers: []upgrade.ControllerStatus{fullControllerStatus()}}},
		{"upgrade status, controller", fullControllerStatus()},
		{"lead", store.LeaseRecord{Node: "worker-2", Nonce: "c0ffee"}},

		{"beat", fullPeerHeartbeat()},
		{"beat, leads", peer.Heartbeat{From: "worker-3", Sequence: 10, Token: 43, Leads: true, ReachableAgents: 122}},
		{"beat, raises its token", peer.Heartbeat{From: "worker-5", Sequence: 12, Token: 45, RaisesToken: true}},
		{"beat, version", peer.Heartbeat{From: "worker-4", Sequence: 11, Token: 44, Incarnation: "c0ffee", ActiveVersion: 2}},
		{"word", fullCancelUpdate()},
		{"cancellation", cancels.Entry{Job: "req-000414", Age: 3 * time.Second}},

		{"reason", wire.ErrorBody{Error: "missing", Field: "owner"}},
		{"flavor", fullMachineSpec()},
		{"flavors", wire.MachineSpecs{Types: []wire.MachineSpec{fullMachineSpec()}}},
		{"booking", wire.ScaleOutRequest{Name: "b-1", Type: "g8", Zone: "a", Spot: true, Count: 9}},
		{"hosts", wire.MachineNames{Machines: []wire.MachineID{"n-1", "n-2"}}},
		{"host", fullListedMachine()},
		{"host page", wire.MachinePage{Machines: []wire.ListedMachine{fullListedMachine()}, Truncated: true}},

		{"entry", wire.Entry{Key: "job/req-1", Value: wire.RawValue{0x18, 0x63}, Revision: 7, Grant: 8}},
		{"entry page", wire.EntryPage{Entries: []wire.Entry{{Key: "past/req-2", Value: wire.RawValue{0x18, 0x64}, Revision: 9, Grant: 10}}, Truncated: true, Revision: 11}},
		{"guard", wire.Guard{Key: "lead", Revision: 12}},
		{"write", wire.Write{PutKey: "run/req-3/0", Value: wire.RawValue{0x18, 0x65}, Grant: 13, DeleteKey: "run/req-4/0"}},
		{"txn", wire.Txn{Guards: []wire.Guard{{Key: "lead", Revision: 14}}, Writes: []wire.Write{{PutKey: "run/req-5/0", Value: wire.RawValue{0x18, 0x66}, Grant: 15, DeleteKey: "run/req-6/0"}}}},
		{"txn result", wire.TxnResponse{Revision: 16, FailedKeys: []string{"lead"}}},
		{"grant ask", wire.GrantRequest{TTLMillis: 9000}},
		{"grant result", wire.GrantResponse{Grant: 17}},
		{"change", wire.WatchEvent{PutKey: "job/req-7", DeletedKey: "job/req-8", Value: wire.RawValue{0x18, 0x67}, Revision: 18}},
		{"changes", wire.WatchResponse{Revision: 19, Events: []wire.WatchEvent{{PutKey: "job/req-9", DeletedKey: "job/req-10", Value: wire.RawValue{0x18, 0x68}, Revision: 20}}}},

		{"spec", fullJobSpec()},
		{"spec, flags", wire.JobSpec{ID: "req-000416", SameZone: true, Spread: true}},
		{"job state", wire.JobState{ID: "req-000417", Status: wire.StatusRunning, Done: 21, Running: 22}},
		{"job brief", wire.JobSummary{ID: "req-000418", Status: wire.StatusQueued}},

		{"part state", fullTaskStatus()},
		{"report", fullAgentHeartbeat()},
		{"order", fullCommand()},
		{"orders", wire.Commands{Token: 23, Epoch: 24, Commands: []wire.Command{fullCommand()}}},
		{"elsewhere", wire.Redirect{Leader: "worker-4"}},

		{"setting", admin.Setting{Name: "log.level", Value: "debug", Default: "info", Allowed: "words", About: "about"}},
		{"settings listing", admin.Listing{Version: 25, Settings: []admin.Setting{{Name: "gangs.spare", Value: 2.5, Default: 1.5, Allowed: "0 to 100", About: "room"}}}},
		{"settings change", admin.Change{Version: pointer(wire.Revision(26)), Set: map[string]any{"gangs.spare": 3.5}}},
		{"node view", fullNodeView()},
		{"node view, leads", admin.View{Node: "worker-6", Token: 46, Leads: true, Cluster: &leader.View{}}},
		{"leader view", fullLeaderView()},
		{"machine view", fullMachineView()},
		{"machine view, spot", leader.MachineView{Name: "n-6", Spot: true}},
		{"job view", fullJobView()},
		{"job view of a failing job", failingJobView()},
	}
}

// pointer returns a pointer to a copy of a value.
func pointer[T any](v T) *T { return &v }

func fullJobSpec() wire.JobSpec {
	return wire.JobSpec{ID: "req-000412", Class: "train", Team: "vision", Kind: wire.KindGang, Priority: wire.PriorityUrgent, Tasks: 1600, CPUs: 8, GPUs: 1.5, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []wire.MachineType{"g8"}, Zone: "a", SameZone: true, SpotAllowed: true, ExpectedRunTime: 240, CheckpointInterval: 30, CheckpointTime: 4, Deadline: 900}
}

func fullCancelUpdate() cancels.Update {
	return cancels.Update{Cancelled: []cancels.Entry{{Job: "req-000413", Age: 2 * time.Second}}, OwnSpan: 20 * time.Second, WatermarkAge: 500 * time.Millisecond}
}

func fullPeerHeartbeat() peer.Heartbeat {
	return peer.Heartbeat{From: "worker-2", Sequence: 9, Token: 41, Leads: true, StateReachable: true, ReachableAgents: 120, Delegation: 42, SinceRenewal: 3 * time.Second, Uptime: time.Minute,
		InFlightLaunchCancelAge: time.Second, Update: fullCancelUpdate()}
}

func fullControllerStatus() upgrade.ControllerStatus {
	return upgrade.ControllerStatus{Node: "worker-2", Min: 1, Max: 2, Incarnation: "c0ffee", PublishedAt: 1796000000131, Blocker: upgrade.NotConnected}
}

func fullMachineSpec() wire.MachineSpec {
	return wire.MachineSpec{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, DiskGB: 200, FetchGBPerSecond: 1, OnDemandPrice: 12, SpotPrice: 4.5, BootTime: 45, Zones: []wire.Zone{"a"}}
}

func fullListedMachine() wire.ListedMachine {
	return wire.ListedMachine{Name: "n-3", Addr: "10.1.0.3:9000", Type: "g8", Zone: "b", Spot: true, State: wire.ListedRunning, Age: 33}
}

func fullTaskStatus() wire.TaskStatus {
	return wire.TaskStatus{Task: "req-000419/0", Attempt: 27, Phase: wire.PhaseExited, Cause: wire.CauseGangBroken, CheckpointSaved: true}
}

func fullAgentHeartbeat() wire.Heartbeat {
	return wire.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 2, Sequence: 88, Token: 41,
		SpotNotice: pointer(wire.Seconds(12.5)), Tasks: []wire.TaskStatus{fullTaskStatus()}}
}

func fullCommand() wire.Command {
	return wire.Command{Verb: wire.VerbStop, Task: "req-000420/1", Attempt: 28, GracePeriod: pointer(wire.Seconds(2.5))}
}

func fullNodeView() admin.View {
	view := fullLeaderView()
	return admin.View{Node: "worker-1", Token: 45, Leader: "worker-5", Leads: true, StoreReachable: true, Cluster: &view}
}

func fullLeaderView() leader.View {
	return leader.View{Machines: []leader.MachineView{fullMachineView()}, Jobs: []leader.JobView{fullJobView()}, Deciding: true, PendingScaleOuts: 29}
}

func fullMachineView() leader.MachineView {
	return leader.MachineView{Name: "n-5", Type: "g8", Zone: "a", Spot: true, Booting: true, Drain: "notice", Tasks: 30, SecondsSinceMessage: 1.25, FreeCPUs: 3.75}
}

func fullJobView() leader.JobView {
	return leader.JobView{ID: "req-000421", Class: "train", Team: "vision", Tasks: 31, DoneTasks: 32, ActiveTasks: 33, TaskFailures: 34, AgeSeconds: 35.5, Cancelled: true}
}

// failingJobView sets the fields that versions before them do not send.
func failingJobView() leader.JobView {
	view := fullJobView()
	view.FailedMachines, view.RetryInSeconds, view.ScaleOutHold = 46, 47.5, "failures"
	return view
}
