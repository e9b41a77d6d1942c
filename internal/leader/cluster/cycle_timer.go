package cluster

import "time"

const (
	// minCyclePause is the least time between the beginnings of two requested scheduling
	// cycles.
	minCyclePause = 100 * time.Millisecond
	// cyclePauseFactor: a requested cycle begins so many times the duration of the last
	// one after the beginning of that, so that at most a quarter of the time goes to
	// cycles, however large they are.
	cyclePauseFactor = 4
	// cycleGatherTime is how long further events are gathered before a requested cycle.
	cycleGatherTime = 10 * time.Millisecond
)

// cycleTimer determines when the next scheduling cycle is due.
type cycleTimer struct {
	Requested    bool
	LastAt       time.Time // when the last cycle began
	LastDuration time.Duration
	notBefore    time.Time // when a requested cycle may begin
}

// Due reports whether a requested cycle may begin, or one is due without a request.
func (t *cycleTimer) Due(now time.Time, maxInterval time.Duration) bool {
	requestDue := t.Requested && now.After(t.notBefore)
	return requestDue || now.Sub(t.LastAt) >= maxInterval
}

// Begin records that a cycle begins.
func (t *cycleTimer) Begin(now time.Time) { t.LastAt, t.Requested = now, false }

// request schedules a requested cycle.
func (t *cycleTimer) request(now time.Time) {
	t.Requested = true
	pause := max(minCyclePause, cyclePauseFactor*t.LastDuration)
	t.notBefore = LaterOf(now.Add(cycleGatherTime), t.LastAt.Add(pause))
}

// RequestCycle asks for a scheduling cycle soon. Further requests don't put it off.
func (s *State) RequestCycle() {
	if !s.CycleTimer.Requested {
		s.CycleTimer.request(time.Now())
	}
}
