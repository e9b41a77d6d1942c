package standin

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

const userIP = "10.3.0.1"

// Submission is the map that a user sends.
func Submission(s wire.Spec) map[string]any {
	m := map[string]any{
		"nameId": string(s.ID), "lane": s.Lane, "owner": string(s.Owner), "shape": string(s.Shape), "urgency": string(s.Urgency),
		"parts": s.Parts, "cpus": s.CPUs, "cards": s.Cards, "ramGb": s.RAM, "bundle": string(s.Bundle), "imageGb": s.ImageGB,
		"kits": nil, "site": nil, "samePlace": s.SamePlace, "apart": s.Apart, "standby": s.Standby, "expectedS": float64(s.Expected),
		"snapshotEveryS": float64(s.SnapshotEveryS), "snapshotS": float64(s.SnapshotS), "dueS": nil,
	}
	if s.Kits != nil {
		m["kits"] = s.Kits
	}
	if s.Site != "" {
		m["site"] = string(s.Site)
	}
	if s.Due > 0 {
		m["dueS"] = float64(s.Due)
	}
	return m
}

// Ask makes one request to a node.
func Ask(ctx context.Context, nw netio.Net, method, url string, body any) (int, []byte, http.Header) {
	tr := nw.Transport(1, 1)
	defer tr.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	status, out, h, err := netio.Call(ctx, &http.Client{Transport: tr}, method, url, body, 1<<20)
	if err != nil {
		return 0, nil, nil
	}
	return status, out, h
}

// Ask makes one request as a user to the i-th node.
func (w *World) Ask(i int, method, path string, body any) (int, []byte, http.Header) {
	return Ask(w.ctx, w.host(userIP), method, "http://"+NodeIP(i)+":8080"+path, body)
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
			w.mu.Lock()
			if status == 200 || status == 201 {
				w.check.Accepted(id, time.Now())
			} else {
				w.check.Refused(id, status, time.Now())
			}
			w.mu.Unlock()
			if status == 200 || status == 201 {
				break
			}
			if status == 400 || status == 422 || time.Since(begin) > 60*time.Second {
				return
			}
			wait := time.Second
			if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
				wait = max(wait, time.Duration(s)*time.Second)
			}
			sleep(w.ctx, wait)
		}
		cancelled := false
		for w.ctx.Err() == nil {
			sleep(w.ctx, 5*time.Second)
			if cancel > 0 && !cancelled && time.Since(begin) > cancel {
				w.Checked(func(c *Checker) { c.CancelAsked(id) })
				status, raw, _ := w.Ask(next(), "POST", "/v1/jobs/"+string(id)+"/cancel", nil)
				var b wire.JobBrief
				if status == 200 && wire.Decode(raw, &b) == nil {
					cancelled = true
					w.Checked(func(c *Checker) { c.Told(id, b.Status, time.Now()) })
				}
			}
			status, raw, _ := w.Ask(next(), "GET", "/v1/jobs/"+string(id), nil)
			if w.ctx.Err() != nil {
				return
			}
			var s wire.JobState
			if status == 200 && wire.Decode(raw, &s) != nil {
				status = 0
			}
			w.Checked(func(c *Checker) { c.Polled(id, status, s.Status, time.Now()) })
			if s.Status.Final() && time.Since(begin) > cancel+20*time.Second {
				return
			}
		}
	})
}
