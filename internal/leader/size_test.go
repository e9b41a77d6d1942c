package leader

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"lilaclead/internal/config"
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
type filling struct {
	j    *job
	left int
}

func (f *filling) put(m *machine, now time.Time) {
	i := f.j.spec.Tasks - f.left
	f.left--
	f.j.chunk(0).add(&attempt{job: f.j, chunk: f.j.chunk(0), index: i, number: wire.Attempt(i + 1), machine: m, decidedAt: now, launchSent: true, launchEpoch: 1, observed: true, phase: wire.PhaseRunning, runningSince: now, imageReadyAt: now})
	m.images.touch(f.j.spec.Image, 1, 50, now)
}

// sized is a term of so many machines of four processors in three zones, half
// of them full of replicas and half running arrays, with some jobs waiting.
func sized(tb testing.TB, n int) *term {
	tb.Helper()
	tm, first, a := rig(tb)
	tm.state.endAttempt(a, TaskDone)
	delete(tm.state.machines, first.id)
	delete(tm.state.jobs, "req-1")
	clear(tm.state.unsaved.chunks)
	clear(tm.state.unsaved.finishedJobs)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	tm.begin(ctx)
	away(tm)
	tm.leader.Mesh = peer.New("a", nil, func() peer.Status { return peer.Status{} }, known(), simulator.NewNetwork(0).Host("10.0.0.1"), tm.leader.Log)
	tm.leader.Metrics.SchedulingCycle = func(time.Duration, int, int) {}
	tm.leader.Metrics.Heartbeat = func(string) {}
	zones := []wire.Zone{"a", "b", "c"}
	tm.state.settings.Zones = zones
	tm.state.settings.Teams = []config.Team{{Name: "red", CPUs: float64(n), CPUsMax: 8 * float64(n)}}
	tm.state.settings.State.TxnOps = 12
	tm.state.settings.Workers = config.Workers{HeartbeatInterval: 10, Lease: 45, CancelTimeout: 70}
	tm.leader.Catalog.Set([]wire.MachineSpec{{Name: "k4", CPUs: 4, MemoryGB: 32, DiskGB: 50, FetchGBPerS: 0.25, OnDemandPrice: 0.28, SpotPrice: 0.12, BootTime: 35, Zones: zones}})
	now := time.Now()
	tm.state.machineListReceived, tm.state.schedulingEnabled = true, true
	tm.state.termStartedAt = now.Add(-time.Minute)
	job := func(id int, parts int, s wire.JobSpec) *job {
		s.ID, s.Team, s.Tasks = wire.JobID(fmt.Sprintf("req-%06d", id)), "red", parts
		s.Image, s.ImageGB = wire.ImageID(fmt.Sprint("img-", id%24)), 1
		j := newJob(store.JobRecord{Spec: s, AcceptedAt: wire.TimestampOf(now.Add(-20 * time.Second))}, wire.Revision(id))
		tm.state.jobs[s.ID] = j
		return j
	}
	service := wire.JobSpec{Class: "live", Kind: wire.KindService, Priority: wire.PriorityProd, CPUs: 1, MemoryGB: 4.8, Spread: true}
	array := wire.JobSpec{Class: "recon", Kind: wire.KindArray, Priority: wire.PriorityStandard, CPUs: 3, MemoryGB: 25, SpotAllowed: true, ExpectedRunTime: 25, Deadline: 80}
	id := 0
	var serving, working *filling
	for i := range n {
		m := tm.state.getOrAddMachine(wire.MachineID(fmt.Sprintf("n-%06d", i)))
		m.machineType, m.zone, m.spot, m.addr = "k4", zones[i%3], i%2 == 1, fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250+1)
		m.epoch, m.sequence, m.token, m.firstHeartbeatAt, m.lastMessageAt, m.directHeartbeatAt, m.lastReplyAt = 1, 10, tm.fencing.token, now, now, now, now
		m.requestedAt = now.Add(-2 * time.Minute)
		if i%2 == 0 {
			for range 4 {
				if serving == nil || serving.left == 0 {
					id++
					serving = &filling{job(id, 8, service), 8}
				}
				serving.put(m, now)
			}
			continue
		}
		if working == nil || working.left == 0 {
			id++
			working = &filling{job(id, 30, array), 30}
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
func reportOf(m *machine) wire.Heartbeat {
	r := wire.Heartbeat{Machine: m.id, Addr: m.addr, Type: m.machineType, Zone: m.zone, Spot: m.spot, Epoch: m.epoch, Sequence: m.sequence + 1, Token: m.token}
	for task, a := range m.tasks {
		r.Tasks = append(r.Tasks, wire.TaskState{Task: task.String(), Attempt: a.number, Phase: a.phase})
	}
	return r
}

func atSizes(b *testing.B, f func(b *testing.B, tm *term, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tm := sized(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, tm, n)
		})
	}
}

// A full round of reports, through the handler and the loop's part of it.
func BenchmarkReportRound(b *testing.B) {
	atSizes(b, func(b *testing.B, tm *term, _ int) {
		go func() {
			for h := range tm.heartbeatCalls {
				tm.reconciler.onHeartbeat(h)
			}
		}()
		defer close(tm.heartbeatCalls)
		for b.Loop() {
			for _, m := range tm.state.machines {
				r := httptest.NewRequest("POST", "/hello", nil)
				rep := reportOf(m)
				raw := wire.Encode(rep)
				var got wire.Heartbeat
				if wire.Decode(raw, &got) != nil {
					b.Fatal("report")
				}
				w := httptest.NewRecorder()
				tm.leader.answerFromTerm(r.Context(), w, tm, got, false)
				if w.Code != 200 {
					b.Fatal(w.Code, w.Body)
				}
			}
		}
	})
}

// A round of placement with jobs waiting and every machine taken but a few.
func BenchmarkRound(b *testing.B) {
	atSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			tm.runCycle(time.Now())
		}
	})
}

// The tick over all machines.
func BenchmarkTick(b *testing.B) {
	atSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			now := time.Now()
			for _, m := range tm.state.machines {
				m.lastMessageAt = now
			}
			tm.monitor.checkMachines(now)
		}
	})
}

// What follows each event: a look at what is to be written, with many books
// waiting for the budget.
func BenchmarkSettle(b *testing.B) {
	atSizes(b, func(b *testing.B, tm *term, _ int) {
		for _, j := range tm.state.jobs {
			tm.state.unsaved.markDirty(j.chunk(0))
		}
		tm.writer.routineAt = time.Now().Add(time.Hour)
		tm.state.cycle.lastAt = time.Now().Add(time.Hour)
		for b.Loop() {
			tm.runDueWork(time.Now())
		}
	})
}

// A plan of the fleet: no offers, so that it rents nothing.
func BenchmarkFleetPlan(b *testing.B) {
	atSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			tm.scaler.planFleet(time.Now())
			tm.scaler.tracker = scaling.New(tm.state.firstToken)
		}
	})
}

// Recovery: jobs and progress read back from records.
func BenchmarkRecovery(b *testing.B) {
	atSizes(b, func(b *testing.B, tm *term, _ int) {
		var jobs, runs []wire.Entry
		for _, j := range tm.state.jobs {
			jobs = append(jobs, wire.Entry{Key: store.JobKey(j.spec.ID), Revision: j.revision, Value: wire.Encode(store.JobRecord{Spec: j.spec, Status: wire.Queued, AcceptedAt: wire.TimestampOf(j.acceptedAt)})})
			runs = append(runs, wire.Entry{Key: store.ChunkKey(j.spec.ID, 0), Revision: j.revision, Value: wire.Encode(j.chunk(0).record())})
		}
		for b.Loop() {
			next := newTerm(tm.leader, leaseFor(tm.leader, 51, time.Hour))
			next.begin(tm.ctx)
			next.records.loadRecords(jobs, runs)
			if len(next.state.jobs) != len(jobs) {
				b.Fatal(len(next.state.jobs))
			}
		}
	})
}

// Zones that no setting names count like the others once they can be rented in or
// were heard of: a service that is spread has room there.
func TestZonesOutsideTheSettings(t *testing.T) {
	tm := sized(t, 30)
	tm.state.settings.Zones = []wire.Zone{"b"}
	tm.state.zoneDetector.Heard("d", false, time.Now())
	j := newJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-9", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: 5, CPUs: 1, Spread: true}, AcceptedAt: wire.TimestampOf(time.Now())}, 9)
	tm.state.jobs[j.spec.ID] = j
	if got := fmt.Sprint(tm.state.zones()); got != "[b a c d]" {
		t.Errorf("zones %s", got)
	}
	for _, d := range tm.scheduler.demands(time.Now(), 0.6, 2) {
		if d.Spec.ID == j.spec.ID && (d.ZoneLeft["a"] != 3 || d.ZoneLeft["d"] != 3) {
			t.Errorf("may take %v", d.ZoneLeft)
		}
	}
}

// A class whose aim lets it wait for cheap room gets dear room all the same when
// it has waited for two minutes, would be late and need not be; a rush, which looks
// the same at first, gets none, nor what is late whatever is rented. (With 24 cheap
// machines of 40 the backlog grew to 16 minutes.)
func TestDearRoomForWhatWaitsTooLong(t *testing.T) {
	tm := sized(t, 30)
	tm.state.settings.Objectives = []config.Objective{{Kind: "finished", Class: "recon", Within: 300, Share: 0.9}}
	now := time.Now()
	for _, c := range []struct{ age, wait, want float64 }{{10, 60, 1}, {10, 900, 1}, {130, 90, 1}, {130, 200, demand.LatePriceStretch}, {200, 90, demand.LatePriceStretch}, {290, 90, 1}} {
		j := newJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-9", Class: "recon", Team: "red", Kind: wire.KindArray, Tasks: 5, CPUs: 2, SpotAllowed: true, ExpectedRunTime: 20},
			AcceptedAt: wire.TimestampOf(now.Add(-time.Duration(c.age) * time.Second))}, 9)
		if got := tm.scheduler.priceStretch(j, c.wait, now); got != c.want {
			t.Errorf("waited %g s, %g s more expected: %g, want %g", c.age, c.wait, got, c.want)
		}
	}
}

// largestFleet is more than the largest fleet that one program is to serve.
const largestFleet = 4200

// reportAll takes a report from every machine, through the handler, and tells how many
// of them were answered.
func reportAll(tm *term) (answered int) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for call := range tm.heartbeatCalls {
			tm.reconciler.onHeartbeat(call)
		}
	}()
	reports := make([]wire.Heartbeat, 0, len(tm.state.machines))
	for _, m := range tm.state.machines {
		reports = append(reports, reportOf(m))
	}
	for _, rep := range reports {
		w := httptest.NewRecorder()
		tm.leader.answerFromTerm(context.Background(), w, tm, rep, false)
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
	tm := sized(t, largestFleet)
	if n := reportAll(tm); n != largestFleet {
		t.Fatalf("%d reports were answered", n)
	}
	var jobs, runs []wire.Entry
	held := 0
	for _, j := range tm.state.jobs {
		held += j.activeTasks
		jobs = append(jobs, wire.Entry{Key: store.JobKey(j.spec.ID), Revision: j.revision, Value: wire.Encode(store.JobRecord{Spec: j.spec, Status: wire.Queued, AcceptedAt: wire.TimestampOf(j.acceptedAt)})})
		rec := j.chunk(0).record()
		if limit := tm.writer.valueLimit(); rec.JSONSize() > limit {
			t.Errorf("a record of %d bytes, over %d", rec.JSONSize(), limit)
		}
		runs = append(runs, wire.Entry{Key: store.ChunkKey(j.spec.ID, 0), Revision: j.revision, Value: wire.Encode(rec)})
	}
	next := newTerm(tm.leader, leaseFor(tm.leader, 51, time.Hour))
	next.begin(tm.ctx)
	began := time.Now()
	next.records.loadRecords(jobs, runs)
	recovery := time.Since(began)
	listed := make([]wire.ListedMachine, 0, largestFleet)
	for _, m := range tm.state.machines {
		listed = append(listed, wire.ListedMachine{Name: m.id, Addr: m.addr, Type: m.machineType, Zone: m.zone, Spot: m.spot, State: wire.ListedRunning, Age: 120})
	}
	next.inventory.onMachineList(listed, time.Now())
	for id, m := range next.state.machines {
		m.epoch, m.sequence, m.token = 1, tm.state.machines[id].sequence, next.fencing.token
	}
	began = time.Now()
	if n := reportAll(next); n != largestFleet {
		t.Errorf("%d reports were answered by the next leader", n)
	}
	reports := time.Since(began)
	next.state.schedulingEnabled = true
	began = time.Now()
	next.runCycle(time.Now())
	round := time.Since(began)
	if now := heldTasks(next); now != held || held < largestFleet {
		t.Errorf("%d tasks are held, %d were", now, held)
	}
	view := next.view(time.Now())
	if len(view.Machines) != largestFleet || len(view.Jobs) != len(tm.state.jobs) {
		t.Errorf("%d machines and %d jobs in view", len(view.Machines), len(view.Jobs))
	}
	var read View
	if raw := wire.Encode(view); wire.Decode(raw, &read) != nil || len(read.Machines) != largestFleet {
		t.Errorf("a view of %d bytes can't be read", len(raw))
	}
	t.Logf("%d machines, %d tasks: recovery %v, a report from each %v, a round %v", largestFleet, held, recovery, reports, round)
}

func heldTasks(tm *term) (n int) {
	for _, j := range tm.state.jobs {
		n += j.activeTasks
	}
	return n
}
