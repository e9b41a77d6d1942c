package cluster

import (
	"slices"
	"testing"

	"lilaclead/internal/wire"
)

func TestOutcomesAreTakenOnceTheirTransactionIsCommitted(t *testing.T) {
	s := newTestState(t)
	j := addTestJob(s, wire.KindArray, 4, 4)
	m := s.GetOrAddMachine("n-1")
	c := j.Chunk(0)
	end := func(index int, state TaskState, cause wire.ExitCause, unstored bool) {
		a := addTestAttempt(j, index, m, 2)
		a.ExitCause = cause
		if unstored {
			a.Unstored = true
			c.UnstoredAttempts++
			j.UnstoredAttempts++
		}
		s.EndAttempt(a, state)
	}
	texts := func() (out []string) {
		for _, outcome := range c.TakeStoredOutcomes() {
			out = append(out, outcome.String())
		}
		return out
	}
	end(0, TaskPending, wire.CauseError, false)
	end(1, TaskDone, "", false)
	end(2, TaskPending, "", true) // was never launched
	c.SendOutcomes()
	end(3, TaskPending, "", false) // after the transaction was sent
	c.RevertOutcomes()
	if got := texts(); got != nil {
		t.Errorf("outcomes after the transaction failed: got %v, want none", got)
	}
	c.SendOutcomes()
	if got, want := texts(), []string{"error", "done", "lost or not started"}; !slices.Equal(got, want) {
		t.Errorf("outcomes after the transaction was committed: got %v, want %v", got, want)
	}
	if got := texts(); got != nil {
		t.Errorf("outcomes taken again: got %v, want none", got)
	}
}
