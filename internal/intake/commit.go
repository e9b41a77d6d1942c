package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A transaction that was refused only because of the rate limit is retried after delays
// that double from minRetryDelay to maxRetryDelay. Jitter adds up to a half to each delay.
// All delays together take 350 to 525 ms.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
)

// commit executes a user's transaction. The rate limit refuses a request only for a
// fraction of a second, so such a transaction is retried a few times, well within the time
// in which users expect a response. Every other error is returned at once.
func commit(ctx context.Context, client *store.Client, txn wire.Txn) error {
	for delay := minRetryDelay; ; delay *= 2 {
		_, err := client.Commit(ctx, store.ClassUser, txn)
		if !errors.Is(err, store.ErrRateLimited) || delay > maxRetryDelay {
			return err
		}
		jitter := rand.N(delay / 2)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay + jitter):
		}
	}
}
