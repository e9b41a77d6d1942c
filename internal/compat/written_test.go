package compat_test

import (
	"maps"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// The earlier versions whose records and messages this version must read. Each has a file
// in testdata, named after the commit whose own code wrote it. It holds records from the
// simulated key-value store, by their keys, and encoded messages.
//
// 2d2d3f7 is the version that deploy/service.toml names as production, the last one before
// gangs. Its records are of jobs with chunks of 256 tasks, and of a service.
//
// 78c1803 is the first complete version with gangs. Its records were taken after the limits
// of the key-value store had been lowered. They are of gangs, one of them in two chunks, and
// of a job with a chunk of 256 tasks, of which sub-chunks had been written.
const (
	productionVersion = "2d2d3f7"
	gangsVersion      = "78c1803"
)

// placement is a range of tasks of a chunk that are on one machine. The numbers of their
// attempts are consecutive, or all the same in a gang.
type placement struct {
	firstTask    int
	firstAttempt wire.AttemptNumber
	count        int
	machine      wire.MachineID
}

// activeAttempts returns the attempts of placements. From task to task of a placement, the
// attempt number grows by numberStep.
func activeAttempts(numberStep wire.AttemptNumber, placements ...placement) []store.ActiveAttempt {
	var attempts []store.ActiveAttempt
	for _, p := range placements {
		for i := range p.count {
			attempts = append(attempts, store.ActiveAttempt{Task: p.firstTask + i, Attempt: p.firstAttempt + numberStep*wire.AttemptNumber(i), Machine: p.machine})
		}
	}
	return attempts
}

func smallArray(id wire.JobID, expectedRunTime wire.Seconds) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "solve", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard, Tasks: 260, CPUs: 0.5, MemoryGB: 1.5, Image: "img-a", ImageGB: 1,
		MachineTypes: []wire.MachineType{"c4", "c16"}, SpotAllowed: true, ExpectedRunTime: expectedRunTime, CheckpointInterval: 30, CheckpointTime: 4, Deadline: 900}
}

func smallGang(id wire.JobID, tasks int, cpus, memoryGB float64, sameZone bool) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "clash", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityUrgent, Tasks: tasks, CPUs: cpus, MemoryGB: memoryGB, Image: "img-g", ImageGB: 1,
		SameZone: sameZone, ExpectedRunTime: 100, CheckpointInterval: 20, CheckpointTime: 2}
}

func storedMachineSpecs() wire.MachineSpecs {
	return wire.MachineSpecs{Types: []wire.MachineSpec{
		{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 20, FetchGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootTime: 10, Zones: []wire.Zone{"a", "b"}},
		{Name: "c16", CPUs: 16, MemoryGB: 64, DiskGB: 20, FetchGBPerSecond: 1, OnDemandPrice: 1.1, SpotPrice: 0.4, BootTime: 10, Zones: []wire.Zone{"a", "b"}},
	}}
}

func sentHeartbeat(tasks ...wire.TaskStatus) wire.Heartbeat {
	return wire.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 1, Sequence: 88, Token: 41,
		SpotNotice: pointer(wire.Seconds(12.5)), Tasks: tasks}
}

// messagesOfBothVersions are the messages that both versions wrote.
func messagesOfBothVersions() map[string]any {
	return map[string]any{
		"message beat": peer.Heartbeat{From: "worker-1", Sequence: 9, Token: 41, Leads: true, StateReachable: true, ReachableAgents: 120},
		"message ack": peer.Heartbeat{From: "worker-2", Sequence: 9, Token: 41, StateReachable: true, Delegation: 41, SinceRenewal: 3 * time.Second, Uptime: time.Minute, InFlightLaunchCancelAge: time.Second,
			Update: cancels.Update{Cancelled: []cancels.Entry{{Job: "req-000413", Age: 2 * time.Second}}, OwnSpan: 20 * time.Second, WatermarkAge: 500 * time.Millisecond}},
		"message report": sentHeartbeat(wire.TaskStatus{Task: "req-000412/3", Attempt: 2, Phase: wire.PhaseRunning},
			wire.TaskStatus{Task: "req-000398/0", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseDone, CheckpointSaved: true}),
		"message orders": wire.Commands{Token: 41, Epoch: 1, Commands: []wire.Command{{Verb: wire.VerbLaunch, Task: "req-000412/3", Attempt: 2},
			{Verb: wire.VerbStop, Task: "req-000398/0", Attempt: 1, GracePeriod: pointer(wire.Seconds(6))}}},
	}
}

// valuesWrittenBy returns the values that the bytes in a version's file stand for, by name.
func valuesWrittenBy(commit string) map[string]any {
	values := messagesOfBothVersions()
	switch commit {
	case productionVersion:
		maps.Copy(values, map[string]any{
			"fact/flavors":   storedMachineSpecs(),
			"job/req-000001": store.JobRecord{Spec: smallArray("req-000001", 60), Status: wire.StatusQueued, AcceptedAt: 946684802001, TasksPerChunk: 256},
			"job/req-000002": store.JobRecord{Status: wire.StatusQueued, AcceptedAt: 946684802001, TasksPerChunk: 256, Spec: wire.JobSpec{ID: "req-000002", Class: "portal", Team: "blue",
				Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: 3, CPUs: 1, MemoryGB: 3, Image: "img-b", ImageGB: 1, Spread: true}},
			"lead":            store.LeaseRecord{Node: "worker-1", Nonce: "OA5NX7QCZ6OJIQ3476RZVCWUEP"},
			"past/req-000003": store.FinalRecord{Status: wire.StatusDone, Done: 4},
			"past/req-000004": store.FinalRecord{Status: wire.StatusCancelled},
			"run/req-000001/0": store.ChunkRecord{NextAttempt: 39, Active: activeAttempts(1, placement{0, 1, 4, "n-000004"}, placement{4, 5, 8, "n-000001"}, placement{12, 13, 8, "n-000002"},
				placement{20, 21, 2, "n-000000"}, placement{22, 23, 8, "n-000005"}, placement{30, 31, 4, "n-000004"}, placement{34, 35, 2, "n-000000"}, placement{36, 37, 2, "n-000003"})},
			"run/req-000002/0": store.ChunkRecord{NextAttempt: 4, Active: activeAttempts(1, placement{0, 1, 2, "n-000003"}, placement{2, 3, 1, "n-000000"})},
		})
	case gangsVersion:
		maps.Copy(values, map[string]any{
			"message gang report": sentHeartbeat(wire.TaskStatus{Task: "req-000412/3", Attempt: 2, Phase: wire.PhaseWaiting},
				wire.TaskStatus{Task: "req-000398/0", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseGangBroken},
				wire.TaskStatus{Task: "req-000399/0", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseGangIncomplete}),
			"fact/flavors":    storedMachineSpecs(),
			"job/req-000005":  store.JobRecord{Spec: smallGang("req-000005", 3, 2, 6, true), Status: wire.StatusQueued, AcceptedAt: 946684802001, TasksPerChunk: 256},
			"job/req-000007":  store.JobRecord{Spec: smallArray("req-000007", 500), Status: wire.StatusQueued, AcceptedAt: 946684802001, TasksPerChunk: 256},
			"job/req-000008":  store.JobRecord{Spec: smallGang("req-000008", 60, 0.25, 0.5, false), Status: wire.StatusQueued, AcceptedAt: 946684877001, TasksPerChunk: 56},
			"lead":            store.LeaseRecord{Node: "worker-1", Nonce: "E4Z65TAKY2EZZ3AI6ABR77BQ7P"},
			"past/req-000004": store.FinalRecord{Status: wire.StatusCancelled},
			"past/req-000006": store.FinalRecord{Status: wire.StatusDone, Done: 60},
			// A chunk of 256 tasks, and a sub-chunk that replaces its entries for 32 of them.
			"run/req-000007/0": store.ChunkRecord{NextAttempt: 80, Active: activeAttempts(1, placement{0, 1, 6, "n-000013"}, placement{6, 7, 1, "n-000015"}, placement{7, 8, 4, "n-000016"},
				placement{11, 12, 8, "n-000012"}, placement{19, 20, 28, "n-000016"}, placement{47, 48, 31, "n-000015"}, placement{78, 79, 1, "n-000017"})},
			"run/req-000007/0/1": store.ChunkRecord{NextAttempt: 111, SubchunkTasks: 32, Active: activeAttempts(1, placement{0, 33, 15, "n-000016"}, placement{15, 48, 17, "n-000015"})},
			// Sub-chunks with completed tasks.
			"run/req-000001/0/7": store.ChunkRecord{NextAttempt: 257, Done: []int{0, 32}, Active: []store.ActiveAttempt{}, SubchunkTasks: 32},
			"run/req-000001/1/0": store.ChunkRecord{NextAttempt: 5, Done: []int{0, 2}, Active: activeAttempts(1, placement{2, 3, 2, "n-000013"}), SubchunkTasks: 32},
			// A gang in one chunk, and one in two.
			"run/req-000005/0": store.ChunkRecord{NextAttempt: 2, Active: activeAttempts(0, placement{0, 1, 3, "n-000006"})},
			"run/req-000008/0": store.ChunkRecord{NextAttempt: 2, Active: activeAttempts(0, placement{0, 1, 4, "n-000006"}, placement{4, 1, 8, "n-000003"}, placement{12, 1, 4, "n-000007"},
				placement{16, 1, 12, "n-000005"}, placement{28, 1, 16, "n-000000"}, placement{44, 1, 12, "n-000001"})},
			"run/req-000008/1": store.ChunkRecord{NextAttempt: 2, Active: activeAttempts(0, placement{0, 1, 4, "n-000001"})},
			"run/req-000002/0": store.ChunkRecord{NextAttempt: 4, Active: activeAttempts(1, placement{0, 1, 2, "n-000007"}, placement{2, 3, 1, "n-000006"})},
		})
	}
	return values
}
