package wire

import "time"

// Seconds is a duration as the protocol writes it.
type Seconds float64

// Duration converts to the time package's type.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Timestamp is a time of day in milliseconds, comparable between nodes only within the
// bound that the settings give.
type Timestamp int64

// TimestampOf converts a time of day.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time converts to the time package's type.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s)) }
