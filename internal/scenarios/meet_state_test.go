package scenarios_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// seen is an answer about a job that is newer than all before.
type seen struct {
	at   time.Time
	node int
	rank int // 0: not known, 1: accepted, 2: over
}

// reader asks the nodes in turn about one job, one question after the other:
// whatever a user was told before he asked, the answer must not be older. (What
// he is told while the answer is on its way can't be in it.)
type reader struct {
	w     *simulator.World
	stop  chan struct{}
	ended chan struct{}
	news  []seen
}

func read(t *testing.T, w *simulator.World, id wire.JobID) *reader {
	r := &reader{w: w, stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		rank := 0
		for i := 0; ; i++ {
			select {
			case <-r.stop:
				return
			case <-time.After(time.Duration(1+8*(rank/2)) * 250 * time.Millisecond): // rarely once it is over
			}
			n := i % w.Set.Size
			w.Checked(func(c *simulator.Checker) { rank = max(rank, c.Said(id)) })
			status, raw, _ := w.Ask(n, "GET", "/v1/jobs/"+string(id), nil)
			var s wire.JobState
			now := 0
			switch {
			case status == http.StatusNotFound:
			case status == http.StatusOK && wire.Decode(raw, &s) == nil:
				if now = 1; s.Status.Final() {
					now = 2
				}
			default:
				continue // no answer says nothing
			}
			w.Checked(func(c *simulator.Checker) {
				if now < rank {
					t.Errorf("%s: node %d says %d %s after %v", id, n, status, s.Status, r.news)
				}
				if now > rank || len(r.news) == 0 || now > r.news[len(r.news)-1].rank {
					rank = max(rank, now)
					r.news = append(r.news, seen{time.Now(), n, now})
				}
				if now >= c.Said(id) {
					c.Polled(id, status, s.Status, time.Now())
				}
			})
		}
	}()
	return r
}

// end stops the reader.
func (r *reader) end() {
	close(r.stop)
	<-r.ended
}

// first is when an answer of the rank came first; zero: never.
func (r *reader) first(rank int) (at time.Time) {
	r.w.Checked(func(*simulator.Checker) {
		if i := slices.IndexFunc(r.news, func(n seen) bool { return n.rank >= rank }); i >= 0 {
			at = r.news[i].at
		}
	})
	return
}

// insist is a user who submits a job or asks to cancel it again and again at
// node after node, beginning with the given one, until it is answered, and who
// then asks the others all the same. It tells when which node answered first.
func insist(t *testing.T, w *simulator.World, j simulator.Truth, cancel bool, from int) (when time.Time, node int, said wire.Status) {
	t.Helper()
	id := j.Spec.ID
	path, body := "/v1/jobs", any(simulator.Submission(j.Spec))
	if cancel {
		path, body = path+"/"+string(id)+"/cancel", nil
		w.Checked(func(c *simulator.Checker) { c.CancelAsked(id) })
	}
	more := w.Set.Size
	for i, begin := from, time.Now(); more > 0 && time.Since(begin) < 60*time.Second; i++ {
		n := i % w.Set.Size
		status, raw, _ := w.Ask(n, "POST", path, body)
		now := time.Now()
		w.Checked(func(c *simulator.Checker) {
			var b wire.JobSummary
			if status != 200 && status != 201 || wire.Decode(raw, &b) != nil {
				if c.Refused(id, status, now); status == 400 || status == 404 || status == 422 {
					t.Errorf("%s of %s answered %d by node %d", path, id, status, n)
				}
				return
			}
			if c.Accepted(id, now); cancel || b.Status.Final() {
				c.Told(id, b.Status, now)
			}
			if when.IsZero() {
				when, node, said = now, n, b.Status
			}
		})
		if !when.IsZero() {
			more--
		}
		time.Sleep(time.Second)
	}
	if when.IsZero() {
		t.Errorf("%s for %s was never answered", path, id)
	}
	return
}

// fates are those of the faults' transactions that change a key with the prefix
// and pass the test.
func fates(w *simulator.World, prefix string, which func(f *simulator.Fate) bool) []simulator.Fate {
	return slices.DeleteFunc(w.State.Fates(), func(f simulator.Fate) bool { return !f.Changes(prefix) || !which(&f) })
}

func executed(f *simulator.Fate) bool { return f.Status == http.StatusOK }

// tooLate are those that came after newer ones of the same client and failed.
func tooLate(f *simulator.Fate) bool {
	return f.Late && f.Newer > 0 && f.Status != 0 && f.Status != http.StatusOK
}

// meet plays a meeting of troubles on the usual layout or, by turns of the seed, on
// the one where a zone has machines and no controller.
func meet(t *testing.T, seed uint64, script func(t *testing.T, w *simulator.World, at func(time.Duration))) {
	t.Helper()
	for i := range seeds() {
		name, run := "usual layout", play
		if (seed+i)%2 == 1 {
			name, run = "odd layout", playOdd
		}
		t.Run(fmt.Sprint(name, " ", seed+i), func(t *testing.T) {
			run(t, seed+i, func(w *simulator.World, at func(time.Duration)) { script(t, w, at) })
		})
	}
}

// seeds is how many seeds each meeting is played with: one, or more on demand.
func seeds() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("MEET_SEEDS"), 10, 64)
	return max(1, n)
}

// rest ends all troubles of transactions, and gives the jobs some time.
func rest(w *simulator.World, d time.Duration) {
	w.State.Trouble(0)
	w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
	time.Sleep(d)
}

// Transactions are carried out at once and only their answers are lost, while all
// nodes are asked about what they wrote and the same user repeats himself at node
// after node: acceptances, cancellations, launches, the leader's key, and what
// replaces a job that is over.
func TestAnswersLostWhileOthersRead(t *testing.T) {
	for i, kind := range []string{"acceptance", "cancellation", "launch", "office", "end", "all"} {
		prefix := map[string]string{"acceptance": store.JobPrefix, "cancellation": store.JobPrefix, "launch": store.RunPrefix, "office": store.LeadKey, "end": "past/"}[kind]
		t.Run(kind, func(t *testing.T) {
			meet(t, uint64(500+10*i+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				a, b, gone, s := array(1, 10, 10), array(2, 6, 6), service(3, 3), service(4, 3)
				faults := []simulator.TxnFault{{Prefix: prefix}}
				if kind == "all" { // the first of each for sure, then half of all
					faults = []simulator.TxnFault{{Prefix: store.JobPrefix, Most: 1}, {Prefix: store.RunPrefix, Most: 1}, {Share: 0.5}}
				}
				var begin, end time.Time
				on := func() { w.State.Trouble(uint64(i), faults...); begin = time.Now() }
				off := func() { w.State.Trouble(0); end = time.Now() }
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Know(gone)
				insist(t, w, gone, false, 0)
				at(25 * time.Second)
				w.Know(a)
				w.Know(b)
				ra, rb, rg := read(t, w, a.Spec.ID), read(t, w, b.Spec.ID), read(t, w, gone.Spec.ID)
				if kind != "cancellation" {
					on()
				}
				accepted, _, _ := insist(t, w, a, false, i)
				if kind == "acceptance" {
					off()
				}
				at(40 * time.Second)
				if kind == "cancellation" {
					on()
				}
				cancelled, _, _ := insist(t, w, gone, true, i)
				if kind == "cancellation" {
					off()
				}
				at(50 * time.Second)
				if kind == "office" || kind == "all" {
					l := w.Leader()
					if l < 0 {
						t.Fatal("nobody leads")
					}
					w.Kill(l)
					time.Sleep(8 * time.Second)
					w.Up(l)
				}
				insist(t, w, b, false, 0)
				at(85 * time.Second)
				if end.IsZero() {
					off()
				}
				rest(w, 30*time.Second)
				ra.end()
				rb.end()
				rg.end()
				mustFinish(t, w, a, b)
				mustRun(t, w, s, "afterwards")

				// The meeting: an answer was lost for what was carried out, and
				// others told of it, or went on with it, while that went on.
				hit := fates(w, prefix, executed)
				if len(hit) == 0 {
					t.Fatal("no transaction was carried out without an answer")
				}
				during := func(what string, x time.Time) {
					if x.Before(hit[0].Done) || x.After(end) || x.IsZero() {
						t.Errorf("%s %v after the trouble's begin, not between its first loss, after %v, and its end, after %v", what, x.Sub(begin), hit[0].Done.Sub(begin), end.Sub(begin))
					}
				}
				switch kind {
				case "acceptance":
					during("accepted", accepted)
					during("first read", ra.first(1))
				case "cancellation":
					during("cancelled", cancelled)
					during("first read", rg.first(2))
				case "launch", "end":
					during("first read to be over", ra.first(2))
				case "office":
					if l := w.Leader(); l < 0 || !slices.ContainsFunc(hit, func(f simulator.Fate) bool { return f.From == simulator.NodeIP(l) }) {
						t.Errorf("node %d leads by a key whose writing was answered", l)
					}
					during("the next leader's first job was over", rb.first(2))
				case "all":
					for _, p := range []string{store.RunPrefix, store.JobPrefix} {
						if len(fates(w, p, executed)) == 0 {
							t.Errorf("nothing of %s was hit", p)
						}
					}
				}
			})
		})
	}
}

// once asks one node one time to submit a job or to cancel it, and tells the
// answer's status. Without an answer nothing is known.
func once(w *simulator.World, j simulator.Truth, cancel bool, node int) int {
	path, body := "/v1/jobs", any(simulator.Submission(j.Spec))
	if cancel {
		path, body = path+"/"+string(j.Spec.ID)+"/cancel", nil
		w.Checked(func(c *simulator.Checker) { c.CancelAsked(j.Spec.ID) })
	}
	status, _, _ := w.Ask(node, "POST", path, body)
	return status
}

// mustBeLate checks that one of the transactions was carried out, or refused,
// after newer ones of the same client had been carried out, and after all that
// came before it here.
func mustBeLate(t *testing.T, what string, hit []simulator.Fate, after ...time.Time) {
	t.Helper()
	for _, f := range hit {
		if f.Newer > 0 && !slices.ContainsFunc(after, func(x time.Time) bool { return x.IsZero() || !f.Done.After(x) }) {
			return
		}
	}
	t.Errorf("%s: none came late, after newer ones and after %v: %+v", what, after, hit)
}

// refusedFor are the fates that failed at a guard on such a key.
func refusedFor(prefix string) func(*simulator.Fate) bool {
	return func(f *simulator.Fate) bool {
		return tooLate(f) && slices.ContainsFunc(f.Failed, func(k string) bool { return strings.HasPrefix(k, prefix) })
	}
}

// A user's changes get no answer and are carried out ten seconds later, when what
// they speak of has gone on: nothing may come back to life, and a job that was
// done stays so.
func TestUsersChangesCarriedOutLate(t *testing.T) {
	late := func(w *simulator.World, node int) {
		w.State.Trouble(1, simulator.TxnFault{Prefix: store.JobPrefix, Hosts: []string{simulator.NodeIP(node)}, Most: 1, Late: [2]time.Duration{10 * time.Second, 12 * time.Second}})
	}
	for i, kind := range []string{"acceptance, after the job's end", "acceptance, after its cancellation", "acceptance, nobody asks again",
		"cancellation, after the job's end", "cancellation, after another", "cancellation, nobody asks again"} {
		t.Run(kind, func(t *testing.T) {
			meet(t, uint64(600+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
				r := read(t, w, a.Spec.ID)
				k := i % w.Set.Size
				var other time.Time
				switch i {
				case 0:
					late(w, k)
					insist(t, w, a, false, k)
				case 1:
					late(w, k)
					insist(t, w, a, false, k)
					other, _, _ = insist(t, w, a, true, k+1)
				case 2:
					late(w, k)
					if status := once(w, a, false, k); status == 200 || status == 201 {
						t.Errorf("answered %d", status)
					}
				case 3:
					insist(t, w, a, false, k)
					late(w, k)
					if status := once(w, a, true, k); status == 200 {
						t.Errorf("answered %d", status)
					}
				case 4:
					insist(t, w, a, false, k)
					late(w, k)
					other, _, _ = insist(t, w, a, true, k)
				case 5:
					insist(t, w, a, false, k)
					late(w, k)
					once(w, a, true, k)
				}
				w.Know(small) // something newer of the same node
				once(w, small, false, k)
				at(55 * time.Second)
				rest(w, 75*time.Second) // a cancelled one must be gone by then
				r.end()
				over := r.first(2)
				hit := fates(w, store.JobPrefix+string(a.Spec.ID), func(f *simulator.Fate) bool { return f.Late })
				if len(hit) != 1 || hit[0].Done.IsZero() {
					t.Fatalf("fates %+v", hit)
				}
				switch i {
				case 0:
					mustFinish(t, w, a)
					mustBeLate(t, kind, fates(w, store.JobPrefix, refusedFor("past/")), over)
				case 1, 4:
					mustBeLate(t, kind, fates(w, store.JobPrefix, tooLate), over, other)
				case 2:
					mustFinish(t, w, a)
					if hit[0].Status != http.StatusOK || !r.first(1).After(hit[0].Done) || hit[0].Done.Sub(hit[0].Sent) < 10*time.Second {
						t.Errorf("%+v, first known at %v", hit[0], r.first(1))
					}
				case 3:
					mustFinish(t, w, a)
					mustBeLate(t, kind, fates(w, store.JobPrefix, refusedFor(store.JobPrefix)), over)
					if when, _, said := insist(t, w, a, true, k); when.IsZero() || said != wire.Done {
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
func TestLeadersWritesCarriedOutLate(t *testing.T) {
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
			meet(t, uint64(620+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
				r := read(t, w, a.Spec.ID)
				asked := make(chan bool)
				go func() {
					insist(t, w, a, false, i)
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
				rest(w, 20*time.Second)
				r.end()
				mustFinish(t, w, a, b)
				mustRun(t, w, s, "afterwards")
				if r.first(2).IsZero() {
					t.Errorf("nobody was told that the job is done")
				}
				hit := fates(w, c.prefix, func(f *simulator.Fate) bool { return f.Late && !f.Done.IsZero() })
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
					mustBeLate(t, c.what, fates(w, c.prefix, refusedFor(store.LeadKey)))
				}
				if c.lead {
					mustBeLate(t, "the new token", fates(w, store.LeadKey, refusedFor(store.LeadKey)))
				}
			})
		})
	}
}

// Candidates' writes of the leader's key are carried out late: while the office is
// another's, or still vacant, by a grant that was given up. Nobody may lead by it.
func TestOfficeTakenLate(t *testing.T) {
	for i, most := range []int{1, 6} {
		t.Run(fmt.Sprint(most), func(t *testing.T) {
			meet(t, uint64(640+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
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
				rest(w, 45*time.Second)
				mustFinish(t, w, a, array(3, 4, 5))
				mustRun(t, w, s, "afterwards")
				hit := fates(w, store.LeadKey, func(f *simulator.Fate) bool { return f.Late && !f.Done.IsZero() })
				dead := fates(w, store.LeadKey, func(f *simulator.Fate) bool { return f.Status == http.StatusBadRequest })
				if len(hit) < 2*most || len(dead) == 0 || slices.ContainsFunc(hit, executed1) {
					t.Errorf("%d late, %d of them with a dead grant: %+v", len(hit), len(dead), hit)
				}
			})
		})
	}
}

func executed1(f simulator.Fate) bool { return executed(&f) }

// Of all that all nodes write a share is carried out late, and of the rest the
// answers of a share are lost, while users submit, cancel and ask, machines are
// taken and the leader ends.
func TestLateAndLostTogether(t *testing.T) {
	meet(t, 650, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		var all []simulator.Truth
		var readers []*reader
		s := service(900, 3)
		at(2 * time.Second)
		w.Submit(s, 0)
		at(15 * time.Second)
		late := [2]time.Duration{2 * time.Second, 12 * time.Second}
		w.State.Trouble(7, // the first of each kind for sure, then a share of all
			simulator.TxnFault{Prefix: store.JobPrefix, Most: 1, Late: late}, simulator.TxnFault{Prefix: store.JobPrefix, Most: 1},
			simulator.TxnFault{Prefix: store.RunPrefix, Most: 1, Late: late}, simulator.TxnFault{Prefix: store.RunPrefix, Most: 1},
			simulator.TxnFault{Share: 0.25, Late: late}, simulator.TxnFault{Share: 0.25})
		for n := 1; n <= 8; n++ {
			j := array(n, 1+n%4, float64(4+n%3*8))
			cancel := time.Duration(0)
			if n%3 == 0 {
				cancel = time.Duration(n) * time.Second
			} else {
				all = append(all, j)
			}
			w.Submit(j, cancel)
			if n%2 == 0 {
				readers = append(readers, read(t, w, j.Spec.ID))
			}
			time.Sleep(6 * time.Second)
			switch n {
			case 3, 6:
				l := max(0, w.Leader())
				w.Kill(l)
				time.Sleep(3 * time.Second)
				w.Up(l)
			case 5:
				w.Take(1, func(bool, int) bool { return true })
			}
		}
		rest(w, 90*time.Second)
		for _, r := range readers {
			r.end()
		}
		mustFinish(t, w, all...)
		mustRun(t, w, s, "afterwards")
		mustBeLate(t, "launches", fates(w, store.RunPrefix, func(f *simulator.Fate) bool { return f.Late && !f.Done.IsZero() }))
		for _, p := range []string{store.JobPrefix, store.RunPrefix} {
			if len(fates(w, p, func(f *simulator.Fate) bool { return f.Late && !f.Done.IsZero() })) == 0 {
				t.Errorf("nothing of %s was late", p)
			}
			if len(fates(w, p, func(f *simulator.Fate) bool { return !f.Late && executed(f) })) == 0 {
				t.Errorf("no answer for %s was lost", p)
			}
		}
	})
}

// New machines are up within two seconds and get work at once while the leader's
// writes lag (their answers are slow, or lost, or they are carried out late), and
// the leader ends just then, before it knows what is stored; the machine list does
// not show the machines yet.
func TestLeaderEndsAsNewMachinesGetWork(t *testing.T) {
	for i, kind := range []string{"slow", "lost", "late", "late, soon"} {
		t.Run(kind, func(t *testing.T) {
			meet(t, uint64(660+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				s, near, a := service(1, 4), array(2, 4, 12), array(3, 14, 10)
				near.Spec.SameZone = true
				w.QuickBoots(true)
				at(3 * time.Second)
				met := 0
				for k, jobs := range [][]simulator.Truth{{s, a}, {near, array(4, 10, 9)}, {array(5, 16, 8)}} {
					l := w.Leader()
					if l < 0 {
						t.Fatal("nobody leads")
					}
					host := simulator.NodeIP(l)
					fault := simulator.TxnFault{Prefix: store.RunPrefix, Hosts: []string{host}, Hang: true}
					switch kind {
					case "slow":
						w.State.Slow(host, 400*time.Millisecond)
					case "lost":
						w.State.Trouble(uint64(k), fault)
					case "late":
						fault.Late = [2]time.Duration{2 * time.Second, 12 * time.Second}
						w.State.Trouble(uint64(k), fault)
					case "late, soon":
						fault.Late = [2]time.Duration{time.Second, 2 * time.Second}
						w.State.Trouble(uint64(k), fault)
					}
					before := len(w.State.Fates())
					for _, j := range jobs {
						w.Submit(j, 0)
					}
					// A machine was up within two seconds, is not listed yet, and a launch
					// is on its way into the service or its answer on its way back.
					for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(5 * time.Millisecond) {
						under := w.State.Unsaid(host, store.RunPrefix) > 0
						for _, f := range w.State.Fates()[before:] {
							under = under || time.Since(f.Sent) < time.Second
						}
						if age, boot := w.Newest(); boot > 0 && boot < 2*time.Second && age < w.Set.Cloud.ListLagS.Duration() && under {
							met++
							break
						}
					}
					time.Sleep(time.Duration(k*120) * time.Millisecond)
					w.Kill(l)
					time.Sleep(7 * time.Second)
					w.State.Trouble(0)
					w.State.Slow(host, 0)
					w.Up(l)
					time.Sleep(8 * time.Second)
				}
				if met == 0 {
					t.Error("the leader never ended while a new machine was up and a launch under way")
				}
				rest(w, 75*time.Second)
				mustFinish(t, w, near, a, array(4, 10, 9), array(5, 16, 8))
				mustRun(t, w, s, "afterwards")
			})
		})
	}
}

// The state service answers slowly while users cancel and ask, then refuses the
// leader alone while they go on to cancel, and then everybody, for longer than a
// cancelled task may last: after the leader alone was refused for a moment, or
// just when the next one has come and has read nothing yet.
func TestSlowThenRefusedAloneThenAll(t *testing.T) {
	for i, kind := range []string{"cancelled while slow", "cancelled while the leader is refused", "the next leader is new"} {
		t.Run(kind, func(t *testing.T) {
			meet(t, uint64(670+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				s, a := service(900, 3), array(901, 4, 60)
				first, second, third := service(1, 2), service(2, 2), service(3, 2)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				for _, j := range []simulator.Truth{first, second, third} {
					j.Spec.Team = "red"
					w.Know(j)
					go insist(t, w, j, false, 0)
				}
				at(35 * time.Second)
				l := w.Leader()
				if l < 0 {
					t.Fatal("nobody leads")
				}
				w.State.Slow("", 600*time.Millisecond)
				r := read(t, w, first.Spec.ID)
				at(40 * time.Second)
				cancelled := []time.Time{}
				cancel := func(j simulator.Truth) {
					for n := l + 1; ; n++ {
						if n%w.Set.Size == l {
							continue
						}
						if once(w, j, true, n%w.Set.Size) == 200 {
							cancelled = append(cancelled, time.Now())
							w.Checked(func(c *simulator.Checker) { c.Told(j.Spec.ID, wire.Cancelled, time.Now()) })
							return
						}
						if time.Sleep(100 * time.Millisecond); n > l+20 {
							t.Errorf("%s is not cancelled", j.Spec.ID)
							return
						}
					}
				}
				cancel(first)
				for begin := time.Now(); r.first(2).IsZero() && time.Since(begin) < 10*time.Second; {
					time.Sleep(50 * time.Millisecond)
				}
				var refused, outage time.Time
				if kind != "cancelled while slow" {
					w.State.Refuse(simulator.NodeIP(l), true)
					refused = time.Now()
					cancel(second)
				} else {
					cancel(second)
					w.State.Refuse(simulator.NodeIP(l), true)
					refused = time.Now()
				}
				if kind == "the next leader is new" {
					for time.Since(refused) < 20*time.Second && (w.Leader() < 0 || w.Leader() == l) {
						time.Sleep(5 * time.Millisecond)
					}
					if n := w.Leader(); n < 0 || n == l {
						t.Error("no other node leads")
					}
				} else if w.Leader() != l {
					t.Error("another node leads before the outage")
				}
				w.State.Outage(true)
				outage = time.Now()
				time.Sleep(65 * time.Second)
				w.State.Outage(false)
				w.State.Refuse(simulator.NodeIP(l), false)
				w.State.Slow("", 0)
				if len(cancelled) != 2 || r.first(2).IsZero() || r.first(2).After(outage) || cancelled[1].After(outage) || (kind != "cancelled while slow") != cancelled[1].After(refused) {
					t.Errorf("cancelled at %v, read to be at %v, the leader refused at %v and everybody at %v", cancelled, r.first(2), refused, outage)
				}
				rest(w, 15*time.Second)
				b := array(5, 4, 10)
				w.Submit(b, 0)
				cancel(third)
				time.Sleep(60 * time.Second)
				r.end()
				mustFinish(t, w, a, b)
				mustRun(t, w, s, "afterwards")
			})
		})
	}
}

// A job is cancelled at a node that is just looking up what to say of it, with the
// state service slow: once that node has told that it is cancelled, no answer that
// it sends later says otherwise.
func TestPollBesideCancellation(t *testing.T) {
	meet(t, 690, func(t *testing.T, w *simulator.World, at func(time.Duration)) {
		w.Submit(array(100, 2, 10), 0)
		at(20 * time.Second)
		const jobs = 12
		all := make([]simulator.Truth, jobs)
		for k := range all {
			all[k] = array(k, 1, 300)
			w.Know(all[k])
			go insist(t, w, all[k], false, k)
		}
		at(40 * time.Second)
		w.State.Slow("", 500*time.Millisecond)
		between := 0
		for k, j := range all {
			node, path := k%w.Set.Size, "/v1/jobs/"+string(j.Spec.ID)
			type said struct {
				sent, at time.Time
				status   wire.Status
			}
			polled := make(chan said, 40)
			for i := range 40 {
				go func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					sent := time.Now()
					status, raw, _ := w.Ask(node, "GET", path, nil)
					var s wire.JobState
					if status != 200 || wire.Decode(raw, &s) != nil {
						s.Status = ""
					}
					polled <- said{sent, time.Now(), s.Status}
				}()
			}
			time.Sleep(300 * time.Millisecond)
			if status := once(w, j, true, node); status != 200 {
				t.Fatalf("cancellation answered %d", status)
			}
			told := time.Now()
			w.Checked(func(c *simulator.Checker) { c.Told(j.Spec.ID, wire.Cancelled, told) })
			for range 40 {
				// Answers of the same moment may cross on their way.
				p := <-polled
				if p.sent.Before(told) && p.at.After(told.Add(10*time.Millisecond)) {
					between++
				}
				if p.at.After(told.Add(10*time.Millisecond)) && p.status != "" && p.status != wire.Cancelled {
					t.Errorf("%s %s: asked %v before and answered %v after it was told to be cancelled", j.Spec.ID, p.status, told.Sub(p.sent), p.at.Sub(told))
				}
			}
		}
		w.State.Slow("", 0)
		if between < jobs {
			t.Errorf("only %d answers were on their way when a cancellation was told", between)
		}
		time.Sleep(50 * time.Second)
	})
}
