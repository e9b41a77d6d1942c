package core

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/leader/election"
)

// newTestLoop returns the loop of a term that has just begun.
func newTestLoop(ctx context.Context) *Loop {
	lease := election.NewLease(nil, election.Acquisition{Token: 7})
	loop := NewLoop(lease, slog.New(slog.DiscardHandler), &Metrics{})
	loop.Begin(ctx)
	return loop
}

func TestNewLoopHasTheTokenOfItsLease(t *testing.T) {
	if got := newTestLoop(t.Context()).Fencing.Token; got != 7 {
		t.Errorf("token: got %d, want 7", got)
	}
}

func TestEndKeepsTheReasonOfTheFirstCall(t *testing.T) {
	loop := newTestLoop(t.Context())
	loop.End("lease lost")
	loop.End("stopped")
	select {
	case <-loop.Done:
	default:
		t.Error("Done is open after End, want it closed")
	}
	if got := loop.EndReason(); got != "lease lost" {
		t.Errorf("end reason: got %q, want %q", got, "lease lost")
	}
}

func TestPostDeliversEventsUntilTheTermIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loop := newTestLoop(t.Context())
		for i := range eventBacklog {
			loop.Post(i)
		}
		returned := false
		go func() {
			loop.Post("beyond the backlog")
			returned = true
		}()
		synctest.Wait()
		if returned {
			t.Error("Post with a full backlog returned, want it to block")
		}
		if got := <-loop.Events; got != 0 {
			t.Errorf("first event: got %v, want 0", got)
		}
		synctest.Wait()
		if !returned {
			t.Error("Post after an event was received is still blocked, want it to return")
		}
		loop.End("stopped")
		loop.Post("after the end") // must not block
		if got := len(loop.Events); got != eventBacklog {
			t.Errorf("events after the end: got %d, want %d", got, eventBacklog)
		}
	})
}

func TestWaitReturnsWhenBackgroundWorkHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		loop := newTestLoop(ctx)
		ended := false
		loop.Spawn(func(ctx context.Context) {
			<-ctx.Done()
			time.Sleep(time.Second)
			ended = true
		})
		cancel()
		loop.Wait()
		if !ended {
			t.Error("Wait returned while background work was running")
		}
	})
}

func TestPauseReturnsFalseIfTheContextEndsFirst(t *testing.T) {
	cases := []struct {
		name    string
		timeout time.Duration
		want    bool
	}{
		{"context outlives the pause", 2 * time.Second, true},
		{"context ends first", time.Second / 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
				defer cancel()
				start := time.Now()
				got := Pause(ctx, time.Second)
				if elapsed, want := time.Since(start), min(tc.timeout, time.Second); got != tc.want || elapsed != want {
					t.Errorf("Pause of 1s with a context of %v: got %v after %v, want %v after %v", tc.timeout, got, elapsed, tc.want, want)
				}
			})
		})
	}
}
