package scenarios_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Right after a job was accepted, has ended or was confirmed as cancelled, users poll all controllers
// again and again within milliseconds, and repeat the submission. No controller may give an older
// response, whether it reads the store's changes or, where the store keeps too few of them, lists all
// jobs page by page. This must hold also if some of these lists arrive late and are stale by then.
func TestNoStaleResponseAfterChange(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name     string
		settings config.Settings
		// keptChanges and pageSize limit the changes that the store keeps and the entries of a page;
		// 0: the usual number.
		keptChanges, pageSize int
		listDelay             time.Duration // of every third list of keys or changes
	}{
		{"default settings", simulator.DefaultSettings(), 0, 0, 0},
		{"small deployment", simulator.ThreeZoneSettings(), 0, 0, 0},
		{"fast store", settingsWithFastStore(), 0, 0, 0},
		{"delayed changes", settingsWithFastStore(), 0, 0, 120 * time.Millisecond},
		{"lists of jobs", settingsWithFastStore(), 6, 2, 0},
		{"delayed lists of jobs", settingsWithFastStore(), 6, 2, 40 * time.Millisecond},
	}
	for caseNumber, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, tc.settings, uint64(400+caseNumber), func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.State.LimitHistory(tc.keptChanges, tc.pageSize)
				listCount := atomic.Int32{}
				sim.State.DelayLists(func() time.Duration {
					if listCount.Add(1)%3 == 0 {
						return tc.listDelay
					}
					return 0
				})
				readers := sim.NewBurstReaders()
				sleepUntil(2 * time.Second)
				// The services that stay make the list several pages long.
				sim.Submit(service(900, 3), 0)
				for n := range 4 {
					sim.Submit(service(901+n, 1), 0)
				}
				sleepUntil(30 * time.Second)
				var jobs []simulator.JobScript
				readers.BurstLength = 100 * time.Millisecond
				for n := range 12 {
					j := array(1+n, 1+n%2, 3+float64(n%3))
					jobs = append(jobs, j)
					readers.Submit(j, []simulator.CancelTime{simulator.NeverCancel, simulator.CancelAtOnce, simulator.CancelAfterEnd, simulator.CancelAtEnd}[n%4], time.Duration(n/4)*130*time.Millisecond)
					time.Sleep(700 * time.Millisecond)
				}
				sleepUntil(90 * time.Second)
				done, cancelled := sim.CountEnded(jobs)
				if done < 6 || cancelled < 3 || done+cancelled != len(jobs) {
					t.Errorf("%d jobs done, %d cancelled of %d, want all, at least 6 done and 3 cancelled", done, cancelled, len(jobs))
				}
				// The requests met the changes: each kind of request was sent within 50 ms after
				// each kind of change, and was answered.
				for _, what := range []string{"accepted poll 200", "accepted submit 200", "done poll 200", "done submit 200", "cancelled poll 200", "cancelled submit 200", "ending poll 200", "ending submit 200"} {
					if readers.Count(what) < 12 {
						t.Errorf("%q counted %d times, want at least 12: %s", what, readers.Count(what), readers.Counts())
					}
				}
			})
		})
	}
}

// A job is cancelled at a controller that is just looking up the job for a poll, while the key-value
// store is slow. Once that controller has confirmed the cancellation, no response that it sends later
// may say otherwise.
func TestPollDuringCancellation(t *testing.T) {
	t.Parallel()
	runOnAlternatingLayouts(t, 690, func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sim.Submit(array(100, 2, 10), 0)
		sleepUntil(20 * time.Second)
		const jobCount = 12
		jobs := make([]simulator.JobScript, jobCount)
		var users sync.WaitGroup
		for k := range jobs {
			jobs[k] = array(k, 1, 300)
			sim.RegisterJob(jobs[k])
			users.Go(func() { requestUntilAnswered(t, sim, jobs[k], false, k) })
		}
		users.Wait()
		sleepUntil(40 * time.Second)
		sim.State.DelayResponses("", 500*time.Millisecond)
		inFlight := 0
		for k, j := range jobs {
			controller, path := k%sim.Settings.Size, "/v1/jobs/"+string(j.Spec.ID)
			type pollResponse struct {
				sentAt, answeredAt time.Time
				status             wire.Status // empty: no readable response
			}
			polled := make(chan pollResponse, 40)
			for i := range 40 {
				go func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					sent := time.Now()
					status, raw, _ := sim.Ask(controller, "GET", path, nil)
					var state wire.JobState
					if status != 200 || wire.Decode(raw, &state) != nil {
						state.Status = ""
					}
					polled <- pollResponse{sent, time.Now(), state.Status}
				}()
			}
			time.Sleep(300 * time.Millisecond)
			if status := requestOnce(sim, j, true, controller); status != 200 {
				t.Fatalf("cancellation answered %d, want 200", status)
			}
			confirmedAt := time.Now()
			sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(j.Spec.ID, wire.StatusCancelled, confirmedAt) })
			for range 40 {
				// Responses that are sent at the same moment may overtake each other, hence the 10 ms.
				response := <-polled
				if response.sentAt.Before(confirmedAt) && response.answeredAt.After(confirmedAt.Add(10*time.Millisecond)) {
					inFlight++
				}
				if response.answeredAt.After(confirmedAt.Add(10*time.Millisecond)) && response.status != "" && response.status != wire.StatusCancelled {
					t.Errorf("%s is shown as %s to a poll sent %v before and answered %v after the cancellation was confirmed, want cancelled", j.Spec.ID, response.status, confirmedAt.Sub(response.sentAt), response.answeredAt.Sub(confirmedAt))
				}
			}
		}
		sim.State.DelayResponses("", 0)
		if inFlight < jobCount {
			t.Errorf("%d polls were waiting for their response when a cancellation was confirmed, want at least one for each job", inFlight)
		}
		time.Sleep(50 * time.Second)
	})
}
