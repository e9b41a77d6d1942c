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
// request came, so that the answer is as new as the state service was then. All
// requests that come meanwhile share the next refresh, and the cost of polls does
// not grow with their number.
type JobCache struct {
	client      *Client
	cancels     *cancels.Log
	requests    chan chan error
	minInterval time.Duration

	mu       sync.RWMutex
	jobs     map[wire.JobID]CachedJob
	revision wire.Revision
}

// CachedJob is what the cache holds of a job.
type CachedJob struct {
	Status   wire.Status
	Revision wire.Revision
	// err: there is a job, but its record can't be decoded.
	err error
}

// refreshTimeout bounds one refresh; a user waits two seconds in all. An open watch
// hangs in an outage, and so may this.
const refreshTimeout = 1200 * time.Millisecond

// refreshShare: the refreshes of all nodes together take a quarter of the
// service's rate at most.
const refreshShare = 4

// requestBuffer spares requests a wait for the cache's actor.
const requestBuffer = 64

// NewJobCache makes an empty cache for one of so many nodes, under the service's
// limit of requests a second.
func NewJobCache(c *Client, cancelled *cancels.Log, rps float64, size int) *JobCache {
	return &JobCache{client: c, cancels: cancelled, requests: make(chan chan error, requestBuffer), jobs: map[wire.JobID]CachedJob{},
		minInterval: time.Duration(float64(time.Second) * float64(max(1, size)) / max(1, rps/refreshShare))}
}

// Run owns the cache until the context ends.
func (c *JobCache) Run(ctx context.Context) {
	var waiting []chan error
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-c.requests:
			waiting = append(waiting[:0], a)
		}
		if wait := c.minInterval - time.Since(last); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		for more := true; more; {
			select {
			case a := <-c.requests:
				waiting = append(waiting, a)
			default:
				more = false
			}
		}
		last = time.Now()
		err := c.refresh(ctx)
		for _, a := range waiting {
			a <- err
		}
	}
}

// refresh brings the cache up to date.
func (c *JobCache) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	began := time.Now()
	if c.revision > 0 {
		ch, err := c.client.changesForUser(ctx, JobPrefix, c.revision, refreshTimeout)
		if err == nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			for _, n := range ch.Events {
				if n.Delete != "" {
					delete(c.jobs, wire.JobID(n.Delete[len(JobPrefix):]))
				} else {
					c.put(n.Put, n.Value, n.Revision)
				}
			}
			c.revision = max(c.revision, ch.Revision)
			c.cancels.RecordRead(began)
			return nil
		}
		if !errors.Is(err, ErrTooOld) {
			return err
		}
	}
	entries, rev, err := c.client.List(ctx, User, JobPrefix)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.jobs)
	for _, e := range entries {
		c.put(e.Key, e.Value, e.Revision)
	}
	c.revision = rev
	c.cancels.RecordRead(began)
	return nil
}

// put takes in a record. A list of several pages may be newer than the
// revision that the next refresh starts from.
func (c *JobCache) put(key string, v wire.Raw, stamp wire.Revision) {
	id := wire.JobID(strings.TrimPrefix(key, JobPrefix))
	rec, err := DecodeJob(key, v)
	if err == nil {
		rec.LogCancellation(c.cancels)
	}
	if stamp >= c.jobs[id].Revision {
		c.jobs[id] = CachedJob{rec.Status, stamp, err}
	}
}

// Get tells what is known of a live job as of now; ErrMissing if there is
// none.
func (c *JobCache) Get(ctx context.Context, id wire.JobID) (CachedJob, error) {
	reply := make(chan error, 1)
	select {
	case c.requests <- reply:
	case <-ctx.Done():
		return CachedJob{}, ErrRefused
	}
	select {
	case err := <-reply:
		if err != nil {
			return CachedJob{}, err
		}
	case <-ctx.Done():
		return CachedJob{}, ErrRefused
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	l, ok := c.jobs[id]
	if !ok {
		return CachedJob{}, ErrMissing
	}
	return l, l.err
}
