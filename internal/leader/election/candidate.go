// Package election elects one leader among the controllers by a key in the state
// service, and keeps its lease. The key is bound to a grant that the state service
// drops by itself when its holder does not renew it; the key's revision is the
// leader's token. The package knows nothing of jobs, machines or workers.
package election

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// grantTTL is how long the leadership stays taken when its holder is gone.
	grantTTL = 3 * time.Second
	// renewEvery gives a renewal three tries within the grant's life.
	renewEvery = 700 * time.Millisecond
	// renewTimeout bounds one try of a renewal.
	renewTimeout = time.Second
	// raiseRetry is the pause before a try to raise the token is repeated.
	raiseRetry = 200 * time.Millisecond
	// margin is how much earlier than its grant ends a leader stops deciding:
	// the drift of the clocks over that time, and the time to be scheduled.
	margin = 150 * time.Millisecond
	// pollEvery is how often the others read who leads.
	pollEvery = 500 * time.Millisecond
	// pollShare: the polls of all nodes take one in so many calls that the state
	// service serves, at most.
	pollShare = 6
)

// Candidate campaigns for the leadership on behalf of one process.
type Candidate struct {
	node  wire.NodeID
	store *store.Client
	log   *slog.Logger
	// observe is told every token that is seen.
	observe func(context.Context, wire.Token)
	poll    time.Duration
	// nonce tells this process from earlier ones of the same node.
	nonce  string
	holder atomic.Pointer[observedHolder]
	// notBefore: until then this node leaves the leadership to others. It is used
	// by the goroutine that campaigns and leads alone.
	notBefore time.Time
}

// observedHolder is the node that led when the state service was last read.
type observedHolder struct {
	node wire.NodeID
	at   time.Time
}

// NewCandidate makes the candidate of a node; observe is told of tokens.
func NewCandidate(cfg *config.Config, client *store.Client, log *slog.Logger, observe func(context.Context, wire.Token)) *Candidate {
	return &Candidate{node: cfg.HostName, store: client, log: log, observe: observe, nonce: rand.Text(), poll: pollInterval(&cfg.Settings)}
}

// pollInterval is longer where the state service serves little.
func pollInterval(s *config.Settings) time.Duration {
	others := float64(s.Size - 1)
	interval := time.Duration(float64(time.Second) * pollShare * others / max(1, s.State.Least().RPS))
	return max(pollEvery, min(4*pollEvery, interval))
}

// Holder is the other node that led when the state service was last read, if
// that was less than maxAge before now; empty: none is known.
func (c *Candidate) Holder(now time.Time, maxAge time.Duration) wire.NodeID {
	h := c.holder.Load()
	if h == nil || now.Sub(h.at) >= maxAge || h.node == c.node {
		return ""
	}
	return h.node
}

// Observed notes that the state service named the node as the leader then.
func (c *Candidate) Observed(node wire.NodeID, at time.Time) {
	c.holder.Store(&observedHolder{node, at})
}

// StandAside leaves the leadership to others until then. It is called by the
// goroutine that campaigns, while it leads.
func (c *Candidate) StandAside(until time.Time) { c.notBefore = until }

// Campaign waits until nobody leads and takes the leadership; nil once the
// context has ended.
func (c *Candidate) Campaign(ctx context.Context) *Lease {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.poll + mathrand.N(pollEvery/4)):
		}
		if !c.vacant(ctx) {
			continue
		}
		c.holder.Store(nil)
		if time.Now().Before(c.notBefore) {
			continue
		}
		if lease := c.take(ctx); lease != nil {
			return lease
		}
	}
}

// vacant reads who leads and tells whether nobody does.
func (c *Candidate) vacant(ctx context.Context) bool {
	e, err := c.store.Get(ctx, store.Vital, store.LeadKey)
	if err != nil {
		return errors.Is(err, store.ErrMissing)
	}
	c.observe(ctx, wire.Token(e.Revision))
	var rec store.LeadRecord
	if wire.Decode(e.Value, &rec) != nil {
		return false
	}
	c.Observed(rec.Node, time.Now())
	if rec.Node != c.node || rec.Nonce == c.nonce {
		return false
	}
	// An earlier process of this node holds the lease. It is over, since a host
	// runs one process; dropping the key makes its late writes fail.
	c.log.Info("ends the leadership of this node's last process", "token", e.Revision)
	_, err = c.store.Commit(ctx, store.Vital, wire.Txn{
		Guards: []wire.Guard{{Key: store.LeadKey, Revision: e.Revision}},
		Writes: []wire.Write{{Delete: store.LeadKey}},
	})
	return err == nil
}

// Record is the leader's key as this process writes it.
func (c *Candidate) Record() store.LeadRecord {
	return store.LeadRecord{Node: c.node, Nonce: c.nonce}
}

// wrote tells whether the leader's key was written by this process under the grant.
func (c *Candidate) wrote(e wire.Entry, grant wire.GrantID) bool {
	var rec store.LeadRecord
	return e.Grant == grant && wire.Decode(e.Value, &rec) == nil && rec.Nonce == c.nonce
}

// take tries once to become the leader; nil if it did not.
func (c *Candidate) take(ctx context.Context) *Lease {
	sent := time.Now()
	grant, err := c.store.Grant(ctx, grantTTL)
	if err != nil {
		return nil
	}
	revision, err := c.store.Commit(ctx, store.Vital, wire.Txn{
		Guards: []wire.Guard{{Key: store.LeadKey, Revision: 0}},
		Writes: []wire.Write{{Put: store.LeadKey, Value: wire.Encode(c.Record()), Grant: grant}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// It may have been executed: then the key names this process and grant.
		e, readErr := c.store.Get(ctx, store.Vital, store.LeadKey)
		if readErr == nil && c.wrote(e, grant) {
			revision, err = e.Revision, nil
		}
	}
	if err != nil {
		// A late execution of the write is harmless without its grant.
		c.store.End(ctx, grant) //nolint:errcheck // it ends by itself
		return nil
	}
	return NewLease(c, Terms{Grant: grant, Token: wire.Token(revision), TakenAt: time.Now(), DecidesUntil: DecidesUntil(sent)})
}
