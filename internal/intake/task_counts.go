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
	// taskCountLifetime is how long a count is reported before it is read again.
	taskCountLifetime = 2 * time.Second
	// taskCountRateShare is the share of the store's rate limit that all nodes together
	// spend on reads of task counts. minTaskCountRPS, the least number of reads per second
	// of a node, keeps the counts up to date if the store's limit is low.
	taskCountRateShare = 0.15
	minTaskCountRPS    = 0.5
	// maxTaskCounts bounds the number of counts that are remembered. A count takes some
	// 100 bytes.
	maxTaskCounts = 8192
)

// taskCount is how many tasks of a job were done and running at readAt.
type taskCount struct {
	done, running int
	readAt        time.Time
}

// taskCounts remembers the task counts of jobs. Counts are for display, so they are read
// at a low rate and may be somewhat old. It is safe for concurrent use.
type taskCounts struct {
	store       *store.Client
	readLimiter *rate.Limiter

	mu    sync.Mutex
	byJob map[wire.JobID]taskCount
}

// newTaskCounts returns an empty taskCounts. The number of nodes is how many share the
// store's limit of storeRPS requests per second.
func newTaskCounts(client *store.Client, storeRPS float64, nodes int) *taskCounts {
	limit := max(minTaskCountRPS, storeRPS*taskCountRateShare/float64(max(1, nodes)))
	return &taskCounts{
		store:       client,
		byJob:       map[wire.JobID]taskCount{},
		readLimiter: rate.NewLimiter(rate.Limit(limit), max(1, int(limit))),
	}
}

// get returns the last count of a job and whether it is fresh, which means read less than
// taskCountLifetime ago.
func (c *taskCounts) get(id wire.JobID) (last taskCount, fresh bool) {
	c.mu.Lock()
	last, known := c.byJob[id]
	c.mu.Unlock()
	return last, known && time.Since(last.readAt) < taskCountLifetime
}

// put remembers the count of a job. If too many are remembered, it drops all others.
func (c *taskCounts) put(id wire.JobID, count taskCount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byJob) >= maxTaskCounts {
		clear(c.byJob)
	}
	c.byJob[id] = count
}

// getOrRead returns the task count of a job as read from the store. If the last count is
// fresh, the rate limit allows no read now, or the read fails, it returns the last count
// instead, which is zero if there is none.
func (c *taskCounts) getOrRead(ctx context.Context, id wire.JobID) taskCount {
	last, fresh := c.get(id)
	if fresh || !c.readLimiter.Allow() {
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
