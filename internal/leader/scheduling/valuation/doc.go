// Package valuation weighs the waiting jobs of a cluster against each other: by priority,
// quota, deadline and service-level objectives. It reads the state of the cluster and
// changes nothing.
package valuation
