package scenarios_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A user's changes get no answer and are carried out ten seconds later, when what
// they speak of has gone on: nothing may come back to life, and a job that was
// done stays so.
func TestUserWritesExecutedLate(t *testing.T) {
	t.Parallel()
	late := func(w *simulator.World, node int) {
		w.State.Trouble(1, simulator.TxnFault{Prefix: store.JobPrefix, Hosts: []string{simulator.NodeIP(node)}, Most: 1, Late: [2]time.Duration{10 * time.Second, 12 * time.Second}})
	}
	for i, kind := range []string{"acceptance, after the job's end", "acceptance, after its cancellation", "acceptance, nobody asks again",
		"cancellation, after the job's end", "cancellation, after another", "cancellation, nobody asks again"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(600+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				warm, a, small, s := array(1, 8, 10), array(2, 2, 2), array(4, 1, 1), service(3, 3)
				if i == 2 || i == 4 || i == 5 {
					a.RunS = 40
				}
				if i == 3 {
					a.RunS = 5
				}
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(warm, 0) // what it leaves has room for the next
				at(27 * time.Second)
				w.Know(a)
				r := startReader(t, w, a.Spec.ID)
				k := i % w.Set.Size
				var other time.Time
				switch i {
				case 0:
					late(w, k)
					requestUntilAnswered(t, w, a, false, k)
				case 1:
					late(w, k)
					requestUntilAnswered(t, w, a, false, k)
					other, _, _ = requestUntilAnswered(t, w, a, true, k+1)
				case 2:
					late(w, k)
					if status := requestOnce(w, a, false, k); status == 200 || status == 201 {
						t.Errorf("answered %d", status)
					}
				case 3:
					requestUntilAnswered(t, w, a, false, k)
					late(w, k)
					if status := requestOnce(w, a, true, k); status == 200 {
						t.Errorf("answered %d", status)
					}
				case 4:
					requestUntilAnswered(t, w, a, false, k)
					late(w, k)
					other, _, _ = requestUntilAnswered(t, w, a, true, k)
				case 5:
					requestUntilAnswered(t, w, a, false, k)
					late(w, k)
					requestOnce(w, a, true, k)
				}
				w.Know(small) // something newer of the same node
				requestOnce(w, small, false, k)
				at(55 * time.Second)
				endFaultsAndWait(w, 75*time.Second) // a cancelled one must be gone by then
				r.stopReading()
				over := r.firstSeen(2)
				hit := faultedTransactions(w, store.JobPrefix+string(a.Spec.ID), func(f *simulator.Fate) bool { return f.Late })
				if len(hit) != 1 || hit[0].Done.IsZero() {
					t.Fatalf("fates %+v", hit)
				}
				switch i {
				case 0:
					mustFinish(t, w, a)
					mustBeExecutedLate(t, kind, faultedTransactions(w, store.JobPrefix, refusedByGuardOn("past/")), over)
				case 1, 4:
					mustBeExecutedLate(t, kind, faultedTransactions(w, store.JobPrefix, failedAfterNewer), over, other)
				case 2:
					mustFinish(t, w, a)
					if hit[0].Status != http.StatusOK || !r.firstSeen(1).After(hit[0].Done) || hit[0].Done.Sub(hit[0].Sent) < 10*time.Second {
						t.Errorf("%+v, first known at %v", hit[0], r.firstSeen(1))
					}
				case 3:
					mustFinish(t, w, a)
					mustBeExecutedLate(t, kind, faultedTransactions(w, store.JobPrefix, refusedByGuardOn(store.JobPrefix)), over)
					if when, _, said := requestUntilAnswered(t, w, a, true, k); when.IsZero() || said != wire.Done {
						t.Errorf("a job that was done is called %s", said)
					}
				case 5:
					if hit[0].Status != http.StatusOK || !over.After(hit[0].Done) {
						t.Errorf("%+v, first known to be over at %v", hit[0], over)
					}
				}
				w.Checked(func(c *simulator.Checker) {
					if n := c.On(a.Spec.ID); n != 0 {
						t.Errorf("%d tasks of a job that is over", n)
					}
				})
				mustRun(t, w, s, "afterwards")
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
		{"launch", store.RunPrefix, late{2 * time.Second, 12 * time.Second}, false, false},
		{"launch, and the new token", store.RunPrefix, long, false, true},
		{"launch, under a dead leader's grant", store.RunPrefix, soon, true, false},
		{"launch, after the next leader came", store.RunPrefix, long, true, false},
		{"end of a job", "past/", long, false, false},
		{"end of a job, and the new token", "past/", long, false, true},
		{"end of a job, under a dead leader's grant", "past/", soon, true, false},
		{"end of a job, after the next leader came", "past/", long, true, false},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(620+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				warm, a, b, s := array(1, 8, 10), array(2, 8, 8), array(4, 4, 5), service(3, 3)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(warm, 0)
				at(27 * time.Second)
				l := w.Leader()
				if l < 0 {
					t.Fatal("nobody leads")
				}
				most := 1
				if !c.ends {
					most = 3
				}
				faults := []simulator.TxnFault{{Prefix: c.prefix, Hosts: []string{simulator.NodeIP(l)}, Most: most, Late: c.late, Hang: c.ends}}
				if c.lead {
					faults = append(faults, simulator.TxnFault{Prefix: store.LeadKey, Hosts: []string{simulator.NodeIP(l)}, Most: 2, Late: c.late})
				}
				w.State.Trouble(uint64(i), faults...)
				w.Know(a)
				r := startReader(t, w, a.Spec.ID)
				asked := make(chan bool)
				go func() {
					requestUntilAnswered(t, w, a, false, i)
					close(asked)
				}()
				var killed, next time.Time
				if c.ends {
					for begin := time.Now(); len(w.State.Fates()) == 0 && time.Since(begin) < 30*time.Second; {
						time.Sleep(5 * time.Millisecond)
					}
					w.Kill(l)
					killed = time.Now()
					for time.Since(killed) < 6*time.Second {
						time.Sleep(50 * time.Millisecond)
						if n := w.Leader(); next.IsZero() && n >= 0 && n != l {
							next = time.Now()
						}
					}
					w.Up(l)
				}
				<-asked
				time.Sleep(10 * time.Second)
				w.Submit(b, 0)
				time.Sleep(20 * time.Second)
				endFaultsAndWait(w, 20*time.Second)
				r.stopReading()
				mustFinish(t, w, a, b)
				mustRun(t, w, s, "afterwards")
				if r.firstSeen(2).IsZero() {
					t.Errorf("nobody was told that the job is done")
				}
				hit := faultedTransactions(w, c.prefix, func(f *simulator.Fate) bool { return f.Late && !f.Done.IsZero() })
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
					mustBeExecutedLate(t, c.what, faultedTransactions(w, c.prefix, refusedByGuardOn(store.LeadKey)))
				}
				if c.lead {
					mustBeExecutedLate(t, "the new token", faultedTransactions(w, store.LeadKey, refusedByGuardOn(store.LeadKey)))
				}
			})
		})
	}
}

// Candidates' writes of the leader's key are carried out late: while the office is
// another's, or still vacant, by a grant that was given up. Nobody may lead by it.
func TestLeaderKeyWrittenLate(t *testing.T) {
	t.Parallel()
	for i, most := range []int{1, 6} {
		t.Run(fmt.Sprint(most), func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(640+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				s, a := service(1, 3), array(2, 6, 15)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				at(30 * time.Second)
				for k := range 2 {
					l := w.Leader()
					if l < 0 {
						t.Fatal("nobody leads")
					}
					w.State.Trouble(uint64(10*i+k), simulator.TxnFault{Prefix: store.LeadKey, Most: most, Late: [2]time.Duration{2 * time.Second, 12 * time.Second}})
					w.Kill(l)
					time.Sleep(20 * time.Second)
					w.Up(l)
					time.Sleep(10 * time.Second)
				}
				w.Submit(array(3, 4, 5), 0)
				endFaultsAndWait(w, 45*time.Second)
				mustFinish(t, w, a, array(3, 4, 5))
				mustRun(t, w, s, "afterwards")
				hit := faultedTransactions(w, store.LeadKey, func(f *simulator.Fate) bool { return f.Late && !f.Done.IsZero() })
				dead := faultedTransactions(w, store.LeadKey, func(f *simulator.Fate) bool { return f.Status == http.StatusBadRequest })
				if len(hit) < 2*most || len(dead) == 0 || slices.ContainsFunc(hit, wasExecutedValue) {
					t.Errorf("%d late, %d of them with a dead grant: %+v", len(hit), len(dead), hit)
				}
			})
		})
	}
}
