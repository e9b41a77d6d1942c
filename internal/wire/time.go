package wire

import "time"

// Seconds is a duration in the protocol's unit.
type Seconds float64

// Duration converts to the time package's type.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Timestamp is a wall-clock time in milliseconds since the Unix epoch. Timestamps of
// different nodes are comparable only within the clock skew that the settings allow.
type Timestamp int64

// TimestampOf converts from the time package's type. It drops fractions of a millisecond.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) }

// Time converts to the time package's type.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t)) }
