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

// submitAll has users submit jobs in this order; they never cancel them.
func submitAll(sim *simulator.Simulation, jobs ...simulator.JobScript) {
	for _, j := range jobs {
		sim.Submit(j, 0)
	}
}

// requestCancel asks a controller once to cancel a job, as the job's user would, and returns the
// job status in the response; false: there was no readable response with status 200.
func requestCancel(sim *simulator.Simulation, node int, id wire.JobID) (wire.Status, bool) {
	sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(id) })
	status, raw, _ := sim.Ask(node, "POST", "/v1/jobs/"+string(id)+"/cancel", nil)
	var summary wire.JobSummary
	if status != 200 || wire.Decode(raw, &summary) != nil {
		return "", false
	}
	sim.WithChecker(func(c *simulator.Checker) { c.StatusToldNow(id, summary.Status, time.Now()) })
	return summary.Status, true
}

// cancelOnceAt asks a controller once to cancel a job, as the job's user would, and reports
// whether the controller confirmed the cancellation.
func cancelOnceAt(sim *simulator.Simulation, node int, id wire.JobID) bool {
	status, ok := requestCancel(sim, node, id)
	return ok && status == wire.StatusCancelled
}

// cancelWithin has a user ask all controllers in turn to cancel a job until one answers, and
// reports whether one did so before the timeout and confirmed the cancellation.
func cancelWithin(t *testing.T, sim *simulator.Simulation, id wire.JobID, timeout time.Duration) bool {
	t.Helper()
	var status wire.Status
	attempt := -1
	answered := poll(timeout, 200*time.Millisecond, func() (ok bool) {
		attempt++
		status, ok = requestCancel(sim, attempt%sim.Settings.Size, id)
		return ok
	})
	return answered && status == wire.StatusCancelled
}

// cancelAtController has a user ask one controller to cancel a job until it answers, checks that
// the response confirms the cancellation, and returns when it arrived.
func cancelAtController(t *testing.T, sim *simulator.Simulation, node int, j simulator.JobScript) time.Time {
	t.Helper()
	id := j.Spec.ID
	var status wire.Status
	if !poll(20*time.Second, 100*time.Millisecond, func() (ok bool) { status, ok = requestCancel(sim, node, id); return ok }) {
		t.Fatalf("%s: controller %d answered no cancellation within 20 s", id, node)
	}
	if status != wire.StatusCancelled {
		t.Errorf("%s: cancellation is answered with job status %s, want cancelled", id, status)
	}
	return time.Now()
}

// mustCancel has a user cancel a job, at whichever controller answers first.
func mustCancel(t *testing.T, sim *simulator.Simulation, j simulator.JobScript) {
	t.Helper()
	if !cancelWithin(t, sim, j.Spec.ID, 10*time.Second) {
		t.Errorf("%s: no controller confirmed the cancellation within 10 s", j.Spec.ID)
	}
}

// submitOrCancelRequest returns the path and the body of a user's request to submit or to cancel
// a job. It tells the checker in advance that the user asks to cancel the job.
func submitOrCancelRequest(sim *simulator.Simulation, j simulator.JobScript, cancel bool) (path string, body any) {
	if !cancel {
		return "/v1/jobs", simulator.Submission(j.Spec)
	}
	sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(j.Spec.ID) })
	return "/v1/jobs/" + string(j.Spec.ID) + "/cancel", nil
}

// requestOnce sends one request to submit or to cancel a job to one controller and returns the
// HTTP status of the response. The checker doesn't learn of the response.
func requestOnce(sim *simulator.Simulation, j simulator.JobScript, cancel bool, node int) int {
	path, body := submitOrCancelRequest(sim, j, cancel)
	status, _, _ := sim.Ask(node, "POST", path, body)
	return status
}

// requestUntilAnswered has a user submit or cancel a job. The user asks one controller after the
// other, beginning with the given one, until one answers, and then every other controller once.
// It returns when the first response arrived, which controller gave it and the job status in it.
func requestUntilAnswered(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, cancel bool, first int) (answeredAt time.Time, node int, told wire.Status) {
	t.Helper()
	id := j.Spec.ID
	path, body := submitOrCancelRequest(sim, j, cancel)
	remaining := sim.Settings.Size
	for i, begin := first, time.Now(); remaining > 0 && time.Since(begin) < 60*time.Second; i++ {
		n := i % sim.Settings.Size
		status, raw, _ := sim.Ask(n, "POST", path, body)
		now := time.Now()
		sim.WithChecker(func(c *simulator.Checker) {
			var summary wire.JobSummary
			if status != 200 && status != 201 || wire.Decode(raw, &summary) != nil {
				if c.Refused(id, status, now); status == 400 || status == 404 || status == 422 {
					t.Errorf("%s of %s answered %d by controller %d, want 200, 201 or a status that asks to retry", path, id, status, n)
				}
				return
			}
			if c.Accepted(id, now); cancel || summary.Status.IsFinal() {
				c.StatusToldNow(id, summary.Status, now)
			}
			if answeredAt.IsZero() {
				answeredAt, node, told = now, n, summary.Status
			}
		})
		if !answeredAt.IsZero() {
			remaining--
		}
		time.Sleep(time.Second)
	}
	if answeredAt.IsZero() {
		t.Errorf("%s of %s was not answered within 60 s", path, id)
	}
	return
}

// backgroundPolls are the repeated polls of users at one controller while the test goes on.
type backgroundPolls struct {
	sim           *simulator.Simulation
	node          int
	stop          chan struct{}
	users         sync.WaitGroup
	answeredCount atomic.Int64 // polls that the controller answered
}

// startBackgroundPolls has users poll one controller about each of the jobs, once a second, until
// stopPolling. The checker compares the responses with those that any controller gave before.
func startBackgroundPolls(sim *simulator.Simulation, node int, jobs ...simulator.JobScript) *backgroundPolls {
	p := &backgroundPolls{sim: sim, node: node, stop: make(chan struct{})}
	for _, j := range jobs {
		p.users.Go(func() { p.pollUntilStopped(j.Spec.ID) })
	}
	return p
}

// pollUntilStopped polls about one job once a second until stopPolling.
func (p *backgroundPolls) pollUntilStopped(id wire.JobID) {
	for {
		select {
		case <-p.stop:
			return
		case <-p.sim.Done(): // the test failed before stopPolling
			return
		case <-time.After(time.Second):
		}
		sentAt := time.Now()
		status, raw, _ := p.sim.Ask(p.node, "GET", "/v1/jobs/"+string(id), nil)
		var state wire.JobState
		if status == http.StatusNotFound || status == http.StatusOK && wire.Decode(raw, &state) == nil {
			p.sim.WithChecker(func(c *simulator.Checker) { c.PollAnswered(id, status, state.Status, sentAt, time.Now()) })
			p.answeredCount.Add(1)
		}
	}
}

// answered returns how many polls the controller has answered so far.
func (p *backgroundPolls) answered() int64 { return p.answeredCount.Load() }

// stopPolling ends the polls and waits for the responses to the polls that were already sent.
func (p *backgroundPolls) stopPolling() {
	close(p.stop)
	p.users.Wait()
}

// statusUpdate is a response about a job that tells users more than all earlier responses.
type statusUpdate struct {
	at   time.Time
	node int
	told simulator.KnownStatus
}

// statusReader polls the controllers in turn about one job, one poll at a time. A response must
// not be older than anything that a user was told before the poll was sent. What users are told
// while the poll is on its way need not be in the response.
type statusReader struct {
	t       *testing.T
	sim     *simulator.Simulation
	id      wire.JobID
	stop    chan struct{}
	ended   chan struct{}
	updates []statusUpdate
}

// Intervals between two polls of a status reader.
const (
	readInterval      = 250 * time.Millisecond
	finalReadInterval = 9 * readInterval // after the end of the job
)

// startReader starts a status reader for a job.
func startReader(t *testing.T, sim *simulator.Simulation, id wire.JobID) *statusReader {
	r := &statusReader{t: t, sim: sim, id: id, stop: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(r.ended)
		r.readUntilStopped()
	}()
	return r
}

// readUntilStopped polls one controller after the other until stopReading.
func (r *statusReader) readUntilStopped() {
	known := simulator.KnownStatusNone
	for i := 0; ; i++ {
		interval := readInterval
		if known == simulator.KnownStatusFinal {
			interval = finalReadInterval
		}
		select {
		case <-r.stop:
			return
		case <-r.sim.Done(): // the test failed before stopReading
			return
		case <-time.After(interval):
		}
		known = r.readFrom(i%r.sim.Settings.Size, known)
	}
}

// readFrom polls one controller and checks its response against known and against all that users
// were told before the poll. It returns how much users know afterwards.
func (r *statusReader) readFrom(node int, known simulator.KnownStatus) simulator.KnownStatus {
	r.sim.WithChecker(func(c *simulator.Checker) { known = max(known, c.KnownStatus(r.id)) })
	sentAt := time.Now()
	status, raw, _ := r.sim.Ask(node, "GET", "/v1/jobs/"+string(r.id), nil)
	var state wire.JobState
	if status == http.StatusOK && wire.Decode(raw, &state) != nil {
		return known
	}
	told, answered := simulator.KnownStatusOf(status, state.Status)
	if !answered {
		return known // without a response there is nothing to compare
	}
	r.sim.WithChecker(func(c *simulator.Checker) {
		if told < known {
			r.t.Errorf("%s: controller %d answers %d %s, want nothing older than %v", r.id, node, status, state.Status, r.updates)
		}
		if told > known || len(r.updates) == 0 || told > r.updates[len(r.updates)-1].told {
			known = max(known, told)
			r.updates = append(r.updates, statusUpdate{time.Now(), node, told})
		}
		if told >= c.KnownStatus(r.id) {
			c.PollAnswered(r.id, status, state.Status, sentAt, time.Now())
		}
	})
	return known
}

// stopReading ends the polls and waits for the last response.
func (r *statusReader) stopReading() {
	close(r.stop)
	<-r.ended
}

// firstSeen returns when a response first told users at least this much; zero: never.
func (r *statusReader) firstSeen(told simulator.KnownStatus) (at time.Time) {
	r.sim.WithChecker(func(*simulator.Checker) {
		if i := slices.IndexFunc(r.updates, func(u statusUpdate) bool { return u.told >= told }); i >= 0 {
			at = r.updates[i].at
		}
	})
	return at
}
