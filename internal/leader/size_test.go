package leader

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// benchmarkSizes are the numbers of machines that the benchmarks compare. If the ratio of the
// costs is above the ratio of the sizes, the cost grows faster than the number of machines.
var benchmarkSizes = []int{500, 3000}

func benchmarkAtSizes(b *testing.B, benchmark func(b *testing.B, tm *term, machines int)) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tm := newSizedTerm(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			benchmark(b, tm, n)
		})
	}
}

// BenchmarkReportRound measures a heartbeat of every machine: its encoding and decoding, its
// handling by the loop, and the response.
func BenchmarkReportRound(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		defer runHeartbeatLoop(tm)()
		for b.Loop() {
			for _, m := range tm.state.Machines {
				serveEncodedHeartbeat(b, tm, m)
			}
		}
	})
}

// serveEncodedHeartbeat encodes, decodes and answers a machine's heartbeat.
func serveEncodedHeartbeat(b *testing.B, tm *term, m *cluster.Machine) {
	r := httptest.NewRequest("POST", "/hello", nil)
	var heartbeat wire.Heartbeat
	if err := wire.Decode(wire.Encode(heartbeatOf(m)), &heartbeat); err != nil {
		b.Fatalf("heartbeat of %s: got %v, want no error", m.ID, err)
	}
	w := httptest.NewRecorder()
	tm.leader.writeAnswer(w, tm.answerHeartbeat(r.Context(), &heartbeat, false))
	if w.Code != 200 {
		b.Fatalf("heartbeat of %s: got status %d, %s, want 200", m.ID, w.Code, w.Body)
	}
}

// BenchmarkRound measures a scheduling cycle with pending jobs and all but a few machines
// occupied.
func BenchmarkRound(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			tm.runCycle(time.Now())
		}
	})
}

// BenchmarkTick measures a check of all machines, none of which is overdue.
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

// BenchmarkSettle measures the work that follows each event: the choice of what to write,
// while many changed chunks wait for the rate limit.
func BenchmarkSettle(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		for _, j := range tm.state.Jobs {
			tm.state.UnsavedChanges.MarkDirty(j.Chunk(0))
		}
		tm.writer.NextRoutineWrite = time.Now().Add(time.Hour)
		tm.state.CycleTimer.LastAt = time.Now().Add(time.Hour)
		for b.Loop() {
			tm.runDueWork(time.Now())
		}
	})
}

// BenchmarkFleetPlan measures a plan of the fleet. The scaler's pending scale-outs are
// discarded after each plan.
func BenchmarkFleetPlan(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		for b.Loop() {
			tm.scaler.PlanFleet(time.Now())
			tm.scaler.Tracker = scaling.NewTracker(tm.state.FirstToken)
		}
	})
}

// BenchmarkRecovery measures how long a new term takes to load the records of jobs and their
// progress.
func BenchmarkRecovery(b *testing.B) {
	benchmarkAtSizes(b, func(b *testing.B, tm *term, _ int) {
		jobs, chunks := recordsOf(tm)
		for b.Loop() {
			next := newTerm(tm.leader, newLease(tm.leader, 51, time.Hour))
			next.Begin(tm.Context())
			next.records.LoadRecords(jobs, chunks)
			if got := len(next.state.Jobs); got != len(jobs) {
				b.Fatalf("recovered jobs: got %d, want %d", got, len(jobs))
			}
		}
	})
}
