package cluster

import "time"

const (
	// minCycleInterval is the least time from the beginning of a scheduling cycle to the
	// beginning of a requested one.
	minCycleInterval = 100 * time.Millisecond
	// cycleIntervalFactor is the least time from the beginning of the last cycle to the
	// beginning of a requested one, in durations of the last cycle. So requested cycles take
	// at most a quarter of the time, however long they are.
	cycleIntervalFactor = 4
	// cycleGatherTime is the delay from a request to its cycle, in which further events are
	// gathered for the same cycle.
	cycleGatherTime = 10 * time.Millisecond
)

// cycleTimer determines when the next scheduling cycle is due.
type cycleTimer struct {
	Requested    bool
	LastAt       time.Time // when the last cycle began
	LastDuration time.Duration
	notBefore    time.Time // a requested cycle begins only after this time
}

// Due reports whether a requested cycle may begin, or maxInterval has passed since
// the last one began.
func (t *cycleTimer) Due(now time.Time, maxInterval time.Duration) bool {
	requestDue := t.Requested && now.After(t.notBefore)
	return requestDue || now.Sub(t.LastAt) >= maxInterval
}

// Begin records the beginning of a cycle, which serves the request if there is one.
func (t *cycleTimer) Begin(now time.Time) { t.LastAt, t.Requested = now, false }

// request records a request and sets the time after which its cycle may begin.
func (t *cycleTimer) request(now time.Time) {
	t.Requested = true
	interval := max(minCycleInterval, cycleIntervalFactor*t.LastDuration)
	t.notBefore = LaterOf(now.Add(cycleGatherTime), t.LastAt.Add(interval))
}

// RequestCycle asks for a scheduling cycle soon. Further requests do not delay it.
func (s *State) RequestCycle() {
	if !s.CycleTimer.Requested {
		s.CycleTimer.request(time.Now())
	}
}
