package store

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/wire"
)

// JobCache is a node's copy of the live jobs, from which it responds to polls of its users.
// Get never returns the copy as it stands: it waits for a refresh that begins after the
// call, so that its result is as recent as a read of the key-value store at that time. All
// calls that come meanwhile share the next refresh, so the cost of polls does not grow with
// their number.
type JobCache struct {
	client             *Client
	cancels            *cancels.Log
	refreshRequests    chan chan error // each is the channel that gets the refresh's error
	minRefreshInterval time.Duration   // from one start to the next

	mu       sync.RWMutex
	jobs     map[wire.JobID]CachedJob
	revision wire.Revision
}

// CachedJob is what the cache holds of a job.
type CachedJob struct {
	Status   wire.Status
	Revision wire.Revision
	// err tells why the job's record can't be decoded; nil: it can.
	err error
}

const (
	// refreshTimeout bounds one refresh, since the store may not respond in an outage. A
	// user must get a response within two seconds in all.
	refreshTimeout = 1200 * time.Millisecond
	// refreshRateDivisor bounds the refreshes of all nodes together to a quarter of the
	// store's rate limit.
	refreshRateDivisor = 4
	// refreshRequestBuffer is the number of calls of Get that can request a refresh without
	// waiting for the goroutine of Run.
	refreshRequestBuffer = 64
)

// NewJobCache returns an empty cache for one node of a deployment with the given number of
// nodes. rps is the store's limit of requests per second, which all nodes share.
func NewJobCache(client *Client, cancelLog *cancels.Log, rps float64, nodes int) *JobCache {
	refreshesPerSecond := max(1, rps/refreshRateDivisor) // of all nodes
	return &JobCache{
		client:             client,
		cancels:            cancelLog,
		refreshRequests:    make(chan chan error, refreshRequestBuffer),
		minRefreshInterval: time.Duration(float64(time.Second) * float64(max(1, nodes)) / refreshesPerSecond),
		jobs:               map[wire.JobID]CachedJob{},
	}
}

// Run refreshes the cache for the calls of Get that wait for it, until the context ends.
func (c *JobCache) Run(ctx context.Context) {
	var waiting []chan error
	var lastRefresh time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case result := <-c.refreshRequests:
			waiting = append(waiting[:0], result)
		}
		if !c.awaitInterval(ctx, lastRefresh) {
			return
		}
		waiting = c.appendRefreshRequests(waiting)
		lastRefresh = time.Now()
		err := c.refresh(ctx)
		for _, result := range waiting {
			result <- err
		}
	}
}

// awaitInterval waits until the next refresh may begin. It returns false if the context
// ends before.
func (c *JobCache) awaitInterval(ctx context.Context, lastRefresh time.Time) bool {
	wait := c.minRefreshInterval - time.Since(lastRefresh)
	if wait <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// appendRefreshRequests appends the requests for a refresh that have come by now.
func (c *JobCache) appendRefreshRequests(waiting []chan error) []chan error {
	for {
		select {
		case result := <-c.refreshRequests:
			waiting = append(waiting, result)
		default:
			return waiting
		}
	}
}

// refresh updates the cache by the changes since the last refresh. It lists all jobs instead
// if it is the first refresh, or if the store no longer has these changes.
func (c *JobCache) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	began := time.Now()
	if c.revision > 0 {
		err := c.refreshByChanges(ctx, began)
		if !errors.Is(err, ErrCompacted) {
			return err
		}
	}
	return c.refreshByList(ctx, began)
}

func (c *JobCache) refreshByChanges(ctx context.Context, began time.Time) error {
	changes, err := c.client.changesForUser(ctx, JobPrefix, c.revision, refreshTimeout)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range changes.Events {
		if change.DeletedKey != "" {
			delete(c.jobs, wire.JobID(change.DeletedKey[len(JobPrefix):]))
		} else {
			c.put(change.PutKey, change.Value, change.Revision)
		}
	}
	c.revision = max(c.revision, changes.Revision)
	c.cancels.RecordRead(began)
	return nil
}

func (c *JobCache) refreshByList(ctx context.Context, began time.Time) error {
	entries, revision, err := c.client.List(ctx, ClassUser, JobPrefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.jobs)
	for _, entry := range entries {
		c.put(entry.Key, entry.Value, entry.Revision)
	}
	c.revision = revision
	c.cancels.RecordRead(began)
	return nil
}

// put adds the record of a job, unless the cache has a newer one. The later pages of a list may
// have newer records than the list's revision, and the next refresh reads the changes from that
// revision on, so it may return older records of the same jobs.
func (c *JobCache) put(key string, value wire.RawValue, revision wire.Revision) {
	id := wire.JobID(strings.TrimPrefix(key, JobPrefix))
	record, err := DecodeJob(key, value)
	if err == nil {
		record.LogCancellation(c.cancels)
	}
	if revision >= c.jobs[id].Revision {
		c.jobs[id] = CachedJob{Status: record.Status, Revision: revision, err: err}
	}
}

// Get returns a live job as the key-value store has it at the time of the call or later. The
// error wraps ErrNotFound if there is no such job.
func (c *JobCache) Get(ctx context.Context, id wire.JobID) (CachedJob, error) {
	if err := c.awaitRefresh(ctx, id); err != nil {
		return CachedJob{}, err
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	job, ok := c.jobs[id]
	if !ok {
		return CachedJob{}, cachedGetFailed(id, ErrNotFound)
	}
	return job, job.err
}

// awaitRefresh waits for a refresh that begins after the call, and returns its error.
func (c *JobCache) awaitRefresh(ctx context.Context, id wire.JobID) error {
	result := make(chan error, 1)
	select {
	case c.refreshRequests <- result:
	case <-ctx.Done():
		return cachedGetFailed(id, ErrRefused)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return cachedGetFailed(id, ErrRefused)
	}
}

func cachedGetFailed(id wire.JobID, cause error) error {
	return &OpError{Op: opGet, Key: JobKey(id), Err: cause}
}
