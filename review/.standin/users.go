package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// users submit jobs, ask about them and cancel them.
type users struct {
	d      *deployment
	client *http.Client
	spread float64 // how far run times differ from their job's, as a share of it

	mu       sync.Mutex
	specs    map[string]*jobSpec
	runTimes map[string]time.Duration // by job
}

func newUsers(d *deployment) *users {
	return &users{d: d, client: newClient(), specs: map[string]*jobSpec{}, runTimes: map[string]time.Duration{}}
}

// spec returns the description that a user uploaded, nil if there is none.
func (u *users) spec(id string) *jobSpec {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.specs[id]
}

func (u *users) runTime(task string) time.Duration {
	id, _, _ := strings.Cut(task, "/")
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(float64(u.runTimes[id]) * (1 + u.spread*(2*rand.Float64()-1)))
}

// submit repeats a submission for up to 60 s and reports whether the job was accepted.
func (u *users) submit(spec *jobSpec, runTime time.Duration) bool {
	u.mu.Lock()
	u.specs[spec.ID], u.runTimes[spec.ID] = spec, runTime
	u.mu.Unlock()
	for node, until := 0, time.Now().Add(60*time.Second); time.Now().Before(until); node++ {
		status, body := u.ask(node, http.MethodPost, "/v1/jobs", spec, 5*time.Second)
		u.d.record.logf("submit %s (%d parts) to %s -> %d %s", spec.ID, spec.Parts, u.d.node(node).name, status, show(body))
		switch status {
		case http.StatusCreated, http.StatusOK:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

// poll asks a node about a job.
func (u *users) poll(node int, id string) (int, jobState) {
	status, body := u.ask(node, http.MethodGet, "/v1/jobs/"+id, nil, 2*time.Second)
	var state jobState
	_ = cbor.Unmarshal(body, &state)
	u.d.record.logf("poll %s at %s -> %d %s", id, u.d.node(node).name, status, show(body))
	return status, state
}

// cancel asks a node once to cancel a job.
func (u *users) cancel(node int, id string) (int, jobState) {
	status, body := u.ask(node, http.MethodPost, "/v1/jobs/"+id+"/cancel", map[string]any{}, 5*time.Second)
	var state jobState
	_ = cbor.Unmarshal(body, &state)
	u.d.record.logf("cancel %s at %s -> %d %s", id, u.d.node(node).name, status, show(body))
	return status, state
}

func (u *users) ask(node int, method, path string, body any, timeout time.Duration) (int, []byte) {
	return call(context.Background(), u.client, method, "http://"+u.d.node(node).front+path, body, timeout)
}

// show returns a CBOR body in readable form.
func show(body []byte) string {
	var v any
	if cbor.Unmarshal(body, &v) != nil {
		return ""
	}
	return fmt.Sprint(textKeys(v))
}
