package scenarios_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// What a node can't take it refuses as the page says.
func TestBadInput(t *testing.T) {
	t.Parallel()
	runScenario(t, 12, func(sim *simulator.Simulation, at func(time.Duration)) {
		at(3 * time.Second)
		ok := simulator.Submission(array(1, 1, 1).Spec)
		with := func(k string, v any) map[string]any {
			m := map[string]any{}
			for a, b := range ok {
				m[a] = b
			}
			m[k] = v
			if v == "missing" {
				delete(m, k)
			}
			return m
		}
		overLimit := gang(3, 21, 10)
		gangOver := simulator.Submission(overLimit.Spec) // 42 CPUs of 40
		cases := []struct {
			name, method, path string
			body               any
			want               int
		}{
			{"not CBOR", "POST", "/v1/jobs", []byte{0xff, 0x01}, 400},
			{"not a map", "POST", "/v1/jobs", []string{"a"}, 400},
			{"trailing bytes", "POST", "/v1/jobs", append(wire.Encode(ok), 0), 400},
			{"field missing", "POST", "/v1/jobs", with("cpus", "missing"), 400},
			{"wrong type", "POST", "/v1/jobs", with("cpus", "many"), 400},
			{"no parts", "POST", "/v1/jobs", with("parts", 0), 400},
			{"too many parts", "POST", "/v1/jobs", with("parts", 100001), 400},
			{"negative", "POST", "/v1/jobs", with("ramGb", -1.0), 400},
			{"unknown shape", "POST", "/v1/jobs", with("shape", "choir"), 400},
			{"a gang over the limit", "POST", "/v1/jobs", gangOver, 422},
			{"unknown urgency", "POST", "/v1/jobs", with("urgency", "now"), 400},
			{"malformed id", "POST", "/v1/jobs", with("nameId", "job-1"), 400},
			{"unknown team", "POST", "/v1/jobs", with("owner", "green"), 422},
			{"fits nothing", "POST", "/v1/jobs", with("cpus", 32.0), 422},
			{"unknown type", "POST", "/v1/jobs", with("kits", []string{"huge"}), 422},
			{"over the limit", "POST", "/v1/jobs", with("cpus", 41.0), 422},
			{"too large", "POST", "/v1/jobs", bytes.Repeat([]byte{0x60}, 65<<10), 413},
			{"unknown path", "GET", "/v2", nil, 404},
			{"wrong method", "DELETE", "/v1/jobs", nil, 405},
			{"never submitted", "GET", "/v1/jobs/req-999999", nil, 404},
			{"not an id", "GET", "/v1/jobs/zzz", nil, 404},
			{"cancel of nothing", "POST", "/v1/jobs/req-999999/cancel", nil, 404},
			{"not a report", "POST", "/hello", []byte{0x01}, 400},
		}
		for i, c := range cases {
			if status, _, _ := sim.Ask(i%3, c.method, c.path, c.body); status != c.want {
				t.Errorf("%s: %d, want %d", c.name, status, c.want)
			}
		}
		sim.Submit(array(2, 1, 1), 0)
		at(60 * time.Second)
	})
}

// Invalid requests get what the page says, at every node, again and again, and also
// while nodes don't know the machine types yet.
func TestInvalidRequestsAtEveryController(t *testing.T) {
	t.Parallel()
	runScenario(t, 440, func(sim *simulator.Simulation, at func(time.Duration)) {
		sim.CloudOutage(true)
		n := 500
		with := func(k string, v any) map[string]any {
			n++
			m := simulator.Submission(array(n, 1, 1).Spec)
			if m[k] = v; v == "missing" {
				delete(m, k)
			}
			return m
		}
		// ask makes the same request of all nodes, twice.
		ask := func(what, method, path string, body any, want int, status wire.Status) {
			t.Helper()
			for i := range 6 {
				begin := time.Now()
				got, raw, h := sim.Ask(i%3, method, path, body)
				var b wire.JobSummary
				if got != want || got == 200 && (wire.Decode(raw, &b) != nil || b.Status != status) {
					t.Errorf("%s at node %d: %d %q, want %d %q", what, i%3, got, b.Status, want, status)
				}
				if got == 503 && h.Get("Retry-After") == "" {
					t.Errorf("%s: 503 without Retry-After", what)
				}
				if d := time.Since(begin); d > 300*time.Millisecond {
					t.Errorf("%s at node %d took %v", what, i%3, d)
				}
			}
		}
		invalid := func(known bool) {
			t.Helper()
			for k := range simulator.Submission(array(1, 1, 1).Spec) {
				if k == "kits" || k == "site" || k == "dueS" { // may be null, so may be missing
					continue
				}
				ask("without "+k, "POST", "/v1/jobs", with(k, "missing"), 400, "")
				ask("list for "+k, "POST", "/v1/jobs", with(k, []int{1}), 400, "")
				ask("null for "+k, "POST", "/v1/jobs", with(k, nil), 400, "")
			}
			for k, v := range map[string]any{"kits": 3, "site": 4.5, "dueS": "soon", "parts": 2.5, "cpus": -1.0, "standby": 1, "shape": "gang", "nameId": "req-"} {
				ask("wrong "+k, "POST", "/v1/jobs", with(k, v), 400, "")
			}
			ask("no map", "POST", "/v1/jobs", []int{1}, 400, "")
			ask("no CBOR", "POST", "/v1/jobs", bytes.Repeat([]byte{0xff}, 9), 400, "")
			ask("unknown team", "POST", "/v1/jobs", with("owner", "green"), 422, "")
			ask("a task over the limit", "POST", "/v1/jobs", with("cpus", 41.0), 422, "")
			large := simulator.Submission(service(499, 30).Spec)
			large["owner"], large["cpus"] = "red", 1.5
			ask("a service over the limit", "POST", "/v1/jobs", large, 422, "")
			ask("question for nothing", "GET", "/v1/jobs/req-888888", nil, 404, "")
			ask("cancel of nothing", "POST", "/v1/jobs/req-888888/cancel", nil, 404, "")
			want := 422
			if !known {
				want = 503
				ask("good job", "POST", "/v1/jobs", with("cpus", 1.0), 503, "")
			}
			ask("fits no type", "POST", "/v1/jobs", with("cpus", 32.0), want, "")
			ask("unknown type", "POST", "/v1/jobs", with("kits", []string{"huge"}), want, "")
			ask("no such zone", "POST", "/v1/jobs", with("site", "q"), want, "")
			ask("fits together with no type", "POST", "/v1/jobs", with("ramGb", 65.0), want, "")
			ask("image fits no disk", "POST", "/v1/jobs", with("imageGb", 21.0), want, "")
		}
		at(3 * time.Second)
		invalid(false)
		sim.CloudOutage(false)
		at(18 * time.Second)
		invalid(true)
		// An array may have more tasks than its team's limit.
		wide, s, cancelledJob := array(1, 60, 3), service(2, 2), service(3, 2)
		for _, j := range []simulator.JobScript{wide, s, cancelledJob} {
			sim.Submit(j, 0)
		}
		time.Sleep(2 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(cancelledJob.Spec.ID) })
		ask("cancel", "POST", "/v1/jobs/"+string(cancelledJob.Spec.ID)+"/cancel", nil, 200, wire.StatusCancelled)
		at(80 * time.Second)
		mustFinish(t, sim, wide)
		known := func() {
			t.Helper()
			for j, want := range map[*simulator.JobScript]wire.Status{&wide: wire.StatusDone, &s: wire.StatusQueued, &cancelledJob: wire.StatusCancelled} {
				ask("repeat of "+string(want), "POST", "/v1/jobs", simulator.Submission(j.Spec), 200, want)
				if want != wire.StatusQueued {
					ask("cancel of "+string(want), "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil, 200, want)
					ask("poll of "+string(want), "GET", "/v1/jobs/"+string(j.Spec.ID), nil, 200, want)
				}
			}
		}
		known()
		// All nodes begin anew, and find the machine types neither in the state
		// service nor at the cloud.
		killAll(sim)
		sim.CloudOutage(true)
		sim.State.Delete(store.MachineSpecsKey)
		startAll(t, sim)
		time.Sleep(3 * time.Second)
		known()
		invalid(false)
		sim.CloudOutage(false)
		time.Sleep(20 * time.Second)
		known()
		mustRun(t, sim, s, "after the nodes began anew")
		for _, k := range sim.State.Keys("job/") {
			if !strings.HasSuffix(k, string(s.Spec.ID)) {
				t.Errorf("%s was taken in", k)
			}
		}
	})
}
