// Package intake is the users' side of a node: submissions, polls and
// cancellations, on any node, whether it leads or not. What it says of a job
// comes from the state service; only final states are remembered.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// Intake answers users.
type Intake struct {
	set     *config.Settings
	store   *store.Client
	live    *store.Copy
	cancels *cancels.Log
	flavors func() []wire.MachineSpec
	log     *slog.Logger
	// stage holds the requests in work; a full stage refuses at once.
	stage  chan struct{}
	finals finals
	counts counts
	// Observe is told of every answer, for the metrics.
	Observe func(op string, status int, took time.Duration)
	// Undecodable is told of records that can\'t be decoded.
	Undecodable *undecodable.Log
}

// New makes an intake. The stage is small: what waits in it waits for the
// state service, which takes milliseconds.
func New(set *config.Settings, st *store.Client, cancelled *cancels.Log, flavors func() []wire.MachineSpec, log *slog.Logger) *Intake {
	return &Intake{
		set: set, store: st, live: store.NewCopy(st, cancelled, set.State.Least().RPS, set.Size), cancels: cancelled, flavors: flavors, log: log,
		counts:  newCounts(set),
		stage:   make(chan struct{}, max(8, min(48, set.Limits.FDLimit/20))),
		Observe: func(string, int, time.Duration) {},
	}
}

// Run keeps the copy that polls are answered from until the context ends.
func (in *Intake) Run(ctx context.Context) { in.live.Run(ctx) }

// commit executes a user's change. A refusal for the rate alone passes within
// a fraction of a second, so it is tried again a few times, well within the
// time in which users expect an answer; everything else is answered at once.
func (in *Intake) commit(ctx context.Context, txn wire.Txn) error {
	for wait := 50 * time.Millisecond; ; wait *= 2 {
		_, err := in.store.Commit(ctx, store.User, txn)
		if !errors.Is(err, store.ErrBusy) || wait > 200*time.Millisecond {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait + rand.N(wait/2)):
		}
	}
}

// counts remembers how many tasks of a job run and are done. They are for
// display, so they are read at a small rate and may be somewhat old.
type counts struct {
	mu     sync.Mutex
	of     map[wire.JobID]count
	budget *rate.Limiter
}

type count struct {
	done, running int
	at            time.Time
}

// countsFor is how long a count is shown without a new look.
const countsFor = 2 * time.Second

func newCounts(set *config.Settings) counts {
	per := max(0.5, set.State.Least().RPS*0.15/float64(max(1, set.Size)))
	return counts{of: map[wire.JobID]count{}, budget: rate.NewLimiter(rate.Limit(per), max(1, int(per)))}
}

func (in *Intake) count(ctx context.Context, id wire.JobID) count {
	k := &in.counts
	k.mu.Lock()
	c, known := k.of[id]
	k.mu.Unlock()
	if known && time.Since(c.at) < countsFor || !k.budget.Allow() {
		return c
	}
	entries, _, err := in.store.List(ctx, store.User, store.RunPrefix+string(id)+"/")
	if err != nil {
		return c
	}
	c = count{at: time.Now()}
	c.done, c.running = store.CountAll(entries)
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.of) >= finalsMost {
		clear(k.of)
	}
	k.of[id] = c
	return c
}

// finals remembers final states, which never change; two generations bound
// its size.
type finals struct {
	sync.Mutex
	young, old map[wire.JobID]wire.JobState
}

const finalsMost = 8192

func (f *finals) get(id wire.JobID) (wire.JobState, bool) {
	f.Lock()
	defer f.Unlock()
	s, ok := f.young[id]
	if !ok {
		s, ok = f.old[id]
	}
	return s, ok
}

func (f *finals) put(s wire.JobState) {
	if !s.Status.Final() {
		return
	}
	f.Lock()
	defer f.Unlock()
	if f.young == nil || len(f.young) >= finalsMost {
		f.young, f.old = map[wire.JobID]wire.JobState{}, f.young
	}
	f.young[s.ID] = s
}

// confirm remembers a state that a user is about to be told. A cancellation is
// noted before, so that this node's word to the others covers it.
func (in *Intake) confirm(s wire.JobState) {
	if s.Status == wire.Cancelled {
		in.cancels.Add(s.ID, 0)
	}
	in.finals.put(s)
}

// Routes adds the users' paths.
func (in *Intake) Routes(r *httprouter.Router) {
	r.POST("/v1/jobs", in.staged("submit", in.submit))
	r.GET("/v1/jobs/:id", in.staged("poll", in.poll))
	r.POST("/v1/jobs/:id/cancel", in.staged("cancel", in.cancel))
}

type handler func(ctx context.Context, r *http.Request, p httprouter.Params) answer

// answer of a request; retryS is set where the user should come back.
type answer struct {
	status int
	body   any
	retryS int
}

func refusal(status int, reason string) answer {
	return answer{status: status, body: wire.Reason{Error: reason}, retryS: 1}
}

var unavailable = refusal(http.StatusServiceUnavailable, "state service not available")

func (in *Intake) staged(op string, h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		begin := time.Now()
		var a answer
		select {
		case in.stage <- struct{}{}:
			ctx, cancel := context.WithTimeout(r.Context(), 1800*time.Millisecond)
			a = h(ctx, r, p)
			cancel()
			<-in.stage
		default:
			a = refusal(http.StatusTooManyRequests, "too many requests in work")
		}
		if a.status == http.StatusRequestEntityTooLarge || a.status == http.StatusServiceUnavailable && !in.store.Reachable() {
			// A user whose connection is here would come back here: on a new
			// one the load balancer may choose a node that can answer.
			w.Header().Set("Connection", "close")
		}
		if a.retryS > 0 {
			in.log.Debug("refuses", "op", op, "status", a.status, "body", a.body)
			wire.Refuse(w, a.status, a.body.(wire.Reason).Error, a.retryS)
		} else {
			wire.Answer(w, a.status, a.body)
		}
		in.Observe(op, a.status, time.Since(begin))
	}
}

func (in *Intake) submit(ctx context.Context, r *http.Request, _ httprouter.Params) answer {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	if errors.Is(err, wire.ErrTooLarge) {
		return answer{status: http.StatusRequestEntityTooLarge, body: wire.Reason{Error: err.Error()}}
	}
	if err != nil {
		return answer{status: http.StatusBadRequest, body: wire.Reason{Error: "body not readable"}}
	}
	spec, err := wire.DecodeSpec(raw)
	if err != nil {
		var fe wire.FieldError
		errors.As(err, &fe)
		in.log.Info("refuses a malformed submission", "err", err)
		return answer{status: http.StatusBadRequest, body: wire.Reason{Error: fe.Reason, Field: fe.Field}}
	}
	if s, ok := in.finals.get(spec.ID); ok {
		return answer{status: http.StatusOK, body: wire.JobSummary{ID: s.ID, Status: s.Status}}
	}
	if why, sure := in.never(&spec); why != "" {
		// A job that was accepted stays so, whatever is offered now.
		if s, err := in.state(ctx, spec.ID); err == nil {
			return answer{status: http.StatusOK, body: wire.JobSummary{ID: s.ID, Status: s.Status}}
		} else if !errors.Is(err, store.ErrMissing) {
			return unavailable
		}
		if !sure {
			return refusal(http.StatusServiceUnavailable, why)
		}
		in.log.Info("refuses a job that can never run", "job", spec.ID, "why", why)
		return answer{status: http.StatusUnprocessableEntity, body: wire.Reason{Error: why}}
	}
	rec := store.JobRecord{Spec: spec, Status: wire.Queued, At: wire.TimestampOf(time.Now()), Chunk: store.ChunkFor(in.set.State.Least().ValueKB)}
	err = in.commit(ctx, wire.Txn{
		Guards: []wire.Guard{{Key: store.JobKey(spec.ID), Revision: 0}, {Key: store.PastKey(spec.ID), Revision: 0}},
		Writes: []wire.Write{{Put: store.JobKey(spec.ID), Value: wire.Encode(rec)}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		in.log.Info("accepts", "job", spec.ID, "lane", spec.Class, "parts", spec.Tasks)
		return answer{status: http.StatusCreated, body: wire.JobSummary{ID: spec.ID, Status: wire.Queued}}
	case errors.As(err, &conflict):
		s, err := in.state(ctx, spec.ID)
		if err != nil {
			return unavailable
		}
		return answer{status: http.StatusOK, body: wire.JobSummary{ID: s.ID, Status: s.Status}}
	case errors.Is(err, store.ErrInvalid):
		// Its record is over the limit of a value, and will be. But it may have
		// been accepted while more was allowed, and then it stays so.
		if s, err := in.state(ctx, spec.ID); err == nil {
			return answer{status: http.StatusOK, body: wire.JobSummary{ID: s.ID, Status: s.Status}}
		} else if !errors.Is(err, store.ErrMissing) {
			return unavailable
		}
		in.log.Info("refuses a job that can't be stored", "job", spec.ID)
		return answer{status: http.StatusUnprocessableEntity, body: wire.Reason{Error: "too large to be stored"}}
	default:
		return unavailable
	}
}

// never says why a job can never run, and whether that is sure.
func (in *Intake) never(s *wire.Spec) (why string, sure bool) {
	team, ok := in.set.Team(s.Team)
	if !ok {
		return "unknown team", true
	}
	n := float64(s.MinTogether())
	if team.CPUsMax > 0 && n*s.CPUs > team.CPUsMax+wire.Eps || team.GPUsMax > 0 && n*s.GPUs > team.GPUsMax+wire.Eps {
		return "needs more than the team's limit", true
	}
	if !in.storable(&store.JobRecord{Spec: *s, Status: wire.Cancelled, At: wire.TimestampOf(time.Now()), Ended: wire.TimestampOf(time.Now()), Chunk: store.ChunkSize}) {
		return "too large to be stored", true
	}
	fs := in.flavors()
	if fs == nil {
		return "machine types not known yet", false
	}
	for i := range fs {
		if fs[i].Fits(s) {
			return "", true
		}
	}
	return "a task fits no allowed machine type", true
}

// storable tells whether the state service takes a job's record, now and under
// the limits to come. A job is judged as it is when cancelled, which takes most.
func (in *Intake) storable(rec *store.JobRecord) bool {
	return wire.JSONSize(rec) <= int(in.set.State.Least().ValueKB*1024)
}

// state reads a job's state: the live record first, then the final one.
func (in *Intake) state(ctx context.Context, id wire.JobID) (wire.JobState, error) {
	if s, ok := in.finals.get(id); ok {
		return s, nil
	}
	l, err := in.live.Get(ctx, id)
	if err == nil {
		s := wire.JobState{ID: id, Status: l.Status}
		in.confirm(s)
		return s, nil
	}
	if !errors.Is(err, store.ErrMissing) {
		return wire.JobState{}, err
	}
	e, err := in.store.Get(ctx, store.User, store.PastKey(id))
	if err != nil {
		return wire.JobState{}, err
	}
	var rec store.PastRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		in.Undecodable.Note(store.PastKey(id), err)
		return wire.JobState{}, err
	}
	s := wire.JobState{ID: id, Status: rec.Status, Done: rec.Done}
	in.finals.put(s)
	return s, nil
}

func (in *Intake) poll(ctx context.Context, _ *http.Request, p httprouter.Params) answer {
	id := wire.JobID(p.ByName("id"))
	if !id.Valid() {
		return answer{status: http.StatusNotFound, body: wire.Reason{Error: "no such job"}}
	}
	s, err := in.state(ctx, id)
	switch {
	case errors.Is(err, store.ErrMissing):
		return answer{status: http.StatusNotFound, body: wire.Reason{Error: "no such job"}}
	case err != nil:
		return unavailable
	}
	if s.Status == wire.Queued {
		c := in.count(ctx, id)
		// While that took its time this node may have told that the job is over.
		if f, ok := in.finals.get(id); ok {
			return answer{status: http.StatusOK, body: f}
		}
		s.Done, s.Running = c.done, c.running
		if s.Running > 0 {
			s.Status = wire.Running
		}
	}
	return answer{status: http.StatusOK, body: s}
}

func (in *Intake) cancel(ctx context.Context, r *http.Request, p httprouter.Params) answer {
	if _, err := wire.ReadBody(r.Body, wire.MaxBody); errors.Is(err, wire.ErrTooLarge) {
		return answer{status: http.StatusRequestEntityTooLarge, body: wire.Reason{Error: err.Error()}}
	}
	id := wire.JobID(p.ByName("id"))
	if !id.Valid() {
		return answer{status: http.StatusNotFound, body: wire.Reason{Error: "no such job"}}
	}
	bare := false
	for range 4 {
		if s, ok := in.finals.get(id); ok {
			return answer{status: http.StatusOK, body: wire.JobSummary{ID: id, Status: s.Status}}
		}
		e, err := in.store.Get(ctx, store.User, store.JobKey(id))
		if errors.Is(err, store.ErrMissing) {
			s, err := in.state(ctx, id)
			switch {
			case errors.Is(err, store.ErrMissing):
				return answer{status: http.StatusNotFound, body: wire.Reason{Error: "no such job"}}
			case err != nil:
				return unavailable
			case s.Status.Final():
				return answer{status: http.StatusOK, body: wire.JobSummary{ID: id, Status: s.Status}}
			}
			continue // submitted between the two reads
		}
		if err != nil {
			return unavailable
		}
		rec, err := store.DecodeJob(store.JobKey(id), e.Value)
		if err != nil {
			in.Undecodable.Note(store.JobKey(id), err)
			return unavailable
		}
		if rec.Status == wire.Cancelled {
			in.confirm(wire.JobState{ID: id, Status: wire.Cancelled})
			continue
		}
		rec.Status, rec.Ended = wire.Cancelled, wire.TimestampOf(time.Now())
		// The record just fitted without its end, or under former limits. Nothing
		// of the job is placed any more, so it can do without its list of types.
		if bare || !in.storable(&rec) {
			rec.Spec.MachineTypes = nil
			if !in.storable(&rec) {
				rec.Spec.Class, rec.Spec.Image = "", "" // nor its names of 120 bytes, each of which may be escaped
			}
		}
		err = in.commit(ctx, wire.Txn{
			Guards: []wire.Guard{{Key: store.JobKey(id), Revision: e.Revision}},
			Writes: []wire.Write{{Put: store.JobKey(id), Value: wire.Encode(rec)}},
		})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			in.log.Info("cancelled by its user", "job", id)
			in.confirm(wire.JobState{ID: id, Status: wire.Cancelled})
			return answer{status: http.StatusOK, body: wire.JobSummary{ID: id, Status: wire.Cancelled}}
		case errors.As(err, &conflict):
			continue // done or cancelled meanwhile
		case errors.Is(err, store.ErrInvalid) && !bare:
			bare = true
		default:
			return unavailable
		}
	}
	return unavailable
}
