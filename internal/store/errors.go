package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// The causes for which a request fails. A Client returns an OpError that wraps one of them,
// to be tested with errors.Is, or a ConflictError. Their texts are label values of the
// metric lilaclead_call_seconds and must not change.
var (
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.New("state: no such key or grant")
	// ErrRefused means that the request was certainly not executed: the store responded
	// with 429 or 503, no connection to it could be opened, or this node did not send the
	// request, since its budget did not allow it in time or the store was in an outage.
	ErrRefused = errors.New("state: refused")
	// ErrRateLimited is an ErrRefused: the request was over the rate limit of the store
	// or of this node's budget. It may succeed a moment later.
	ErrRateLimited = fmt.Errorf("%w: over the rate", ErrRefused)
	// ErrOutcomeUnknown means that there was no usable response: a change may have been
	// executed, or may still be.
	ErrOutcomeUnknown = errors.New("state: outcome unknown")
	// ErrCompacted means that a watch can't return the changes, since they are no longer
	// kept or are too many for one response. The keys must be listed instead.
	ErrCompacted = errors.New("state: revision too old")
	// ErrResponseTooLarge means that the response is larger than this client accepts.
	ErrResponseTooLarge = errors.New("state: answer too large")
	// ErrInvalidRequest means that the store considers the request malformed.
	ErrInvalidRequest = errors.New("state: request refused as invalid")
)

// OpError reports which operation on which key failed, and why.
type OpError struct {
	// Op is the operation by the name that the metrics use, such as "get" or "txn".
	Op string
	// Key is the object of the operation: a key, a prefix, the keys of a transaction, or a
	// lease. It is empty if a lease could not be created.
	Key string
	// Err is the cause and wraps one of the sentinel errors of this package.
	Err error
}

// Error returns the operation, its object and the cause.
func (e *OpError) Error() string {
	if e.Key == "" {
		return e.Op + ": " + e.Err.Error()
	}
	return e.Op + " " + e.Key + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *OpError) Unwrap() error { return e.Err }

// MaybeExecuted reports whether the store may have executed the request, or may still
// do so. The caller must then read the keys that it was to change before a retry.
func (e *OpError) MaybeExecuted() bool {
	return errors.Is(e.Err, ErrOutcomeUnknown) || errors.Is(e.Err, ErrResponseTooLarge)
}

// Retryable reports whether the same request may succeed later. For any other cause it
// fails again until the stored data or the store's limits change.
func (e *OpError) Retryable() bool {
	return errors.Is(e.Err, ErrRefused) || errors.Is(e.Err, ErrOutcomeUnknown)
}

// ConflictError lists the keys of a transaction whose guards failed.
type ConflictError struct{ FailedKeys []string }

// Error returns the keys whose guards failed.
func (e *ConflictError) Error() string {
	return "state: guards failed: " + strings.Join(e.FailedKeys, ",")
}

// HasKey reports whether the guard on the key failed.
func (e *ConflictError) HasKey(key string) bool { return slices.Contains(e.FailedKeys, key) }
