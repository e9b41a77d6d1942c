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

// Hosts of users and operators.
const (
	userIP     = "10.3.0.1"
	operatorIP = "10.3.0.9"
)

// Submission returns the map that a user sends to submit a job.
func Submission(s wire.JobSpec) map[string]any {
	m := map[string]any{
		"nameId": string(s.ID), "lane": s.Class, "owner": string(s.Team), "shape": string(s.Kind), "urgency": string(s.Priority),
		"parts": s.Tasks, "cpus": s.CPUs, "cards": s.GPUs, "ramGb": s.MemoryGB, "bundle": string(s.Image), "imageGb": s.ImageGB,
		"kits": nil, "site": nil, "samePlace": s.SameZone, "apart": s.Spread, "standby": s.SpotAllowed, "expectedS": float64(s.ExpectedRunTime),
		"snapshotEveryS": float64(s.CheckpointInterval), "snapshotS": float64(s.CheckpointTime), "dueS": nil,
	}
	if s.MachineTypes != nil {
		m["kits"] = s.MachineTypes
	}
	if s.Zone != "" {
		m["site"] = string(s.Zone)
	}
	if s.Deadline > 0 {
		m["dueS"] = float64(s.Deadline)
	}
	return m
}

// Ask sends one request to a controller. Users wait 2 s for the answer to a poll, 5 s
// for any other.
func Ask(ctx context.Context, nw netio.Net, method, url string, body any) (int, []byte, http.Header) {
	tr := nw.Transport(1, 1)
	defer tr.CloseIdleConnections()
	patience := 5 * time.Second
	if method == "GET" && strings.Contains(url, jobsPath+"/") {
		patience = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	status, out, h, err := netio.Call(ctx, &http.Client{Transport: tr}, method, url, body, 1<<20)
	if err != nil {
		return 0, nil, nil
	}
	return status, out, h
}

// Ask makes one request as a user to the i-th node. The checker learns of
// whatever is asked and answered here.
func (sim *Simulation) Ask(i int, method, path string, body any) (int, []byte, http.Header) {
	asked := time.Now()
	rest := strings.TrimPrefix(path, jobsPath)
	id, cancel := strings.CutSuffix(strings.TrimPrefix(rest, "/"), "/cancel")
	if method == "POST" && cancel {
		sim.WithChecker(func(c *Checker) { c.CancelRequested(wire.JobID(id)) })
	}
	if method == "POST" && path == jobsPath {
		sim.WithChecker(func(c *Checker) { c.SubmissionSent(bodyOf(body), 0, asked) })
	}
	status, out, h := sim.ask(i, method, path, body)
	if sim.ctx.Err() != nil || !strings.HasPrefix(path, jobsPath) {
		return status, out, h
	}
	sim.WithChecker(func(c *Checker) {
		switch {
		case method == "POST" && rest == "":
			c.SubmissionSent(bodyOf(body), status, time.Now())
			c.SubmissionAnswered(bodyOf(body), status, out, asked, time.Now())
		case method == "POST" && cancel:
			c.CancelAnswered(wire.JobID(id), status, out, asked, time.Now())
		case method == "GET" && !cancel:
			var s wire.JobState
			got := status
			if got == 200 && wire.Decode(out, &s) != nil {
				got = 0
			}
			c.PollAnswered(wire.JobID(id), got, s.Status, asked, time.Now())
		}
	})
	return status, out, h
}

// ask is Ask without the checker.
func (sim *Simulation) ask(i int, method, path string, body any) (int, []byte, http.Header) {
	return Ask(sim.ctx, sim.hostNet(userIP), method, "http://"+NodeIP(i)+":8080"+path, body)
}

// jobsPath is where users submit jobs.
const jobsPath = "/v1/jobs"

// bodyOf returns the body of a request as it is sent.
func bodyOf(v any) []byte {
	if raw, plain := v.([]byte); plain {
		return raw
	}
	return wire.Encode(v)
}

// AskAllAboutAll asks every node that is up about every job that a user knows to be
// accepted, as users may at any later time.
func (sim *Simulation) AskAllAboutAll() {
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
					return // it does not answer, and each question takes 2 s
				}
			}
		})
	}
	all.Wait()
}

// AskAsOperator makes one request as an operator to the i-th node.
func (sim *Simulation) AskAsOperator(i int, method, path string, body any) (int, []byte, http.Header) {
	return Ask(sim.ctx, sim.hostNet(operatorIP), method, "http://"+NodeIP(i)+":8081"+path, body)
}

// RegisterJob makes a job known to the workers and the checker; the test itself is its
// user.
func (sim *Simulation) RegisterJob(t JobScript) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.scripts[t.Spec.ID] = &t
	sim.checker.Submitted(t.Spec)
}

// Submit plays a user: submits with retries, then polls until the job is
// over, asking any node in turn. Cancel, if above 0, is when the user asks
// to cancel.
func (sim *Simulation) Submit(t JobScript, cancel time.Duration) {
	sim.mu.Lock()
	sim.scripts[t.Spec.ID] = &t
	sim.checker.Submitted(t.Spec)
	turn := sim.rng.IntN(len(sim.controllers))
	sim.mu.Unlock()
	next := func() int { turn++; return turn % len(sim.controllers) }
	sim.spawn(func() {
		begin := time.Now()
		if sim.submitUntilAccepted(&t, begin, next) {
			sim.pollUntilOver(t.Spec.ID, begin, cancel, next)
		}
	})
}

// How users repeat themselves.
const (
	submissionPatience = 60 * time.Second // after which a user gives up
	retryPause         = time.Second      // without a Retry-After
	longestRetryPause  = 30 * time.Second // whatever Retry-After says
	pollPause          = 5 * time.Second
	lastPollAfter      = 20 * time.Second // after the time to cancel, even if the job is over
)

// submitUntilAccepted submits a job at one node after the other, and reports whether it
// was accepted.
func (sim *Simulation) submitUntilAccepted(t *JobScript, begin time.Time, next func() int) bool {
	for {
		status, _, h := sim.Ask(next(), "POST", jobsPath, Submission(t.Spec))
		switch {
		case sim.ctx.Err() != nil:
			return false
		case status == 200 || status == 201:
			return true
		case status == 400 || status == 422 || time.Since(begin) > submissionPatience:
			return false
		}
		wait := retryPause
		if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
			wait = max(wait, min(longestRetryPause, time.Duration(s)*time.Second))
		}
		sleep(sim.ctx, wait)
	}
}

// pollUntilOver polls a job at one node after the other until it is over, and asks to
// cancel it when its time has come.
func (sim *Simulation) pollUntilOver(id wire.JobID, begin time.Time, cancel time.Duration, next func() int) {
	path, cancelled := jobsPath+"/"+string(id), false
	for sim.ctx.Err() == nil {
		sleep(sim.ctx, pollPause)
		if cancel > 0 && !cancelled && time.Since(begin) > cancel {
			status, raw, _ := sim.Ask(next(), "POST", path+"/cancel", nil)
			var b wire.JobSummary
			cancelled = status == 200 && wire.Decode(raw, &b) == nil
		}
		status, raw, _ := sim.Ask(next(), "GET", path, nil)
		if sim.ctx.Err() != nil {
			return
		}
		var s wire.JobState
		if status == 200 && wire.Decode(raw, &s) == nil && s.Status.IsFinal() && time.Since(begin) > cancel+lastPollAfter {
			return
		}
	}
}

// CountEnded counts the jobs of which users were told the end.
func (sim *Simulation) CountEnded(jobs []JobScript) (done, cancelled int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, t := range jobs {
		switch sim.checker.jobs[t.Spec.ID].finalStatus {
		case wire.StatusDone:
			done++
		case wire.StatusCancelled:
			cancelled++
		}
	}
	return
}
