package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// firstCommitRetry and lastCommitRetry are the first and the last pause before a
// transaction is retried that was refused for the rate alone. The pauses double; with
// the jitter of up to a half, all of them together take 350 to 525 ms.
const (
	firstCommitRetry = 50 * time.Millisecond
	lastCommitRetry  = 200 * time.Millisecond
)

// commit executes a user's transaction. A refusal for the rate alone passes within
// a fraction of a second, so it is retried a few times, well within the time in
// which users expect a response; every other error is returned at once.
func commit(ctx context.Context, client *store.Client, txn wire.Txn) error {
	for pause := firstCommitRetry; ; pause *= 2 {
		_, err := client.Commit(ctx, store.ClassUser, txn)
		if !errors.Is(err, store.ErrRateLimited) || pause > lastCommitRetry {
			return err
		}
		jitter := rand.N(pause / 2)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause + jitter):
		}
	}
}
