// Package capacity plans how many machines a cluster needs. It estimates the demands of the
// waiting jobs and describes them, the machines and the cloud's offers to package fleet,
// which decides what to scale out and in and what to cordon.
//
// It does no I/O, and changes only the cordons in the cluster's state.
// Only the goroutine of the term's loop may call it.
package capacity
