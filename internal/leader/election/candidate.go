// Package election elects one leader among the controllers. Leadership is a lease of package
// duty. This package adds the bound on how long a leader that can't renew the lease may still
// answer agents' heartbeats. It does not depend on jobs, machines or agents.
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
	// leaseTTL is the time from the last renewal to the expiry of the lease.
	leaseTTL = 3 * time.Second
	// renewInterval is the time between renewals of the lease. It leaves time for three renewal
	// attempts before the lease expires.
	renewInterval = 700 * time.Millisecond
	// renewTimeout bounds one renewal attempt.
	renewTimeout = time.Second
	// safetyMargin is how long before the expiry of its lease a leader stops deciding. It
	// covers clock drift over leaseTTL and scheduling delays.
	safetyMargin = 150 * time.Millisecond
	// safeTTL is how long a leader may decide, counted from when it sent the request to
	// acquire or renew its lease. The lease expires leaseTTL after that at the earliest.
	safeTTL = leaseTTL - safetyMargin
)

const (
	// minPollInterval is the time between a candidate's reads of the current leader, where the
	// key-value store's rate limit permits it.
	minPollInterval = 500 * time.Millisecond
	// maxPollInterval bounds the delay until a vacant leadership is noticed.
	maxPollInterval = 4 * minPollInterval
	// pollJitter spreads the candidates' reads over time.
	pollJitter = minPollInterval / 4
	// callsPerPoll limits the share of the key-value store's rate limit that polling uses: all
	// candidates together make at most one poll per so many permitted calls, unless each would
	// then poll less often than every maxPollInterval.
	callsPerPoll = 6
)

// Candidate campaigns for the leadership on behalf of one process.
type Candidate struct{ *duty.Candidate }

// NewCandidate returns the candidate of a node. It calls observe with every fencing token that
// it sees.
func NewCandidate(cfg *config.Config, client *store.Client, log *slog.Logger, observe func(context.Context, wire.FencingToken)) *Candidate {
	return New(Options(cfg, client, log, observe))
}

// New returns a candidate with the given options.
func New(options duty.Options) *Candidate { return &Candidate{duty.NewCandidate(options)} }

// Options returns the options with which a node campaigns for the leadership.
func Options(cfg *config.Config, client *store.Client, log *slog.Logger, observe func(context.Context, wire.FencingToken)) duty.Options {
	return duty.Options{
		Key:          store.LeaderKey,
		Node:         cfg.HostName,
		Store:        client,
		Log:          log,
		ObserveToken: observe,
		Timing: duty.Timing{
			TTL:          leaseTTL,
			RenewEvery:   renewInterval,
			RenewTimeout: renewTimeout,
			Margin:       safetyMargin,
			Poll:         pollInterval(&cfg.Settings),
			PollJitter:   pollJitter,
		},
	}
}

// pollInterval returns the time between a candidate's reads of the current leader. It is longer
// where the key-value store permits few calls a second.
func pollInterval(settings *config.Settings) time.Duration {
	pollingNodes := float64(settings.Size - 1)
	callsPerSecond := max(1, settings.State.Strictest().RPS)
	rateLimited := time.Duration(float64(time.Second) * callsPerPoll * pollingNodes / callsPerSecond)
	return max(minPollInterval, min(maxPollInterval, rateLimited))
}

// Campaign waits until nobody leads, then acquires the leadership. It returns nil once the
// context has ended.
func (c *Candidate) Campaign(ctx context.Context) *Lease {
	lease := c.Candidate.Campaign(ctx)
	if lease == nil {
		return nil
	}
	return &Lease{Lease: lease}
}
