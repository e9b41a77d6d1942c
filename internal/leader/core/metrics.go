package core

import "time"

// Metrics is told what happens; nil functions are not allowed.
type Metrics struct {
	SchedulingCycle func(took time.Duration, starts, halts int)
	BecameLeader    func()
	Heartbeat       func(status string)
	StartDelay      func(lane string, seconds float64)
	Command         func(outcome string)
	TaskMoved       func(why string)
	Fleet           func(what string, n int)
	// Machines is told the number of machines in each state.
	Machines func(map[string]int)
}
