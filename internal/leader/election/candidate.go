// Package election elects one leader among the controllers: leadership is a lease of
// package duty. This package adds the bound on how long a leader may answer workers'
// heartbeats once it can't renew that lease. It knows nothing of jobs, machines or
// workers.
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
	// leaseTTL is how long the leadership stays taken after its holder's last
	// renewal.
	leaseTTL = 3 * time.Second
	// renewEvery leaves time for three renewal attempts before the lease expires.
	renewEvery = 700 * time.Millisecond
	// renewTimeout bounds one attempt to renew.
	renewTimeout = time.Second
	// safetyMargin is how long before its lease expires a leader stops deciding: it
	// covers the drift of the clocks over leaseTTL and scheduling delays.
	safetyMargin = 150 * time.Millisecond
	// safeTTL is how long a leader may decide after it sent the request for its
	// lease, or for the lease's renewal: the lease can't expire earlier than leaseTTL
	// after that.
	safeTTL = leaseTTL - safetyMargin
)

const (
	// minPollInterval is how often the other candidates read who leads, unless the
	// key-value store's rate limit asks for less.
	minPollInterval = 500 * time.Millisecond
	// maxPollInterval bounds how late a vacant leadership is noticed.
	maxPollInterval = 4 * minPollInterval
	// pollJitter spreads the candidates' reads.
	pollJitter = minPollInterval / 4
	// callsPerPoll is the share of the key-value store's calls that polling may take:
	// the polls of all candidates together are at most one in so many.
	callsPerPoll = 6
)

// Candidate campaigns for the leadership on behalf of one process.
type Candidate struct{ *duty.Candidate }

// NewCandidate returns the candidate of a node, which calls observe with every fencing
// token that it sees.
func NewCandidate(cfg *config.Config, client *store.Client, log *slog.Logger, observe func(context.Context, wire.FencingToken)) *Candidate {
	return New(Options(cfg, client, log, observe))
}

// New returns a candidate with the caller's own options.
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
			RenewEvery:   renewEvery,
			RenewTimeout: renewTimeout,
			Margin:       safetyMargin,
			Poll:         pollInterval(&cfg.Settings),
			PollJitter:   pollJitter,
		},
	}
}

// pollInterval returns how often a candidate reads who leads. It is longer where the
// key-value store allows few calls a second.
func pollInterval(settings *config.Settings) time.Duration {
	pollingNodes := float64(settings.Size - 1)
	callsPerSecond := max(1, settings.State.Strictest().RPS)
	affordable := time.Duration(float64(time.Second) * callsPerPoll * pollingNodes / callsPerSecond)
	return max(minPollInterval, min(maxPollInterval, affordable))
}

// Campaign waits until nobody leads and takes the leadership. It returns nil once the
// context has ended.
func (c *Candidate) Campaign(ctx context.Context) *Lease {
	lease := c.Candidate.Campaign(ctx)
	if lease == nil {
		return nil
	}
	return &Lease{Lease: lease}
}
