package intake

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

const (
	// requestTimeout is shorter than the 2 s for which users wait for a response.
	requestTimeout = 1800 * time.Millisecond
	// minInFlight and maxInFlight bound the number of requests that are handled at the
	// same time. Few suffice, since a request waits only for the key-value store, which
	// responds within milliseconds. Between the two, one request is allowed for every
	// socketsPerRequest file descriptors of the process, so that users' requests take few
	// sockets compared with the connections of agents.
	minInFlight       = 8
	maxInFlight       = 48
	socketsPerRequest = 20
)

// Operation names a kind of user request, for logs and metrics.
type Operation string

// The operations.
const (
	Submit Operation = "submit"
	Poll   Operation = "poll"
	Cancel Operation = "cancel"
)

// Intake serves users. It is safe for concurrent use.
type Intake struct {
	settings    *config.Settings
	store       *store.Client
	jobs        *store.JobCache
	cancelLog   *cancels.Log
	feasibility feasibility
	finals      finalStates
	counts      *taskCounts
	log         *slog.Logger
	// inFlight holds one element for each request in flight. While it is full, further
	// requests are refused.
	inFlight chan struct{}
	// Observe is called after every response, for the metrics.
	Observe func(op Operation, status int, took time.Duration)
	// UndecodableLog logs the stored records that can't be decoded.
	UndecodableLog *undecodable.Log
}

// New returns an Intake. The function machineTypes returns the machine types that
// the cloud offers, or nil while they are not known.
func New(settings *config.Settings, client *store.Client, cancelLog *cancels.Log, machineTypes func() []wire.MachineSpec, log *slog.Logger) *Intake {
	limits := settings.State.Strictest()
	inFlight := max(minInFlight, min(maxInFlight, settings.Limits.FDLimit/socketsPerRequest))
	return &Intake{
		settings:    settings,
		store:       client,
		jobs:        store.NewJobCache(client, cancelLog, limits.RPS, settings.Size),
		cancelLog:   cancelLog,
		feasibility: feasibility{settings: settings, machineTypes: machineTypes},
		counts:      newTaskCounts(client, limits.RPS, settings.Size),
		log:         log,
		inFlight:    make(chan struct{}, inFlight),
		Observe:     func(Operation, int, time.Duration) {},
	}
}

// Run maintains the cache of live jobs, from which polls are answered, until the
// context ends.
func (in *Intake) Run(ctx context.Context) { in.jobs.Run(ctx) }

// Routes registers the users' paths.
func (in *Intake) Routes(r *httprouter.Router) {
	r.POST("/v1/jobs", in.handle(Submit, in.submit))
	r.GET("/v1/jobs/:id", in.handle(Poll, in.poll))
	r.POST("/v1/jobs/:id/cancel", in.handle(Cancel, in.cancel))
}

// requestHandler handles a request of one operation.
type requestHandler func(ctx context.Context, r *http.Request, params httprouter.Params) response

// handle returns an HTTP handler that runs handler within the limits on time and on
// requests in flight, and writes its response.
func (in *Intake) handle(op Operation, handler requestHandler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		start := time.Now()
		resp := in.runLimited(handler, r, params)
		in.respond(w, op, resp)
		in.Observe(op, resp.status, time.Since(start))
	}
}

// runLimited runs a handler with a timeout, unless too many requests are in flight.
func (in *Intake) runLimited(handler requestHandler, r *http.Request, params httprouter.Params) response {
	select {
	case in.inFlight <- struct{}{}:
	default:
		return refused(http.StatusTooManyRequests, "too many requests in work")
	}
	defer func() { <-in.inFlight }()
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	return handler(ctx, r, params)
}
