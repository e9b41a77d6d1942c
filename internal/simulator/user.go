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

const userIP = "10.3.0.1"

// Submission is the map that a user sends.
func Submission(s wire.Spec) map[string]any {
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

// Ask makes one request to a node. Users wait 2 s for the answer to a poll, 5 s
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
func (w *World) Ask(i int, method, path string, body any) (int, []byte, http.Header) {
	asked := time.Now()
	rest := strings.TrimPrefix(path, jobsPath)
	id, cancel := strings.CutSuffix(strings.TrimPrefix(rest, "/"), "/cancel")
	if method == "POST" && cancel {
		w.Checked(func(c *Checker) { c.CancelAsked(wire.JobID(id)) })
	}
	if method == "POST" && path == jobsPath {
		w.Checked(func(c *Checker) { c.Posted(bodyOf(body), 0, asked) })
	}
	status, out, h := w.ask(i, method, path, body)
	if w.ctx.Err() != nil || !strings.HasPrefix(path, jobsPath) {
		return status, out, h
	}
	w.Checked(func(c *Checker) {
		switch {
		case method == "POST" && rest == "":
			c.Posted(bodyOf(body), status, time.Now())
			c.Replied(bodyOf(body), status, out, asked, time.Now())
		case method == "POST" && cancel:
			c.CancelAnswered(wire.JobID(id), status, out, asked, time.Now())
		case method == "GET" && !cancel:
			var s wire.JobState
			got := status
			if got == 200 && wire.Decode(out, &s) != nil {
				got = 0
			}
			c.Answered(wire.JobID(id), got, s.Status, asked, time.Now())
		}
	})
	return status, out, h
}

// ask is Ask without the checker.
func (w *World) ask(i int, method, path string, body any) (int, []byte, http.Header) {
	return Ask(w.ctx, w.host(userIP), method, "http://"+NodeIP(i)+":8080"+path, body)
}

const jobsPath = "/v1/jobs"

// bodyOf a request as it is sent.
func bodyOf(v any) []byte {
	if raw, plain := v.([]byte); plain {
		return raw
	}
	return wire.Encode(v)
}

// AskAll asks every node that is up about every job that a user knows to be
// accepted, as users may at any later time.
func (w *World) AskAll() {
	var ids []wire.JobID
	up := make([]bool, len(w.nodes))
	w.mu.Lock()
	for id, j := range w.check.jobs {
		if j.accepted {
			ids = append(ids, id)
		}
	}
	for i, n := range w.nodes {
		up[i] = n.up
	}
	w.mu.Unlock()
	slices.Sort(ids)
	var all sync.WaitGroup
	for i := range w.nodes {
		if !up[i] {
			continue
		}
		all.Go(func() {
			for _, id := range ids {
				if status, _, _ := w.Ask(i, "GET", jobsPath+"/"+string(id), nil); status == 0 {
					return // it does not answer, and each question takes 2 s
				}
			}
		})
	}
	all.Wait()
}

// Operate makes one request as an operator to the i-th node.
func (w *World) Operate(i int, method, path string, body any) (int, []byte, http.Header) {
	return Ask(w.ctx, w.host("10.3.0.9"), method, "http://"+NodeIP(i)+":8081"+path, body)
}

// Submit plays a user: submits with retries, then polls until the job is
// over, asking any node in turn. Cancel, if above 0, is when the user asks
// to cancel.
func (w *World) Submit(t Truth, cancel time.Duration) {
	w.mu.Lock()
	w.truths[t.Spec.ID] = &t
	w.check.Submitted(t.Spec)
	turn := w.rng.IntN(len(w.nodes))
	w.mu.Unlock()
	id := t.Spec.ID
	w.spawn(func() {
		begin := time.Now()
		next := func() int { turn++; return turn % len(w.nodes) }
		for {
			status, _, h := w.Ask(next(), "POST", "/v1/jobs", Submission(t.Spec))
			if w.ctx.Err() != nil {
				return
			}
			if status == 200 || status == 201 {
				break
			}
			if status == 400 || status == 422 || time.Since(begin) > 60*time.Second {
				return
			}
			wait := time.Second
			if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
				wait = max(wait, min(30, time.Duration(s))*time.Second)
			}
			sleep(w.ctx, wait)
		}
		cancelled := false
		for w.ctx.Err() == nil {
			sleep(w.ctx, 5*time.Second)
			if cancel > 0 && !cancelled && time.Since(begin) > cancel {
				status, raw, _ := w.Ask(next(), "POST", "/v1/jobs/"+string(id)+"/cancel", nil)
				var b wire.JobSummary
				if status == 200 && wire.Decode(raw, &b) == nil {
					cancelled = true
				}
			}
			status, raw, _ := w.Ask(next(), "GET", "/v1/jobs/"+string(id), nil)
			if w.ctx.Err() != nil {
				return
			}
			var s wire.JobState
			if status != 200 || wire.Decode(raw, &s) != nil {
				continue
			}
			if s.Status.Final() && time.Since(begin) > cancel+20*time.Second {
				return
			}
		}
	})
}
