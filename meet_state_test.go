package lilaclead_test

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"lilaclead/internal/standin"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// seen is an answer about a job that is newer than all before.
type seen struct {
	at   time.Time
	node int
	rank int // 0: not known, 1: accepted, 2: over
}

// reader asks the nodes in turn about one job, one question after the other, as
// fast as they answer: whatever one of them said, none may say anything older
// afterwards.
type reader struct {
	stop  chan struct{}
	ended chan struct{}
	news  []seen
	asked int
	by    [8]int // answers by node
}

func read(t *testing.T, w *standin.World, id wire.JobID) *reader {
	r := &reader{stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		rank := 0
		for i := 0; ; i++ {
			select {
			case <-r.stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			n := i % w.Set.Size
			status, raw, _ := w.Ask(n, "GET", "/v1/jobs/"+string(id), nil)
			var s wire.JobState
			now := -1
			switch {
			case status == http.StatusNotFound:
				now = 0
			case status == http.StatusOK && wire.Decode(raw, &s) == nil:
				if now = 1; s.Status.Final() {
					now = 2
				}
				w.Checked(func(c *standin.Checker) { c.Polled(id, status, s.Status, time.Now()) })
			default:
				continue // no answer says nothing
			}
			r.asked++
			r.by[n]++
			if now < rank {
				t.Errorf("%s: node %d says %d %s after %v", id, n, status, s.Status, r.news)
			}
			if now > rank {
				rank = now
				r.news = append(r.news, seen{time.Now(), n, now})
			}
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
func (r *reader) first(rank int) time.Time {
	for _, n := range r.news {
		if n.rank >= rank {
			return n.at
		}
	}
	return time.Time{}
}

// insist is a user who submits a job or asks to cancel it again and again at
// node after node, beginning with the given one, until it is answered, and who
// then asks the others all the same. It tells when which node answered first.
func insist(t *testing.T, w *standin.World, j standin.Truth, cancel bool, from int) (when time.Time, node int, said wire.Status) {
	t.Helper()
	id := j.Spec.ID
	path, body := "/v1/jobs", any(standin.Submission(j.Spec))
	if cancel {
		path, body = path+"/"+string(id)+"/cancel", nil
		w.Checked(func(c *standin.Checker) { c.CancelAsked(id) })
	}
	more := w.Set.Size
	for i, begin := from, time.Now(); more > 0 && time.Since(begin) < 60*time.Second; i++ {
		n := i % w.Set.Size
		status, raw, _ := w.Ask(n, "POST", path, body)
		now := time.Now()
		w.Checked(func(c *standin.Checker) {
			var b wire.JobBrief
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
func fates(w *standin.World, prefix string, which func(f *standin.Fate) bool) []standin.Fate {
	return slices.DeleteFunc(w.State.Fates(), func(f standin.Fate) bool { return !f.Changes(prefix) || !which(&f) })
}

func executed(f *standin.Fate) bool { return f.Status == http.StatusOK }

// tooLate are those that came after newer ones of the same client and failed.
func tooLate(f *standin.Fate) bool {
	return f.Late && f.Newer > 0 && f.Status != 0 && f.Status != http.StatusOK
}

// everyNode are the hosts of all controllers.
func everyNode(w *standin.World) (out []string) {
	for i := range w.Set.Size {
		out = append(out, standin.NodeIP(i))
	}
	return
}

// meet plays a meeting of troubles on the usual layout or, by turns of the seed, on
// the one where a zone has machines and no controller.
func meet(t *testing.T, seed uint64, script func(t *testing.T, w *standin.World, at func(time.Duration))) {
	t.Helper()
	for i := range seeds() {
		name, run := "usual layout", play
		if (seed+i)%2 == 1 {
			name, run = "odd layout", playOdd
		}
		t.Run(fmt.Sprint(name, " ", seed+i), func(t *testing.T) {
			run(t, seed+i, func(w *standin.World, at func(time.Duration)) { script(t, w, at) })
		})
	}
}

// seeds is how many seeds each meeting is played with: one, or more on demand.
func seeds() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("MEET_SEEDS"), 10, 64)
	return max(1, n)
}

// rest ends all troubles of transactions, and gives the jobs some time.
func rest(w *standin.World, d time.Duration) {
	w.State.Trouble(0)
	w.Checked(func(c *standin.Checker) { c.Calm(time.Now()) })
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
			meet(t, uint64(500+10*i+i), func(t *testing.T, w *standin.World, at func(time.Duration)) {
				a, b, gone, s := array(1, 10, 10), array(2, 6, 6), service(3, 3), service(4, 3)
				fault := standin.TxnFault{Prefix: prefix}
				if kind == "all" {
					fault.Share = 0.5
				}
				var begin, end time.Time
				on := func() { w.State.Trouble(uint64(i), fault); begin = time.Now() }
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
					if l := w.Leader(); l < 0 || !slices.ContainsFunc(hit, func(f standin.Fate) bool { return f.From == standin.NodeIP(l) }) {
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
