// Package intake is the users' side of a node: submissions, polls and
// cancellations, on any node, whether it leads or not. What it says of a job
// comes from the state service; only final states are remembered. What can't be
// served is refused at once, with Retry-After.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
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
	// requestTimeout ends before the 2 s for which users wait for a response.
	requestTimeout = 1800 * time.Millisecond
	// retryAfterS is in how many seconds a refused user should come back.
	retryAfterS = 1
	// minInFlight and maxInFlight bound the requests in work: what waits among
	// them waits for the state service, which takes milliseconds. socketsPerRequest
	// keeps them few beside the connections of workers.
	minInFlight       = 8
	maxInFlight       = 48
	socketsPerRequest = 20
	// firstCommitRetry and lastCommitRetry are the pauses, doubling, before a
	// change is tried again that was refused for the rate alone.
	firstCommitRetry = 50 * time.Millisecond
	lastCommitRetry  = 200 * time.Millisecond
)

// Operation names a kind of users' request, for logs and metrics.
type Operation string

// The operations.
const (
	Submit Operation = "submit"
	Poll   Operation = "poll"
	Cancel Operation = "cancel"
)

// Intake answers users.
type Intake struct {
	settings *config.Settings
	store    *store.Client
	jobs     *store.JobCache
	cancels  *cancels.Log
	flavors  func() []wire.MachineSpec
	log      *slog.Logger
	// inFlight holds the requests in work; when it is full, more are refused.
	inFlight chan struct{}
	finals   finalStates
	counts   taskCounts
	// Observe is told of every answer, for the metrics.
	Observe func(op Operation, status int, took time.Duration)
	// Undecodable is told of records that can't be decoded.
	Undecodable *undecodable.Log
}

// New makes an intake. flavors gives the machine types, nil while they are not
// known.
func New(settings *config.Settings, st *store.Client, cancelled *cancels.Log, flavors func() []wire.MachineSpec, log *slog.Logger) *Intake {
	limits := settings.State.Least()
	inFlight := max(minInFlight, min(maxInFlight, settings.Limits.FDLimit/socketsPerRequest))
	return &Intake{
		settings: settings,
		store:    st,
		jobs:     store.NewJobCache(st, cancelled, limits.RPS, settings.Size),
		cancels:  cancelled,
		flavors:  flavors,
		log:      log,
		inFlight: make(chan struct{}, inFlight),
		counts:   newTaskCounts(limits.RPS, settings.Size),
		Observe:  func(Operation, int, time.Duration) {},
	}
}

// Run keeps the cache that polls are answered from until the context ends.
func (in *Intake) Run(ctx context.Context) { in.jobs.Run(ctx) }

// Routes adds the users' paths.
func (in *Intake) Routes(r *httprouter.Router) {
	r.POST("/v1/jobs", in.bounded(Submit, in.submit))
	r.GET("/v1/jobs/:id", in.bounded(Poll, in.poll))
	r.POST("/v1/jobs/:id/cancel", in.bounded(Cancel, in.cancel))
}

// answer of a request; retryS is set where the user should come back.
type answer struct {
	status int
	body   any
	retryS int
}

// refusal is an answer for now: the user comes back.
func refusal(status int, reason string) answer {
	return answer{status: status, body: wire.ErrorBody{Error: reason}, retryS: retryAfterS}
}

// rejection is an answer for good.
func rejection(status int, reason string) answer {
	return answer{status: status, body: wire.ErrorBody{Error: reason}}
}

// summary tells a job's status.
func summary(id wire.JobID, status wire.Status) answer {
	return answer{status: http.StatusOK, body: wire.JobSummary{ID: id, Status: status}}
}

var (
	unavailable = refusal(http.StatusServiceUnavailable, "state service not available")
	noSuchJob   = rejection(http.StatusNotFound, "no such job")
)

type handler func(ctx context.Context, r *http.Request, p httprouter.Params) answer

// bounded runs a handler within the bounds on time and on requests in work.
func (in *Intake) bounded(op Operation, h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		begin := time.Now()
		var a answer
		select {
		case in.inFlight <- struct{}{}:
			ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
			a = h(ctx, r, p)
			cancel()
			<-in.inFlight
		default:
			a = refusal(http.StatusTooManyRequests, "too many requests in work")
		}
		in.write(w, op, a)
		in.Observe(op, a.status, time.Since(begin))
	}
}

// write sends an answer.
func (in *Intake) write(w http.ResponseWriter, op Operation, a answer) {
	if a.status == http.StatusRequestEntityTooLarge || a.status == http.StatusServiceUnavailable && !in.store.Reachable() {
		// A user whose connection is here would come back here: on a new one the
		// load balancer may choose a node that can answer.
		w.Header().Set("Connection", "close")
	}
	if a.retryS > 0 {
		in.log.Debug("refuses", "op", op, "status", a.status, "body", a.body)
		wire.RefuseRetryable(w, a.status, a.body.(wire.ErrorBody).Error, a.retryS)
		return
	}
	wire.Answer(w, a.status, a.body)
}

// commit executes a user's change. A refusal for the rate alone passes within
// a fraction of a second, so it is tried again a few times, well within the
// time in which users expect an answer; everything else is answered at once.
func (in *Intake) commit(ctx context.Context, txn wire.Txn) error {
	for pause := firstCommitRetry; ; pause *= 2 {
		_, err := in.store.Commit(ctx, store.User, txn)
		if !errors.Is(err, store.ErrBusy) || pause > lastCommitRetry {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause + rand.N(pause/2)):
		}
	}
}

// confirm remembers a state that a user is about to be told. A cancellation is
// added to the log before, so that this node's updates to the others cover it.
func (in *Intake) confirm(s wire.JobState) {
	if s.Status == wire.Cancelled {
		in.cancels.Add(s.ID, 0)
	}
	in.finals.put(s)
}

// state reads a job's state: the live record first, then the final one.
func (in *Intake) state(ctx context.Context, id wire.JobID) (wire.JobState, error) {
	if s, ok := in.finals.get(id); ok {
		return s, nil
	}
	job, err := in.jobs.Get(ctx, id)
	if err == nil {
		s := wire.JobState{ID: id, Status: job.Status}
		in.confirm(s)
		return s, nil
	}
	if !errors.Is(err, store.ErrMissing) {
		return wire.JobState{}, err
	}
	e, err := in.store.Get(ctx, store.User, store.FinalKey(id))
	if err != nil {
		return wire.JobState{}, err
	}
	var rec store.FinalRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		in.Undecodable.Note(store.FinalKey(id), err)
		return wire.JobState{}, err
	}
	s := wire.JobState{ID: id, Status: rec.Status, Done: rec.Done}
	in.finals.put(s)
	return s, nil
}
