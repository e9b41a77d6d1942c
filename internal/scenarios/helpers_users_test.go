package scenarios_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// askCancel asks a node once to cancel a job, as its user, and tells the status
// that the user was told, if any.
func requestCancel(w *simulator.World, node int, id wire.JobID) (wire.Status, bool) {
	w.Checked(func(c *simulator.Checker) { c.CancelAsked(id) })
	status, raw, _ := w.Ask(node, "POST", "/v1/jobs/"+string(id)+"/cancel", nil)
	var b wire.JobSummary
	if status != 200 || wire.Decode(raw, &b) != nil {
		return "", false
	}
	w.Checked(func(c *simulator.Checker) { c.Told(id, b.Status, time.Now()) })
	return b.Status, true
}

// cancelAt cancels a job at one node as its user, and tells whether the node
// confirmed it.
func cancelOnceAt(w *simulator.World, node int, id wire.JobID) bool {
	status, ok := requestCancel(w, node, id)
	return ok && status == wire.Cancelled
}

// cancelNow cancels a job as its user, at whichever node answers, and notes that
// the user was told. It tells whether that was within the time.
func cancelWithin(t *testing.T, w *simulator.World, id wire.JobID, within time.Duration) bool {
	t.Helper()
	for begin, i := time.Now(), 0; time.Since(begin) < within; i++ {
		if status, ok := requestCancel(w, i%w.Set.Size, id); ok {
			return status == wire.Cancelled
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// cancelsAt asks a node to cancel a job, again and again until it is confirmed,
// and tells when it was.
func cancelAtController(t *testing.T, w *simulator.World, i int, j simulator.Truth) time.Time {
	t.Helper()
	id := j.Spec.ID
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
		if status, ok := requestCancel(w, i, id); ok {
			if status != wire.Cancelled {
				t.Errorf("%s is called %s when its user cancels it", id, status)
			}
			return time.Now()
		}
	}
	t.Fatalf("%s can't be cancelled at node %d", id, i)
	return time.Time{}
}

// mustCancel has a user cancel a job at a node, again and again until it is
// confirmed.
func mustCancel(t *testing.T, w *simulator.World, j simulator.Truth) {
	t.Helper()
	if !cancelWithin(t, w, j.Spec.ID, 10*time.Second) {
		t.Errorf("%s could not be cancelled", j.Spec.ID)
	}
}

// once asks one node one time to submit a job or to cancel it, and tells the
// answer's status. Without an answer nothing is known.
func requestOnce(w *simulator.World, j simulator.Truth, cancel bool, node int) int {
	path, body := "/v1/jobs", any(simulator.Submission(j.Spec))
	if cancel {
		path, body = path+"/"+string(j.Spec.ID)+"/cancel", nil
		w.Checked(func(c *simulator.Checker) { c.CancelAsked(j.Spec.ID) })
	}
	status, _, _ := w.Ask(node, "POST", path, body)
	return status
}

// insist is a user who submits a job or asks to cancel it again and again at
// node after node, beginning with the given one, until it is answered, and who
// then asks the others all the same. It tells when which node answered first.
func requestUntilAnswered(t *testing.T, w *simulator.World, j simulator.Truth, cancel bool, from int) (when time.Time, node int, said wire.Status) {
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

// polls has users ask one node about jobs, once a second, until the stop: what
// it answers is checked against what any node has told before.
func pollInBackground(w *simulator.World, i int, jobs ...simulator.Truth) (answered *int, stop func()) {
	n, done := 0, make(chan struct{})
	for _, j := range jobs {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
				status, raw, _ := w.Ask(i, "GET", "/v1/jobs/"+string(j.Spec.ID), nil)
				var s wire.JobState
				if status == 404 || status == 200 && wire.Decode(raw, &s) == nil {
					w.Checked(func(c *simulator.Checker) { n++; c.Polled(j.Spec.ID, status, s.Status, time.Now()) })
				}
			}
		}()
	}
	return &n, func() { close(done) }
}

// seen is an answer about a job that is newer than all before.
type statusSeen struct {
	at   time.Time
	node int
	rank int // 0: not known, 1: accepted, 2: over
}

// reader asks the nodes in turn about one job, one question after the other:
// whatever a user was told before he asked, the answer must not be older. (What
// he is told while the answer is on its way can't be in it.)
type statusReader struct {
	w     *simulator.World
	stop  chan struct{}
	ended chan struct{}
	news  []statusSeen
}

func startReader(t *testing.T, w *simulator.World, id wire.JobID) *statusReader {
	r := &statusReader{w: w, stop: make(chan struct{}), ended: make(chan struct{})}
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
					r.news = append(r.news, statusSeen{time.Now(), n, now})
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
func (r *statusReader) stopReading() {
	close(r.stop)
	<-r.ended
}

// first is when an answer of the rank came first; zero: never.
func (r *statusReader) firstSeen(rank int) (at time.Time) {
	r.w.Checked(func(*simulator.Checker) {
		if i := slices.IndexFunc(r.news, func(n statusSeen) bool { return n.rank >= rank }); i >= 0 {
			at = r.news[i].at
		}
	})
	return
}
