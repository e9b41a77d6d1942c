package scaling

import (
	"errors"
	"time"

	"lilaclead/internal/cloud"
)

// Outcome is the outcome of a scale-out request.
type Outcome int

// The outcomes of a scale-out request.
const (
	// Filled means that all machines were started.
	Filled Outcome = iota
	// PartlyFilled means that fewer machines were started; the offer is backed off from.
	PartlyFilled
	// NoCapacity means that the cloud refused the offer, which is backed off from.
	NoCapacity
	// Unavailable means that the cloud is busy or down; all requests are paused.
	Unavailable
	// AlreadyKnown means that the cloud is unavailable, as an earlier answer has shown.
	AlreadyKnown
)

// Answer is the cloud's final answer to a scale-out request.
type Answer struct {
	// Machines is the number of machines that were started.
	Machines int
	// Err is why the request failed; nil if it did not.
	Err error
}

// FinishScaleOut ends a request with the cloud's final answer. It returns the outcome, and
// how long the offer is backed off from or all requests are paused.
func (t *Tracker) FinishScaleOut(request *PendingScaleOut, answer Answer, now time.Time) (Outcome, time.Duration) {
	delete(t.pending, request.Name)
	backoff := t.backoffOf(request.Offer())
	switch {
	case answer.Err == nil && answer.Machines < request.Count:
		t.pause.reset()
		return PartlyFilled, backoff.partlyFilled(now)
	case answer.Err == nil:
		t.pause.reset()
		backoff.reset()
		return Filled, 0
	case refused(answer.Err):
		return NoCapacity, backoff.refused(now)
	case t.Paused(now):
		// The request was in flight when an earlier one failed for the same cause. When
		// each of a plan's requests lengthened the pause, it grew to ten seconds at once.
		return AlreadyKnown, 0
	default:
		// The request was certainly not executed; the demand is estimated anew later.
		return Unavailable, t.pause.extend(now)
	}
}

// backoffOf returns the backoff of an offer.
func (t *Tracker) backoffOf(offer Offer) *offerBackoff {
	backoff := t.backoffs[offer]
	if backoff == nil {
		backoff = &offerBackoff{}
		t.backoffs[offer] = backoff
	}
	return backoff
}

// refused reports whether the cloud has refused the offer itself.
func refused(err error) bool {
	return errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalid)
}

// RetryState decides which answer to a scale-out request is final. The request is sent
// again under its name until one is.
type RetryState struct {
	// outcomeUnknown means that an answer was lost: machines may have been started.
	outcomeUnknown bool
}

// Final reports whether an answer ends the request. After a lost answer only a repeated
// request shows what was started; that the cloud is busy then shows nothing.
func (r *RetryState) Final(err error) bool {
	if err != nil && !errors.Is(err, cloud.ErrUnavailable) && !refused(err) {
		r.outcomeUnknown = true
	}
	return err == nil || refused(err) || !r.outcomeUnknown
}
