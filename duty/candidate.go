package duty

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Timing of a lease.
type Timing struct {
	// TTL is how long the lease stays taken when its holder is gone.
	TTL time.Duration
	// RenewEvery is the pause between renewals; a failed one is repeated after a
	// third of it.
	RenewEvery time.Duration
	// RenewTimeout bounds one try of a renewal.
	RenewTimeout time.Duration
	// Poll is how often the others read who holds the lease, with up to PollJitter
	// more.
	Poll       time.Duration
	PollJitter time.Duration
	// Margin is how much earlier than the lease can end its holder stops, for the
	// time that the process needs to be scheduled, beyond the clocks' drift.
	Margin time.Duration
	// Drift of two clocks against each other, as a part of the time.
	Drift float64
}

// Validate names what can't work.
func (t Timing) Validate() error {
	var errs []error
	positive := func(name string, d time.Duration) {
		if d <= 0 {
			errs = append(errs, fmt.Errorf("%s: must be above 0", name))
		}
	}
	positive("life", t.TTL)
	positive("renew_every", t.RenewEvery)
	positive("renew_timeout", t.RenewTimeout)
	positive("poll", t.Poll)
	if t.Drift < 0 || t.Drift >= 1 {
		errs = append(errs, errors.New("drift: must be from 0 to below 1"))
	}
	if t.reserve()+t.RenewEvery >= t.TTL {
		errs = append(errs, errors.New("life: leaves no time between a renewal and its end"))
	}
	return errors.Join(errs...)
}

// reserve is how much earlier than the lease its holder stops.
func (t Timing) reserve() time.Duration {
	return t.Margin + time.Duration(t.Drift*float64(t.TTL))
}

// SafeTTL is for how long a lease is surely held after the request for it, or for its
// renewal, was sent.
func (t Timing) SafeTTL() time.Duration { return t.TTL - t.reserve() }

// Options of a candidate. Key, Node and Store are needed.
type Options struct {
	Key    string // of the lease in the state service
	Node   NodeID
	Store  Store
	Timing Timing
	Clock  Clock        // nil: the machine's own
	Log    *slog.Logger // nil: none
	// ObserveToken is told every token that is seen.
	ObserveToken func(context.Context, FencingToken)
	// Eligible tells whether this process may take the lease now; nil: always.
	Eligible func() bool
	// Observe is told of what is decided.
	Observe Observer
	// Undecodable is told of a record that can't be decoded.
	Undecodable func(key string, err error)
}

// Candidate campaigns for a lease on behalf of one process.
type Candidate struct {
	Options
	// nonce tells this process from earlier ones of the same node.
	nonce  string
	holder atomic.Pointer[observedHolder]
	// notBefore: until then this node leaves the lease to others. It is used by the
	// goroutine that campaigns and holds the lease alone.
	notBefore time.Time
}

// observedHolder is the node that held the lease when the state service was last
// read.
type observedHolder struct {
	node NodeID
	at   time.Time
}

// NewCandidate makes the candidate of a process.
func NewCandidate(o Options) *Candidate {
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.ObserveToken == nil {
		o.ObserveToken = func(context.Context, FencingToken) {}
	}
	if o.Eligible == nil {
		o.Eligible = func() bool { return true }
	}
	if o.Observe == nil {
		o.Observe = func(Event) {}
	}
	if o.Undecodable == nil {
		o.Undecodable = func(string, error) {}
	}
	return &Candidate{Options: o, nonce: rand.Text()}
}

// Holder is the other node that held the lease when the state service was last
// read, if that was less than maxAge before now; empty: none is known.
func (c *Candidate) Holder(now time.Time, maxAge time.Duration) NodeID {
	h := c.holder.Load()
	if h == nil || now.Sub(h.at) >= maxAge || h.node == c.Node {
		return ""
	}
	return h.node
}

// Observed notes that the state service named the node as the holder then.
func (c *Candidate) Observed(node NodeID, at time.Time) {
	c.holder.Store(&observedHolder{node, at})
}

// BackOffUntil leaves the lease to others until then. It is called by the goroutine
// that campaigns, while it holds the lease.
func (c *Candidate) BackOffUntil(until time.Time) { c.notBefore = until }

// Campaign waits until nobody holds the lease and takes it; nil once the context has
// ended.
func (c *Candidate) Campaign(ctx context.Context) *Lease {
	for {
		wait := c.Timing.Poll
		if c.Timing.PollJitter > 0 {
			wait += mathrand.N(c.Timing.PollJitter)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-c.Clock.After(wait):
		}
		if !c.vacant(ctx) {
			continue
		}
		c.holder.Store(nil)
		if c.Clock.Now().Before(c.notBefore) || !c.Eligible() {
			continue
		}
		if lease := c.take(ctx); lease != nil {
			return lease
		}
	}
}

// vacant reads who holds the lease and tells whether nobody does. A record that
// can't be decoded is somebody's: it is never overwritten.
func (c *Candidate) vacant(ctx context.Context) bool {
	e, err := c.Store.Get(ctx, store.Critical, c.Key)
	if err != nil {
		return errors.Is(err, ErrMissing)
	}
	c.ObserveToken(ctx, FencingToken(e.Revision))
	var rec store.LeaderRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		c.Undecodable(c.Key, err)
		return false
	}
	c.Observed(rec.Node, c.Clock.Now())
	if rec.Node != c.Node || rec.Nonce == c.nonce {
		return false
	}
	// An earlier process of this node holds the lease. It is over, since a host
	// runs one process; dropping the key makes its late writes fail.
	c.Log.Info("ends the leadership of this node's last process", "token", e.Revision)
	_, err = c.Store.Commit(ctx, store.Critical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: e.Revision}},
		Writes: []Write{{Delete: c.Key}},
	})
	return err == nil
}

// Record is the lease's key as this process writes it.
func (c *Candidate) Record() store.LeaderRecord {
	return store.LeaderRecord{Node: c.Node, Nonce: c.nonce}
}

// wrote tells whether the lease's key was written by this process under the grant.
func (c *Candidate) wrote(e Entry, grant GrantID) bool {
	var rec store.LeaderRecord
	return e.Grant == grant && wire.Decode(e.Value, &rec) == nil && rec.Nonce == c.nonce
}

// take tries once to get the lease; nil if it did not.
func (c *Candidate) take(ctx context.Context) *Lease {
	sent := c.Clock.Now()
	grant, err := c.Store.Grant(ctx, c.Timing.TTL)
	if err != nil {
		return nil
	}
	revision, err := c.Store.Commit(ctx, store.Critical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: 0}},
		Writes: []Write{{Put: c.Key, Value: wire.Encode(c.Record()), Grant: grant}},
	})
	if errors.Is(err, ErrUnknown) {
		// It may have been executed: then the key names this process and grant.
		e, readErr := c.Store.Get(ctx, store.Critical, c.Key)
		if readErr == nil && c.wrote(e, grant) {
			revision, err = e.Revision, nil
		}
	}
	if err != nil {
		// A late execution of the write is harmless without its grant.
		c.Store.EndGrant(ctx, grant) //nolint:errcheck // it ends by itself
		return nil
	}
	l := NewLease(c, Tenure{Grant: grant, Token: FencingToken(revision), TakenAt: c.Clock.Now(), HeldUntil: sent.Add(c.Timing.SafeTTL())})
	l.event(Acquired, "", "")
	return l
}
