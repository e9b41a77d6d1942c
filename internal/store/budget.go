package store

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"lilaclead/internal/config"
)

// RequestClass determines whether a request waits for the rate budget.
type RequestClass int

// The classes of requests.
const (
	// ClassCritical requests (lease renewals, elections, launches) never wait for the
	// budget, but are charged to it, into debt: background requests wait then.
	ClassCritical RequestClass = iota
	// ClassBackground requests (progress, recovery, settings) wait for the budget.
	ClassBackground
	// ClassUser requests are refused at once when the budget is used up.
	ClassUser
)

const (
	// nodeShare is the part of the deployment's budgets that one node uses. A node
	// takes the larger half of what is left if the others take little, since mostly
	// one node leads and writes.
	nodeShare = 0.6
	// minRate, in requests a second, keeps a node working under the lowest limits.
	minRate = 2
)

// budget limits the rate of one node's requests.
type budget struct {
	requests   *rate.Limiter
	writes     *rate.Limiter // of the node itself
	userWrites *rate.Limiter // that users ask for
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

// charge takes a request with so many writes from the budget without waiting.
func (b *budget) charge(writes int) {
	chargeLimiter(b.requests, 1)
	chargeLimiter(b.writes, writes)
}

// chargeLimiter takes n events from the limiter, into a debt of one burst at most.
func chargeLimiter(limiter *rate.Limiter, n int) {
	n = min(n, limiter.Burst())
	inDebt := limiter.Tokens() <= -float64(limiter.Burst())
	if n > 0 && !inDebt {
		limiter.ReserveN(time.Now(), n)
	}
}

// wait blocks until the budget has room for a request with so many writes.
func (b *budget) wait(ctx context.Context, writes int) error {
	if err := b.requests.Wait(ctx); err != nil {
		return err
	}
	if writes == 0 {
		return nil
	}
	return b.writes.WaitN(ctx, min(writes, b.writes.Burst()))
}

// allowUser reports whether the budget has room for a user's request now, and takes it.
// A leader's own requests must not shut out the users that come to the same node: the
// writes of users have a budget of their own, and their reads are few, since polls share
// them.
func (b *budget) allowUser(writes int) bool {
	if writes == 0 {
		return b.requests.Allow()
	}
	return b.userWrites.AllowN(time.Now(), min(writes, b.userWrites.Burst()))
}
