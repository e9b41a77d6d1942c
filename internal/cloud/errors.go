package cloud

import (
	"errors"
	"fmt"
	"net/http"

	"lilaclead/internal/wire"
)

// The classes of failed calls, for errors.Is. Their texts are values of the metrics' outcome label too.
var (
	// ErrNoCapacity means that the cloud has no machine of this type and price in this zone now.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrUnavailable means that there were too many requests, or that the API is down; the request was not executed.
	ErrUnavailable = errors.New("cloud: busy or down")
	// ErrInvalid means that the cloud calls the request malformed.
	ErrInvalid = errors.New("cloud: request refused as invalid")
	// ErrUnknown means that there was no usable answer: the request may have been executed, or may still be.
	ErrUnknown = errors.New("cloud: outcome unknown")
)

// Causes of errors whose answer was well-formed.
var (
	errUnexpectedStatus = errors.New("unexpected status")
	errNoMachineTypes   = errors.New("no machine types")
)

// reasonNoCapacity is the cloud's reason for a 503 that is no outage: it lacks machines of the requested kind.
const reasonNoCapacity = "no capacity"

// Error is a call that failed, other than for the lack of a permit.
type Error struct {
	// Operation is the call that failed.
	Operation Operation
	// Class is ErrNoCapacity, ErrUnavailable, ErrInvalid or ErrUnknown.
	Class error
	// Status is the HTTP status of the answer; 0 if none came, or not the whole of it.
	Status int
	// Cause is why there was no answer, or no usable one; nil where the class says it all.
	Cause error
}

// Error returns the operation, the class, the status and the cause, as far as there are such.
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

// Unwrap returns the class, and the cause of an answer that was not usable. Why there was no answer is not wrapped: a request
// that is under way when the lease ends fails with duty.ErrNotHeld for its cause, which would say that it was not sent.
func (e *Error) Unwrap() []error {
	if e.Cause == nil || e.Status == 0 {
		return []error{e.Class}
	}
	return []error{e.Class, e.Cause}
}

// MaybeExecuted reports whether the cloud may have executed the request, or may still do so.
func (e *Error) MaybeExecuted() bool { return errors.Is(e.Class, ErrUnknown) }

// Retryable reports whether the same request can succeed later, which one that was refused as invalid can't.
func (e *Error) Retryable() bool { return !errors.Is(e.Class, ErrInvalid) }

// outcome returns the error's value of the metrics' outcome label. Dashboards know these texts, so they are independent of
// Error; why a request could not be sent or was not answered is left out, since it differs from call to call.
func (e *Error) outcome() string {
	switch {
	case !errors.Is(e.Class, ErrUnknown) || e.Status == 0:
		return e.Class.Error()
	case e.Status == http.StatusOK:
		return fmt.Sprintf("%v: bad answer: %v", e.Class, e.Cause)
	default:
		return fmt.Sprintf("%v: status %d", e.Class, e.Status)
	}
}

// outcomeOf returns the value of the metrics' outcome label for the result of a call.
func outcomeOf(err error) string {
	if err == nil {
		return "ok"
	}
	var failed *Error
	if errors.As(err, &failed) {
		return failed.outcome()
	}
	return err.Error()
}

// classOfStatus returns the class of an answer that is not 200, with the cause if the class alone does not say it.
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
		return ErrInvalid, nil
	default:
		return ErrUnknown, errUnexpectedStatus
	}
}

// lacksCapacity reports whether the body of a 503 says that the cloud lacks machines, which is no outage.
func lacksCapacity(body []byte) bool {
	var refusal wire.ErrorBody
	return wire.Decode(body, &refusal) == nil && refusal.Error == reasonNoCapacity
}

// classOfTransport returns the class of a request that got no answer. One whose connection could not be opened was
// certainly not executed.
func classOfTransport(err error) error {
	if wire.IsNotSent(err) {
		return ErrUnavailable
	}
	return ErrUnknown
}
