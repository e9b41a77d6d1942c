package admin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lilaclead/history"
	"lilaclead/internal/intake"
	"lilaclead/internal/leader/core"
)

// Metrics holds the Prometheus metrics of one node. It is safe for concurrent use.
type Metrics struct {
	registry         *prometheus.Registry
	calls            *prometheus.HistogramVec
	requests         *prometheus.HistogramVec
	schedulingCycles prometheus.Histogram
	placements       prometheus.Counter
	preemptions      prometheus.Counter
	terms            prometheus.Counter
	heartbeats       *prometheus.CounterVec
	startDelays      *prometheus.HistogramVec
	commands         *prometheus.CounterVec
	interruptions    *prometheus.CounterVec
	fleetChanges     *prometheus.CounterVec
	machines         *prometheus.GaugeVec
	scaleOutHolds    *prometheus.GaugeVec
}

// Upper bounds of the buckets of histograms, in seconds.
var (
	latencyBuckets    = []float64{.001, .005, .02, .05, .1, .25, .5, 1, 2, 5}
	startDelayBuckets = []float64{.5, 1, 2, 5, 10, 20, 40, 80, 160}
)

// NewMetrics returns the metrics of a node.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	factory := metricFactory{promauto.With(registry)}
	return &Metrics{
		registry:         registry,
		calls:            factory.histogramVec("lilaclead_call_seconds", "Calls to the state service and the cloud.", latencyBuckets, "service", "op", "outcome"),
		requests:         factory.histogramVec("lilaclead_request_seconds", "Users' requests.", latencyBuckets, "op", "status"),
		schedulingCycles: factory.histogram("lilaclead_round_seconds", "Placement rounds.", latencyBuckets),
		placements:       factory.counter("lilaclead_starts_total", "Tasks placed."),
		preemptions:      factory.counter("lilaclead_preemptions_total", "Tasks stopped to make room."),
		terms:            factory.counter("lilaclead_terms_total", "Times that this node became leader."),
		heartbeats:       factory.counterVec("lilaclead_reports_total", "Workers' reports.", "outcome"),
		startDelays:      factory.histogramVec("lilaclead_wait_seconds", "From acceptance to a job's first running task.", startDelayBuckets, "class"),
		commands:         factory.counterVec("lilaclead_commands_total", "Direct commands to workers.", "outcome"),
		interruptions:    factory.counterVec("lilaclead_moves_total", "Tasks that ended before they were done.", "why"),
		fleetChanges:     factory.counterVec("lilaclead_fleet_total", "Machines rented, drained and released.", "what"),
		machines:         factory.gaugeVec("lilaclead_machines", "Machines by state, as the leader knows them.", "state"),
		scaleOutHolds:    factory.gaugeVec("lilaclead_scale_out_holds", "Jobs for which the leader requests no machines, or fewer than for all tasks, by reason.", "reason"),
	}
}

// metricFactory creates metrics and registers them.
type metricFactory struct{ promauto.Factory }

func (f metricFactory) histogram(name, help string, buckets []float64) prometheus.Histogram {
	return f.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets})
}

func (f metricFactory) histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return f.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
}

func (f metricFactory) counter(name, help string) prometheus.Counter {
	return f.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func (f metricFactory) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return f.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func (f metricFactory) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return f.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

// RegisterHistory registers a counter of the history's events for each outcome. The function
// counts is called each time the metrics are collected.
func (m *Metrics) RegisterHistory(counts func() history.Counts) {
	register := func(outcome string, count func() uint64) {
		opts := prometheus.CounterOpts{
			Name:        "lilaclead_history_events_total",
			Help:        "Events of the history.",
			ConstLabels: prometheus.Labels{"outcome": outcome},
		}
		m.registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return float64(count()) }))
	}
	register("written", func() uint64 { return counts().Written })
	register("dropped", func() uint64 { return counts().Dropped })
	register("failed", func() uint64 { return counts().Failed })
}

// RegisterBudget registers a gauge of the requests that remain in a budget, as returned by the
// given function. The number is negative while the budget is in debt.
func (m *Metrics) RegisterBudget(name string, remaining func() float64) {
	opts := prometheus.GaugeOpts{
		Name:        "lilaclead_budget_left",
		Help:        "Requests left in a budget now; below 0: ahead of it.",
		ConstLabels: prometheus.Labels{"budget": name},
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(opts, remaining))
}

// maxOutcomeBytes bounds the label of an outcome, which may hold the text of an error.
const maxOutcomeBytes = 40

// ObserveCalls returns a function that records the duration of a call to the given external
// service, by operation and outcome.
func (m *Metrics) ObserveCalls(service string) func(op, outcome string, duration time.Duration) {
	return func(op, outcome string, duration time.Duration) {
		outcome = outcome[:min(len(outcome), maxOutcomeBytes)]
		m.calls.WithLabelValues(service, op, outcome).Observe(duration.Seconds())
	}
}

// ObserveRequest records the duration of a user's request, by operation and HTTP status.
func (m *Metrics) ObserveRequest(op intake.Operation, status int, duration time.Duration) {
	m.requests.WithLabelValues(string(op), strconv.Itoa(status)).Observe(duration.Seconds())
}

// LeaderMetrics returns the functions by which a leader updates the metrics.
func (m *Metrics) LeaderMetrics() core.Metrics {
	return core.Metrics{
		SchedulingCycle: m.observeSchedulingCycle,
		BecameLeader:    m.terms.Inc,
		Heartbeat:       func(outcome string) { m.heartbeats.WithLabelValues(outcome).Inc() },
		StartDelay:      func(class string, seconds float64) { m.startDelays.WithLabelValues(class).Observe(seconds) },
		Command:         func(outcome string) { m.commands.WithLabelValues(outcome).Inc() },
		TaskInterrupted: func(reason string) { m.interruptions.WithLabelValues(reason).Inc() },
		FleetChange:     func(change string, machines int) { m.fleetChanges.WithLabelValues(change).Add(float64(machines)) },
		ScaleOutHolds:   func(byReason map[string]int) { setGauges(m.scaleOutHolds, byReason) },
		Machines:        func(byState map[string]int) { setGauges(m.machines, byState) },
	}
}

// observeSchedulingCycle records the duration of a scheduling cycle, and the numbers of tasks
// that it placed and preempted.
func (m *Metrics) observeSchedulingCycle(duration time.Duration, placed, preempted int) {
	m.schedulingCycles.Observe(duration.Seconds())
	m.placements.Add(float64(placed))
	m.preemptions.Add(float64(preempted))
}

// setGauges sets the gauges of a metric with one label, by the label's value. Values that the
// map lacks are no longer exposed.
func setGauges(gauges *prometheus.GaugeVec, byLabel map[string]int) {
	gauges.Reset()
	for label, number := range byLabel {
		gauges.WithLabelValues(label).Set(float64(number))
	}
}

// handler returns the HTTP handler that exposes the metrics.
func (m *Metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
}
