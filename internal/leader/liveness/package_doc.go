// Package liveness detects machines that fail and leases that have expired.
package liveness
