// Package scaling keeps account of a leader's requests to the cloud: scale-out requests
// that are not yet answered, offers that were refused and are backed off from, and machines
// that wait to be scaled in. It does no I/O and reads no clock: its owner asks it for the
// next request, sends that, and reports the answer.
package scaling
