// Package election elects one leader among the controllers: the leadership is a
// lease of package duty. What is added here is for how long a leader may answer
// workers' reports once it can't renew the lease. The package knows nothing of jobs,
// machines or workers.
package election

import (
	"context"
	"log/slog"
	"time"

	"lilaclead/duty"
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
type Candidate struct{ *duty.Candidate }

// NewCandidate makes the candidate of a node; observe is told of tokens.
func NewCandidate(cfg *config.Config, client *store.Client, log *slog.Logger, observe func(context.Context, wire.FencingToken)) *Candidate {
	return New(Options(cfg, client, log, observe))
}

// New makes the candidate of a node with options of the caller's own.
func New(o duty.Options) *Candidate { return &Candidate{duty.NewCandidate(o)} }

// Options of a candidate for the leadership.
func Options(cfg *config.Config, client *store.Client, log *slog.Logger, observe func(context.Context, wire.FencingToken)) duty.Options {
	return duty.Options{Key: store.LeaderKey, Node: cfg.HostName, Store: client, Log: log, ObserveToken: observe, Timing: duty.Timing{
		TTL: grantTTL, RenewEvery: renewEvery, RenewTimeout: renewTimeout, Margin: margin,
		Poll: pollInterval(&cfg.Settings), PollJitter: pollEvery / 4,
	}}
}

// pollInterval is longer where the state service serves little.
func pollInterval(s *config.Settings) time.Duration {
	others := float64(s.Size - 1)
	interval := time.Duration(float64(time.Second) * pollShare * others / max(1, s.State.Least().RPS))
	return max(pollEvery, min(4*pollEvery, interval))
}

// Campaign waits until nobody leads and takes the leadership; nil once the context
// has ended.
func (c *Candidate) Campaign(ctx context.Context) *Lease {
	lease := c.Candidate.Campaign(ctx)
	if lease == nil {
		return nil
	}
	return &Lease{Lease: lease}
}
