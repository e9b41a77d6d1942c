package duty_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// backup is the duty that the examples carry out.
type backup struct{}

// Name is part of the key under which the duty's intents are recorded.
func (backup) Name() duty.Name { return "backup" }

// openStore starts a simulated store on the loopback interface and returns its client.
func openStore() (client *store.Client, closeStore func()) {
	server := httptest.NewServer(simulator.NewKVStore(12, 16))
	limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
	addr := strings.TrimPrefix(server.URL, "http://")
	return store.New(addr, limits, 1, netio.HostNetwork()), server.Close
}

// newExampleCandidate returns a candidate for the lease of the examples.
func newExampleCandidate(kvStore duty.Store) *duty.Candidate {
	return duty.NewCandidate(duty.Options{
		Key:   "lease/backup",
		Node:  "node-1",
		Store: kvStore,
		Timing: duty.Timing{
			TTL:          3 * time.Second,
			RenewEvery:   700 * time.Millisecond,
			RenewTimeout: time.Second,
			Poll:         10 * time.Millisecond,
			Margin:       100 * time.Millisecond,
			Drift:        0.001,
		},
	})
}

// A process acquires a lease, renews it in the background, and carries out acts of its duty
// under permits.
func Example() {
	client, closeStore := openStore()
	defer closeStore()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	lease := newExampleCandidate(client).Campaign(ctx)
	if lease == nil {
		return // the context has ended
	}

	// KeepAlive renews the lease until its grant has expired. A long-running process would
	// then campaign again; this one ends.
	var renewal sync.WaitGroup
	renewal.Go(func() {
		if err := lease.KeepAlive(ctx, func(time.Time) {}); errors.Is(err, duty.ErrGrantExpired) {
			cancel()
		}
	})

	permit, err := duty.PermitFor[backup](lease)
	if err != nil {
		return // the lease is not certainly held any more
	}
	err = permit.Do(ctx, func(ctx context.Context) error {
		// The context ends before the lease can expire. Send the token with each request,
		// so that its receiver can refuse the request once it has seen a higher token.
		fmt.Println("backup started under a token:", permit.Token() > 0)
		return ctx.Err()
	})
	fmt.Println("backup:", err)

	// A write to the store fails once another process holds the lease.
	_, err = permit.Commit(ctx, store.ClassCritical, duty.Txn{Writes: []duty.Write{{PutKey: "backup/last", Value: wire.Encode("done")}}})
	var conflict *duty.ConflictError
	switch {
	case err == nil:
		fmt.Println("result written")
	case errors.As(err, &conflict):
		fmt.Println("nothing written: read the keys before deciding what to do")
	case errors.Is(err, duty.ErrOutcomeUnknown):
		fmt.Println("read the key before retrying")
	}

	lease.Resign(ctx, time.Now())
	fmt.Println("after resigning:", errors.Is(permit.Check(), duty.ErrNotHeld))
	cancel()
	renewal.Wait()

	// Output:
	// backup started under a token: true
	// backup: <nil>
	// result written
	// after resigning: true
}

// A request to a receiver that doesn't check fencing tokens is recorded before it is sent, so
// that a successor can repeat it under the same name.
func ExampleIntents() {
	client, closeStore := openStore()
	defer closeStore()
	ctx := context.Background()
	lease := newExampleCandidate(client).Campaign(ctx)

	const maxRecordBytes = 16 << 10
	intents := duty.NewIntents[backup, string](lease, maxRecordBytes)
	earlier, err := intents.Load(ctx)
	if err != nil {
		return // retry, unless it is duty.ErrUndecodable
	}
	for _, name := range earlier.Open {
		fmt.Println("repeat", name)
	}

	if err := intents.Record(ctx, []string{"snapshot-17"}); err != nil {
		return // nothing may be sent
	}
	fmt.Println("send", intents.OpenIntents())

	// Once the receiver has responded, the intent is not open any more.
	if err := intents.Record(ctx, nil); err != nil {
		return
	}
	fmt.Println("open:", len(intents.OpenIntents()))

	// Output:
	// send [snapshot-17]
	// open: 0
}
