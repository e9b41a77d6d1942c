package scaling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/wire"
)

// testToken is the fencing token of the leader under test.
const testToken = 7

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var (
	onDemandOffer = Offer{Type: "std", Zone: "a", Spot: false}
	spotOffer     = Offer{Type: "std", Zone: "a", Spot: true}
)

// startScaleOut starts a request for machines of onDemandOffer.
func startScaleOut(tracker *Tracker, count int, now time.Time) *PendingScaleOut {
	return tracker.StartScaleOut(fleet.ScaleOut{Type: "std", Zone: "a", Count: count}, now)
}

// mustRefuse starts a request, answers it with the error, and checks that this is a refusal
// after which only the request's offer is backed off from. It returns the backoff.
func mustRefuse(t *testing.T, tracker *Tracker, err error, now time.Time) time.Duration {
	t.Helper()
	pending := startScaleOut(tracker, 3, now)
	if tracker.Available(onDemandOffer, now) || !tracker.Available(spotOffer, now) {
		t.Fatalf("while the request is pending: its offer available %v, the other offer %v; want false, true",
			tracker.Available(onDemandOffer, now), tracker.Available(spotOffer, now))
	}
	outcome, backoff := tracker.FinishScaleOut(pending, Answer{Err: err}, now)
	if outcome != NoCapacity {
		t.Fatalf("answer %v: outcome %d, want %d", err, outcome, NoCapacity)
	}
	if tracker.Available(onDemandOffer, now.Add(backoff-1)) || !tracker.Available(onDemandOffer, now.Add(backoff*5/4)) {
		t.Fatalf("answer %v: offer not backed off from for %v up to a quarter more", err, backoff)
	}
	if !tracker.Available(spotOffer, now) || tracker.Paused(now) {
		t.Fatalf("answer %v: other offer available %v, requests paused %v; want true, false",
			err, tracker.Available(spotOffer, now), tracker.Paused(now))
	}
	return backoff
}

func TestBackoffDoublesWithEachRefusalOfAnOffer(t *testing.T) {
	tracker, now := NewTracker(testToken), testStart
	var backoffs []time.Duration
	answers := []error{cloud.ErrNoCapacity, fmt.Errorf("of that: %w", cloud.ErrInvalidRequest), cloud.ErrNoCapacity, cloud.ErrNoCapacity, cloud.ErrNoCapacity}
	for _, err := range answers {
		backoff := mustRefuse(t, tracker, err, now)
		backoffs = append(backoffs, backoff)
		now = now.Add(backoff * 5 / 4)
	}
	if want := []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 40 * time.Second}; !slices.Equal(backoffs, want) {
		t.Errorf("answers %v: backoffs %v, want %v", answers, backoffs, want)
	}

	outcome, backoff := tracker.FinishScaleOut(startScaleOut(tracker, 3, now), Answer{Machines: 2}, now)
	if outcome != PartlyFilled || tracker.Available(onDemandOffer, now.Add(backoff-1)) || !tracker.Available(onDemandOffer, now.Add(backoff)) {
		t.Errorf("2 of 3 machines: outcome %d with backoff %v, want %d", outcome, backoff, PartlyFilled)
	}
	now = now.Add(time.Minute)

	outcome, _ = tracker.FinishScaleOut(startScaleOut(tracker, 3, now), Answer{Machines: 3}, now)
	if outcome != Filled || !tracker.Available(onDemandOffer, now) || len(tracker.PendingScaleOuts()) > 0 {
		t.Errorf("3 of 3 machines: outcome %d, available %v, %d requests pending; want %d, true, 0",
			outcome, tracker.Available(onDemandOffer, now), len(tracker.PendingScaleOuts()), Filled)
	}

	if backoff := mustRefuse(t, tracker, cloud.ErrNoCapacity, now); backoff != minOfferBackoff {
		t.Errorf("refused after it was filled: backoff %v, want %v", backoff, minOfferBackoff)
	}
}

func TestPauseGrowsOnceForRequestsInFlightTogether(t *testing.T) {
	tracker, now := NewTracker(testToken), testStart
	for _, want := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second} {
		first := startScaleOut(tracker, 1, now)
		second := tracker.StartScaleOut(fleet.ScaleOut{Type: "std", Zone: "b", Count: 1}, now)
		if first.Name == second.Name {
			t.Fatalf("two requests named %s", first.Name)
		}
		outcome, pause := tracker.FinishScaleOut(first, Answer{Err: cloud.ErrUnavailable}, now)
		if outcome != Unavailable || pause != want || !tracker.Paused(now.Add(pause-1)) || tracker.Paused(now.Add(2*pause)) {
			t.Errorf("first answer: outcome %d with pause %v, want %d with %v", outcome, pause, Unavailable, want)
		}
		if outcome, _ := tracker.FinishScaleOut(second, Answer{Err: cloud.ErrUnavailable}, now); outcome != AlreadyPaused {
			t.Errorf("second answer: outcome %d, want %d", outcome, AlreadyPaused)
		}
		if !tracker.Available(first.Offer(), now) {
			t.Errorf("offer %v, which was not refused: got backed off from, want available", first.Offer())
		}
		now = now.Add(2 * pause)
	}

	tracker.FinishScaleOut(startScaleOut(tracker, 1, now), Answer{Machines: 1}, now)
	if _, pause := tracker.FinishScaleOut(startScaleOut(tracker, 1, now), Answer{Err: cloud.ErrUnavailable}, now); pause != minPause {
		t.Errorf("unavailable after an answer: pause %v, want %v", pause, minPause)
	}
}

// A request that got no usable response may have been executed. If the cloud is busy when the
// request is repeated, that response is not final.
func TestBusyIsNoFinalAnswerAfterAnUnknownOutcome(t *testing.T) {
	busy, unknown, noCapacity := cloud.ErrUnavailable, cloud.ErrOutcomeUnknown, cloud.ErrNoCapacity
	cases := []struct {
		name    string
		answers []error
		want    []bool // whether each response is final
	}{
		{"filled", []error{nil}, []bool{true}},
		{"busy, certainly not executed", []error{busy}, []bool{true}},
		{"no capacity", []error{noCapacity}, []bool{true}},
		{"invalid", []error{cloud.ErrInvalidRequest}, []bool{true}},
		{"busy after an unknown outcome", []error{unknown, busy, unknown, nil}, []bool{false, false, false, true}},
		{"no capacity after an unknown outcome", []error{unknown, noCapacity}, []bool{false, true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var retry RetryState
			for i, err := range c.answers {
				if got := retry.IsFinal(err); got != c.want[i] {
					t.Errorf("answers %v: answer %d final: got %v, want %v", c.answers, i, got, c.want[i])
				}
			}
		})
	}
}

func TestAdoptedRequestKeepsItsNameAndBlocksItsOffer(t *testing.T) {
	tracker := NewTracker(testToken)
	stored := wire.ScaleOutRequest{Name: "b-5-3", Type: "std", Zone: "a", Count: 2}
	requestedAt := testStart.Add(-time.Minute)
	adopted := tracker.Adopt(stored, requestedAt)
	if adopted.ScaleOutRequest != stored || !adopted.Adopted || !adopted.RequestedAt.Equal(requestedAt) {
		t.Errorf("adopted %+v, want %+v of %v", adopted, stored, requestedAt)
	}
	if tracker.Available(onDemandOffer, testStart) {
		t.Error("the offer of an adopted request is available")
	}
	if own := tracker.StartScaleOut(fleet.ScaleOut{Type: "big", Zone: "a", Count: 1}, testStart); own.Name != "b-7-1" || own.Adopted {
		t.Errorf("own request %+v, want b-7-1", own)
	}
	if pending := tracker.PendingScaleOuts(); len(pending) != 2 {
		t.Errorf("%d requests pending, want 2", len(pending))
	}
}

func TestWithdrawnRequestFreesItsOfferButNotItsName(t *testing.T) {
	tracker := NewTracker(testToken)
	tracker.Withdraw(startScaleOut(tracker, 2, testStart))
	if !tracker.Available(onDemandOffer, testStart) || len(tracker.PendingScaleOuts()) != 0 {
		t.Errorf("after the withdrawal: available %v, %d requests pending; want true, 0",
			tracker.Available(onDemandOffer, testStart), len(tracker.PendingScaleOuts()))
	}
	if next := startScaleOut(tracker, 2, testStart); next.Name != "b-7-2" {
		t.Errorf("next request %s, want b-7-2: no name is used twice", next.Name)
	}
}
