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

// Users ask at all nodes within milliseconds, again and again, and repeat the
// submission, right after a job was accepted, has ended or was confirmed as
// cancelled. No node may answer anything older, whether it looks at the changes
// or, as these are kept for too short a time, lists all jobs page by page, and
// though some of what it reads is old when it arrives.
func TestNoStaleAnswerAfterChange(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name       string
		set        config.Settings
		keep, page int
		late       time.Duration
	}{
		{"usual", simulator.DefaultSettings(), 0, 0, 0},
		{"small", simulator.GasSettings(), 0, 0, 0},
		{"fast", settingsWithFastStore(), 0, 0, 0},
		{"late", settingsWithFastStore(), 0, 0, 120 * time.Millisecond},
		{"lists", settingsWithFastStore(), 6, 2, 0},
		{"late lists", settingsWithFastStore(), 6, 2, 40 * time.Millisecond},
	}
	for k, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, c.set, uint64(400+k), func(sim *simulator.Simulation, at func(time.Duration)) {
				sim.State.LimitHistory(c.keep, c.page)
				n := atomic.Int32{}
				sim.State.DelayLists(func() time.Duration {
					if n.Add(1)%3 == 0 {
						return c.late
					}
					return 0
				})
				l := sim.NewBurstReaders()
				at(2 * time.Second)
				// What stays makes the list several pages long.
				sim.Submit(service(900, 3), 0)
				for n := range 4 {
					sim.Submit(service(901+n, 1), 0)
				}
				at(30 * time.Second)
				var all []simulator.JobScript
				l.BurstLength = 100 * time.Millisecond
				for n := range 12 {
					j := array(1+n, 1+n%2, 3+float64(n%3))
					all = append(all, j)
					l.Submit(j, []simulator.CancelTime{simulator.NeverCancel, simulator.CancelAtOnce, simulator.CancelAfterEnd, simulator.CancelAtEnd}[n%4], time.Duration(n/4)*130*time.Millisecond)
					time.Sleep(700 * time.Millisecond)
				}
				at(90 * time.Second)
				done, cancelled := sim.CountEnded(all)
				if done < 6 || cancelled < 3 || done+cancelled != len(all) {
					t.Errorf("%d done, %d cancelled of %d", done, cancelled, len(all))
				}
				// The news and the questions met: each kind of question left within
				// 50 ms after each kind of news, and was answered.
				for _, what := range []string{"accepted poll 200", "accepted submit 200", "done poll 200", "done submit 200", "cancelled poll 200", "cancelled submit 200", "ending poll 200", "ending submit 200"} {
					if l.Count(what) < 12 {
						t.Errorf("%q only %d times: %s", what, l.Count(what), l.Counts())
					}
				}
			})
		})
	}
}

// A job is cancelled at a node that is just looking up what to say of it, with the
// key-value store slow: once that node has told that it is cancelled, no answer that
// it sends later says otherwise.
func TestPollDuringCancellation(t *testing.T) {
	t.Parallel()
	runOnAlternatingLayouts(t, 690, func(t *testing.T, sim *simulator.Simulation, at func(time.Duration)) {
		sim.Submit(array(100, 2, 10), 0)
		at(20 * time.Second)
		const jobs = 12
		all := make([]simulator.JobScript, jobs)
		var users sync.WaitGroup
		for k := range all {
			all[k] = array(k, 1, 300)
			sim.RegisterJob(all[k])
			users.Go(func() { requestUntilAnswered(t, sim, all[k], false, k) })
		}
		users.Wait()
		at(40 * time.Second)
		sim.State.DelayAnswers("", 500*time.Millisecond)
		between := 0
		for k, j := range all {
			node, path := k%sim.Settings.Size, "/v1/jobs/"+string(j.Spec.ID)
			type said struct {
				sent, at time.Time
				status   wire.Status
			}
			polled := make(chan said, 40)
			for i := range 40 {
				go func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					sent := time.Now()
					status, raw, _ := sim.Ask(node, "GET", path, nil)
					var s wire.JobState
					if status != 200 || wire.Decode(raw, &s) != nil {
						s.Status = ""
					}
					polled <- said{sent, time.Now(), s.Status}
				}()
			}
			time.Sleep(300 * time.Millisecond)
			if status := requestOnce(sim, j, true, node); status != 200 {
				t.Fatalf("cancellation answered %d", status)
			}
			told := time.Now()
			sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(j.Spec.ID, wire.StatusCancelled, told) })
			for range 40 {
				// Answers of the same moment may cross on their way.
				p := <-polled
				if p.sent.Before(told) && p.at.After(told.Add(10*time.Millisecond)) {
					between++
				}
				if p.at.After(told.Add(10*time.Millisecond)) && p.status != "" && p.status != wire.StatusCancelled {
					t.Errorf("%s %s: asked %v before and answered %v after it was told to be cancelled", j.Spec.ID, p.status, told.Sub(p.sent), p.at.Sub(told))
				}
			}
		}
		sim.State.DelayAnswers("", 0)
		if between < jobs {
			t.Errorf("only %d answers were on their way when a cancellation was told", between)
		}
		time.Sleep(50 * time.Second)
	})
}
