package leader

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// largestFleet is the number of machines in the test. It exceeds the largest fleet that one
// leader has to serve.
const largestFleet = 4200

// sendAllHeartbeats sends a heartbeat of every machine through the handler, and returns how
// many of them were answered.
func sendAllHeartbeats(tm *term) int {
	stop := runHeartbeatLoop(tm)
	defer stop()
	heartbeats := make([]wire.Heartbeat, 0, len(tm.state.Machines))
	for _, m := range tm.state.Machines {
		heartbeats = append(heartbeats, heartbeatOf(m))
	}
	answered := 0
	for i := range heartbeats {
		w := httptest.NewRecorder()
		tm.leader.writeAnswer(w, tm.answerHeartbeat(context.Background(), &heartbeats[i], false))
		if w.Code == 200 {
			answered++
		}
	}
	return answered
}

// machineListOf returns the cloud's list of a term's machines.
func machineListOf(tm *term) []wire.ListedMachine {
	list := make([]wire.ListedMachine, 0, len(tm.state.Machines))
	for _, m := range tm.state.Machines {
		list = append(list, wire.ListedMachine{Name: m.ID, Addr: m.Addr, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, State: wire.ListedRunning, Age: 120})
	}
	return list
}

// 4,200 machines, all of them occupied, send heartbeats to one leader and then to its
// successor, which reads the records and keeps all running tasks. No record, heartbeat or
// view exceeds a limit.
func TestSuccessorTakesOverTheLargestFleet(t *testing.T) {
	tm := newSizedTerm(t, largestFleet)
	if n := sendAllHeartbeats(tm); n != largestFleet {
		t.Fatalf("answered heartbeats: got %d, want %d", n, largestFleet)
	}
	limit := tm.writer.ValueLimitBytes()
	for _, j := range tm.state.Jobs {
		if record := j.Chunk(0).Record(); record.MaxJSONSize() > limit {
			t.Errorf("record of %s: got %d bytes, want at most %d", j.Spec.ID, record.MaxJSONSize(), limit)
		}
	}
	active := countActiveTasks(tm)
	jobs, chunks := recordsOf(tm)

	next := newTerm(tm.leader, newLease(tm.leader, 51, time.Hour))
	next.Begin(tm.Context())
	start := time.Now()
	next.records.LoadRecords(jobs, chunks)
	recovery := time.Since(start)
	next.inventory.onMachineList(machineListOf(tm), time.Now())
	for id, m := range next.state.Machines {
		m.Epoch, m.Sequence, m.Token = 1, tm.state.Machines[id].Sequence, next.Fencing.Token
	}
	start = time.Now()
	if n := sendAllHeartbeats(next); n != largestFleet {
		t.Errorf("heartbeats answered by the next leader: got %d, want %d", n, largestFleet)
	}
	heartbeats := time.Since(start)
	next.state.SchedulingEnabled = true
	start = time.Now()
	next.runCycle(time.Now())
	cycle := time.Since(start)

	if got := countActiveTasks(next); got != active || active < largestFleet {
		t.Errorf("active tasks: got %d, want %d as before, and at least %d", got, active, largestFleet)
	}
	checkView(t, next.view(time.Now()), len(tm.state.Jobs))
	t.Logf("%d machines, %d tasks: recovery %v, a heartbeat from each %v, a scheduling cycle %v", largestFleet, active, recovery, heartbeats, cycle)
}

// checkView checks that a view has all machines and jobs, and can be decoded.
func checkView(t *testing.T, view *View, jobs int) {
	t.Helper()
	if len(view.Machines) != largestFleet || len(view.Jobs) != jobs {
		t.Errorf("view: got %d machines and %d jobs, want %d and %d", len(view.Machines), len(view.Jobs), largestFleet, jobs)
	}
	var decoded View
	raw := wire.Encode(view)
	if err := wire.Decode(raw, &decoded); err != nil || len(decoded.Machines) != largestFleet {
		t.Errorf("decoded view of %d bytes: got %d machines (err %v), want %d", len(raw), len(decoded.Machines), err, largestFleet)
	}
}
