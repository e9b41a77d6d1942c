package duty

import (
	"errors"
	"fmt"
	"time"
)

// Timing configures how a lease is acquired and renewed.
type Timing struct {
	// TTL is how long after its acquisition or last renewal the lease expires.
	TTL time.Duration
	// RenewEvery is the pause before the first renewal and after each successful one. A
	// failed renewal is retried after a third of it.
	RenewEvery time.Duration
	// RenewTimeout bounds one attempt to renew.
	RenewTimeout time.Duration
	// Poll is the interval at which the other candidates read who holds the lease. A random
	// duration of less than PollJitter is added to it.
	Poll       time.Duration
	PollJitter time.Duration
	// Margin is how long before the lease can expire its holder stops acting. It covers
	// scheduling delays of the process; Drift comes on top of it.
	Margin time.Duration
	// Drift is how far two clocks may drift apart, as a fraction of the elapsed time.
	Drift float64
}

// Validate returns an error that names every invalid field. PollJitter is not checked, and
// Margin only in so far as TTL must leave time for it.
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
	require(t.safetyReserve()+t.RenewEvery < t.TTL, "TTL", "leaves no time between a renewal and the end of the lease")
	return errors.Join(errs...)
}

// safetyReserve returns how long before the end of the TTL the holder stops acting: the
// margin, and the clock drift over a whole TTL.
func (t Timing) safetyReserve() time.Duration {
	return t.Margin + time.Duration(t.Drift*float64(t.TTL))
}

// SafeTTL returns how long a lease is certainly held after its holder sent the request that
// acquired or renewed it.
func (t Timing) SafeTTL() time.Duration { return t.TTL - t.safetyReserve() }
