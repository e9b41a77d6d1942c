package scenarios_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A user's changes get no answer and are carried out ten seconds later or more, when what
// they speak of has gone on: nothing may come back to life, and a job that was
// done stays so.
func TestUserWritesExecutedLate(t *testing.T) {
	t.Parallel()
	lateBy := func(sim *simulator.Simulation, node int, from, to time.Duration) {
		sim.State.InjectTxnFaults(1, simulator.TxnFault{Prefix: store.JobPrefix, Hosts: []string{simulator.NodeIP(node)}, Most: 1, Late: [2]time.Duration{from, to}})
	}
	late := func(sim *simulator.Simulation, node int) { lateBy(sim, node, 10*time.Second, 12*time.Second) }
	// Under some schedules the job ends only eleven seconds after its submission.
	lateAfterEnd := func(sim *simulator.Simulation, node int) { lateBy(sim, node, 20*time.Second, 22*time.Second) }
	for i, kind := range []string{"acceptance, after the job's end", "acceptance, after its cancellation", "acceptance, nobody asks again",
		"cancellation, after the job's end", "cancellation, after another", "cancellation, nobody asks again"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(600+i), func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				warm, a, small, s := array(1, 8, 10), array(2, 2, 2), array(4, 1, 1), service(3, 3)
				if i == 2 || i == 4 || i == 5 {
					a.RunTime = 40
				}
				if i == 3 {
					a.RunTime = 5
				}
				at(2 * time.Second)
				sim.Submit(s, 0)
				sim.Submit(warm, 0) // what it leaves has room for the next
				at(27 * time.Second)
				sim.RegisterJob(a)
				r := startReader(t, sim, a.Spec.ID)
				k := i % sim.Settings.Size
				var other time.Time
				switch i {
				case 0:
					lateAfterEnd(sim, k)
					requestUntilAnswered(t, sim, a, false, k)
				case 1:
					late(sim, k)
					requestUntilAnswered(t, sim, a, false, k)
					other, _, _ = requestUntilAnswered(t, sim, a, true, k+1)
				case 2:
					late(sim, k)
					if status := requestOnce(sim, a, false, k); status == 200 || status == 201 {
						t.Errorf("answered %d", status)
					}
				case 3:
					requestUntilAnswered(t, sim, a, false, k)
					lateAfterEnd(sim, k)
					if status := requestOnce(sim, a, true, k); status == 200 {
						t.Errorf("answered %d", status)
					}
				case 4:
					requestUntilAnswered(t, sim, a, false, k)
					late(sim, k)
					other, _, _ = requestUntilAnswered(t, sim, a, true, k)
				case 5:
					requestUntilAnswered(t, sim, a, false, k)
					late(sim, k)
					requestOnce(sim, a, true, k)
				}
				sim.RegisterJob(small) // something newer of the same node
				requestOnce(sim, small, false, k)
				at(55 * time.Second)
				endFaultsAndWait(sim, 75*time.Second) // a cancelled one must be gone by then
				r.stopReading()
				finalSeen := r.firstSeen(simulator.ToldFinal)
				hit := faultedTransactions(sim, store.JobPrefix+string(a.Spec.ID), func(f *simulator.TxnOutcome) bool { return f.Late })
				if len(hit) != 1 || hit[0].Done.IsZero() {
					t.Fatalf("fates %+v", hit)
				}
				switch i {
				case 0:
					mustFinish(t, sim, a)
					mustBeExecutedLate(t, kind, faultedTransactions(sim, store.JobPrefix, refusedByGuardOn("past/")), finalSeen)
				case 1, 4:
					mustBeExecutedLate(t, kind, faultedTransactions(sim, store.JobPrefix, failedAfterNewer), finalSeen, other)
				case 2:
					mustFinish(t, sim, a)
					if hit[0].Status != http.StatusOK || !r.firstSeen(simulator.ToldAccepted).After(hit[0].Done) || hit[0].Done.Sub(hit[0].Sent) < 10*time.Second {
						t.Errorf("%+v, first known at %v", hit[0], r.firstSeen(simulator.ToldAccepted))
					}
				case 3:
					mustFinish(t, sim, a)
					mustBeExecutedLate(t, kind, faultedTransactions(sim, store.JobPrefix, refusedByGuardOn(store.JobPrefix)), finalSeen)
					if when, _, said := requestUntilAnswered(t, sim, a, true, k); when.IsZero() || said != wire.StatusDone {
						t.Errorf("a job that was done is called %s", said)
					}
				case 5:
					if hit[0].Status != http.StatusOK || !finalSeen.After(hit[0].Done) {
						t.Errorf("%+v, first known to be over at %v", hit[0], finalSeen)
					}
				}
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.OnMachines(a.Spec.ID); n != 0 {
						t.Errorf("%d tasks of a job that is over", n)
					}
				})
				mustRun(t, sim, s, "afterwards")
			})
		})
	}
}

// What the leader writes gets no answer and is carried out seconds later, after
// newer transactions, or after the leader's end: under the grant that is still
// there, or after another has come.
func TestLeaderWritesExecutedLate(t *testing.T) {
	t.Parallel()
	type late = [2]time.Duration
	soon, long := late{2 * time.Second, 2100 * time.Millisecond}, late{6 * time.Second, 12 * time.Second}
	for i, c := range []struct {
		what, prefix string
		late         late
		ends, lead   bool // the leader ends; the first writes of its key are late too
	}{
		{"launch", store.ProgressPrefix, late{2 * time.Second, 12 * time.Second}, false, false},
		{"launch, and the new token", store.ProgressPrefix, long, false, true},
		{"launch, under a dead leader's grant", store.ProgressPrefix, soon, true, false},
		{"launch, after the next leader came", store.ProgressPrefix, long, true, false},
		{"end of a job", "past/", long, false, false},
		{"end of a job, and the new token", "past/", long, false, true},
		{"end of a job, under a dead leader's grant", "past/", soon, true, false},
		{"end of a job, after the next leader came", "past/", long, true, false},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(620+i), func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				warm, a, b, s := array(1, 8, 10), array(2, 8, 8), array(4, 4, 5), service(3, 3)
				at(2 * time.Second)
				submitAll(sim, s, warm)
				at(27 * time.Second)
				l := sim.Leader()
				if l < 0 {
					t.Fatal("nobody leads")
				}
				most := 1
				if !c.ends {
					most = 3
				}
				faults := []simulator.TxnFault{{Prefix: c.prefix, Hosts: []string{simulator.NodeIP(l)}, Most: most, Late: c.late, Hang: c.ends}}
				if c.lead {
					faults = append(faults, simulator.TxnFault{Prefix: store.LeaderKey, Hosts: []string{simulator.NodeIP(l)}, Most: 2, Late: c.late})
				}
				sim.State.InjectTxnFaults(uint64(i), faults...)
				sim.RegisterJob(a)
				r := startReader(t, sim, a.Spec.ID)
				var user sync.WaitGroup
				user.Go(func() { requestUntilAnswered(t, sim, a, false, i) })
				var killed, next time.Time
				if c.ends {
					for begin := time.Now(); len(sim.State.TxnOutcomes()) == 0 && time.Since(begin) < 30*time.Second; {
						time.Sleep(5 * time.Millisecond)
					}
					sim.KillController(l)
					killed = time.Now()
					for time.Since(killed) < 6*time.Second {
						time.Sleep(50 * time.Millisecond)
						if n := sim.Leader(); next.IsZero() && n >= 0 && n != l {
							next = time.Now()
						}
					}
					startControllers(t, sim, l)
				}
				user.Wait()
				time.Sleep(10 * time.Second)
				sim.Submit(b, 0)
				time.Sleep(20 * time.Second)
				endFaultsAndWait(sim, 20*time.Second)
				r.stopReading()
				mustFinish(t, sim, a, b)
				mustRun(t, sim, s, "afterwards")
				if r.firstSeen(simulator.ToldFinal).IsZero() {
					t.Errorf("nobody was told that the job is done")
				}
				hit := faultedTransactions(sim, c.prefix, func(f *simulator.TxnOutcome) bool { return f.Late && !f.Done.IsZero() })
				switch {
				case len(hit) == 0:
					t.Fatal("nothing was late")
				case c.ends && c.late == soon:
					// Carried out between the leader's end and the next one's begin,
					// which learns from it what nobody was told.
					if f := hit[0]; f.Status != http.StatusOK || !f.Done.After(killed) || !f.Done.Before(next) {
						t.Errorf("ended at %v, next at %v: %+v", killed, next, f)
					}
				case c.ends:
					if f := hit[0]; f.Status == http.StatusOK || !f.Done.After(next) || next.IsZero() {
						t.Errorf("ended at %v, next at %v: %+v", killed, next, f)
					}
				default:
					mustBeExecutedLate(t, c.what, faultedTransactions(sim, c.prefix, refusedByGuardOn(store.LeaderKey)))
				}
				if c.lead {
					mustBeExecutedLate(t, "the new token", faultedTransactions(sim, store.LeaderKey, refusedByGuardOn(store.LeaderKey)))
				}
			})
		})
	}
}

// Candidates' writes of the leader's key are carried out late: while another one
// leads, or nobody yet, by a grant that was given up. Nobody may lead by it.
func TestLeaderKeyWrittenLate(t *testing.T) {
	t.Parallel()
	for i, most := range []int{1, 6} {
		t.Run(fmt.Sprint(most), func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(640+i), func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
				s, a := service(1, 3), array(2, 6, 15)
				at(2 * time.Second)
				submitAll(sim, s, a)
				at(30 * time.Second)
				for k := range 2 {
					l := sim.Leader()
					if l < 0 {
						t.Fatal("nobody leads")
					}
					sim.State.InjectTxnFaults(uint64(10*i+k), simulator.TxnFault{Prefix: store.LeaderKey, Most: most, Late: [2]time.Duration{2 * time.Second, 12 * time.Second}})
					sim.KillController(l)
					time.Sleep(20 * time.Second)
					startControllers(t, sim, l)
					time.Sleep(10 * time.Second)
				}
				sim.Submit(array(3, 4, 5), 0)
				endFaultsAndWait(sim, 45*time.Second)
				mustFinish(t, sim, a, array(3, 4, 5))
				mustRun(t, sim, s, "afterwards")
				hit := faultedTransactions(sim, store.LeaderKey, func(f *simulator.TxnOutcome) bool { return f.Late && !f.Done.IsZero() })
				dead := faultedTransactions(sim, store.LeaderKey, func(f *simulator.TxnOutcome) bool { return f.Status == http.StatusBadRequest })
				if len(hit) < 2*most || len(dead) == 0 || slices.ContainsFunc(hit, wasExecutedValue) {
					t.Errorf("%d late, %d of them with a dead grant: %+v", len(hit), len(dead), hit)
				}
			})
		})
	}
}
