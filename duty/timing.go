package duty

import (
	"errors"
	"fmt"
	"time"
)

// Timing configures how a lease is acquired and kept.
type Timing struct {
	// TTL is how long the lease stays taken after the last renewal by its holder.
	TTL time.Duration
	// RenewEvery is the pause between renewals; a failed one is retried after a third of
	// it.
	RenewEvery time.Duration
	// RenewTimeout bounds one attempt at a renewal.
	RenewTimeout time.Duration
	// Poll is how often the other candidates read who holds the lease, with a random
	// addition of up to PollJitter.
	Poll       time.Duration
	PollJitter time.Duration
	// Margin is how long before the lease can expire its holder stops acting, beyond the
	// drift of the clocks: the process needs time to be scheduled.
	Margin time.Duration
	// Drift of two clocks against each other, as a fraction of the elapsed time.
	Drift float64
}

// Validate reports every field that can't work, by its name.
func (t Timing) Validate() error {
	var errs []error
	require := func(met bool, field, requirement string) {
		if !met {
			errs = append(errs, fmt.Errorf("%s: %s", field, requirement))
		}
	}
	require(t.TTL > 0, "TTL", "must be above 0")
	require(t.RenewEvery > 0, "RenewEvery", "must be above 0")
	require(t.RenewTimeout > 0, "RenewTimeout", "must be above 0")
	require(t.Poll > 0, "Poll", "must be above 0")
	require(t.Drift >= 0 && t.Drift < 1, "Drift", "must be from 0 to below 1")
	require(t.reserve()+t.RenewEvery < t.TTL, "TTL", "leaves no time between a renewal and the end of the lease")
	return errors.Join(errs...)
}

// reserve returns how long before the lease can expire its holder stops acting.
func (t Timing) reserve() time.Duration {
	return t.Margin + time.Duration(t.Drift*float64(t.TTL))
}

// SafeTTL returns for how long a lease is certainly held after the request for it, or
// for its renewal, was sent.
func (t Timing) SafeTTL() time.Duration { return t.TTL - t.reserve() }
