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
	Key    string // the lease's key in the store
	Node   NodeID
	Store  Store
	Timing Timing
	Clock  Clock        // nil: SystemClock
	Log    *slog.Logger // nil: nothing is logged
	// ObserveToken, if set, receives the lease's fencing token each time that a campaign
	// reads it.
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
	nonce      string
	lastHolder atomic.Pointer[observedHolder] // nil: none is known
	// backOffUntil is the time before which this process doesn't acquire the lease. Only the
	// goroutine that campaigns and holds the lease uses it.
	backOffUntil time.Time
}

// observedHolder is the node that held the lease when the store was last read.
type observedHolder struct {
	node   NodeID
	readAt time.Time
}

// NewCandidate returns the candidate of this process, which does nothing until Campaign is
// called.
func NewCandidate(o Options) *Candidate {
	o.Clock = cmp.Or[Clock](o.Clock, SystemClock{})
	o.Log = cmp.Or(o.Log, slog.New(slog.DiscardHandler))
	return &Candidate{Options: o, nonce: rand.Text()}
}

// Holder returns the node that held the lease when the store was last read. It returns
// "" if that was this node, if the read is maxAge or longer ago, or if no holder is known.
func (c *Candidate) Holder(now time.Time, maxAge time.Duration) NodeID {
	last := c.lastHolder.Load()
	if last == nil || now.Sub(last.readAt) >= maxAge || last.node == c.Node {
		return ""
	}
	return last.node
}

// RecordHolder records that the node held the lease when the store was read at the given
// time.
func (c *Candidate) RecordHolder(node NodeID, readAt time.Time) {
	c.lastHolder.Store(&observedHolder{node, readAt})
}

// BackOffUntil keeps this process from acquiring the lease again until the given time. It
// must be called by the goroutine that campaigns, while it holds the lease.
func (c *Candidate) BackOffUntil(until time.Time) { c.backOffUntil = until }

// Campaign polls the store until nobody holds the lease, and acquires it. It returns nil
// once the context has ended.
func (c *Candidate) Campaign(ctx context.Context) *Lease {
	for c.waitForPoll(ctx) {
		if lease := c.campaignOnce(ctx); lease != nil {
			return lease
		}
	}
	return nil
}

// waitForPoll waits until the next poll is due. It returns false if the context has ended.
func (c *Candidate) waitForPoll(ctx context.Context) bool {
	delay := c.Timing.Poll
	if c.Timing.PollJitter > 0 {
		delay += mathrand.N(c.Timing.PollJitter)
	}
	select {
	case <-ctx.Done():
		return false
	case <-c.Clock.After(delay):
		return true
	}
}

// campaignOnce polls once. If the lease is free and this process is eligible and not backing
// off, it tries to acquire the lease. It returns nil if it has not acquired it.
func (c *Candidate) campaignOnce(ctx context.Context) *Lease {
	if !c.leaseIsFree(ctx) {
		return nil
	}
	c.lastHolder.Store(nil)
	if c.Clock.Now().Before(c.backOffUntil) {
		return nil
	}
	if c.Eligible != nil && !c.Eligible() {
		return nil
	}
	return c.tryAcquire(ctx)
}

// leaseIsFree reads the lease's key, records its holder, and reports whether nobody holds
// the lease. It frees a lease that an earlier process of this node left behind. If the key
// can't be read or its record can't be decoded, the lease counts as held: an undecodable
// record is never overwritten.
func (c *Candidate) leaseIsFree(ctx context.Context) bool {
	entry, err := c.Store.Get(ctx, store.ClassCritical, c.Key)
	if err != nil {
		return errors.Is(err, ErrNotFound)
	}
	if c.ObserveToken != nil {
		c.ObserveToken(ctx, FencingToken(entry.Revision))
	}
	var record store.LeaseRecord
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
// host runs one process. Its late writes fail once the key is deleted.
func (c *Candidate) removeLeaseOfEarlierProcess(ctx context.Context, revision Revision) bool {
	c.Log.Info("lease removal requested", "reason", "held by an earlier process of this node", "token", revision)
	_, err := c.Store.Commit(ctx, store.ClassCritical, Txn{
		Guards: []Guard{{Key: c.Key, Revision: revision}},
		Writes: []Write{{DeleteKey: c.Key}},
	})
	return err == nil
}

// LeaseRecord returns the record that this process writes to the lease's key.
func (c *Candidate) LeaseRecord() store.LeaseRecord {
	return store.LeaseRecord{Node: c.Node, Nonce: c.nonce}
}

// isOwnRecord reports whether the entry is a lease record that this process wrote, and is
// bound to the grant.
func (c *Candidate) isOwnRecord(entry Entry, grant GrantID) bool {
	var record store.LeaseRecord
	return entry.Grant == grant && wire.Decode(entry.Value, &record) == nil && record.Nonce == c.nonce
}

// tryAcquire makes one attempt to acquire the lease. It returns nil if that failed.
func (c *Candidate) tryAcquire(ctx context.Context) *Lease {
	requestedAt := c.Clock.Now()
	grant, err := c.Store.CreateGrant(ctx, c.Timing.TTL)
	if err != nil {
		return nil
	}
	revision, err := c.createLeaseKey(ctx, grant)
	if err != nil {
		// If the outcome is unknown the write may be executed later. It has no effect once
		// its grant is revoked.
		_ = c.Store.RevokeGrant(ctx, grant) // if this fails, the grant expires by itself
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

// createLeaseKey writes the lease's key, bound to the grant, if the key doesn't exist. If
// the outcome is unknown it reads the key: the write was executed if the key holds this
// process's record and is bound to the grant.
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

func (c *Candidate) emit(e Event) {
	if c.Observe != nil {
		c.Observe(e)
	}
}

// notifyUndecodable reports the key of an undecodable record to OnUndecodable, if set.
func (c *Candidate) notifyUndecodable(key string, err error) {
	if c.OnUndecodable != nil {
		c.OnUndecodable(key, err)
	}
}
