// Package scaling tracks a leader's requests to the cloud: the scale-out requests that are
// not yet answered, the offers that are backed off from because the cloud refused them or
// did not fill them, and the machines that wait to be scaled in. It does no I/O and reads no
// clock: the caller gets the next request from it, sends the request and reports the response.
package scaling
