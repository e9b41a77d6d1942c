package upgrade_test

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
	"lilaclead/upgrade"
)

// openStore serves a simulated store on the loopback interface and returns a client of it.
func openStore() (client *store.Client, closeStore func()) {
	server := httptest.NewServer(simulator.NewKVStore(12, 16))
	limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
	addr := strings.TrimPrefix(server.URL, "http://")
	return store.New(addr, limits, 1, netio.HostNetwork()), server.Close
}

// A controller publishes which versions it supports and waits until it may serve. It then
// acquires the lease and switches to the next version. As it is the only controller, every
// controller supports that version.
func Example() {
	client, closeStore := openStore()
	defer closeStore()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	member, err := upgrade.NewMember(upgrade.Options{
		Node:           "controller-1",
		SupportedRange: upgrade.Range{Min: 1, Max: 2},
		Store:          client,
	})
	if err != nil {
		return // the range is invalid
	}
	var running sync.WaitGroup
	running.Go(func() { member.Run(ctx) })

	// Until it may serve, a controller refuses its users' requests and asks them to retry.
	for member.CheckServe() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println("serves under version", member.ActiveVersion())

	lease := duty.NewCandidate(duty.Options{
		Key:    "lease/leader",
		Node:   "controller-1",
		Store:  client,
		Timing: duty.Timing{TTL: 3 * time.Second, RenewEvery: time.Second, RenewTimeout: time.Second, Poll: 10 * time.Millisecond},
	}).Campaign(ctx)
	permit, err := duty.PermitFor[duty.Cleanup](lease)
	if err != nil {
		return // the lease is no longer held
	}

	deployment := upgrade.Deployment{Controllers: []duty.NodeID{"controller-1"}}
	version, err := member.Advance(ctx, permit, deployment)
	var conflict *duty.ConflictError
	switch {
	case err == nil:
		fmt.Println("switched to version", version)
	case errors.Is(err, upgrade.ErrNotReady):
		fmt.Println("a controller or the operators' limit blocks the next version")
	case errors.As(err, &conflict), errors.Is(err, duty.ErrOutcomeUnknown):
		fmt.Println("retry: Advance reads all records again")
	}

	// A writer that holds no lease adds the guard to its transaction, which fails once
	// another version is active.
	guard, version := member.ActiveVersionGuard()
	_, err = client.Commit(ctx, store.ClassUser, duty.Txn{
		Guards: []duty.Guard{guard},
		Writes: []duty.Write{{PutKey: "fact/example", Value: wire.Encode(version)}},
	})
	fmt.Println("written under version", version, "with error", err)
	cancel()
	running.Wait()

	// Output:
	// serves under version 1
	// switched to version 2
	// written under version 2 with error <nil>
}
