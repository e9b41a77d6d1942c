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

// Invalid requests are refused with the status that the protocol defines for them.
func TestInvalidInputStatusCodes(t *testing.T) {
	t.Parallel()
	runScenario(t, 12, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sleepUntil(3 * time.Second)
		valid := simulator.Submission(array(1, 1, 1).Spec)
		// submissionWith returns a valid submission with one field replaced, or removed if value is
		// "missing".
		submissionWith := func(field string, value any) map[string]any {
			submission := map[string]any{}
			for k, v := range valid {
				submission[k] = v
			}
			submission[field] = value
			if value == "missing" {
				delete(submission, field)
			}
			return submission
		}
		overLimit := gang(3, 21, 10)
		overLimitSubmission := simulator.Submission(overLimit.Spec) // 42 CPUs, the team's limit is 40
		cases := []struct {
			name, method, path string
			body               any
			want               int
		}{
			{"not CBOR", "POST", "/v1/jobs", []byte{0xff, 0x01}, 400},
			{"not a map", "POST", "/v1/jobs", []string{"a"}, 400},
			{"trailing bytes", "POST", "/v1/jobs", append(wire.Encode(valid), 0), 400},
			{"field missing", "POST", "/v1/jobs", submissionWith("cpus", "missing"), 400},
			{"wrong type", "POST", "/v1/jobs", submissionWith("cpus", "many"), 400},
			{"no parts", "POST", "/v1/jobs", submissionWith("parts", 0), 400},
			{"too many parts", "POST", "/v1/jobs", submissionWith("parts", 100001), 400},
			{"negative memory", "POST", "/v1/jobs", submissionWith("ramGb", -1.0), 400},
			{"unknown shape", "POST", "/v1/jobs", submissionWith("shape", "choir"), 400},
			{"a gang over the limit", "POST", "/v1/jobs", overLimitSubmission, 422},
			{"unknown urgency", "POST", "/v1/jobs", submissionWith("urgency", "now"), 400},
			{"malformed id", "POST", "/v1/jobs", submissionWith("nameId", "job-1"), 400},
			{"unknown team", "POST", "/v1/jobs", submissionWith("owner", "green"), 422},
			{"fits no machine type", "POST", "/v1/jobs", submissionWith("cpus", 32.0), 422},
			{"unknown machine type", "POST", "/v1/jobs", submissionWith("kits", []string{"huge"}), 422},
			{"a task over the limit", "POST", "/v1/jobs", submissionWith("cpus", 41.0), 422},
			{"too large", "POST", "/v1/jobs", bytes.Repeat([]byte{0x60}, 65<<10), 413},
			{"unknown path", "GET", "/v2", nil, 404},
			{"wrong method", "DELETE", "/v1/jobs", nil, 405},
			{"never submitted", "GET", "/v1/jobs/req-999999", nil, 404},
			{"not an id", "GET", "/v1/jobs/zzz", nil, 404},
			{"cancellation of an unknown job", "POST", "/v1/jobs/req-999999/cancel", nil, 404},
			{"malformed heartbeat", "POST", "/hello", []byte{0x01}, 400},
		}
		for i, c := range cases {
			if status, _, _ := sim.Ask(i%3, c.method, c.path, c.body); status != c.want {
				t.Errorf("%s: answered %d, want %d", c.name, status, c.want)
			}
		}
		sim.Submit(array(2, 1, 1), 0)
		sleepUntil(60 * time.Second)
	})
}

// Every controller answers invalid requests as the protocol defines, repeatedly, and also while
// controllers don't know the machine types yet.
func TestInvalidRequestsAtEveryController(t *testing.T) {
	t.Parallel()
	runScenario(t, 440, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sim.SetCloudOutage(true)
		number := 500
		// submissionWith returns the submission of a new job with one field replaced, or removed if
		// value is "missing".
		submissionWith := func(field string, value any) map[string]any {
			number++
			submission := simulator.Submission(array(number, 1, 1).Spec)
			if submission[field] = value; value == "missing" {
				delete(submission, field)
			}
			return submission
		}
		// checkResponse sends the same request to all controllers, twice, and checks each response.
		checkResponse := func(what, method, path string, body any, want int, status wire.Status) {
			t.Helper()
			for i := range 6 {
				begin := time.Now()
				got, raw, header := sim.Ask(i%3, method, path, body)
				var summary wire.JobSummary
				if got != want || got == 200 && (wire.Decode(raw, &summary) != nil || summary.Status != status) {
					t.Errorf("%s at controller %d: answered %d %q, want %d %q", what, i%3, got, summary.Status, want, status)
				}
				if got == 503 && header.Get("Retry-After") == "" {
					t.Errorf("%s: answered 503 without Retry-After", what)
				}
				if d := time.Since(begin); d > 300*time.Millisecond {
					t.Errorf("%s at controller %d took %v, want 300ms or less", what, i%3, d)
				}
			}
		}
		checkInvalid := func(typesKnown bool) {
			t.Helper()
			for field := range simulator.Submission(array(1, 1, 1).Spec) {
				if field == "kits" || field == "site" || field == "dueS" { // may be null, so may be missing
					continue
				}
				checkResponse("without "+field, "POST", "/v1/jobs", submissionWith(field, "missing"), 400, "")
				checkResponse("list for "+field, "POST", "/v1/jobs", submissionWith(field, []int{1}), 400, "")
				checkResponse("null for "+field, "POST", "/v1/jobs", submissionWith(field, nil), 400, "")
			}
			for field, value := range map[string]any{"kits": 3, "site": 4.5, "dueS": "soon", "parts": 2.5, "cpus": -1.0, "standby": 1, "shape": "gang", "nameId": "req-"} {
				checkResponse("wrong "+field, "POST", "/v1/jobs", submissionWith(field, value), 400, "")
			}
			checkResponse("no map", "POST", "/v1/jobs", []int{1}, 400, "")
			checkResponse("no CBOR", "POST", "/v1/jobs", bytes.Repeat([]byte{0xff}, 9), 400, "")
			checkResponse("unknown team", "POST", "/v1/jobs", submissionWith("owner", "green"), 422, "")
			checkResponse("a task over the limit", "POST", "/v1/jobs", submissionWith("cpus", 41.0), 422, "")
			large := simulator.Submission(service(499, 30).Spec)
			large["owner"], large["cpus"] = "red", 1.5
			checkResponse("a service over the limit", "POST", "/v1/jobs", large, 422, "")
			checkResponse("poll of an unknown job", "GET", "/v1/jobs/req-888888", nil, 404, "")
			checkResponse("cancellation of an unknown job", "POST", "/v1/jobs/req-888888/cancel", nil, 404, "")
			want := 422
			if !typesKnown {
				want = 503
				checkResponse("valid job", "POST", "/v1/jobs", submissionWith("cpus", 1.0), 503, "")
			}
			checkResponse("fits no machine type", "POST", "/v1/jobs", submissionWith("cpus", 32.0), want, "")
			checkResponse("unknown machine type", "POST", "/v1/jobs", submissionWith("kits", []string{"huge"}), want, "")
			checkResponse("no such zone", "POST", "/v1/jobs", submissionWith("site", "q"), want, "")
			checkResponse("memory fits no machine type", "POST", "/v1/jobs", submissionWith("ramGb", 65.0), want, "")
			checkResponse("image fits no disk", "POST", "/v1/jobs", submissionWith("imageGb", 21.0), want, "")
		}
		sleepUntil(3 * time.Second)
		checkInvalid(false)
		sim.SetCloudOutage(false)
		sleepUntil(18 * time.Second)
		checkInvalid(true)
		// An array as a whole may exceed its team's limit.
		wide, serviceJob, cancelledJob := array(1, 60, 3), service(2, 2), service(3, 2)
		for _, j := range []simulator.JobScript{wide, serviceJob, cancelledJob} {
			sim.Submit(j, 0)
		}
		time.Sleep(2 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) { c.CancelRequested(cancelledJob.Spec.ID) })
		checkResponse("cancel", "POST", "/v1/jobs/"+string(cancelledJob.Spec.ID)+"/cancel", nil, 200, wire.StatusCancelled)
		sleepUntil(80 * time.Second)
		mustFinish(t, sim, wide)
		checkKnownJobs := func() {
			t.Helper()
			for j, want := range map[*simulator.JobScript]wire.Status{&wide: wire.StatusDone, &serviceJob: wire.StatusQueued, &cancelledJob: wire.StatusCancelled} {
				checkResponse("repeat of "+string(want), "POST", "/v1/jobs", simulator.Submission(j.Spec), 200, want)
				if want != wire.StatusQueued {
					checkResponse("cancel of "+string(want), "POST", "/v1/jobs/"+string(j.Spec.ID)+"/cancel", nil, 200, want)
					checkResponse("poll of "+string(want), "GET", "/v1/jobs/"+string(j.Spec.ID), nil, 200, want)
				}
			}
		}
		checkKnownJobs()
		// All controllers restart, and get the machine types neither from the key-value store nor
		// from the cloud.
		killAll(sim)
		sim.SetCloudOutage(true)
		sim.State.Delete(store.MachineSpecsKey)
		startAll(t, sim)
		time.Sleep(3 * time.Second)
		checkKnownJobs()
		checkInvalid(false)
		sim.SetCloudOutage(false)
		time.Sleep(20 * time.Second)
		checkKnownJobs()
		mustRun(t, sim, serviceJob, "after the restart of all controllers")
		for _, k := range sim.State.Keys("job/") {
			if !strings.HasSuffix(k, string(serviceJob.Spec.ID)) {
				t.Errorf("%s exists, want no job record but that of the service", k)
			}
		}
	})
}
