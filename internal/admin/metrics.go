package admin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lilaclead/history"
	"lilaclead/internal/intake"
	"lilaclead/internal/leader/core"
)

// Metrics of one node, in Prometheus' form.
type Metrics struct {
	registry    *prometheus.Registry
	calls       *prometheus.HistogramVec
	requests    *prometheus.HistogramVec
	rounds      prometheus.Histogram
	starts      prometheus.Counter
	preemptions prometheus.Counter
	terms       prometheus.Counter
	reports     *prometheus.CounterVec
	waits       *prometheus.HistogramVec
	commands    *prometheus.CounterVec
	moved       *prometheus.CounterVec
	fleet       *prometheus.CounterVec
	machines    *prometheus.GaugeVec
}

// NewMetrics makes the metrics of a node.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	buckets := []float64{.001, .005, .02, .05, .1, .25, .5, 1, 2, 5}
	m.calls = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lilaclead_call_seconds", Help: "Calls to the state service and the cloud.", Buckets: buckets}, []string{"service", "op", "outcome"})
	m.requests = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lilaclead_request_seconds", Help: "Users' requests.", Buckets: buckets}, []string{"op", "status"})
	m.rounds = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "lilaclead_round_seconds", Help: "Placement rounds.", Buckets: buckets})
	m.starts = prometheus.NewCounter(prometheus.CounterOpts{Name: "lilaclead_starts_total", Help: "Tasks placed."})
	m.preemptions = prometheus.NewCounter(prometheus.CounterOpts{Name: "lilaclead_preemptions_total", Help: "Tasks stopped to make room."})
	m.terms = prometheus.NewCounter(prometheus.CounterOpts{Name: "lilaclead_terms_total", Help: "Times that this node became leader."})
	m.reports = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lilaclead_reports_total", Help: "Workers' reports."}, []string{"outcome"})
	m.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "lilaclead_wait_seconds", Help: "From acceptance to a job's first running task.", Buckets: []float64{.5, 1, 2, 5, 10, 20, 40, 80, 160}}, []string{"class"})
	m.commands = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lilaclead_commands_total", Help: "Direct commands to workers."}, []string{"outcome"})
	m.moved = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lilaclead_moves_total", Help: "Tasks that ended before they were done."}, []string{"why"})
	m.fleet = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lilaclead_fleet_total", Help: "Machines rented, drained and released."}, []string{"what"})
	m.machines = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lilaclead_machines", Help: "Machines by state, as the leader knows them."}, []string{"state"})
	m.registry.MustRegister(m.calls, m.requests, m.rounds, m.starts, m.preemptions, m.terms, m.reports, m.waits, m.commands, m.moved, m.fleet, m.machines)
	return m
}

// History registers what became of the events of the history.
func (m *Metrics) History(counts func() history.Counts) {
	for name, of := range map[string]func(history.Counts) uint64{
		"written": func(c history.Counts) uint64 { return c.Written },
		"dropped": func(c history.Counts) uint64 { return c.Dropped },
		"failed":  func(c history.Counts) uint64 { return c.Failed },
	} {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "lilaclead_history_events_total", Help: "Events of the history.",
			ConstLabels: prometheus.Labels{"outcome": name}}, func() float64 { return float64(of(counts())) }))
	}
}

// maxOutcome bounds a label's length, since outcomes may hold texts of errors.
const maxOutcome = 40

// Call observes calls to one outside service.
func (m *Metrics) Call(service string) func(op, outcome string, took time.Duration) {
	return func(op, outcome string, took time.Duration) {
		outcome = outcome[:min(len(outcome), maxOutcome)]
		m.calls.WithLabelValues(service, op, outcome).Observe(took.Seconds())
	}
}

// Request observes users' requests.
func (m *Metrics) Request(op intake.Operation, status int, took time.Duration) {
	m.requests.WithLabelValues(string(op), strconv.Itoa(status)).Observe(took.Seconds())
}

// Leader is the leader's view of the metrics.
func (m *Metrics) Leader() core.Metrics {
	return core.Metrics{
		SchedulingCycle: func(took time.Duration, starts, halts int) {
			m.rounds.Observe(took.Seconds())
			m.starts.Add(float64(starts))
			m.preemptions.Add(float64(halts))
		},
		BecameLeader: m.terms.Inc,
		Heartbeat:    func(s string) { m.reports.WithLabelValues(s).Inc() },
		StartDelay:   func(class string, s float64) { m.waits.WithLabelValues(class).Observe(s) },
		Command:      func(s string) { m.commands.WithLabelValues(s).Inc() },
		TaskMoved:    func(s string) { m.moved.WithLabelValues(s).Inc() },
		Machines: func(n map[string]int) {
			m.machines.Reset()
			for state, k := range n {
				m.machines.WithLabelValues(state).Set(float64(k))
			}
		},
		Fleet: func(what string, n int) { m.fleet.WithLabelValues(what).Add(float64(n)) },
	}
}

// Budget shows what is left of a rate budget.
func (m *Metrics) Budget(name string, left func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "lilaclead_budget_left", Help: "Requests left in a budget now; below 0: ahead of it.",
		ConstLabels: prometheus.Labels{"budget": name}}, left))
}

func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
