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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// An offer is not booked twice at a time, and rests after a refusal, longer each
// time up to a bound, until it is filled again. Other offers go on.
func TestOffersRest(t *testing.T) {
	tr, now := New(7), start
	rent := fleet.ScaleOut{Type: "std", Zone: "a", Count: 3}
	offer, other := Offer{"std", "a", false}, Offer{"std", "a", true}
	refuse := func(err error) time.Duration {
		b := tr.StartScaleOut(rent, now)
		if tr.Available(offer, now) || !tr.Available(other, now) {
			t.Fatalf("while booked: offer %v, other %v", tr.Available(offer, now), tr.Available(other, now))
		}
		outcome, rest := tr.Answered(b, 0, err, now)
		if outcome != NoCapacity || tr.Available(offer, now.Add(rest-1)) || !tr.Available(offer, now.Add(rest*5/4)) || !tr.Available(other, now) || tr.Paused(now) {
			t.Fatalf("%v: outcome %d, rest %v", err, outcome, rest)
		}
		now = now.Add(rest * 5 / 4)
		return rest
	}
	var rests []time.Duration
	for _, err := range []error{cloud.ErrNoCapacity, fmt.Errorf("of that: %w", cloud.ErrInvalid), cloud.ErrNoCapacity, cloud.ErrNoCapacity, cloud.ErrNoCapacity} {
		rests = append(rests, refuse(err))
	}
	if want := []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 40 * time.Second}; !slices.Equal(rests, want) {
		t.Errorf("rests %v, want %v", rests, want)
	}
	if outcome, rest := tr.Answered(tr.StartScaleOut(rent, now), 2, nil, now); outcome != PartlyFilled || tr.Available(offer, now.Add(rest-1)) || !tr.Available(offer, now.Add(rest)) {
		t.Errorf("partly filled: outcome %d, rest %v", outcome, rest)
	}
	now = now.Add(time.Minute)
	if outcome, _ := tr.Answered(tr.StartScaleOut(rent, now), 3, nil, now); outcome != Filled || !tr.Available(offer, now) || len(tr.PendingScaleOuts()) > 0 {
		t.Errorf("filled: outcome %d", outcome)
	}
	if rest := refuse(cloud.ErrNoCapacity); rest != 5*time.Second {
		t.Errorf("after it was filled it rests for %v", rest)
	}
}

// A cloud that is busy or down is left alone as a whole. The bookings of one plan,
// answered together, lengthen the pause once.
func TestCloudPaused(t *testing.T) {
	tr, now := New(7), start
	for _, want := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 5 * time.Second} {
		a, b := tr.StartScaleOut(fleet.ScaleOut{Type: "std", Zone: "a", Count: 1}, now), tr.StartScaleOut(fleet.ScaleOut{Type: "std", Zone: "b", Count: 1}, now)
		if a.Name == b.Name {
			t.Fatalf("two bookings named %s", a.Name)
		}
		outcome, pause := tr.Answered(a, 0, cloud.ErrBusy, now)
		if outcome != Unavailable || pause != want || !tr.Paused(now.Add(pause-1)) || tr.Paused(now.Add(2*pause)) {
			t.Errorf("outcome %d, pause %v, want %v", outcome, pause, want)
		}
		if outcome, _ := tr.Answered(b, 0, cloud.ErrBusy, now); outcome != AlreadyKnown {
			t.Errorf("the second answer: outcome %d", outcome)
		}
		if !tr.Available(a.Offer(), now) {
			t.Error("the offer rests though it was not refused")
		}
		now = now.Add(2 * pause)
	}
	tr.Answered(tr.StartScaleOut(fleet.ScaleOut{Type: "std", Zone: "a", Count: 1}, now), 1, nil, now)
	if _, pause := tr.Answered(tr.StartScaleOut(fleet.ScaleOut{Type: "std", Zone: "a", Count: 1}, now), 0, cloud.ErrBusy, now); pause != 500*time.Millisecond {
		t.Errorf("after an answer it is left alone for %v", pause)
	}
}

// Once an answer was lost the booking may have been executed: that the cloud is
// busy at a repeat does not end it.
func TestFinalAnswers(t *testing.T) {
	busy, lost, none := cloud.ErrBusy, cloud.ErrUnknown, cloud.ErrNoCapacity
	for _, c := range []struct {
		answers []error
		final   []bool
	}{
		{[]error{nil}, []bool{true}},
		{[]error{busy}, []bool{true}},
		{[]error{none}, []bool{true}},
		{[]error{cloud.ErrInvalid}, []bool{true}},
		{[]error{lost, busy, lost, nil}, []bool{false, false, false, true}},
		{[]error{lost, none}, []bool{false, true}},
	} {
		var tries RetryState
		for i, err := range c.answers {
			if got := tries.Final(err); got != c.final[i] {
				t.Errorf("%v: answer %d is final: %v", c.answers, i, got)
			}
		}
	}
}

// One request to release is under way at a time, within the cloud's bound; each
// machine is named in exactly one.
func TestReleasesOneAtATime(t *testing.T) {
	tr := New(7)
	var want, got []wire.MachineID
	for i := range 250 {
		id := wire.MachineID(fmt.Sprint("n-", i))
		want = append(want, id)
		tr.QueueScaleIn(id)
		if i == 0 {
			got = append(got, tr.NextScaleIn(MaxScaleIn)...)
		}
	}
	if len(got) != 1 {
		t.Fatalf("the first request names %v", got)
	}
	for range 4 {
		if ids := tr.NextScaleIn(MaxScaleIn); ids != nil {
			t.Fatalf("a second request beside one: %v", ids)
		}
		tr.EndScaleIn()
		ids := tr.NextScaleIn(MaxScaleIn)
		if len(ids) > MaxScaleIn {
			t.Fatalf("%d machines in one request", len(ids))
		}
		got = append(got, ids...)
		tr.QueueScaleIn("late") // shares a later one
		want = append(want, "late")
	}
	if n := len(got); n < 250 || !slices.Equal(got, want[:n]) {
		t.Errorf("released %d, not each once and in order", n)
	}
}
