// Package scheduling decides which tasks start where, which are preempted for others, and
// how many machines the cluster needs.
//
// A scheduling cycle describes the cluster to package placement in a snapshot, starts what
// that has placed, reserves the resources that are being freed for waiting jobs, and names
// the tasks to preempt. Package valuation weighs the jobs, and package capacity plans the
// number of machines.
//
// The package changes the in-memory state of the cluster that it is given, and starts no
// I/O. It is used by the goroutine of the term's loop alone.
package scheduling
