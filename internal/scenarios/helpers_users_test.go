package scenarios_test

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// submitAll has users submit jobs, which they do not cancel, in this order.
func submitAll(sim *simulator.Simulation, jobs ...simulator.JobScript) {
	for _, j := range jobs {
		sim.Submit(j, 0)
	}
}

// requestCancel asks a controller once to cancel a job, as its user, and returns the
// status that the user was told, if any.
func requestCancel(sim *simulator.Simulation, node int, id wire.JobID) (wire.Status, bool) {
	sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(id) })
	status, raw, _ := sim.Ask(node, "POST", "/v1/jobs/"+string(id)+"/cancel", nil)
	var b wire.JobSummary
	if status != 200 || wire.Decode(raw, &b) != nil {
		return "", false
	}
	sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(id, b.Status, time.Now()) })
	return b.Status, true
}

// cancelOnceAt asks a controller once to cancel a job, as its user, and tells
// whether it confirmed that.
func cancelOnceAt(sim *simulator.Simulation, node int, id wire.JobID) bool {
	status, ok := requestCancel(sim, node, id)
	return ok && status == wire.StatusCancelled
}

// cancelWithin has a user ask all controllers in turn to cancel a job until one
// confirms it, and reports whether that was within the time.
func cancelWithin(t *testing.T, sim *simulator.Simulation, id wire.JobID, within time.Duration) bool {
	t.Helper()
	var status wire.Status
	i := -1
	answered := poll(within, 200*time.Millisecond, func() (ok bool) {
		i++
		status, ok = requestCancel(sim, i%sim.Settings.Size, id)
		return ok
	})
	return answered && status == wire.StatusCancelled
}

// cancelAtController has a user ask one controller to cancel a job until it is
// confirmed, and returns when it was.
func cancelAtController(t *testing.T, sim *simulator.Simulation, i int, j simulator.JobScript) time.Time {
	t.Helper()
	id := j.Spec.ID
	var status wire.Status
	if !poll(20*time.Second, 100*time.Millisecond, func() (ok bool) { status, ok = requestCancel(sim, i, id); return ok }) {
		t.Fatalf("%s can't be cancelled at node %d", id, i)
	}
	if status != wire.StatusCancelled {
		t.Errorf("%s is called %s when its user cancels it", id, status)
	}
	return time.Now()
}

// mustCancel has a user cancel a job, at whichever controller answers.
func mustCancel(t *testing.T, sim *simulator.Simulation, j simulator.JobScript) {
	t.Helper()
	if !cancelWithin(t, sim, j.Spec.ID, 10*time.Second) {
		t.Errorf("%s could not be cancelled", j.Spec.ID)
	}
}

// request is the path and the body with which a user submits a job or asks to
// cancel it. The checker learns that the user will ask to cancel.
func request(sim *simulator.Simulation, j simulator.JobScript, cancel bool) (path string, body any) {
	if !cancel {
		return "/v1/jobs", simulator.Submission(j.Spec)
	}
	sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(j.Spec.ID) })
	return "/v1/jobs/" + string(j.Spec.ID) + "/cancel", nil
}

// requestOnce asks one controller once to submit a job or to cancel it, and tells
// the answer's status. Without an answer nothing is known.
func requestOnce(sim *simulator.Simulation, j simulator.JobScript, cancel bool, node int) int {
	path, body := request(sim, j, cancel)
	status, _, _ := sim.Ask(node, "POST", path, body)
	return status
}

// requestUntilAnswered has a user submit a job or ask to cancel it, again and again
// at one controller after the other, beginning with the given one, until it is
// answered, and then at all others once. It tells when which one answered first.
func requestUntilAnswered(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, cancel bool, from int) (when time.Time, node int, said wire.Status) {
	t.Helper()
	id := j.Spec.ID
	path, body := request(sim, j, cancel)
	more := sim.Settings.Size
	for i, begin := from, time.Now(); more > 0 && time.Since(begin) < 60*time.Second; i++ {
		n := i % sim.Settings.Size
		status, raw, _ := sim.Ask(n, "POST", path, body)
		now := time.Now()
		sim.WithChecker(func(c *simulator.Checker) {
			var b wire.JobSummary
			if status != 200 && status != 201 || wire.Decode(raw, &b) != nil {
				if c.Refused(id, status, now); status == 400 || status == 404 || status == 422 {
					t.Errorf("%s of %s answered %d by node %d", path, id, status, n)
				}
				return
			}
			if c.Accepted(id, now); cancel || b.Status.IsFinal() {
				c.StatusToldNow(id, b.Status, now)
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

// backgroundPolls are the polls of users who ask one controller about jobs again and
// again beside the test.
type backgroundPolls struct {
	sim           *simulator.Simulation
	node          int
	stop          chan struct{}
	users         sync.WaitGroup
	answeredCount atomic.Int64 // polls that the controller answered
}

// startBackgroundPolls has users ask one controller about jobs, once a second, until
// stopPolling: what it answers is checked against what any controller has answered
// before.
func startBackgroundPolls(sim *simulator.Simulation, node int, jobs ...simulator.JobScript) *backgroundPolls {
	p := &backgroundPolls{sim: sim, node: node, stop: make(chan struct{})}
	for _, j := range jobs {
		p.users.Go(func() { p.pollUntilStopped(j.Spec.ID) })
	}
	return p
}

// pollUntilStopped asks about one job once a second until stopPolling.
func (p *backgroundPolls) pollUntilStopped(id wire.JobID) {
	for {
		select {
		case <-p.stop:
			return
		case <-p.sim.Done(): // the test failed before stopPolling
			return
		case <-time.After(time.Second):
		}
		status, raw, _ := p.sim.Ask(p.node, "GET", "/v1/jobs/"+string(id), nil)
		var state wire.JobState
		if status == http.StatusNotFound || status == http.StatusOK && wire.Decode(raw, &state) == nil {
			p.sim.WithChecker(func(c *simulator.Checker) { c.PollAnsweredNow(id, status, state.Status, time.Now()) })
			p.answeredCount.Add(1)
		}
	}
}

// answered returns how many polls the controller has answered so far.
func (p *backgroundPolls) answered() int64 { return p.answeredCount.Load() }

// stopPolling ends the polls and waits for the answers to those on their way.
func (p *backgroundPolls) stopPolling() {
	close(p.stop)
	p.users.Wait()
}

// statusSeen is an answer about a job that is newer than all before.
type statusSeen struct {
	at   time.Time
	node int
	told simulator.Told
}

// statusReader asks the controllers in turn about one job, one question after the
// other: whatever a user was told before a question, its answer must not be older.
// (What users are told while the answer is on its way can't be in it.)
type statusReader struct {
	t     *testing.T
	sim   *simulator.Simulation
	id    wire.JobID
	stop  chan struct{}
	ended chan struct{}
	news  []statusSeen
}

// Pauses of a status reader between two questions.
const (
	readPause      = 250 * time.Millisecond
	finalReadPause = 9 * readPause // rarely once the job is over
)

// startReader starts a reader of a job's status.
func startReader(t *testing.T, sim *simulator.Simulation, id wire.JobID) *statusReader {
	r := &statusReader{t: t, sim: sim, id: id, stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		r.readUntilStopped()
	}()
	return r
}

// readUntilStopped asks one controller after the other until stopReading.
func (r *statusReader) readUntilStopped() {
	known := simulator.ToldNothing
	for i := 0; ; i++ {
		pause := readPause
		if known == simulator.ToldFinal {
			pause = finalReadPause
		}
		select {
		case <-r.stop:
			return
		case <-r.sim.Done(): // the test failed before stopReading
			return
		case <-time.After(pause):
		}
		known = r.readFrom(i%r.sim.Settings.Size, known)
	}
}

// readFrom asks one controller, checks its answer against what users were told before the
// question, known included, and returns how much they know now.
func (r *statusReader) readFrom(node int, known simulator.Told) simulator.Told {
	r.sim.WithChecker(func(c *simulator.Checker) { known = max(known, c.ToldSoFar(r.id)) })
	status, raw, _ := r.sim.Ask(node, "GET", "/v1/jobs/"+string(r.id), nil)
	var state wire.JobState
	if status == http.StatusOK && wire.Decode(raw, &state) != nil {
		return known
	}
	told, answered := simulator.ToldOf(status, state.Status)
	if !answered {
		return known // no answer says nothing
	}
	r.sim.WithChecker(func(c *simulator.Checker) {
		if told < known {
			r.t.Errorf("%s: node %d answers %d %s, want nothing older than %v", r.id, node, status, state.Status, r.news)
		}
		if told > known || len(r.news) == 0 || told > r.news[len(r.news)-1].told {
			known = max(known, told)
			r.news = append(r.news, statusSeen{time.Now(), node, told})
		}
		if told >= c.ToldSoFar(r.id) {
			c.PollAnsweredNow(r.id, status, state.Status, time.Now())
		}
	})
	return known
}

// stopReading ends the reader and waits for its last answer.
func (r *statusReader) stopReading() {
	close(r.stop)
	<-r.ended
}

// firstSeen returns when users were first told as much by an answer; zero: never.
func (r *statusReader) firstSeen(told simulator.Told) (at time.Time) {
	r.sim.WithChecker(func(*simulator.Checker) {
		if i := slices.IndexFunc(r.news, func(n statusSeen) bool { return n.told >= told }); i >= 0 {
			at = r.news[i].at
		}
	})
	return at
}
