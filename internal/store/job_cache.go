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

// JobCache is a node's copy of the live jobs, from which it answers its users.
// It is never used as it is: a request waits for a refresh that begins after the
// request came, so that the answer is as new as the key-value store was then. All
// requests that come meanwhile share the next refresh, and the cost of polls does
// not grow with their number.
type JobCache struct {
	client      *Client
	cancels     *cancels.Log
	requests    chan chan error // each with the channel that gets the refresh's result
	minInterval time.Duration

	mu       sync.RWMutex
	jobs     map[wire.JobID]CachedJob
	revision wire.Revision
}

// CachedJob is what the cache holds of a job.
type CachedJob struct {
	Status   wire.Status
	Revision wire.Revision
	// err is why the job's record can't be decoded, if it can't.
	err error
}

const (
	// refreshTimeout bounds one refresh; a user waits two seconds in all. An open watch
	// hangs in an outage, and so may this.
	refreshTimeout = 1200 * time.Millisecond
	// refreshShare is the reciprocal of what the refreshes of all nodes together take
	// of the service's rate at most: a quarter.
	refreshShare = 4
	// requestBuffer spares requests a wait for the goroutine of Run.
	requestBuffer = 64
)

// NewJobCache returns an empty cache for one of so many nodes, under the service's limit
// of requests per second.
func NewJobCache(client *Client, cancelled *cancels.Log, rps float64, nodes int) *JobCache {
	refreshesPerSecond := max(1, rps/refreshShare) // of all nodes
	return &JobCache{
		client:      client,
		cancels:     cancelled,
		requests:    make(chan chan error, requestBuffer),
		minInterval: time.Duration(float64(time.Second) * float64(max(1, nodes)) / refreshesPerSecond),
		jobs:        map[wire.JobID]CachedJob{},
	}
}

// Run refreshes the cache for those that wait for it, until the context ends.
func (c *JobCache) Run(ctx context.Context) {
	var waiting []chan error
	var lastRefresh time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-c.requests:
			waiting = append(waiting[:0], reply)
		}
		if !c.awaitInterval(ctx, lastRefresh) {
			return
		}
		waiting = c.appendRequests(waiting)
		lastRefresh = time.Now()
		err := c.refresh(ctx)
		for _, reply := range waiting {
			reply <- err
		}
	}
}

// awaitInterval waits until the next refresh may begin; it reports whether the context
// still holds then.
func (c *JobCache) awaitInterval(ctx context.Context, lastRefresh time.Time) bool {
	wait := c.minInterval - time.Since(lastRefresh)
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

// appendRequests appends the requests that have come by now.
func (c *JobCache) appendRequests(waiting []chan error) []chan error {
	for {
		select {
		case reply := <-c.requests:
			waiting = append(waiting, reply)
		default:
			return waiting
		}
	}
}

// refresh brings the cache up to date: by the changes since the last refresh, or, at
// first and where these are no longer kept, by a list of all jobs.
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

// put adds a record, unless a newer one of the job is known: a list of several pages may
// be newer than the revision that the next refresh starts from.
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

// Get returns what is known of a live job as of now. The error is ErrNotFound where there
// is none.
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
	reply := make(chan error, 1)
	select {
	case c.requests <- reply:
	case <-ctx.Done():
		return cachedGetFailed(id, ErrRefused)
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return cachedGetFailed(id, ErrRefused)
	}
}

func cachedGetFailed(id wire.JobID, cause error) error {
	return &OpError{Op: opGet, Key: JobKey(id), Err: cause}
}
