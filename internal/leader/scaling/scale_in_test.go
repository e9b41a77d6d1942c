package scaling

import (
	"fmt"
	"slices"
	"testing"

	"lilaclead/internal/wire"
)

func TestMachinesAreScaledInOnceAndInOrderOneBatchAtATime(t *testing.T) {
	tracker := NewTracker(testToken)
	var want, got []wire.MachineID
	for i := range 250 {
		machine := wire.MachineID(fmt.Sprint("n-", i))
		want = append(want, machine)
		tracker.QueueScaleIn(machine)
		if i == 0 {
			got = append(got, tracker.NextScaleIn(MaxScaleIn)...)
		}
	}
	if len(got) != 1 {
		t.Fatalf("first batch: got %v, want one machine", got)
	}
	for range 4 {
		if batch := tracker.NextScaleIn(MaxScaleIn); batch != nil {
			t.Fatalf("next batch while one is in flight: got %v, want none", batch)
		}
		tracker.EndScaleIn()
		batch := tracker.NextScaleIn(MaxScaleIn)
		if len(batch) > MaxScaleIn {
			t.Fatalf("%d machines in one batch, want at most %d", len(batch), MaxScaleIn)
		}
		got = append(got, batch...)
		tracker.QueueScaleIn("late") // joins a later batch
		want = append(want, "late")
	}
	if n := len(got); n < 250 || !slices.Equal(got, want[:n]) {
		t.Errorf("got %d machines %v, want 250 or more, each once and in the order of the queue", n, got)
	}
}

func TestScaleInBatchIsWithinTheLimitAndMaxScaleIn(t *testing.T) {
	for _, limit := range []int{1, 25, MaxScaleIn, MaxScaleIn + 1} {
		tracker := NewTracker(testToken)
		for i := range 2 * MaxScaleIn {
			tracker.QueueScaleIn(wire.MachineID(fmt.Sprint("n-", i)))
		}
		if got, want := len(tracker.NextScaleIn(limit)), min(limit, MaxScaleIn); got != want {
			t.Errorf("limit %d: %d machines in a batch, want %d", limit, got, want)
		}
	}
}

func TestBeginScaleInBlocksScaleInsUntilItsEnd(t *testing.T) {
	tracker := NewTracker(testToken)
	tracker.QueueScaleIn("n-1")
	if !tracker.BeginScaleIn() || tracker.BeginScaleIn() {
		t.Error("BeginScaleIn twice: got other than true, false")
	}
	if batch := tracker.NextScaleIn(MaxScaleIn); batch != nil {
		t.Errorf("batch %v while a request is in flight, want none", batch)
	}
	tracker.EndScaleIn()
	if batch := tracker.NextScaleIn(MaxScaleIn); len(batch) != 1 {
		t.Errorf("batch %v after the request, want n-1", batch)
	}
}
