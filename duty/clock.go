package duty

import "time"

// Clock tells the time. Its monotonic reading must advance while the process is paused.
// Its rate may differ from that of the store's clock by at most Timing.Drift.
type Clock interface {
	Now() time.Time
	After(time.Duration) <-chan time.Time
}

// SystemClock is the machine's own clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
