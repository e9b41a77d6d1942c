package core

import "time"

// Metrics holds the functions by which a leader updates its metrics. None may be nil.
type Metrics struct {
	SchedulingCycle func(duration time.Duration, starts, preemptions int)
	BecameLeader    func()
	Heartbeat       func(outcome string)
	StartDelay      func(class string, seconds float64)
	Command         func(outcome string)
	TaskInterrupted func(reason string)
	FleetChange     func(change string, machines int)
	// ScaleOutHolds sets the number of jobs for which no machines are requested, by reason.
	ScaleOutHolds func(byReason map[string]int)
	// Machines sets the number of machines in each state.
	Machines func(byState map[string]int)
}
