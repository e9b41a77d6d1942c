package scenarios_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// nextLimits are the limits to come.
var loweredLimits = config.NextState{RPS: 200, WriteRPS: 25, ValueKB: 2, TxnOps: 4}

// lowering is a deployment with room for many small tasks.
func settingsBeforeLowering() config.Settings {
	s := simulator.DefaultSettings()
	s.Teams = []config.Team{{Name: "red", CPUs: 400, CPUsMax: 400}, {Name: "blue", CPUs: 16}}
	s.State = config.State{RPS: 200, WriteRPS: 60, ValueKB: 32, TxnOps: 12}
	return s
}

// upgrade restarts all nodes with settings that tell of the limits to come. Until
// then they accept jobs as the version in production does.
func announceLoweredLimits(t *testing.T, w *simulator.World) {
	t.Helper()
	for i := range w.Set.Size {
		w.Configure(i, func(s *config.Settings) { s.State.Next = &loweredLimits })
		w.Kill(i)
		time.Sleep(2 * time.Second)
		if err := w.Up(i); err != nil {
			t.Fatal(err)
		}
		time.Sleep(6 * time.Second)
	}
}

func lowerLimits(w *simulator.World) {
	w.State.Lower(int(loweredLimits.ValueKB), loweredLimits.TxnOps, loweredLimits.RPS, loweredLimits.WriteRPS)
}

// grown checks that a job's progress is stored in values over the limit to come:
// else the drop would meet nothing.
func mustExceedLoweredLimits(t *testing.T, w *simulator.World, jobs ...simulator.Truth) {
	t.Helper()
	for _, j := range jobs {
		if n := w.State.LargestValue(store.RunPrefix + string(j.Spec.ID) + "/"); n <= int(loweredLimits.ValueKB*1024) {
			t.Errorf("the largest record of %s has %d bytes: the drop meets nothing", j.Spec.ID, n)
		}
	}
}

// pieces counts what is stored in pieces.
func storedPieces(w *simulator.World) int {
	n := 0
	for _, k := range w.State.Keys(store.RunPrefix) {
		if strings.Count(k, "/") == 3 {
			n++
		}
	}
	return n
}

// settled checks that nothing is left of jobs that are over.
func mustBeArchived(t *testing.T, w *simulator.World, jobs ...simulator.Truth) {
	t.Helper()
	mustFinish(t, w, jobs...)
	for _, j := range jobs {
		if k := w.State.Keys(store.RunPrefix + string(j.Spec.ID) + "/"); len(k) > 0 {
			t.Errorf("of %s is left %v", j.Spec.ID, k)
		}
		for i := range w.Set.Size {
			status, raw, _ := w.Ask(i, "GET", "/v1/jobs/"+string(j.Spec.ID), nil)
			var s wire.JobState
			if status != 200 || wire.Decode(raw, &s) != nil || s.Status != wire.Done || s.Done != j.Spec.Tasks {
				t.Errorf("%s is %d %+v by node %d", j.Spec.ID, status, s, i)
			}
		}
	}
}

// The limits drop while jobs are under way whose progress was stored under the
// larger ones, in quiet and as other troubles come with it.
func TestStateLimitsLowered(t *testing.T) {
	t.Parallel()
	kinds := map[string]func(t *testing.T, w *simulator.World, at func(time.Duration)){
		"quiet": func(t *testing.T, w *simulator.World, at func(time.Duration)) { lowerLimits(w) },
		"outage": func(t *testing.T, w *simulator.World, at func(time.Duration)) {
			w.State.Outage(true)
			time.Sleep(5 * time.Second)
			lowerLimits(w)
			time.Sleep(15 * time.Second)
			w.State.Outage(false)
		},
		"change of leader": func(t *testing.T, w *simulator.World, at func(time.Duration)) {
			l := w.Leader()
			w.Kill(l)
			time.Sleep(time.Second)
			if w.Leader() != l {
				t.Error("the office passed on before the drop")
			}
			lowerLimits(w)
			awaitSuccessor(t, w, l)
		},
		"recovery": func(t *testing.T, w *simulator.World, at func(time.Duration)) {
			l := w.Leader()
			w.Kill(l)
			w.State.Late(func() time.Duration { return 300 * time.Millisecond }) // both lists
			begin := time.Now()
			for n := w.Leader(); n == l || n < 0; n = w.Leader() {
				if time.Since(begin) > 15*time.Second {
					t.Fatal("nobody followed")
				}
				time.Sleep(2 * time.Millisecond)
			}
			lowerLimits(w) // it has the office, and reads for 0.6 s
			time.Sleep(3 * time.Second)
			w.State.Late(nil)
			if err := w.Up(l); err != nil {
				t.Fatal(err)
			}
		},
		"changes of leader after it": func(t *testing.T, w *simulator.World, at func(time.Duration)) {
			lowerLimits(w)
			for begin := time.Now(); storedPieces(w) == 0 && time.Since(begin) < time.Minute; {
				time.Sleep(100 * time.Millisecond)
			}
			for range 5 {
				if storedPieces(w) == 0 {
					t.Error("there are no pieces for the next leader to read")
				}
				replaceLeader(t, w)
				time.Sleep(1500 * time.Millisecond)
			}
		},
		"answers lost": func(t *testing.T, w *simulator.World, at func(time.Duration)) {
			w.State.Trouble(7, simulator.TxnFault{Prefix: store.RunPrefix, Share: 0.3})
			lowerLimits(w)
			time.Sleep(20 * time.Second)
			w.State.Trouble(0)
		},
		"all controllers end": func(t *testing.T, w *simulator.World, at func(time.Duration)) {
			lowerLimits(w)
			time.Sleep(1500 * time.Millisecond)
			killAll(w)
			time.Sleep(5 * time.Second)
			startAll(t, w)
		},
	}
	kinds["cancellations"] = func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		lowerLimits(w)
		if !cancelWithin(t, w, "req-000006", 10*time.Second) {
			t.Error("not cancelled")
		}
	}
	names := []string{}
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for i, name := range names {
		for seed := range seedCount(1) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsBeforeLowering(), uint64(700+i)+100*seed, func(w *simulator.World, at func(time.Duration)) {
					a, b := arrayOfSmallTasks(1, 600, 60), arrayOfSmallTasks(2, 250, 75)
					after, s, gone := arrayOfSmallTasks(3, 100, 10), service(4, 3), service(5, 2)
					at(2 * time.Second)
					w.Submit(a, 0)
					w.Submit(b, 0)
					w.Submit(s, 0)
					c := arrayOfSmallTasks(6, 250, 80)
					w.Submit(c, 0)
					at(30 * time.Second)
					announceLoweredLimits(t, w)
					w.Submit(gone, 20*time.Second)
					mustExceedLoweredLimits(t, w, a, b, c)
					if n := storedPieces(w); n > 0 || w.State.Oversize() > 0 {
						t.Errorf("%d pieces, %d refused before the limits drop", n, w.State.Oversize())
					}
					w.Checked(func(ck *simulator.Checker) {
						if n := ck.On(a.Spec.ID) + ck.On(b.Spec.ID) + ck.On(c.Spec.ID); n < 500 {
							t.Errorf("only %d tasks are under way", n)
						}
					})
					kinds[name](t, w, at)
					w.Submit(after, 0)
					most := 0
					for range 300 {
						time.Sleep(500 * time.Millisecond)
						most = max(most, storedPieces(w))
					}
					if most == 0 {
						t.Error("nothing was written in pieces")
					}
					if w.State.Oversize() == 0 {
						t.Error("nothing was refused by the lower limits")
					}
					over, _ := w.State.Over()
					t.Logf("%d transactions refused for their size, %d requests for the rate, %d pieces", w.State.Oversize(), over, most)
					mustBeArchived(t, w, a, b, after)
					if name != "cancellations" {
						mustBeArchived(t, w, c)
					}
					mustRun(t, w, s, "after the drop")
					w.Checked(func(c *simulator.Checker) {
						if c.On(gone.Spec.ID) != 0 || c.On("req-000006") != 0 {
							t.Error("what was cancelled still runs")
						}
						if c.Again() > 0 && name != "answers lost" && name != "all controllers end" {
							t.Errorf("%d tasks were started again", c.Again())
						}
					})
				})
			})
		}
	}
}

// Jobs whose records are over the limit to come are cancelled after the drop, and
// asked about and submitted again; what could not be stored is refused at once,
// before the drop too.
func TestLargeJobRecordsAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsBeforeLowering(), 720, func(w *simulator.World, at func(time.Duration)) {
		large := func(n int) simulator.Truth {
			j := arrayOfSmallTasks(n, 300, 200)
			for i := range 60 {
				j.Spec.MachineTypes = append(j.Spec.MachineTypes, wire.MachineType(fmt.Sprintf("kit-%s-%03d", strings.Repeat("x", 36), i)))
			}
			j.Spec.MachineTypes = append(j.Spec.MachineTypes, "c4", "c16")
			return j
		}
		a, b, c, plain, never := large(1), large(2), large(3), arrayOfSmallTasks(4, 300, 200), large(5)
		b.RunS, c.Spec.Tasks = 60, 2
		at(2 * time.Second)
		w.Submit(a, 0)
		w.Submit(b, 0)
		w.Submit(c, 0)
		w.Submit(plain, 0)
		at(20 * time.Second)
		announceLoweredLimits(t, w)
		for _, when := range []string{"before", "after"} {
			status, _, _ := w.Ask(1, "POST", "/v1/jobs", simulator.Submission(never.Spec))
			if status != 422 {
				t.Errorf("what can't be stored is answered %d %s the drop", status, when)
			}
			for i := range w.Set.Size {
				if status, raw, _ := w.Ask(i, "POST", "/v1/jobs", simulator.Submission(a.Spec)); status != 200 {
					t.Errorf("an accepted job submitted again %s the drop is answered %d %x", when, status, raw)
				}
			}
			if when == "before" {
				lowerLimits(w)
			}
		}
		for _, j := range []simulator.Truth{a, c, plain} {
			mustCancel(t, w, j)
		}
		time.Sleep(30 * time.Second)
		replaceLeader(t, w)
		time.Sleep(120 * time.Second)
		mustBeArchived(t, w, b)
		w.Checked(func(ck *simulator.Checker) {
			for _, j := range []simulator.Truth{a, c, plain} {
				if ck.On(j.Spec.ID) != 0 {
					t.Errorf("%d tasks of %s are left", ck.On(j.Spec.ID), j.Spec.ID)
				}
			}
		})
		if k := w.State.Keys(store.JobPrefix); len(k) > 0 {
			t.Errorf("jobs that are over are left: %v", k)
		}
	})
}

// A job of 100,000 tasks goes through the drop, and its cancellation leaves
// nothing behind.
func TestLargestJobAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsBeforeLowering(), 730, func(w *simulator.World, at func(time.Duration)) {
		old, young := arrayOfSmallTasks(1, 100_000, 30), arrayOfSmallTasks(2, 100_000, 30)
		old.Spec.CPUs, young.Spec.CPUs = 0.5, 0.5
		at(2 * time.Second)
		w.Submit(old, 0)
		at(30 * time.Second)
		announceLoweredLimits(t, w)
		lowerLimits(w)
		w.Submit(young, 0)
		time.Sleep(60 * time.Second)
		replaceLeader(t, w)
		time.Sleep(60 * time.Second)
		done := 0
		status, raw, _ := w.Ask(0, "GET", "/v1/jobs/"+string(old.Spec.ID), nil)
		var s wire.JobState
		if status != 200 || wire.Decode(raw, &s) != nil {
			t.Errorf("answered %d", status)
		}
		if done = s.Done; done < 300 {
			t.Errorf("%d tasks done", done)
		}
		for _, j := range []simulator.Truth{old, young} {
			mustCancel(t, w, j)
		}
		time.Sleep(150 * time.Second)
		if k := w.State.Keys(store.RunPrefix); len(k) > 0 {
			t.Errorf("%d records are left of jobs that are over", len(k))
		}
	})
}
