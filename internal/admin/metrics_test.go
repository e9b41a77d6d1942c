package admin_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/history"
	"lilaclead/internal/admin"
	"lilaclead/internal/intake"
)

// exposedLines returns the lines of the metrics that a node exposes.
func exposedLines(t *testing.T, metrics *admin.Metrics) []string {
	t.Helper()
	router := httprouter.New()
	admin.New(nil, nil, nil, nil, nil, metrics, nil).Routes(router)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if w.Code != http.StatusOK {
		t.Errorf("status: got %d, want 200", w.Code)
	}
	return strings.Split(w.Body.String(), "\n")
}

// Dashboards and alerts refer to the metrics by their names and labels, which must not change.
func TestMetricNamesAndLabels(t *testing.T) {
	metrics := admin.NewMetrics()
	metrics.ObserveCalls("state")("get", "ok", 3*time.Millisecond)
	metrics.ObserveCalls("cloud")("list", strings.Repeat("x", 50), time.Second)
	metrics.ObserveRequest(intake.Submit, 201, 30*time.Millisecond)
	metrics.ObserveRequest(intake.Poll, 200, 30*time.Millisecond)
	metrics.ObserveRequest(intake.Cancel, 503, 30*time.Millisecond)
	metrics.RegisterBudget("state requests", func() float64 { return 4.5 })
	metrics.RegisterHistory(func() history.Counts { return history.Counts{Written: 1, Dropped: 2, Failed: 3, Removed: 4} })
	hooks := metrics.LeaderMetrics()
	hooks.SchedulingCycle(300*time.Millisecond, 5, 2)
	hooks.BecameLeader()
	hooks.Heartbeat("ok")
	hooks.StartDelay("batch", 7)
	hooks.Command("sent")
	hooks.TaskInterrupted("lease expired")
	hooks.FleetChange("drained", 3)
	hooks.Machines(map[string]int{"up": 3, "booting": 1})
	hooks.Machines(map[string]int{"up": 2})
	hooks.ScaleOutHolds(map[string]int{"failures": 4, "no offer": 1})
	hooks.ScaleOutHolds(map[string]int{"failures": 3})

	lines := exposedLines(t, metrics)
	for _, want := range []string{
		`lilaclead_call_seconds_bucket{op="get",outcome="ok",service="state",le="0.005"} 1`,
		`lilaclead_call_seconds_bucket{op="get",outcome="ok",service="state",le="0.001"} 0`,
		`lilaclead_call_seconds_count{op="list",outcome="` + strings.Repeat("x", 40) + `",service="cloud"} 1`,
		`lilaclead_request_seconds_bucket{op="submit",status="201",le="0.05"} 1`,
		`lilaclead_request_seconds_count{op="poll",status="200"} 1`,
		`lilaclead_request_seconds_count{op="cancel",status="503"} 1`,
		`lilaclead_round_seconds_bucket{le="0.25"} 0`,
		`lilaclead_round_seconds_bucket{le="0.5"} 1`,
		`lilaclead_round_seconds_bucket{le="5"} 1`,
		`lilaclead_starts_total 5`,
		`lilaclead_preemptions_total 2`,
		`lilaclead_terms_total 1`,
		`lilaclead_reports_total{outcome="ok"} 1`,
		`lilaclead_wait_seconds_bucket{class="batch",le="5"} 0`,
		`lilaclead_wait_seconds_bucket{class="batch",le="10"} 1`,
		`lilaclead_wait_seconds_bucket{class="batch",le="160"} 1`,
		`lilaclead_commands_total{outcome="sent"} 1`,
		`lilaclead_moves_total{why="lease expired"} 1`,
		`lilaclead_fleet_total{what="drained"} 3`,
		`lilaclead_machines{state="up"} 2`,
		`lilaclead_scale_out_holds{reason="failures"} 3`,
		`lilaclead_budget_left{budget="state requests"} 4.5`,
		`lilaclead_history_events_total{outcome="written"} 1`,
		`lilaclead_history_events_total{outcome="dropped"} 2`,
		`lilaclead_history_events_total{outcome="failed"} 3`,
	} {
		if !slices.Contains(lines, want) {
			t.Errorf("the metrics lack %q", want)
		}
	}
	wantTypes := []string{
		"# TYPE lilaclead_budget_left gauge",
		"# TYPE lilaclead_call_seconds histogram",
		"# TYPE lilaclead_commands_total counter",
		"# TYPE lilaclead_fleet_total counter",
		"# TYPE lilaclead_history_events_total counter",
		"# TYPE lilaclead_machines gauge",
		"# TYPE lilaclead_moves_total counter",
		"# TYPE lilaclead_preemptions_total counter",
		"# TYPE lilaclead_reports_total counter",
		"# TYPE lilaclead_request_seconds histogram",
		"# TYPE lilaclead_round_seconds histogram",
		"# TYPE lilaclead_scale_out_holds gauge",
		"# TYPE lilaclead_starts_total counter",
		"# TYPE lilaclead_terms_total counter",
		"# TYPE lilaclead_wait_seconds histogram",
	}
	var types []string
	for _, line := range lines {
		if strings.HasPrefix(line, "# TYPE ") {
			types = append(types, line)
		}
	}
	if !slices.Equal(types, wantTypes) {
		t.Errorf("types of the metrics: got %q, want %q", types, wantTypes)
	}
	for _, line := range lines {
		if strings.Contains(line, `state="booting"`) || strings.Contains(line, `reason="no offer"`) {
			t.Errorf("got %q, want no label value that the last update lacks", line)
		}
	}
	if t.Failed() {
		t.Logf("exposed:\n%s", strings.Join(lines, "\n"))
	}
}

func TestUnusedMetricsAreExposedAsZero(t *testing.T) {
	lines := exposedLines(t, admin.NewMetrics())
	for _, want := range []string{
		`lilaclead_starts_total 0`,
		`lilaclead_preemptions_total 0`,
		`lilaclead_terms_total 0`,
		`lilaclead_round_seconds_count 0`,
	} {
		if !slices.Contains(lines, want) {
			t.Errorf("the metrics lack %q; exposed:\n%s", want, strings.Join(lines, "\n"))
		}
	}
}
