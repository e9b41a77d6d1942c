package scenarios_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// roomy is the default deployment with a state service so fast that questions
// wait for hardly anything, and answers cross within milliseconds.
func roomy() config.Settings {
	s := simulator.DefaultSettings()
	s.State.RPS, s.State.WriteRPS = 4000, 2000
	return s
}

// archives tells whether a transaction replaces a job by its final record, and
// writesCancel whether it is a user's cancellation of it.
func archives(x *wire.Txn, id wire.JobID) bool {
	return slices.ContainsFunc(x.Writes, func(w wire.Write) bool { return w.Delete == store.JobKey(id) })
}

func writesCancel(x *wire.Txn, id wire.JobID) bool {
	return slices.ContainsFunc(x.Writes, func(w wire.Write) bool {
		var rec store.JobRecord
		return w.Put == store.JobKey(id) && wire.Decode(w.Value, &rec) == nil && rec.Status == wire.Cancelled
	})
}

// Users ask at all nodes within milliseconds, again and again, and repeat the
// submission, right after a job was accepted, has ended or was confirmed as
// cancelled. No node may answer anything older, whether it looks at the changes
// or, as these are kept for too short a time, lists all jobs page by page, and
// though some of what it reads is old when it arrives.
func TestAllNodesAskedAfterNews(t *testing.T) {
	cases := []struct {
		name       string
		set        config.Settings
		keep, page int
		late       time.Duration
	}{
		{"usual", simulator.DefaultSettings(), 0, 0, 0},
		{"small", simulator.GasSettings(), 0, 0, 0},
		{"fast", roomy(), 0, 0, 0},
		{"late", roomy(), 0, 0, 120 * time.Millisecond},
		{"lists", roomy(), 6, 2, 0},
		{"late lists", roomy(), 6, 2, 40 * time.Millisecond},
	}
	for k, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			playAs(t, c.set, uint64(400+k), func(w *simulator.World, at func(time.Duration)) {
				w.State.Short(c.keep, c.page)
				n := atomic.Int32{}
				w.State.Late(func() time.Duration {
					if n.Add(1)%3 == 0 {
						return c.late
					}
					return 0
				})
				l := w.Looks()
				at(2 * time.Second)
				// What stays makes the list several pages long.
				w.Submit(service(900, 3), 0)
				for n := range 4 {
					w.Submit(service(901+n, 1), 0)
				}
				at(30 * time.Second)
				var all []simulator.Truth
				l.For = 100 * time.Millisecond
				for n := range 12 {
					j := array(1+n, 1+n%2, 3+float64(n%3))
					all = append(all, j)
					l.Submit(j, []simulator.Cancel{simulator.Never, simulator.AtOnce, simulator.AfterEnd, simulator.AtEnd}[n%4], time.Duration(n/4)*130*time.Millisecond)
					time.Sleep(700 * time.Millisecond)
				}
				at(90 * time.Second)
				done, cancelled := w.Ended(all)
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

// A job is cancelled around the moment of its last task's end, by no more than
// milliseconds: whoever wins, one end is told, and it is the state service's.
func TestCancelMeetsTheLastEnd(t *testing.T) {
	for _, set := range []config.Settings{simulator.DefaultSettings(), roomy()} {
		t.Run(fmt.Sprint(set.State.RPS), func(t *testing.T) {
			playAs(t, set, 410, func(w *simulator.World, at func(time.Duration)) {
				l := w.Looks()
				l.For = 60 * time.Millisecond
				warm := array(900, 20, 8)
				at(2 * time.Second)
				w.Submit(warm, 0)
				at(34 * time.Second)
				var all []simulator.Truth
				for n := range 40 {
					j := array(1+n, 1+n%2, 2)
					all = append(all, j)
					after := time.Duration(n*15) * time.Millisecond
					if n%2 == 0 {
						after = time.Duration(n) * time.Millisecond
					}
					l.Submit(j, simulator.AtEnd, after)
					time.Sleep(400 * time.Millisecond)
				}
				at(100 * time.Second)
				done, cancelled := w.Ended(all)
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

// The two writes cross at the state service itself: a cancellation comes while
// the final record is on its way, and the final record while a cancellation is.
func TestCancelCrossesTheFinalRecord(t *testing.T) {
	for seed := range uint64(3) {
		playAs(t, simulator.DefaultSettings(), 420+seed, func(w *simulator.World, at func(time.Duration)) {
			l := w.Looks()
			early, late := array(1, 2, 4), array(2, 2, 4)
			var once sync.Once
			onItsWay := make(chan struct{})
			w.State.Delay(func(x *wire.Txn) time.Duration {
				switch {
				case archives(x, early.Spec.ID):
					wait := time.Duration(0)
					once.Do(func() { close(onItsWay); wait = 120 * time.Millisecond })
					return wait
				case writesCancel(x, late.Spec.ID):
					return 1200 * time.Millisecond
				}
				return 0
			})
			at(2 * time.Second)
			l.Submit(early, simulator.Never, 0)
			l.Submit(late, simulator.AtEnd, time.Duration(seed)*20*time.Millisecond)
			<-onItsWay
			// The cancellation is confirmed, and asked about everywhere, while the
			// final record waits.
			begin := time.Now()
			status, s := l.Ask(int(seed), "cancel", early)
			if status != 200 || s.Status != wire.Cancelled || time.Since(begin) > 120*time.Millisecond {
				t.Errorf("cancel answered %d %s after %v", status, s.Status, time.Since(begin))
			}
			at(70 * time.Second)
			if n := w.State.Lost(func(x *wire.Txn) bool { return archives(x, early.Spec.ID) }); n != 1 {
				t.Errorf("%d final records failed at a cancellation", n)
			}
			if n := w.State.Lost(func(x *wire.Txn) bool { return writesCancel(x, late.Spec.ID) }); n != 1 {
				t.Errorf("%d cancellations failed at a final record", n)
			}
			w.Checked(func(c *simulator.Checker) {
				if a, b := c.Final(early.Spec.ID), c.Final(late.Spec.ID); a != wire.Cancelled || b != wire.Done {
					t.Errorf("ended as %q and %q", a, b)
				}
			})
			if keys := append(w.State.Keys("job/"), w.State.Keys("run/")...); len(keys) != 0 {
				t.Errorf("left over: %v", keys)
			}
		})
	}
}

// One-task jobs come four a second for minutes, a quarter is cancelled, and the
// state service holds to its rates. What has gathered while the first machines
// boot must be worked off, then all must begin at once and nothing be refused any
// more; and nothing may be left of them but their final records.
func TestManySmallJobs(t *testing.T) {
	for name, set := range map[string]config.Settings{"usual": simulator.DefaultSettings(), "small": simulator.GasSettings()} {
		t.Run(name, func(t *testing.T) {
			playAs(t, set, 430, func(w *simulator.World, at func(time.Duration)) {
				w.State.Limit(set.State.RPS, set.State.WriteRPS)
				l := w.Looks()
				l.For, l.Polls = 0, 3*time.Second
				at(2 * time.Second)
				var all []simulator.Truth
				before := 0
				for n := range 600 {
					j := array(1+n, 1, 2)
					all = append(all, j)
					c, after := simulator.Never, time.Duration(0)
					if n%4 == 0 {
						c, after = []simulator.Cancel{simulator.AtOnce, simulator.AtEnd}[n/4%2], time.Duration(n%16)*150*time.Millisecond
					}
					l.Submit(j, c, after)
					time.Sleep(250 * time.Millisecond)
					if n == 449 {
						before, _ = w.State.Over()
					}
				}
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(40 * time.Second)
				done, cancelled := w.Ended(all)
				if done+cancelled != len(all) || cancelled < 75 {
					t.Errorf("%d done, %d cancelled of %d", done, cancelled, len(all))
				}
				longest := func(jobs []simulator.Truth) (longest time.Duration) {
					w.Checked(func(c *simulator.Checker) {
						for _, j := range jobs {
							if d, ok := c.Waited(j.Spec.ID); ok {
								longest = max(longest, d)
							}
						}
					})
					return
				}
				if d := longest(all); d > 30*time.Second {
					t.Errorf("a job waited for %v", d)
				}
				if d := longest(all[450:]); d > time.Second {
					t.Errorf("with machines up and nothing gathered a job waited for %v", d)
				}
				switch over, most := w.State.Over(); {
				case over != before:
					t.Errorf("the state service refuses %d requests with nothing gathered", over-before)
				case over > 300:
					t.Errorf("the state service refused %d requests", over)
				case most > int(set.State.RPS)*5/4:
					t.Errorf("%d requests in a second to a state service for %v", most, set.State.RPS)
				}
				if keys := append(w.State.Keys("job/"), w.State.Keys("run/")...); len(keys) != 0 {
					t.Errorf("left over: %v", keys)
				}
				if n := len(w.State.Keys("past/")); n != len(all) {
					t.Errorf("%d final records of %d", n, len(all))
				}
			})
		})
	}
}

// Odd requests get what the page says, at every node, again and again, and also
// while nodes don't know the machine types yet.
func TestOddRequests(t *testing.T) {
	play(t, 440, func(w *simulator.World, at func(time.Duration)) {
		w.CloudOutage(true)
		n := 500
		with := func(k string, v any) map[string]any {
			n++
			m := simulator.Submission(array(n, 1, 1).Spec)
			if m[k] = v; v == "missing" {
				delete(m, k)
			}
			return m
		}
		// ask makes the same request of all nodes, twice.
		ask := func(what, method, path string, body any, want int, status wire.Status) {
			t.Helper()
			for i := range 6 {
				begin := time.Now()
				got, raw, h := w.Ask(i%3, method, path, body)
				var b wire.JobSummary
				if got != want || got == 200 && (wire.Decode(raw, &b) != nil || b.Status != status) {
					t.Errorf("%s at node %d: %d %q, want %d %q", what, i%3, got, b.Status, want, status)
				}
				if got == 503 && h.Get("Retry-After") == "" {
					t.Errorf("%s: 503 without Retry-After", what)
				}
				if d := time.Since(begin); d > 300*time.Millisecond {
					t.Errorf("%s at node %d took %v", what, i%3, d)
				}
			}
		}
		odd := func(known bool) {
			t.Helper()
			for k := range simulator.Submission(array(1, 1, 1).Spec) {
				if k == "kits" || k == "site" || k == "dueS" { // may be null, so may be missing
					continue
				}
				ask("without "+k, "POST", "/v1/jobs", with(k, "missing"), 400, "")
				ask("list for "+k, "POST", "/v1/jobs", with(k, []int{1}), 400, "")
				ask("null for "+k, "POST", "/v1/jobs", with(k, nil), 400, "")
			}
			for k, v := range map[string]any{"kits": 3, "site": 4.5, "dueS": "soon", "parts": 2.5, "cpus": -1.0, "standby": 1, "shape": "gang", "nameId": "req-"} {
				ask("wrong "+k, "POST", "/v1/jobs", with(k, v), 400, "")
			}
			ask("no map", "POST", "/v1/jobs", []int{1}, 400, "")
			ask("no CBOR", "POST", "/v1/jobs", bytes.Repeat([]byte{0xff}, 9), 400, "")
			ask("unknown team", "POST", "/v1/jobs", with("owner", "green"), 422, "")
			ask("a task over the limit", "POST", "/v1/jobs", with("cpus", 41.0), 422, "")
			large := simulator.Submission(service(499, 30).Spec)
			large["owner"], large["cpus"] = "red", 1.5
			ask("a service over the limit", "POST", "/v1/jobs", large, 422, "")
			ask("question for nothing", "GET", "/v1/jobs/req-888888", nil, 404, "")
			ask("cancel of nothing", "POST", "/v1/jobs/req-888888/cancel", nil, 404, "")
			want := 422
			if !known {
				want = 503
				ask("good job", "POST", "/v1/jobs", with("cpus", 1.0), 503, "")
			}
			ask("fits no type", "POST", "/v1/jobs", with("cpus", 32.0), want, "")
			ask("unknown type", "POST", "/v1/jobs", with("kits", []string{"huge"}), want, "")
			ask("no such zone", "POST", "/v1/jobs", with("site", "q"), want, "")
			ask("fits together with no type", "POST", "/v1/jobs", with("ramGb", 65.0), want, "")
			ask("image fits no disk", "POST", "/v1/jobs", with("imageGb", 21.0), want, "")
		}
		at(3 * time.Second)
		odd(false)
		w.CloudOutage(false)
		at(18 * time.Second)
		odd(true)
		// An array may have more tasks than its team's limit.
		wide, s, gone := array(1, 60, 3), service(2, 2), service(3, 2)
		for _, j := range []simulator.Truth{wide, s, gone} {
			w.Submit(j, 0)
		}
		time.Sleep(2 * time.Second)
		w.Checked(func(c *simulator.Checker) { c.CancelAsked(gone.Spec.ID) })
		ask("cancel", "POST", "/v1/jobs/"+string(gone.Spec.ID)+"/cancel", nil, 200, wire.Cancelled)
		at(80 * time.Second)
		mustFinish(t, w, wide)
		known := func() {
			t.Helper()
			for j, want := range map[*simulator.Truth]wire.Status{&wide: wire.Done, &s: wire.Queued, &gone: wire.Cancelled} {
				ask("repeat of "+string(want), "POST", "/v1/jobs", simulator.Submission(j.Spec), 200, want)
				if want != wire.Queued {
					ask("cancel of "+string(want), "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil, 200, want)
					ask("poll of "+string(want), "GET", "/v1/jobs/"+string(j.Spec.ID), nil, 200, want)
				}
			}
		}
		known()
		// All nodes begin anew, and find the machine types neither in the state
		// service nor at the cloud.
		for i := range 3 {
			w.Kill(i)
		}
		w.CloudOutage(true)
		w.State.Drop(store.FlavorsKey)
		for i := range 3 {
			if err := w.Up(i); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		known()
		odd(false)
		w.CloudOutage(false)
		time.Sleep(20 * time.Second)
		known()
		mustRun(t, w, s, "after the nodes began anew")
		for _, k := range w.State.Keys("job/") {
			if !strings.HasSuffix(k, string(s.Spec.ID)) {
				t.Errorf("%s was taken in", k)
			}
		}
	})
}

// Several jobs end in one transaction, which has no room left for the progress of
// one of them, and just that one is cancelled meanwhile: its progress must stay
// until it is archived indeed. (It was dropped at once when the cancelled record
// took a moment to be read; then the final record failed for ever, and with it
// all that the leader would write beside it.)
func TestCancelCrossesAFullTransaction(t *testing.T) {
	for seed := range uint64(3) {
		playAs(t, simulator.GasSettings(), 450+seed, func(w *simulator.World, at func(time.Duration)) {
			l := w.Looks()
			var all []simulator.Truth
			for n := range 6 {
				all = append(all, array(1+n, 1, 4))
			}
			var mu sync.Mutex
			var hit *simulator.Truth
			slow, first := false, true
			crosses := make(chan struct{})
			w.State.Delay(func(x *wire.Txn) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				var over []simulator.Truth
				for _, j := range all {
					if archives(x, j.Spec.ID) {
						over = append(over, j)
					}
				}
				switch {
				case len(over) == 0 || hit != nil:
				case first:
					// The others end while the first final record is on its way.
					first = false
					return 1200 * time.Millisecond
				default:
					for _, j := range over {
						if !slices.ContainsFunc(x.Writes, func(w wire.Write) bool { return strings.HasPrefix(w.Delete, store.RunPrefix+string(j.Spec.ID)) }) {
							hit = &j
							close(crosses)
							return 150 * time.Millisecond
						}
					}
				}
				return 0
			})
			w.State.SlowReads(func(key string) time.Duration {
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
			w.Submit(warm, 0)
			for up := false; !up; time.Sleep(100 * time.Millisecond) {
				w.Checked(func(c *simulator.Checker) { up = c.Complete(warm.Spec.ID) })
			}
			for _, j := range all {
				l.Submit(j, simulator.Never, 0)
			}
			select {
			case <-crosses:
			case <-time.After(time.Minute):
				t.Error("no transaction was too full")
				return
			}
			status, s := l.Ask(1, "cancel", *hit)
			if status != 200 || s.Status != wire.Cancelled {
				t.Errorf("cancel answered %d %s", status, s.Status)
			}
			mu.Lock()
			slow = true
			mu.Unlock()
			time.Sleep(2 * time.Second)
			after := array(20, 2, 2)
			l.Submit(after, simulator.Never, 0)
			time.Sleep(40 * time.Second)
			mustFinish(t, w, append(all, after)...)
			w.Checked(func(c *simulator.Checker) {
				if d, ok := c.Waited(after.Spec.ID); !ok || d > 3*time.Second {
					t.Errorf("the next job waited for %v", d)
				}
			})
			if n := w.State.Lost(func(x *wire.Txn) bool { return archives(x, hit.Spec.ID) }); n != 1 {
				t.Errorf("%d final records failed at a cancellation", n)
			}
			if keys := append(w.State.Keys("job/"), w.State.Keys("run/")...); len(keys) != 0 {
				t.Errorf("left over: %v", keys)
			}
		})
	}
}

// A job whose record just fits into a value of the state service can be cancelled
// as every other, though a cancelled record says more. (Its cancellation was
// refused for ever.)
func TestCancelOfTheLargestRecord(t *testing.T) {
	playAs(t, simulator.GasSettings(), 460, func(w *simulator.World, at func(time.Duration)) {
		at(3 * time.Second)
		large := func(n, bundle int) simulator.Truth {
			j := service(n, 1)
			j.Spec.MachineTypes = []wire.MachineType{"c4", "c16"}
			for k := range 43 {
				j.Spec.MachineTypes = append(j.Spec.MachineTypes, wire.MachineType(fmt.Sprintf("%080d", k)))
			}
			j.Spec.Image = wire.ImageID(strings.Repeat("i", bundle))
			return j
		}
		// The longest name of an image with which it is accepted.
		n, fits := 100, 1
		for over := 120; over-fits > 1; n++ {
			mid := (fits + over) / 2
			j := large(n, mid)
			switch status, _, _ := w.Ask(n%3, "POST", "/v1/jobs", simulator.Submission(j.Spec)); status {
			case 201:
				fits = mid
				w.Checked(func(c *simulator.Checker) { c.Submitted(j.Spec); c.CancelAsked(j.Spec.ID) })
				if status, _, _ := w.Ask(n%3, "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil); status != 200 {
					t.Errorf("with %d bytes the cancellation is answered %d", mid, status)
				}
			case 422:
				over = mid
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
		w.Submit(j, 30*time.Second)
		w.Submit(array(2, 2, 3), 0)
		at(25 * time.Second)
		mustRun(t, w, j, "before it is cancelled")
		at(75 * time.Second)
		w.Checked(func(c *simulator.Checker) {
			if s := c.Final(j.Spec.ID); s != wire.Cancelled || c.On(j.Spec.ID) != 0 {
				t.Errorf("it is %q, %d tasks run", s, c.On(j.Spec.ID))
			}
		})
		if keys := append(w.State.Keys("job/"), w.State.Keys("run/")...); len(keys) != 0 {
			t.Errorf("left over: %v", keys)
		}
	})
}

// Jobs of one small task each, many of which fit on the smallest machine, are
// rented for together: for one of them alone every machine would be too dear. (A
// hundred of them waited two minutes, until the first was taken for starving.)
func TestSmallJobsRentTogether(t *testing.T) {
	playAs(t, simulator.DefaultSettings(), 470, func(w *simulator.World, at func(time.Duration)) {
		l := w.Looks()
		l.For, l.Polls = 0, 3*time.Second
		at(2 * time.Second)
		var all []simulator.Truth
		for n := range 160 {
			j := array(1+n, 1, 2)
			j.Spec.CPUs = 1
			all = append(all, j)
			l.Submit(j, simulator.Never, 0)
			time.Sleep(250 * time.Millisecond)
		}
		at(90 * time.Second)
		mustFinish(t, w, all...)
		longest := time.Duration(0)
		w.Checked(func(c *simulator.Checker) {
			for _, j := range all {
				if d, ok := c.Waited(j.Spec.ID); ok {
					longest = max(longest, d)
				}
			}
		})
		if longest > 40*time.Second {
			t.Errorf("a job waited for %v", longest)
		}
	})
}
