package simulator

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestServeKVStoreAnswersUntilStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork(time.Millisecond)
		stop, err := network.ServeKVStore(NewKVStore(12, 16))
		if err != nil {
			t.Fatalf("ServeKVStore() = %v, want no error", err)
		}
		ask := func() int {
			status, _, _ := Ask(t.Context(), network.Host(userIP), "GET", "http://"+KVStoreAddr+"/kv", nil)
			return status
		}
		if got := ask(); got != http.StatusOK {
			t.Errorf("GET /kv while serving answered %d, want %d", got, http.StatusOK)
		}
		stop()
		if got := ask(); got != 0 {
			t.Errorf("GET /kv after stop answered %d, want no response (0)", got)
		}
	})
}

func TestNonBlockingWatchIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork(time.Millisecond)
		stop, err := network.ServeKVStore(NewKVStore(12, 16))
		if err != nil {
			t.Fatalf("ServeKVStore() = %v, want no error", err)
		}
		defer stop()
		begin := time.Now()
		status, _, _ := Ask(t.Context(), network.Host(userIP), "GET", "http://"+KVStoreAddr+"/changes?after=0&blockMs=0", nil)
		if took := time.Since(begin); status != http.StatusOK || took > 50*time.Millisecond {
			t.Errorf("GET /changes with blockMs=0 answered %d after %v, want %d within 50ms", status, took, http.StatusOK)
		}
	})
}

// sleep must not create a timer that has already expired: many of them at once crash the race
// detector.
func TestSleepForNoDurationReturnsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		var sleepers sync.WaitGroup
		for range 64 {
			sleepers.Go(func() {
				for range 1000 {
					sleep(context.Background(), 0)
				}
			})
		}
		sleepers.Wait()
		if took := time.Since(begin); took != 0 {
			t.Errorf("sleep(0) took %v, want 0s", took)
		}
	})
}
