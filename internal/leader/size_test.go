package leader

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// The sizes that the benchmarks compare: cost that grows faster than the
// machines shows as a ratio above their ratio.
var sizes = []int{500, 3000}

// filling is a job whose tasks are put on machines one after the other.
type jobFiller struct {
	j    *cluster.Job
	left int
}

func (f *jobFiller) put(m *cluster.Machine, now time.Time) {
	i := f.j.Spec.Tasks - f.left
	f.left--
	f.j.Chunk(0).Add(&cluster.Attempt{Job: f.j, Chunk: f.j.Chunk(0), Index: i, Number: wire.Attempt(i + 1), Machine: m, DecidedAt: now, LaunchSent: true, LaunchEpoch: 1, Observed: true, Phase: wire.PhaseRunning, RunningSince: now, ImageReadyAt: now})
	m.Images.Touch(f.j.Spec.Image, 1, 50, now)
}

// sized is a term of so many machines of four processors in three zones, half
// of them full of replicas and half running arrays, with some jobs waiting.
func newSizedTerm(tb testing.TB, n int) *term {
	tb.Helper()
	tm, first, a := newTestTerm(tb)
	tm.state.EndAttempt(a, cluster.TaskDone)
	delete(tm.state.Machines, first.ID)
	delete(tm.state.Jobs, "req-1")
	clear(tm.state.Unsaved.Chunks)
	clear(tm.state.Unsaved.FinishedJobs)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	tm.Begin(ctx)
	disconnect(tm)
	setMesh(tm, peer.New("a", nil, func() peer.Status { return peer.Status{} }, newCurrentCancels(), simulator.NewNetwork(0).Host("10.0.0.1"), tm.leader.Log))
	tm.leader.Metrics.SchedulingCycle = func(time.Duration, int, int) {}
	tm.leader.Metrics.Heartbeat = func(string) {}
	zones := []wire.Zone{"a", "b", "c"}
	tm.state.Settings.Zones = zones
	tm.state.Settings.Teams = []config.Team{{Name: "red", CPUs: float64(n), CPUsMax: 8 * float64(n)}}
	tm.state.Settings.State.TxnOps = 12
	tm.state.Settings.Workers = config.Workers{HeartbeatInterval: 10, Lease: 45, CancelTimeout: 70}
	tm.leader.Catalog.Set([]wire.MachineSpec{{Name: "k4", CPUs: 4, MemoryGB: 32, DiskGB: 50, FetchGBPerS: 0.25, OnDemandPrice: 0.28, SpotPrice: 0.12, BootTime: 35, Zones: zones}})
	now := time.Now()
	tm.state.MachineListReceived, tm.state.SchedulingEnabled = true, true
	tm.state.TermStartedAt = now.Add(-time.Minute)
	job := func(id int, parts int, s wire.JobSpec) *cluster.Job {
		s.ID, s.Team, s.Tasks = wire.JobID(fmt.Sprintf("req-%06d", id)), "red", parts
		s.Image, s.ImageGB = wire.ImageID(fmt.Sprint("img-", id%24)), 1
		j := cluster.NewJob(store.JobRecord{Spec: s, AcceptedAt: wire.TimestampOf(now.Add(-20 * time.Second))}, wire.Revision(id))
		tm.state.Jobs[s.ID] = j
		return j
	}
	service := wire.JobSpec{Class: "live", Kind: wire.KindService, Priority: wire.PriorityProd, CPUs: 1, MemoryGB: 4.8, Spread: true}
	array := wire.JobSpec{Class: "recon", Kind: wire.KindArray, Priority: wire.PriorityStandard, CPUs: 3, MemoryGB: 25, SpotAllowed: true, ExpectedRunTime: 25, Deadline: 80}
	id := 0
	var serving, working *jobFiller
	for i := range n {
		m := tm.state.GetOrAddMachine(wire.MachineID(fmt.Sprintf("n-%06d", i)))
		m.MachineType, m.Zone, m.Spot, m.Addr = "k4", zones[i%3], i%2 == 1, fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250+1)
		m.Epoch, m.Sequence, m.Token, m.FirstHeartbeatAt, m.LastMessageAt, m.DirectHeartbeatAt, m.LastReplyAt = 1, 10, tm.Fencing.Token, now, now, now, now
		m.RequestedAt = now.Add(-2 * time.Minute)
		if i%2 == 0 {
			for range 4 {
				if serving == nil || serving.left == 0 {
					id++
					serving = &jobFiller{job(id, 8, service), 8}
				}
				serving.put(m, now)
			}
			continue
		}
		if working == nil || working.left == 0 {
			id++
			working = &jobFiller{job(id, 30, array), 30}
		}
		working.put(m, now)
	}
	for range n / 100 {
		id++
		job(id, 30, array)
	}
	return tm
}

// reportOf what runs on a machine.
func heartbeatOf(m *cluster.Machine) wire.Heartbeat {
	r := wire.Heartbeat{Machine: m.ID, Addr: m.Addr, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Epoch: m.Epoch, Sequence: m.Sequence + 1, Token: m.Token}
	for task, a := range m.Tasks {
		r.Tasks = append(r.Tasks, wire.TaskState{Task: task.String(), Attempt: a.Number, Phase: a.Phase})
	}
	return r
}

func benchmarkAtSizes(b *testing.B, f func(b *testing.B, tm *term, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tm := newSizedTerm(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, tm, n)
		})
	}
}

// A full round of reports, through the handler and the loop's part of it.
func BenchmarkReportRound(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		go func() {
			for h := range tm.heartbeatCalls {
				tm.reconciler.OnHeartbeat(h)
			}
		}()
		defer close(tm.heartbeatCalls)
		for b.Loop() {
			for _, m := range tm.state.Machines {
				r := httptest.NewRequest("POST", "/hello", nil)
				rep := heartbeatOf(m)
				raw := wire.Encode(rep)
				var got wire.Heartbeat
				if wire.Decode(raw, &got) != nil {
					b.Fatal("report")
				}
				w := httptest.NewRecorder()
				tm.leader.answerFromTerm(r.Context(), w, tm, &got, false)
				if w.Code != 200 {
					b.Fatal(w.Code, w.Body)
				}
			}
		}
	})
}

// A round of placement with jobs waiting and every machine taken but a few.
func BenchmarkRound(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			tm.runCycle(time.Now())
		}
	})
}

// The tick over all machines.
func BenchmarkTick(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			now := time.Now()
			for _, m := range tm.state.Machines {
				m.LastMessageAt = now
			}
			tm.monitor.CheckMachines(now)
		}
	})
}

// What follows each event: a look at what is to be written, with many books
// waiting for the budget.
func BenchmarkSettle(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		for _, j := range tm.state.Jobs {
			tm.state.Unsaved.MarkDirty(j.Chunk(0))
		}
		tm.writer.NextRoutineWrite = time.Now().Add(time.Hour)
		tm.state.Cycle.LastAt = time.Now().Add(time.Hour)
		for b.Loop() {
			tm.runDueWork(time.Now())
		}
	})
}

// A plan of the fleet: no offers, so that it rents nothing.
func BenchmarkFleetPlan(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			tm.scaler.PlanFleet(time.Now())
			tm.scaler.Tracker = scaling.New(tm.state.FirstToken)
		}
	})
}

// Recovery: jobs and progress read back from records.
func BenchmarkRecovery(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		var jobs, runs []wire.Entry
		for _, j := range tm.state.Jobs {
			jobs = append(jobs, wire.Entry{Key: store.JobKey(j.Spec.ID), Revision: j.Revision, Value: wire.Encode(store.JobRecord{Spec: j.Spec, Status: wire.Queued, AcceptedAt: wire.TimestampOf(j.AcceptedAt)})})
			runs = append(runs, wire.Entry{Key: store.ChunkKey(j.Spec.ID, 0), Revision: j.Revision, Value: wire.Encode(j.Chunk(0).Record())})
		}
		for b.Loop() {
			next := newTerm(tm.leader, newLease(tm.leader, 51, time.Hour))
			next.Begin(tm.Context())
			next.records.loadRecords(jobs, runs)
			if len(next.state.Jobs) != len(jobs) {
				b.Fatal(len(next.state.Jobs))
			}
		}
	})
}

// Zones that no setting names count like the others once they can be rented in or
// were heard of: a service that is spread has room there.
func TestZonesOutsideTheSettings(t *testing.T) {
	tm := newSizedTerm(t, 30)
	tm.state.Settings.Zones = []wire.Zone{"b"}
	tm.state.ZoneDetector.Heard("d", false, time.Now())
	j := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-9", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: 5, CPUs: 1, Spread: true}, AcceptedAt: wire.TimestampOf(time.Now())}, 9)
	tm.state.Jobs[j.Spec.ID] = j
	if got := fmt.Sprint(tm.state.Zones()); got != "[b a c d]" {
		t.Errorf("zones %s", got)
	}
	for _, d := range tm.scheduler.Demands(time.Now(), 0.6, 2) {
		if d.Spec.ID == j.Spec.ID && (d.ZoneLeft["a"] != 3 || d.ZoneLeft["d"] != 3) {
			t.Errorf("may take %v", d.ZoneLeft)
		}
	}
}

// A class whose aim lets it wait for cheap room gets dear room all the same when
// it has waited for two minutes, would be late and need not be; a rush, which looks
// the same at first, gets none, nor what is late whatever is rented. (With 24 cheap
// machines of 40 the backlog grew to 16 minutes.)
func TestDearRoomForWhatWaitsTooLong(t *testing.T) {
	tm := newSizedTerm(t, 30)
	tm.state.Settings.Objectives = []config.Objective{{Kind: "finished", Class: "recon", Within: 300, Share: 0.9}}
	now := time.Now()
	for _, c := range []struct{ age, wait, want float64 }{{10, 60, 1}, {10, 900, 1}, {130, 90, 1}, {130, 200, demand.LatePriceStretch}, {200, 90, demand.LatePriceStretch}, {290, 90, 1}} {
		j := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-9", Class: "recon", Team: "red", Kind: wire.KindArray, Tasks: 5, CPUs: 2, SpotAllowed: true, ExpectedRunTime: 20},
			AcceptedAt: wire.TimestampOf(now.Add(-time.Duration(c.age) * time.Second))}, 9)
		if got := tm.scheduler.PriceStretch(j, c.wait, now); got != c.want {
			t.Errorf("waited %g s, %g s more expected: %g, want %g", c.age, c.wait, got, c.want)
		}
	}
}

// largestFleet is more than the largest fleet that one program is to serve.
const largestFleet = 4200

// reportAll takes a report from every machine, through the handler, and tells how many
// of them were answered.
func sendAllHeartbeats(tm *term) (answered int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for call := range tm.heartbeatCalls {
			tm.reconciler.OnHeartbeat(call)
		}
	}()
	reports := make([]wire.Heartbeat, 0, len(tm.state.Machines))
	for _, m := range tm.state.Machines {
		reports = append(reports, heartbeatOf(m))
	}
	for _, rep := range reports {
		w := httptest.NewRecorder()
		tm.leader.answerFromTerm(context.Background(), w, tm, &rep, false)
		if w.Code == 200 {
			answered++
		}
	}
	close(tm.heartbeatCalls)
	<-done
	return answered
}

// 4,200 machines, all of them occupied, report to one leader, and then to the next
// one, which reads the records and goes on with all that runs. No record, report or view
// on the way is over a limit.
func TestFourThousandMachines(t *testing.T) {
	tm := newSizedTerm(t, largestFleet)
	if n := sendAllHeartbeats(tm); n != largestFleet {
		t.Fatalf("%d reports were answered", n)
	}
	var jobs, runs []wire.Entry
	held := 0
	for _, j := range tm.state.Jobs {
		held += j.ActiveTasks
		jobs = append(jobs, wire.Entry{Key: store.JobKey(j.Spec.ID), Revision: j.Revision, Value: wire.Encode(store.JobRecord{Spec: j.Spec, Status: wire.Queued, AcceptedAt: wire.TimestampOf(j.AcceptedAt)})})
		rec := j.Chunk(0).Record()
		if limit := tm.writer.ValueLimit(); rec.JSONSize() > limit {
			t.Errorf("a record of %d bytes, over %d", rec.JSONSize(), limit)
		}
		runs = append(runs, wire.Entry{Key: store.ChunkKey(j.Spec.ID, 0), Revision: j.Revision, Value: wire.Encode(rec)})
	}
	next := newTerm(tm.leader, newLease(tm.leader, 51, time.Hour))
	next.Begin(tm.Context())
	began := time.Now()
	next.records.loadRecords(jobs, runs)
	recovery := time.Since(began)
	listed := make([]wire.ListedMachine, 0, largestFleet)
	for _, m := range tm.state.Machines {
		listed = append(listed, wire.ListedMachine{Name: m.ID, Addr: m.Addr, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, State: wire.ListedRunning, Age: 120})
	}
	next.inventory.onMachineList(listed, time.Now())
	for id, m := range next.state.Machines {
		m.Epoch, m.Sequence, m.Token = 1, tm.state.Machines[id].Sequence, next.Fencing.Token
	}
	began = time.Now()
	if n := sendAllHeartbeats(next); n != largestFleet {
		t.Errorf("%d reports were answered by the next leader", n)
	}
	reports := time.Since(began)
	next.state.SchedulingEnabled = true
	began = time.Now()
	next.runCycle(time.Now())
	round := time.Since(began)
	if now := countActiveTasks(next); now != held || held < largestFleet {
		t.Errorf("%d tasks are held, %d were", now, held)
	}
	view := next.view(time.Now())
	if len(view.Machines) != largestFleet || len(view.Jobs) != len(tm.state.Jobs) {
		t.Errorf("%d machines and %d jobs in view", len(view.Machines), len(view.Jobs))
	}
	var read View
	if raw := wire.Encode(view); wire.Decode(raw, &read) != nil || len(read.Machines) != largestFleet {
		t.Errorf("a view of %d bytes can't be read", len(raw))
	}
	t.Logf("%d machines, %d tasks: recovery %v, a report from each %v, a round %v", largestFleet, held, recovery, reports, round)
}

func countActiveTasks(tm *term) (n int) {
	for _, j := range tm.state.Jobs {
		n += j.ActiveTasks
	}
	return n
}
