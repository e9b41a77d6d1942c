package intake

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"golang.org/x/time/rate"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// countLifetime is how long a count of tasks is shown without a new read.
	countLifetime = 2 * time.Second
	// countShare is the part of the state service's rate that all nodes together
	// spend on counts; minCountRate (a second) keeps them alive under low limits.
	countShare   = 0.15
	minCountRate = 0.5
)

// poll answers with a job's state.
func (in *Intake) poll(ctx context.Context, _ *http.Request, p httprouter.Params) answer {
	id := wire.JobID(p.ByName("id"))
	if !id.Valid() {
		return noSuchJob
	}
	s, err := in.state(ctx, id)
	switch {
	case errors.Is(err, store.ErrMissing):
		return noSuchJob
	case err != nil:
		return unavailable
	}
	if s.Status == wire.Queued {
		c := in.count(ctx, id)
		// While that took its time this node may have told that the job is over.
		if final, ok := in.finals.get(id); ok {
			return answer{status: http.StatusOK, body: final}
		}
		s.Done, s.Running = c.done, c.running
		if s.Running > 0 {
			s.Status = wire.Running
		}
	}
	return answer{status: http.StatusOK, body: s}
}

// taskCounts remembers how many tasks of a job run and are done. They are for
// display, so they are read at a small rate and may be somewhat old.
type taskCounts struct {
	mu     sync.Mutex
	byJob  map[wire.JobID]taskCount
	budget *rate.Limiter
}

type taskCount struct {
	done, running int
	readAt        time.Time
}

// newTaskCounts shares the rate (requests a second) of the state service among
// so many nodes.
func newTaskCounts(rps float64, nodes int) taskCounts {
	limit := max(minCountRate, rps*countShare/float64(max(1, nodes)))
	return taskCounts{
		byJob:  map[wire.JobID]taskCount{},
		budget: rate.NewLimiter(rate.Limit(limit), max(1, int(limit))),
	}
}

// count counts a job's tasks; what can't be read now is as it was.
func (in *Intake) count(ctx context.Context, id wire.JobID) taskCount {
	counts := &in.counts
	counts.mu.Lock()
	c, known := counts.byJob[id]
	counts.mu.Unlock()
	if known && time.Since(c.readAt) < countLifetime || !counts.budget.Allow() {
		return c
	}
	entries, _, err := in.store.List(ctx, store.User, store.ProgressPrefix+string(id)+"/")
	if err != nil {
		return c
	}
	c = taskCount{readAt: time.Now()}
	c.done, c.running = store.CountTasks(entries)
	counts.mu.Lock()
	defer counts.mu.Unlock()
	if len(counts.byJob) >= maxFinalStates {
		clear(counts.byJob)
	}
	counts.byJob[id] = c
	return c
}
