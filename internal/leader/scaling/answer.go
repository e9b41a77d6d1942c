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
	// PartlyFilled means that fewer machines were started than requested. The offer is not
	// requested again until its backoff ends.
	PartlyFilled
	// NoCapacity means that the cloud refused the offer. The offer is not requested again until
	// its backoff ends.
	NoCapacity
	// Unavailable means that the cloud is busy or down. All scale-out requests are paused.
	Unavailable
	// AlreadyPaused means that the cloud is busy or down, and that an earlier response has
	// already paused all scale-out requests.
	AlreadyPaused
)

// Answer is the cloud's final response to a scale-out request.
type Answer struct {
	// Machines is the number of machines that were started.
	Machines int
	// Err is why the request failed; nil if it did not.
	Err error
}

// FinishScaleOut ends a pending request with the cloud's final response. It returns the outcome
// and the least duration of the backoff or pause that this response begins, 0 if it begins none.
func (t *Tracker) FinishScaleOut(request *PendingScaleOut, answer Answer, now time.Time) (Outcome, time.Duration) {
	delete(t.pending, request.Name)
	backoff := t.backoffOf(request.Offer())
	switch {
	case answer.Err == nil && answer.Machines < request.Count:
		t.pause.reset()
		return PartlyFilled, backoff.backOffAfterPartialFill(now)
	case answer.Err == nil:
		t.pause.reset()
		backoff.reset()
		return Filled, 0
	case isRefusal(answer.Err):
		return NoCapacity, backoff.backOffAfterRefusal(now)
	case t.Paused(now):
		// The request was in flight when an earlier one failed for the same reason. If each
		// request of a plan extended the pause, it would grow to ten seconds at once.
		return AlreadyPaused, 0
	default:
		// The request was certainly not executed. A later plan estimates the demand again.
		return Unavailable, t.pause.extend(now)
	}
}

// backoffOf returns the backoff of an offer, which it adds if there is none.
func (t *Tracker) backoffOf(offer Offer) *offerBackoff {
	backoff := t.backoffs[offer]
	if backoff == nil {
		backoff = &offerBackoff{}
		t.backoffs[offer] = backoff
	}
	return backoff
}

// isRefusal reports whether an error means that the cloud refused the offer itself.
func isRefusal(err error) bool {
	return errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalidRequest)
}

// RetryState decides whether a response to a scale-out request is final. Until one is, the
// request is sent again under the same name.
type RetryState struct {
	// outcomeUnknown means that the request was sent without getting a usable response:
	// machines may have been started.
	outcomeUnknown bool
}

// IsFinal reports whether a response, given by its error, ends the request. Once the request was
// sent without getting a usable response, only its repetition shows which machines were started.
// A response that the cloud is busy or down does not show it, and is not final then.
func (r *RetryState) IsFinal(err error) bool {
	if err != nil && !errors.Is(err, cloud.ErrUnavailable) && !isRefusal(err) {
		r.outcomeUnknown = true
	}
	return err == nil || isRefusal(err) || !r.outcomeUnknown
}
