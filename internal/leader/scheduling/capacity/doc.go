// Package capacity plans how many machines a cluster needs. It estimates the demands of the
// waiting jobs and describes them, the machines and the cloud's offers to package fleet,
// which decides what to scale out and in and what to cordon.
//
// It starts no I/O, and changes nothing of the cluster's state but the cordons. It is used
// by the goroutine of the term's loop alone.
package capacity
