package simulator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// IP addresses of users and operators.
const (
	userIP     = "10.3.0.1"
	operatorIP = "10.3.0.9"
)

// Submission returns the body of a request to submit a job.
func Submission(spec wire.JobSpec) map[string]any {
	fields := map[string]any{
		"nameId": string(spec.ID), "lane": spec.Class, "owner": string(spec.Team), "shape": string(spec.Kind), "urgency": string(spec.Priority),
		"parts": spec.Tasks, "cpus": spec.CPUs, "cards": spec.GPUs, "ramGb": spec.MemoryGB, "bundle": string(spec.Image), "imageGb": spec.ImageGB,
		"kits": nil, "site": nil, "samePlace": spec.SameZone, "apart": spec.Spread, "standby": spec.SpotAllowed, "expectedS": float64(spec.ExpectedRunTime),
		"snapshotEveryS": float64(spec.CheckpointInterval), "snapshotS": float64(spec.CheckpointTime), "dueS": nil,
	}
	if spec.MachineTypes != nil {
		fields["kits"] = spec.MachineTypes
	}
	if spec.Zone != "" {
		fields["site"] = string(spec.Zone)
	}
	if spec.Deadline > 0 {
		fields["dueS"] = float64(spec.Deadline)
	}
	return fields
}

// Ask sends one request to a controller; status 0 means no response. The timeout is 2 s for a
// poll and 5 s for any other request.
func Ask(ctx context.Context, nw netio.Network, method, url string, body any) (int, []byte, http.Header) {
	transport := nw.Transport(1, 1)
	defer transport.CloseIdleConnections()
	timeout := 5 * time.Second
	if method == "GET" && strings.Contains(url, jobsPath+"/") {
		timeout = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, out, h, err := netio.Call(ctx, &http.Client{Transport: transport}, method, url, body, 1<<20)
	if err != nil {
		return 0, nil, nil
	}
	return status, out, h
}

// Ask sends one request as a user to the i-th controller. The checker observes the request and
// checks the response.
func (sim *Simulation) Ask(i int, method, path string, body any) (int, []byte, http.Header) {
	sentAt := time.Now()
	rest := strings.TrimPrefix(path, jobsPath)
	id, cancel := strings.CutSuffix(strings.TrimPrefix(rest, "/"), "/cancel")
	if method == "POST" && cancel {
		sim.WithChecker(func(c *Checker) { c.CancelRequested(wire.JobID(id)) })
	}
	if method == "POST" && path == jobsPath {
		sim.WithChecker(func(c *Checker) { c.SubmissionSent(bodyOf(body), 0, sentAt) })
	}
	status, out, h := sim.ask(i, method, path, body)
	if sim.ctx.Err() != nil || !strings.HasPrefix(path, jobsPath) {
		return status, out, h
	}
	sim.WithChecker(func(c *Checker) {
		switch {
		case method == "POST" && rest == "":
			c.SubmissionSent(bodyOf(body), status, time.Now())
			c.SubmissionAnswered(bodyOf(body), status, out, sentAt, time.Now())
		case method == "POST" && cancel:
			c.CancelAnswered(wire.JobID(id), status, out, sentAt, time.Now())
		case method == "GET" && !cancel:
			var s wire.JobState
			got := status
			if got == 200 && wire.Decode(out, &s) != nil {
				got = 0
			}
			c.PollAnswered(wire.JobID(id), got, s.Status, sentAt, time.Now())
		}
	})
	return status, out, h
}

// ask is Ask without the checker.
func (sim *Simulation) ask(i int, method, path string, body any) (int, []byte, http.Header) {
	return Ask(sim.ctx, sim.hostNet(userIP), method, "http://"+NodeIP(i)+":8080"+path, body)
}

// jobsPath is the path of the API for jobs.
const jobsPath = "/v1/jobs"

// bodyOf returns the encoded body of a request; a []byte is sent as it is.
func bodyOf(v any) []byte {
	if raw, plain := v.([]byte); plain {
		return raw
	}
	return wire.Encode(v)
}

// PollAllJobs polls every controller that is up for every job that a user was told is
// accepted, as users may do at any later time.
func (sim *Simulation) PollAllJobs() {
	var ids []wire.JobID
	up := make([]bool, len(sim.controllers))
	sim.mu.Lock()
	for id, j := range sim.checker.jobs {
		if j.accepted {
			ids = append(ids, id)
		}
	}
	for i, n := range sim.controllers {
		up[i] = n.up
	}
	sim.mu.Unlock()
	slices.Sort(ids)
	var all sync.WaitGroup
	for i := range sim.controllers {
		if !up[i] {
			continue
		}
		all.Go(func() {
			for _, id := range ids {
				if status, _, _ := sim.Ask(i, "GET", jobsPath+"/"+string(id), nil); status == 0 {
					return // the controller does not answer, and each poll takes 2 s
				}
			}
		})
	}
	all.Wait()
}

// AskAsOperator sends one request as an operator to the i-th controller.
func (sim *Simulation) AskAsOperator(i int, method, path string, body any) (int, []byte, http.Header) {
	return Ask(sim.ctx, sim.hostNet(operatorIP), method, "http://"+NodeIP(i)+":8081"+path, body)
}

// RegisterJob registers a job with the workers and the checker, for a test that submits it
// itself.
func (sim *Simulation) RegisterJob(script JobScript) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.scripts[script.Spec.ID] = &script
	sim.checker.Submitted(script.Spec)
}

// Submit simulates a user who submits a job with retries and polls until the job is over,
// sending to each controller in turn. If cancelAfter is above 0, the user cancels the job that
// long after the start.
func (sim *Simulation) Submit(script JobScript, cancelAfter time.Duration) {
	sim.mu.Lock()
	sim.scripts[script.Spec.ID] = &script
	sim.checker.Submitted(script.Spec)
	turn := sim.rng.IntN(len(sim.controllers))
	sim.mu.Unlock()
	next := func() int { turn++; return turn % len(sim.controllers) }
	sim.spawn(func() {
		begin := time.Now()
		if sim.submitUntilAccepted(&script, begin, next) {
			sim.pollUntilOver(script.Spec.ID, begin, cancelAfter, next)
		}
	})
}

// Timing of users' requests.
const (
	submissionTimeout = 60 * time.Second // after which a user gives up submitting
	defaultRetryDelay = time.Second      // without Retry-After
	maxRetryDelay     = 30 * time.Second // limit of Retry-After
	pollInterval      = 5 * time.Second
	pollAfterCancel   = 20 * time.Second // polls continue that long after cancelAfter, even if the job is over
)

// submitUntilAccepted submits a job to one controller after the other, and reports whether it
// was accepted.
func (sim *Simulation) submitUntilAccepted(script *JobScript, begin time.Time, next func() int) bool {
	for {
		status, _, header := sim.Ask(next(), "POST", jobsPath, Submission(script.Spec))
		switch {
		case sim.ctx.Err() != nil:
			return false
		case status == 200 || status == 201:
			return true
		case status == 400 || status == 422 || time.Since(begin) > submissionTimeout:
			return false
		}
		wait := defaultRetryDelay
		if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
			wait = max(wait, min(maxRetryDelay, time.Duration(seconds)*time.Second))
		}
		sleep(sim.ctx, wait)
	}
}

// pollUntilOver polls one controller after the other until a job is over, and cancels the job
// after cancelAfter.
func (sim *Simulation) pollUntilOver(id wire.JobID, begin time.Time, cancelAfter time.Duration, next func() int) {
	path, cancelled := jobsPath+"/"+string(id), false
	for sim.ctx.Err() == nil {
		sleep(sim.ctx, pollInterval)
		if cancelAfter > 0 && !cancelled && time.Since(begin) > cancelAfter {
			status, raw, _ := sim.Ask(next(), "POST", path+"/cancel", nil)
			var summary wire.JobSummary
			cancelled = status == 200 && wire.Decode(raw, &summary) == nil
		}
		status, raw, _ := sim.Ask(next(), "GET", path, nil)
		if sim.ctx.Err() != nil {
			return
		}
		var state wire.JobState
		if status == 200 && wire.Decode(raw, &state) == nil && state.Status.IsFinal() && time.Since(begin) > cancelAfter+pollAfterCancel {
			return
		}
	}
}

// CountEnded counts those of the given jobs of which users were told a final status.
func (sim *Simulation) CountEnded(jobs []JobScript) (done, cancelled int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, script := range jobs {
		switch sim.checker.jobs[script.Spec.ID].finalStatus {
		case wire.StatusDone:
			done++
		case wire.StatusCancelled:
			cancelled++
		}
	}
	return
}
