// Package scheduling decides which tasks start where, which are preempted for others, and
// how many machines the cluster needs.
//
// A scheduling cycle passes a snapshot of the cluster to package placement. It starts the
// tasks that placement assigns to machines, reserves the resources that are being freed for
// waiting jobs, and returns the tasks to preempt. Package valuation weighs the jobs, and
// package capacity plans the number of machines.
//
// The package changes the in-memory cluster state that it is given, and does no I/O. Only
// the goroutine of the term's loop may call it.
package scheduling
