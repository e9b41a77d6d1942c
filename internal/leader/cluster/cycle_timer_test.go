package cluster

import (
	"testing"
	"time"
)

func TestRequestedCycleWaitsForGatherTimeAndMinimumInterval(t *testing.T) {
	const gatherTime, minInterval = 10 * time.Millisecond, 100 * time.Millisecond
	tests := map[string]struct {
		sinceLast    time.Duration // since the last cycle began
		lastDuration time.Duration
		wantIn       time.Duration // from the request
	}{
		"long after the last":            {time.Minute, 0, gatherTime},
		"soon after a short cycle":       {40 * time.Millisecond, 0, minInterval - 40*time.Millisecond},
		"just before the interval's end": {95 * time.Millisecond, 0, gatherTime},
		"soon after a long cycle":        {600 * time.Millisecond, 500 * time.Millisecond, 1400 * time.Millisecond},
		"a while after a long cycle":     {3 * time.Second, 500 * time.Millisecond, gatherTime},
		"after a cycle of 25 ms":         {40 * time.Millisecond, 25 * time.Millisecond, 60 * time.Millisecond},
		"after a cycle of 26 ms, late":   {99 * time.Millisecond, 26 * time.Millisecond, gatherTime},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			before := time.Now()
			s.CycleTimer.Begin(before.Add(-tt.sinceLast))
			s.CycleTimer.LastDuration = tt.lastDuration
			s.RequestCycle()
			after := time.Now()
			if earliest := before.Add(tt.wantIn); s.CycleTimer.Due(earliest, time.Hour) {
				t.Errorf("due %v after the request, want later", tt.wantIn)
			}
			if latest := after.Add(tt.wantIn + time.Microsecond); !s.CycleTimer.Due(latest, time.Hour) {
				t.Errorf("not due %v after the request", tt.wantIn)
			}
		})
	}
}

func TestCycleIsDueByIntervalOrRequest(t *testing.T) {
	s := newTestState(t)
	now := time.Now()
	s.CycleTimer.Begin(now)
	if s.CycleTimer.Due(now.Add(59*time.Second), time.Minute) {
		t.Error("due without a request before the interval is over")
	}
	if !s.CycleTimer.Due(now.Add(time.Minute), time.Minute) {
		t.Error("not due without a request once the interval is over")
	}
	s.RequestCycle()
	first := s.CycleTimer
	s.CycleTimer.LastDuration = time.Hour
	s.RequestCycle()
	if s.CycleTimer.notBefore != first.notBefore {
		t.Errorf("a second request delays the cycle from %v to %v", first.notBefore, s.CycleTimer.notBefore)
	}
	if !s.CycleTimer.Due(now.Add(30*time.Second), time.Minute) {
		t.Error("requested cycle is not due")
	}
	s.CycleTimer.Begin(now.Add(30 * time.Second))
	if s.CycleTimer.Requested || s.CycleTimer.Due(now.Add(31*time.Second), time.Minute) {
		t.Error("request still pending, or cycle due, after the cycle began")
	}
}
