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

// A job is cancelled while nobody leads. The next leader reads the job as cancelled, and must still
// stop the tasks that it reads afterwards. If it archived the job before it had read the tasks, they
// would run on.
func TestCancelWithoutLeader(t *testing.T) {
	t.Parallel()
	runScenario(t, 14, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob := service(1, 3)
		sleepUntil(2 * time.Second)
		sim.Submit(serviceJob, 0)
		sleepUntil(44 * time.Second)
		leader := sim.Leader()
		sim.KillController(leader)
		time.Sleep(300 * time.Millisecond)
		sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(serviceJob.Spec.ID) })
		status, raw, _ := sim.Ask((leader+1)%3, "POST", "/v1/jobs/"+string(serviceJob.Spec.ID)+"/cancel", nil)
		var summary wire.JobSummary
		if status != 200 || wire.Decode(raw, &summary) != nil || summary.Status != wire.StatusCancelled || sim.Leader() == (leader+1)%3 {
			t.Fatalf("cancellation answered %d %+v, leader %d, want 200 and cancelled by a controller that does not lead", status, summary, sim.Leader())
		}
		sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(serviceJob.Spec.ID, summary.Status, time.Now()) })
		sleepUntil(60 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n := c.TasksOnMachines(serviceJob.Spec.ID); n != 0 {
				t.Errorf("%d tasks on machines 15 s after the cancellation, want 0", n)
			}
		})
		sleepUntil(120 * time.Second)
	})
}

// Cancellations race the last completions. Whichever wins, users are told one final status, which
// never changes.
func TestCancelRacesCompletion(t *testing.T) {
	t.Parallel()
	runScenario(t, 6, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		for n := range 12 {
			j := array(100+n, 2, 10)
			sim.Submit(j, time.Duration(18+n)*time.Second)
		}
		sleepUntil(150 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			if done+cancelled != 12 {
				t.Errorf("%d jobs done, %d cancelled, want 12 in all", done, cancelled)
			}
		})
	})
}

// A job is cancelled within milliseconds of the end of its last task. Whichever wins, users are told
// one final status, the one that the key-value store holds.
func TestCancelAtLastTaskEnd(t *testing.T) {
	t.Parallel()
	for _, settings := range []config.Settings{simulator.DefaultSettings(), settingsWithFastStore()} {
		t.Run(fmt.Sprint(settings.State.RPS), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settings, 410, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				readers := sim.NewBurstReaders()
				readers.BurstLength = 60 * time.Millisecond
				warmUp := array(900, 20, 8)
				sleepUntil(2 * time.Second)
				sim.Submit(warmUp, 0)
				sleepUntil(34 * time.Second)
				var jobs []simulator.JobScript
				for n := range 40 {
					j := array(1+n, 1+n%2, 2)
					jobs = append(jobs, j)
					delay := time.Duration(n*15) * time.Millisecond
					if n%2 == 0 {
						delay = time.Duration(n) * time.Millisecond
					}
					readers.Submit(j, simulator.CancelAtEnd, delay)
					time.Sleep(400 * time.Millisecond)
				}
				sleepUntil(100 * time.Second)
				done, cancelled := sim.CountEnded(jobs)
				if done+cancelled != len(jobs) {
					t.Errorf("%d jobs done, %d cancelled, want %d in all", done, cancelled, len(jobs))
				}
				if done < 4 || cancelled < 4 {
					t.Errorf("%d jobs done, %d cancelled, want at least 4 of each", done, cancelled)
				}
				// Polls and repeated submissions also met the end of the last task.
				for _, what := range []string{"ending cancel 200", "ending poll 200", "ending submit 200"} {
					if readers.Count(what) < 4 {
						t.Errorf("%q counted %d times, want at least 4: %s", what, readers.Count(what), readers.Counts())
					}
				}
				if answeredDone, answeredCancelled := readers.Count("cancels done"), readers.Count("cancels cancelled"); answeredDone != done || answeredCancelled != cancelled {
					t.Errorf("cancellations were answered done %d times, want %d, and cancelled %d times, want %d", answeredDone, done, answeredCancelled, cancelled)
				}
			})
		})
	}
}

// A cancellation and a final record cross at the key-value store itself. For one job the cancellation
// is executed while the final record is on its way; for another job it is the other way round.
func TestCancelCrossesFinalRecord(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		runWithSettings(t, simulator.DefaultSettings(), 420+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			readers := sim.NewBurstReaders()
			cancelledFirst, doneFirst := array(1, 2, 4), array(2, 2, 4)
			finalRecordSent, cancellationSent := newSignal(), newSignal()
			sim.State.DelayTransactions(func(txn *wire.Txn) time.Duration {
				if isCancellationOf(txn, doneFirst.Spec.ID) {
					cancellationSent.fire()
					return 1200 * time.Millisecond
				}
				if isFinalRecordOf(txn, doneFirst.Spec.ID) {
					// The end of the last task triggers both the user's cancellation and the leader's
					// final record. Which is sent first depends on the schedule.
					cancellationSent.wait(2 * time.Second)
				}
				if isFinalRecordOf(txn, cancelledFirst.Spec.ID) && finalRecordSent.fire() {
					return 120 * time.Millisecond
				}
				return 0
			})
			sleepUntil(2 * time.Second)
			readers.Submit(cancelledFirst, simulator.NeverCancel, 0)
			readers.Submit(doneFirst, simulator.CancelAtEnd, time.Duration(seed)*20*time.Millisecond)
			if !finalRecordSent.wait(time.Minute) {
				t.Error("no final record was sent")
				return
			}
			// The cancellation is confirmed, and all controllers are polled about it, while the
			// final record is delayed.
			begin := time.Now()
			status, state := readers.Ask(int(seed), simulator.CancelOperation, cancelledFirst)
			if status != 200 || state.Status != wire.StatusCancelled || time.Since(begin) > 120*time.Millisecond {
				t.Errorf("cancellation answered %d %s after %v, want 200 and cancelled within 120ms", status, state.Status, time.Since(begin))
			}
			sleepUntil(70 * time.Second)
			if n := sim.State.FailedAtGuard(func(x *wire.Txn) bool { return isFinalRecordOf(x, cancelledFirst.Spec.ID) }); n != 1 {
				t.Errorf("%d final records failed at the guard because of a cancellation, want 1", n)
			}
			if n := sim.State.FailedAtGuard(func(x *wire.Txn) bool { return isCancellationOf(x, doneFirst.Spec.ID) }); n != 1 {
				t.Errorf("%d cancellations failed at the guard because of a final record, want 1", n)
			}
			sim.WithChecker(func(c *simulator.Checker) {
				if a, b := c.FinalStatus(cancelledFirst.Spec.ID), c.FinalStatus(doneFirst.Spec.ID); a != wire.StatusCancelled || b != wire.StatusDone {
					t.Errorf("jobs ended as %q and %q, want cancelled and done", a, b)
				}
			})
			mustLeaveNoKeys(t, sim)
		})
	}
}

// Several jobs end in one transaction. It is too full to delete the progress of one of them, and just
// that job is cancelled meanwhile. The leader must keep the job's progress until the job is archived.
// If it dropped the progress while the cancelled record was still being read, the final record would
// fail for ever, and with it all other writes of its transaction.
func TestCancelCrossesFullTransaction(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		runWithSettings(t, simulator.ThreeZoneSettings(), 450+seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
			readers := sim.NewBurstReaders()
			var jobs []simulator.JobScript
			for n := range 6 {
				jobs = append(jobs, array(1+n, 1, 4))
			}
			var mu sync.Mutex
			var cancelledJob *simulator.JobScript
			delayReads, firstTxn := false, true
			progressLeftOut := make(chan struct{})
			sim.State.DelayTransactions(func(txn *wire.Txn) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				var ending []simulator.JobScript
				for _, j := range jobs {
					if isFinalRecordOf(txn, j.Spec.ID) {
						ending = append(ending, j)
					}
				}
				switch {
				case len(ending) == 0 || cancelledJob != nil:
				case firstTxn:
					// The other jobs end while the first final record is on its way.
					firstTxn = false
					return 1200 * time.Millisecond
				default:
					for _, j := range ending {
						if !slices.ContainsFunc(txn.Writes, func(w wire.Write) bool { return strings.HasPrefix(w.DeleteKey, store.ProgressPrefix+string(j.Spec.ID)) }) {
							cancelledJob = &j
							close(progressLeftOut)
							return 150 * time.Millisecond
						}
					}
				}
				return 0
			})
			sim.State.DelayReads(func(key string) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if delayReads && key == store.JobKey(cancelledJob.Spec.ID) {
					return 400 * time.Millisecond
				}
				return 0
			})
			// Wait for machines, so that all six jobs start together.
			warmUp := array(19, 16, 12)
			sleepUntil(2 * time.Second)
			sim.Submit(warmUp, 0)
			for running := false; !running; time.Sleep(100 * time.Millisecond) {
				sim.WithChecker(func(c *simulator.Checker) { running = c.Complete(warmUp.Spec.ID) })
			}
			for _, j := range jobs {
				readers.Submit(j, simulator.NeverCancel, 0)
			}
			select {
			case <-progressLeftOut:
			case <-time.After(time.Minute):
				t.Error("no transaction left out the progress of a job that ended")
				return
			}
			status, state := readers.Ask(1, simulator.CancelOperation, *cancelledJob)
			if status != 200 || state.Status != wire.StatusCancelled {
				t.Errorf("cancellation answered %d %s, want 200 and cancelled", status, state.Status)
			}
			mu.Lock()
			delayReads = true
			mu.Unlock()
			time.Sleep(2 * time.Second)
			nextJob := array(20, 2, 2)
			readers.Submit(nextJob, simulator.NeverCancel, 0)
			time.Sleep(40 * time.Second)
			mustFinish(t, sim, append(jobs, nextJob)...)
			sim.WithChecker(func(c *simulator.Checker) {
				if d, ok := c.TimeToStart(nextJob.Spec.ID); !ok || d > 3*time.Second {
					t.Errorf("the next job waited %v for its start, want at most 3s", d)
				}
			})
			if n := sim.State.FailedAtGuard(func(x *wire.Txn) bool { return isFinalRecordOf(x, cancelledJob.Spec.ID) }); n != 1 {
				t.Errorf("%d final records failed at the guard because of a cancellation, want 1", n)
			}
			mustLeaveNoKeys(t, sim)
		})
	}
}

// A job whose record only just fits into a value of the key-value store can be cancelled like any
// other. The record of a cancelled job is larger: without an allowance for that, the cancellation
// would be refused for ever.
func TestCancelOfLargestRecord(t *testing.T) {
	t.Parallel()
	runWithSettings(t, simulator.ThreeZoneSettings(), 460, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(3 * time.Second)
		jobWithImageName := func(n, imageBytes int) simulator.JobScript {
			j := service(n, 1)
			j.Spec.MachineTypes = []wire.MachineType{"c4", "c16"}
			for k := range 43 {
				j.Spec.MachineTypes = append(j.Spec.MachineTypes, wire.MachineType(fmt.Sprintf("%080d", k)))
			}
			j.Spec.Image = wire.ImageID(strings.Repeat("i", imageBytes))
			return j
		}
		// Find the longest image name with which the job is accepted.
		jobNumber, accepted := 100, 1
		for refused := 120; refused-accepted > 1; jobNumber++ {
			imageBytes := (accepted + refused) / 2
			j := jobWithImageName(jobNumber, imageBytes)
			switch status, _, _ := sim.Ask(jobNumber%3, "POST", "/v1/jobs", simulator.Submission(j.Spec)); status {
			case 201:
				accepted = imageBytes
				sim.WithChecker(func(c *simulator.Checker) { c.Submitted(j.Spec); c.CancelRequested(j.Spec.ID) })
				if status, _, _ := sim.Ask(jobNumber%3, "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil); status != 200 {
					t.Errorf("image name of %d bytes: cancellation answered %d, want 200", imageBytes, status)
				}
			case 422:
				refused = imageBytes
			default:
				t.Errorf("submission answered %d, want 201 or 422", status)
				return
			}
		}
		if accepted == 1 || accepted >= 118 {
			t.Errorf("longest accepted image name has %d bytes, want it between the bounds of the search", accepted)
			return
		}
		j := jobWithImageName(1, accepted)
		sim.Submit(j, 30*time.Second)
		sim.Submit(array(2, 2, 3), 0)
		sleepUntil(25 * time.Second)
		mustRun(t, sim, j, "before it is cancelled")
		sleepUntil(75 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if s := c.FinalStatus(j.Spec.ID); s != wire.StatusCancelled || c.TasksOnMachines(j.Spec.ID) != 0 {
				t.Errorf("the job is %q with %d tasks on machines, want cancelled and 0", s, c.TasksOnMachines(j.Spec.ID))
			}
		})
		mustLeaveNoKeys(t, sim)
	})
}

// Jobs are cancelled while they are being started and the leader's watch lags. The leader learns of
// each cancellation from a write that fails, and archives the job, before the watch delivers the
// cancellation. It must not resign because of that.
func TestLaggingWatchDeliversKnownCancellations(t *testing.T) {
	t.Parallel()
	runScenario(t, 70, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		serviceJob, arrayJob := service(1, 4), array(2, 10, 60)
		arrayJob.Spec.CPUs = 1.5 // leaves CPUs on its machines for the small jobs
		sleepUntil(2 * time.Second)
		submitAll(sim, serviceJob, arrayJob)
		sleepUntil(45 * time.Second)
		leader, oldRevision := sim.Leader(), sim.LeaderKeyRevision()
		sim.State.DelayWatches(300 * time.Millisecond)
		for n := range 8 {
			cancelledJob := array(10+n, 2, 100)
			cancelledJob.Spec.CPUs, cancelledJob.Spec.MemoryGB = 0.1, 0.1
			sim.Submit(cancelledJob, 0)
			time.Sleep(time.Duration(100+40*n) * time.Millisecond)
			cancelAtController(t, sim, (leader+1)%3, cancelledJob)
			time.Sleep(1500 * time.Millisecond)
			if keys := sim.State.Keys("job/" + string(cancelledJob.Spec.ID)); len(keys) != 0 {
				t.Errorf("%s is not archived after its cancellation", cancelledJob.Spec.ID)
			}
		}
		if sim.LeaderKeyRevision() != oldRevision {
			t.Errorf("leadership has changed: controller %d leads, want %d", sim.Leader(), leader)
		}
		sim.State.DelayWatches(0)
		mustRecover(t, sim, 3, serviceJob, arrayJob)
	})
}
