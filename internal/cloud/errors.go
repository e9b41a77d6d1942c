package cloud

import (
	"errors"
	"fmt"
	"net/http"

	"lilaclead/internal/wire"
)

// The classes of failed calls, for errors.Is. Their texts are also values of the "outcome" label of
// the metrics.
var (
	// ErrNoCapacity means that the cloud currently has no machine of the requested type and price in
	// the requested zone.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrUnavailable means that the request was not executed: there were too many requests, or the
	// API is down.
	ErrUnavailable = errors.New("cloud: busy or down")
	// ErrInvalidRequest means that the cloud rejected the request as malformed.
	ErrInvalidRequest = errors.New("cloud: request refused as invalid")
	// ErrOutcomeUnknown means that there was no usable response: the request may have been executed,
	// or may still be.
	ErrOutcomeUnknown = errors.New("cloud: outcome unknown")
)

// Causes of errors whose response was well-formed.
var (
	errUnexpectedStatus = errors.New("unexpected status")
	errNoMachineTypes   = errors.New("no machine types")
)

// reasonNoCapacity is the error text in the body of a 503 response if the cloud is up, but lacks
// machines of the requested type.
const reasonNoCapacity = "no capacity"

// Error describes a failed call. Calls without a permit fail with errors of package duty instead.
type Error struct {
	// Operation is the operation of the failed call.
	Operation Operation
	// Class is ErrNoCapacity, ErrUnavailable, ErrInvalidRequest or ErrOutcomeUnknown.
	Class error
	// Status is the HTTP status of the response; 0 if no complete response was received.
	Status int
	// Cause is why there was no response, or no usable one; nil if Class says enough.
	Cause error
}

// Error returns the operation and the class, followed by the status and the cause if they are set.
func (e *Error) Error() string {
	text := string(e.Operation) + ": " + e.Class.Error()
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the class and, if a complete response was received, the cause. It hides why there
// was none: for a request that is in flight when the lease ends, the cause is duty.ErrNotHeld, which
// would tell callers that the request was not sent.
func (e *Error) Unwrap() []error {
	if e.Cause == nil || e.Status == 0 {
		return []error{e.Class}
	}
	return []error{e.Class, e.Cause}
}

// MaybeExecuted reports whether the cloud may have executed the request, or may still execute it.
func (e *Error) MaybeExecuted() bool { return errors.Is(e.Class, ErrOutcomeUnknown) }

// Retryable reports whether the same request can succeed later. Only an invalid request can't.
func (e *Error) Retryable() bool { return !errors.Is(e.Class, ErrInvalidRequest) }

// outcomeLabel returns the value of the "outcome" label of the metrics for the error. Dashboards
// match these texts, so they don't depend on the text of Error. They omit why a request could not be
// sent or got no response, since that differs from call to call.
func (e *Error) outcomeLabel() string {
	switch {
	case !errors.Is(e.Class, ErrOutcomeUnknown) || e.Status == 0:
		return e.Class.Error()
	case e.Status == http.StatusOK:
		return fmt.Sprintf("%v: bad answer: %v", e.Class, e.Cause)
	default:
		return fmt.Sprintf("%v: status %d", e.Class, e.Status)
	}
}

// outcomeOf returns the value of the "outcome" label of the metrics for the result of a call.
func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	var callErr *Error
	if errors.As(err, &callErr) {
		return callErr.outcomeLabel()
	}
	return err.Error()
}

// classOfStatus returns the class of a response whose status is not 200. It returns a cause only if
// the class doesn't say enough.
func classOfStatus(status int, body []byte) (class, cause error) {
	switch status {
	case http.StatusTooManyRequests:
		return ErrUnavailable, nil
	case http.StatusServiceUnavailable:
		if lacksCapacity(body) {
			return ErrNoCapacity, nil
		}
		return ErrUnavailable, nil
	case http.StatusBadRequest:
		return ErrInvalidRequest, nil
	default:
		return ErrOutcomeUnknown, errUnexpectedStatus
	}
}

// lacksCapacity reports whether the body of a 503 response says that the cloud lacks machines, rather
// than that it is down.
func lacksCapacity(body []byte) bool {
	var refusal wire.ErrorBody
	return wire.Decode(body, &refusal) == nil && refusal.Error == reasonNoCapacity
}

// classOfTransportError returns the class of a request that got no complete response. If its
// connection could not be opened, it was certainly not executed.
func classOfTransportError(err error) error {
	if wire.IsNotSent(err) {
		return ErrUnavailable
	}
	return ErrOutcomeUnknown
}
