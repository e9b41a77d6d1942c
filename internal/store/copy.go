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

// Copy is a node's copy of the live jobs, from which it answers its users. It
// is never used as it lies there: who asks waits for a look at the changes
// that begins after the question came, so that the answer is as new as the
// state service was then. All who ask meanwhile share the next look, and the
// cost of polls no longer grows with their number.
type Copy struct {
	c       *Client
	cancels *cancels.Log
	asks    chan chan error
	gap     time.Duration

	mu   sync.RWMutex
	live map[wire.JobID]Live
	rev  wire.Revision
}

// Live is what the copy holds of a job.
type Live struct {
	Status wire.Status
	Stamp  wire.Revision
	// err: there is a job, but its record can't be decoded.
	err error
}

// copyTimeout bounds one look; a user waits two seconds in all. An open watch
// hangs in an outage, and so may this.
const copyTimeout = 1200 * time.Millisecond

// NewCopy makes a copy. All nodes' looks together take a quarter of the
// service's rate at most.
func NewCopy(c *Client, cancelled *cancels.Log, rps float64, size int) *Copy {
	return &Copy{c: c, cancels: cancelled, asks: make(chan chan error, 64), live: map[wire.JobID]Live{},
		gap: time.Duration(float64(time.Second) * float64(max(1, size)) / max(1, rps/4))}
}

// Run owns the copy until the context ends.
func (y *Copy) Run(ctx context.Context) {
	var waiting []chan error
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-y.asks:
			waiting = append(waiting[:0], a)
		}
		if wait := y.gap - time.Since(last); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		for more := true; more; {
			select {
			case a := <-y.asks:
				waiting = append(waiting, a)
			default:
				more = false
			}
		}
		last = time.Now()
		err := y.look(ctx)
		for _, a := range waiting {
			a <- err
		}
	}
}

// look brings the copy up to date.
func (y *Copy) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	began := time.Now()
	if y.rev > 0 {
		ch, err := y.c.changes(ctx, User, y.c.http, JobPrefix, y.rev, 0, copyTimeout)
		if err == nil {
			y.mu.Lock()
			defer y.mu.Unlock()
			for _, n := range ch.Events {
				if n.Delete != "" {
					delete(y.live, wire.JobID(n.Delete[len(JobPrefix):]))
				} else {
					y.put(n.Put, n.Value, n.Revision)
				}
			}
			y.rev = max(y.rev, ch.Revision)
			y.cancels.RecordRead(began)
			return nil
		}
		if !errors.Is(err, ErrTooOld) {
			return err
		}
	}
	entries, rev, err := y.c.List(ctx, User, JobPrefix)
	if err != nil {
		return err
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	clear(y.live)
	for _, e := range entries {
		y.put(e.Key, e.Value, e.Revision)
	}
	y.rev = rev
	y.cancels.RecordRead(began)
	return nil
}

// put takes in a record. A list of several pages may be newer than the
// revision that the next look starts from.
func (y *Copy) put(key string, v wire.Raw, stamp wire.Revision) {
	id := wire.JobID(strings.TrimPrefix(key, JobPrefix))
	rec, err := DecodeJob(key, v)
	if err == nil {
		rec.Tell(y.cancels)
	}
	if stamp >= y.live[id].Stamp {
		y.live[id] = Live{rec.Status, stamp, err}
	}
}

// Get tells what is known of a live job as of now; ErrMissing if there is
// none.
func (y *Copy) Get(ctx context.Context, id wire.JobID) (Live, error) {
	reply := make(chan error, 1)
	select {
	case y.asks <- reply:
	case <-ctx.Done():
		return Live{}, ErrRefused
	}
	select {
	case err := <-reply:
		if err != nil {
			return Live{}, err
		}
	case <-ctx.Done():
		return Live{}, ErrRefused
	}
	y.mu.RLock()
	defer y.mu.RUnlock()
	l, ok := y.live[id]
	if !ok {
		return Live{}, ErrMissing
	}
	return l, l.err
}
