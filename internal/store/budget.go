package store

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"lilaclead/internal/config"
)

// RequestClass determines what happens to a request while the rate budget is used up.
type RequestClass int

// The classes of requests.
const (
	// ClassCritical requests (lease renewals, elections, launches) never wait for the
	// budget. They are charged to it even when that puts it into debt, and background
	// requests then wait until the debt is paid off.
	ClassCritical RequestClass = iota
	// ClassBackground requests (progress, recovery, settings) wait for the budget.
	ClassBackground
	// ClassUser requests are refused at once when the budget is used up.
	ClassUser
)

const (
	// nodeShare is the share of the deployment's rate limits that one of several nodes
	// uses. It is more than half, since mostly one node leads and writes while the others
	// use little of theirs.
	nodeShare = 0.6
	// minRate, in requests or writes per second, keeps a node working under the lowest
	// limits.
	minRate = 2
)

// budget limits the rate of one node's requests.
type budget struct {
	requests   *rate.Limiter
	writes     *rate.Limiter // keys that the node changes for itself
	userWrites *rate.Limiter // keys that it changes for users
}

func newBudget(limits config.StoreLimits, nodes int) budget {
	share := func(total float64) float64 { return max(minRate, total*nodeShare) }
	if nodes == 1 {
		share = func(total float64) float64 { return total }
	}
	limiter := func(total float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(share(total)), int(share(total)))
	}
	return budget{
		requests:   limiter(limits.RPS),
		writes:     limiter(limits.WriteRPS),
		userWrites: limiter(limits.WriteRPS),
	}
}

// charge charges a request and its writes to the budget without waiting.
func (b *budget) charge(writes int) {
	chargeLimiter(b.requests, 1)
	chargeLimiter(b.writes, writes)
}

// chargeLimiter takes n tokens from the limiter, a burst at most, even if that puts it into
// debt. It takes none once the debt has reached one burst.
func chargeLimiter(limiter *rate.Limiter, n int) {
	n = min(n, limiter.Burst())
	inDebt := limiter.Tokens() <= -float64(limiter.Burst())
	if n > 0 && !inDebt {
		limiter.ReserveN(time.Now(), n)
	}
}

// wait blocks until the budget allows a request and its writes, and charges them.
func (b *budget) wait(ctx context.Context, writes int) error {
	if err := b.requests.Wait(ctx); err != nil {
		return err
	}
	if writes == 0 {
		return nil
	}
	return b.writes.WaitN(ctx, min(writes, b.writes.Burst()))
}

// allowUser reports whether the budget allows a user's request now, and if so charges it. A
// request that writes is charged to userWrites alone: otherwise a leader's own requests would
// use up the budget of the users that come to the same node. Reads share the node's budget of
// requests: they are few, since polls share refreshes.
func (b *budget) allowUser(writes int) bool {
	if writes == 0 {
		return b.requests.Allow()
	}
	return b.userWrites.AllowN(time.Now(), min(writes, b.userWrites.Burst()))
}
