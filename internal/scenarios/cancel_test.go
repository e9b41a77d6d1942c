package scenarios_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A job is cancelled while nobody leads: the next leader reads the job as
// cancelled and must still chase the tasks that it reads afterwards. (It once
// archived such a job before it had read them, and they ran on.)
func TestCancelWithoutLeader(t *testing.T) {
	t.Parallel()
	runScenario(t, 14, func(sim *simulator.Simulation, at func(time.Duration)) {
		s := service(1, 3)
		at(2 * time.Second)
		sim.Submit(s, 0)
		at(44 * time.Second)
		l := sim.Leader()
		sim.KillController(l)
		time.Sleep(300 * time.Millisecond)
		sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(s.Spec.ID) })
		status, raw, _ := sim.Ask((l+1)%3, "POST", "/v1/jobs/"+string(s.Spec.ID)+"/cancel", nil)
		var b wire.JobSummary
		if status != 200 || wire.Decode(raw, &b) != nil || b.Status != wire.StatusCancelled || sim.Leader() == (l+1)%3 {
			t.Fatalf("cancel answered %d %+v, leader %d", status, b, sim.Leader())
		}
		sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(s.Spec.ID, b.Status, time.Now()) })
		at(60 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n := c.OnMachines(s.Spec.ID); n != 0 {
				t.Errorf("%d tasks left 15 s after the cancellation", n)
			}
		})
		at(120 * time.Second)
	})
}

// Cancelling races the last completions; whoever wins, one final state is
// told for ever.
func TestCancelRacesCompletion(t *testing.T) {
	t.Parallel()
	runScenario(t, 6, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(2 * time.Second)
		for n := range 12 {
			j := array(100+n, 2, 10)
			sim.Submit(j, time.Duration(18+n)*time.Second)
		}
		at(150 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			if done+cancelled != 12 {
				t.Errorf("%d done, %d cancelled of 12", done, cancelled)
			}
		})
	})
}

// A job is cancelled around the moment of its last task's end, by no more than
// milliseconds: whoever wins, one end is told, and it is the key-value store's.
func TestCancelAtLastTaskEnd(t *testing.T) {
	t.Parallel()
	for _, set := range []config.Settings{simulator.DefaultSettings(), settingsWithFastStore()} {
		t.Run(fmt.Sprint(set.State.RPS), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, set, 410, func(sim *simulator.Simulation, at func(time.Duration)) {
				l := sim.NewBurstReaders()
				l.BurstLength = 60 * time.Millisecond
				warm := array(900, 20, 8)
				at(2 * time.Second)
				sim.Submit(warm, 0)
				at(34 * time.Second)
				var all []simulator.JobScript
				for n := range 40 {
					j := array(1+n, 1+n%2, 2)
					all = append(all, j)
					after := time.Duration(n*15) * time.Millisecond
					if n%2 == 0 {
						after = time.Duration(n) * time.Millisecond
					}
					l.Submit(j, simulator.CancelAtEnd, after)
					time.Sleep(400 * time.Millisecond)
				}
				at(100 * time.Second)
				done, cancelled := sim.CountEnded(all)
				if done+cancelled != len(all) {
					t.Errorf("%d done, %d cancelled of %d", done, cancelled, len(all))
				}
				if done < 4 || cancelled < 4 {
					t.Errorf("%d done, %d cancelled: they did not meet", done, cancelled)
				}
				// Questions and repeated submissions met the end as well.
				for _, what := range []string{"ending cancel 200", "ending poll 200", "ending submit 200"} {
					if l.Count(what) < 4 {
						t.Errorf("%q only %d times: %s", what, l.Count(what), l.Counts())
					}
				}
				if d, c := l.Count("cancels done"), l.Count("cancels cancelled"); d != done || c != cancelled {
					t.Errorf("cancellations were answered done %d times of %d, cancelled %d times of %d", d, done, c, cancelled)
				}
			})
		})
	}
}

// The two writes cross at the key-value store itself: a cancellation comes while
// the final record is on its way, and the final record while a cancellation is.
func TestCancelCrossesFinalRecord(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		runWithSettings(t, simulator.DefaultSettings(), 420+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
			l := sim.NewBurstReaders()
			early, late := array(1, 2, 4), array(2, 2, 4)
			finalRecordSent, cancellationSent := newSignal(), newSignal()
			sim.State.DelayTransactions(func(x *wire.Txn) time.Duration {
				if isCancellationOf(x, late.Spec.ID) {
					cancellationSent.give()
					return 1200 * time.Millisecond
				}
				if isFinalRecordOf(x, late.Spec.ID) {
					// The end of the last task has the user cancel and the leader write:
					// which comes first depends on the schedule.
					cancellationSent.await(2 * time.Second)
				}
				if isFinalRecordOf(x, early.Spec.ID) && finalRecordSent.give() {
					return 120 * time.Millisecond
				}
				return 0
			})
			at(2 * time.Second)
			l.Submit(early, simulator.NeverCancel, 0)
			l.Submit(late, simulator.CancelAtEnd, time.Duration(seed)*20*time.Millisecond)
			if !finalRecordSent.await(time.Minute) {
				t.Error("no final record was sent")
				return
			}
			// The cancellation is confirmed, and asked about everywhere, while the
			// final record waits.
			begin := time.Now()
			status, s := l.Ask(int(seed), simulator.CancelOperation, early)
			if status != 200 || s.Status != wire.StatusCancelled || time.Since(begin) > 120*time.Millisecond {
				t.Errorf("cancel answered %d %s after %v", status, s.Status, time.Since(begin))
			}
			at(70 * time.Second)
			if n := sim.State.FailedAtGuard(func(x *wire.Txn) bool { return isFinalRecordOf(x, early.Spec.ID) }); n != 1 {
				t.Errorf("%d final records failed at a cancellation", n)
			}
			if n := sim.State.FailedAtGuard(func(x *wire.Txn) bool { return isCancellationOf(x, late.Spec.ID) }); n != 1 {
				t.Errorf("%d cancellations failed at a final record", n)
			}
			sim.WithChecker(func(c *simulator.Checker) {
				if a, b := c.FinalStatus(early.Spec.ID), c.FinalStatus(late.Spec.ID); a != wire.StatusCancelled || b != wire.StatusDone {
					t.Errorf("ended as %q and %q", a, b)
				}
			})
			mustLeaveNoKeys(t, sim)
		})
	}
}

// Several jobs end in one transaction, which has no room left for the progress of
// one of them, and just that one is cancelled meanwhile: its progress must stay
// until it is archived indeed. (It was dropped at once when the cancelled record
// took a moment to be read; then the final record failed for ever, and with it
// all that the leader would write beside it.)
func TestCancelCrossesFullTransaction(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		runWithSettings(t, simulator.GasSettings(), 450+seed, func(sim *simulator.Simulation, at func(time.Duration)) {
			l := sim.NewBurstReaders()
			var all []simulator.JobScript
			for n := range 6 {
				all = append(all, array(1+n, 1, 4))
			}
			var mu sync.Mutex
			var hit *simulator.JobScript
			slow, first := false, true
			crosses := make(chan struct{})
			sim.State.DelayTransactions(func(x *wire.Txn) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				var ending []simulator.JobScript
				for _, j := range all {
					if isFinalRecordOf(x, j.Spec.ID) {
						ending = append(ending, j)
					}
				}
				switch {
				case len(ending) == 0 || hit != nil:
				case first:
					// The others end while the first final record is on its way.
					first = false
					return 1200 * time.Millisecond
				default:
					for _, j := range ending {
						if !slices.ContainsFunc(x.Writes, func(w wire.Write) bool { return strings.HasPrefix(w.DeleteKey, store.ProgressPrefix+string(j.Spec.ID)) }) {
							hit = &j
							close(crosses)
							return 150 * time.Millisecond
						}
					}
				}
				return 0
			})
			sim.State.DelayReads(func(key string) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if slow && key == store.JobKey(hit.Spec.ID) {
					return 400 * time.Millisecond
				}
				return 0
			})
			// Machines are up, so that all six begin together.
			warm := array(19, 16, 12)
			at(2 * time.Second)
			sim.Submit(warm, 0)
			for up := false; !up; time.Sleep(100 * time.Millisecond) {
				sim.WithChecker(func(c *simulator.Checker) { up = c.Complete(warm.Spec.ID) })
			}
			for _, j := range all {
				l.Submit(j, simulator.NeverCancel, 0)
			}
			select {
			case <-crosses:
			case <-time.After(time.Minute):
				t.Error("no transaction was too full")
				return
			}
			status, s := l.Ask(1, simulator.CancelOperation, *hit)
			if status != 200 || s.Status != wire.StatusCancelled {
				t.Errorf("cancel answered %d %s", status, s.Status)
			}
			mu.Lock()
			slow = true
			mu.Unlock()
			time.Sleep(2 * time.Second)
			after := array(20, 2, 2)
			l.Submit(after, simulator.NeverCancel, 0)
			time.Sleep(40 * time.Second)
			mustFinish(t, sim, append(all, after)...)
			sim.WithChecker(func(c *simulator.Checker) {
				if d, ok := c.TimeToStart(after.Spec.ID); !ok || d > 3*time.Second {
					t.Errorf("the next job waited for %v", d)
				}
			})
			if n := sim.State.FailedAtGuard(func(x *wire.Txn) bool { return isFinalRecordOf(x, hit.Spec.ID) }); n != 1 {
				t.Errorf("%d final records failed at a cancellation", n)
			}
			mustLeaveNoKeys(t, sim)
		})
	}
}

// A job whose record just fits into a value of the key-value store can be cancelled
// as every other, though a cancelled record says more. (Its cancellation was
// refused for ever.)
func TestCancelOfLargestRecord(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.GasSettings(), 460, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(3 * time.Second)
		large := func(n, imageBytes int) simulator.JobScript {
			j := service(n, 1)
			j.Spec.MachineTypes = []wire.MachineType{"c4", "c16"}
			for k := range 43 {
				j.Spec.MachineTypes = append(j.Spec.MachineTypes, wire.MachineType(fmt.Sprintf("%080d", k)))
			}
			j.Spec.Image = wire.ImageID(strings.Repeat("i", imageBytes))
			return j
		}
		// The longest name of an image with which it is accepted.
		n, fits := 100, 1
		for tooLarge := 120; tooLarge-fits > 1; n++ {
			mid := (fits + tooLarge) / 2
			j := large(n, mid)
			switch status, _, _ := sim.Ask(n%3, "POST", "/v1/jobs", simulator.Submission(j.Spec)); status {
			case 201:
				fits = mid
				sim.WithChecker(func(c *simulator.Checker) { c.Submitted(j.Spec); c.CancelRequested(j.Spec.ID) })
				if status, _, _ := sim.Ask(n%3, "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil); status != 200 {
					t.Errorf("with %d bytes the cancellation is answered %d", mid, status)
				}
			case 422:
				tooLarge = mid
			default:
				t.Errorf("a job of that size is answered %d", status)
				return
			}
		}
		if fits == 1 || fits >= 118 {
			t.Errorf("the limit was not met: %d", fits)
			return
		}
		j := large(1, fits)
		sim.Submit(j, 30*time.Second)
		sim.Submit(array(2, 2, 3), 0)
		at(25 * time.Second)
		mustRun(t, sim, j, "before it is cancelled")
		at(75 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if s := c.FinalStatus(j.Spec.ID); s != wire.StatusCancelled || c.OnMachines(j.Spec.ID) != 0 {
				t.Errorf("it is %q, %d tasks run", s, c.OnMachines(j.Spec.ID))
			}
		})
		mustLeaveNoKeys(t, sim)
	})
}

// Jobs are cancelled while they are being started and the leader's watch lags: it
// finds out by a write that fails, closes them, and only then hears of them from
// the watch. It must not resign for that.
func TestCancellationsReadTwice(t *testing.T) {
	t.Parallel()
	runScenario(t, 70, func(sim *simulator.Simulation, at func(time.Duration)) {
		s, a := service(1, 4), array(2, 10, 60)
		a.Spec.CPUs = 1.5 // with room beside them
		at(2 * time.Second)
		submitAll(sim, s, a)
		at(45 * time.Second)
		l, old := sim.Leader(), sim.LeaderKeyRevision()
		sim.State.DelayWatches(300 * time.Millisecond)
		for n := range 8 {
			cancelledJob := array(10+n, 2, 100)
			cancelledJob.Spec.CPUs, cancelledJob.Spec.MemoryGB = 0.1, 0.1
			sim.Submit(cancelledJob, 0)
			time.Sleep(time.Duration(100+40*n) * time.Millisecond)
			cancelAtController(t, sim, (l+1)%3, cancelledJob)
			time.Sleep(1500 * time.Millisecond)
			if keys := sim.State.Keys("job/" + string(cancelledJob.Spec.ID)); len(keys) != 0 {
				t.Errorf("%s is not closed", cancelledJob.Spec.ID)
			}
		}
		if sim.LeaderKeyRevision() != old {
			t.Errorf("leadership has changed: node %d leads, was %d", sim.Leader(), l)
		}
		sim.State.DelayWatches(0)
		mustRecover(t, sim, 3, s, a)
	})
}
