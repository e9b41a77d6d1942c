package intake

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// taskCountLifetime is how long a count is shown before it is read again.
	taskCountLifetime = 2 * time.Second
	// taskCountShare is the share of the store's request rate that all nodes
	// together spend on counts; minTaskCountRate, in reads a second, keeps the
	// counts up to date under low limits.
	taskCountShare   = 0.15
	minTaskCountRate = 0.5
	// maxTaskCounts bounds the counts that are remembered, of some 100 bytes each.
	maxTaskCounts = 8192
)

// taskCount is how many tasks of a job were done and running at a time.
type taskCount struct {
	done, running int
	readAt        time.Time
}

// taskCounts remembers the task counts of jobs. Counts are for display, so they
// are read at a small rate and may be somewhat old. It is safe for concurrent use.
type taskCounts struct {
	store *store.Client
	reads *rate.Limiter

	mu    sync.Mutex
	byJob map[wire.JobID]taskCount
}

// newTaskCounts returns an empty taskCounts of one node. The store's limit, in
// requests a second, is shared by the given number of nodes.
func newTaskCounts(client *store.Client, storeRPS float64, nodes int) *taskCounts {
	limit := max(minTaskCountRate, storeRPS*taskCountShare/float64(max(1, nodes)))
	return &taskCounts{
		store: client,
		byJob: map[wire.JobID]taskCount{},
		reads: rate.NewLimiter(rate.Limit(limit), max(1, int(limit))),
	}
}

// get returns the last count of a job and whether it need not be read again yet.
func (c *taskCounts) get(id wire.JobID) (last taskCount, fresh bool) {
	c.mu.Lock()
	last, known := c.byJob[id]
	c.mu.Unlock()
	return last, known && time.Since(last.readAt) < taskCountLifetime
}

// put remembers the count of a job.
func (c *taskCounts) put(id wire.JobID, count taskCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byJob) >= maxTaskCounts {
		clear(c.byJob)
	}
	c.byJob[id] = count
}

// count returns the task count of a job: the last one, zero if there is none,
// where it need not or can't be read again now.
func (c *taskCounts) count(ctx context.Context, id wire.JobID) taskCount {
	last, fresh := c.get(id)
	if fresh || !c.reads.Allow() {
		return last
	}
	entries, _, err := c.store.List(ctx, store.ClassUser, store.ProgressPrefix+string(id)+"/")
	if err != nil {
		return last
	}
	count := taskCount{readAt: time.Now()}
	count.done, count.running = store.CountTasks(entries)
	c.put(id, count)
	return count
}
