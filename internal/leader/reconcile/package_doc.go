// Package reconcile compares the heartbeats of agents with what is recorded.
package reconcile
