package duty

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Options configure a candidate. Key, Node, Store and Timing are required.
type Options struct {
	Key    string // of the lease in the store
	Node   NodeID
	Store  Store
	Timing Timing
	Clock  Clock        // nil: the machine's own
	Log    *slog.Logger // nil: none
	// ObserveToken, if set, receives every fencing token that is read.
	ObserveToken func(context.Context, FencingToken)
	// Eligible reports whether this process may acquire the lease now; nil: always.
	Eligible func() bool
	// Observe, if set, receives the events of the lease.
	Observe Observer
	// OnUndecodable, if set, receives the key of each record that can't be decoded.
	OnUndecodable func(key string, err error)
}

// Candidate campaigns for a lease on behalf of one process.
type Candidate struct {
	Options
	// nonce distinguishes this process from earlier ones of the same node.
	nonce  string
	holder atomic.Pointer[observedHolder]
	// backOffUntil is the time before which this node leaves the lease to others. Only the
	// goroutine that campaigns and holds the lease uses it.
	backOffUntil time.Time
}

// observedHolder is the node that held the lease when the store was last read.
type observedHolder struct {
	node NodeID
	at   time.Time
}

// NewCandidate returns the candidate of a process.
func NewCandidate(o Options) *Candidate {
	o.Clock = cmp.Or[Clock](o.Clock, SystemClock{})
	o.Log = cmp.Or(o.Log, slog.New(slog.DiscardHandler))
	return &Candidate{Options: o, nonce: rand.Text()}
}

// Holder returns the other node that held the lease when the store was last read, if that
// was less than maxAge before now; empty if none is known.
func (c *Candidate) Holder(now time.Time, maxAge time.Duration) NodeID {
	h := c.holder.Load()
	if h == nil || now.Sub(h.at) >= maxAge || h.node == c.Node {
		return ""
	}
	return h.node
}

// RecordHolder records that the store named the node as the holder at the given time.
func (c *Candidate) RecordHolder(node NodeID, at time.Time) {
	c.holder.Store(&observedHolder{node, at})
}

// BackOffUntil leaves the lease to others until the given time. It must be called by the
// goroutine that campaigns, while it holds the lease.
func (c *Candidate) BackOffUntil(until time.Time) { c.backOffUntil = until }

// Campaign waits until nobody holds the lease and acquires it. It returns nil once the
// context has ended.
func (c *Candidate) Campaign(ctx context.Context) *Lease {
	for c.waitForPoll(ctx) {
		if lease := c.campaignOnce(ctx); lease != nil {
			return lease
		}
	}
	return nil
}

// waitForPoll waits until the lease is to be read again and reports whether the context
// is still alive.
func (c *Candidate) waitForPoll(ctx context.Context) bool {
	wait := c.Timing.Poll
	if c.Timing.PollJitter > 0 {
		wait += mathrand.N(c.Timing.PollJitter)
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.Clock.After(wait):
		return true
	}
}

// campaignOnce acquires the lease if it is free and this process may have it; nil if not.
func (c *Candidate) campaignOnce(ctx context.Context) *Lease {
	if !c.leaseIsFree(ctx) {
		return nil
	}
	c.holder.Store(nil)
	if c.Clock.Now().Before(c.backOffUntil) {
		return nil
	}
	if c.Eligible != nil && !c.Eligible() {
		return nil
	}
	return c.tryAcquire(ctx)
}

// leaseIsFree reads who holds the lease and reports whether nobody does. A record that
// can't be decoded belongs to somebody: it is never overwritten.
func (c *Candidate) leaseIsFree(ctx context.Context) bool {
	entry, err := c.Store.Get(ctx, store.ClassCritical, c.Key)
	if err != nil {
		return errors.Is(err, ErrNotFound)
	}
	if c.ObserveToken != nil {
		c.ObserveToken(ctx, FencingToken(entry.Revision))
	}
	var record store.LeaderRecord
	if err := wire.Decode(entry.Value, &record); err != nil {
		c.notifyUndecodable(c.Key, err)
		return false
	}
	c.RecordHolder(record.Node, c.Clock.Now())
	if record.Node != c.Node || record.Nonce == c.nonce {
		return false
	}
	return c.removeLeaseOfEarlierProcess(ctx, entry.Revision)
}

// removeLeaseOfEarlierProcess deletes the lease's key, which an earlier process of this
// node wrote, and reports whether that succeeded. The earlier process has ended, since a
// host runs one process; deleting the key makes its late writes fail.
func (c *Candidate) removeLeaseOfEarlierProcess(ctx context.Context, revision Revision) bool {
	c.Log.Info("lease removal requested", "reason", "held by an earlier process of this node", "token", revision)
	_, err := c.Store.Commit(ctx, store.ClassCritical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: revision}},
		Writes: []Write{{DeleteKey: c.Key}},
	})
	return err == nil
}

// LeaseRecord returns the value of the lease's key as this process writes it.
func (c *Candidate) LeaseRecord() store.LeaderRecord {
	return store.LeaderRecord{Node: c.Node, Nonce: c.nonce}
}

// isOwnRecord reports whether this process wrote the lease's key under the grant.
func (c *Candidate) isOwnRecord(entry Entry, grant GrantID) bool {
	var record store.LeaderRecord
	return entry.Grant == grant && wire.Decode(entry.Value, &record) == nil && record.Nonce == c.nonce
}

// tryAcquire makes one attempt to acquire the lease; nil if it failed.
func (c *Candidate) tryAcquire(ctx context.Context) *Lease {
	requestedAt := c.Clock.Now()
	grant, err := c.Store.Grant(ctx, c.Timing.TTL)
	if err != nil {
		return nil
	}
	revision, err := c.createLeaseKey(ctx, grant)
	if err != nil {
		// A late execution of the write is harmless without its grant.
		_ = c.Store.RevokeGrant(ctx, grant) // else it expires by itself
		return nil
	}
	lease := NewLease(c, Acquisition{
		Grant:      grant,
		Token:      FencingToken(revision),
		AcquiredAt: c.Clock.Now(),
		ValidUntil: requestedAt.Add(c.Timing.SafeTTL()),
	})
	lease.emit(LeaseAcquired, "", "")
	return lease
}

// createLeaseKey writes the lease's key, bound to the grant, if there is none. An unknown
// outcome is resolved by reading the key: it then names this process and grant.
func (c *Candidate) createLeaseKey(ctx context.Context, grant GrantID) (Revision, error) {
	revision, err := c.Store.Commit(ctx, store.ClassCritical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: 0}},
		Writes: []Write{{PutKey: c.Key, Value: wire.Encode(c.LeaseRecord()), Grant: grant}},
	})
	if !errors.Is(err, ErrOutcomeUnknown) {
		return revision, err
	}
	entry, readErr := c.Store.Get(ctx, store.ClassCritical, c.Key)
	if readErr == nil && c.isOwnRecord(entry, grant) {
		return entry.Revision, nil
	}
	return 0, err
}

// emit passes an event to the observer, if there is one.
func (c *Candidate) emit(e Event) {
	if c.Observe != nil {
		c.Observe(e)
	}
}

// notifyUndecodable passes the key of an undecodable record on, if anybody asked for it.
func (c *Candidate) notifyUndecodable(key string, err error) {
	if c.OnUndecodable != nil {
		c.OnUndecodable(key, err)
	}
}
