package duty

import (
	"errors"
	"fmt"

	"lilaclead/internal/store"
)

// Errors of a Store.
var (
	// ErrNotFound reports that the key or grant does not exist.
	ErrNotFound = store.ErrNotFound
	// ErrRefused reports that the request was certainly not executed, because the store was
	// unavailable or a rate limit was reached. Retry it after a pause.
	ErrRefused = store.ErrRefused
	// ErrOutcomeUnknown reports that a change may have been executed or may still be. Read
	// the keys that it writes before retrying.
	ErrOutcomeUnknown = store.ErrOutcomeUnknown
	// ErrInvalidRequest reports that the store rejected the request as malformed. Don't
	// retry it.
	ErrInvalidRequest = store.ErrInvalidRequest
)

// Reasons why an act, or an operation on a lease, is refused.
var (
	// ErrGrantExpired reports that the store has ended the lease's grant.
	ErrGrantExpired = errors.New("the grant of the lease has expired")
	// ErrNoHolder reports that nobody holds the lease.
	ErrNoHolder = errors.New("nobody holds the lease")
	// ErrHeldByOther reports that another process holds the lease.
	ErrHeldByOther = errors.New("another process holds the lease")
	// ErrNotHeld reports that the lease may have expired, or that its holder resigned it.
	ErrNotHeld = errors.New("the lease is not certainly held")
	// ErrNoPermit reports that no lease yielded the permit, or that intents were recorded
	// before they were loaded.
	ErrNoPermit = errors.New("no permit")
	// ErrUndecodable reports that a record can't be decoded. Operations that depend on it
	// are refused.
	ErrUndecodable = errors.New("undecodable record")
	// ErrIntentsTooLarge reports that the intents do not fit in one record.
	ErrIntentsTooLarge = errors.New("too many open intents for one record")
)

// LeaseError reports why a lease gives no right to act, or could not be renewed. It is
// final for this lease; the process may campaign for a new one.
type LeaseError struct {
	// Key is the lease's key in the store; empty if the lease has no candidate.
	Key string
	// Token is the fencing token of the lease when the error occurred.
	Token FencingToken
	// Err is ErrNotHeld, ErrHeldByOther, ErrNoHolder or ErrGrantExpired.
	Err error
}

// Error names the lease and the reason.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease %q, token %d: %v", e.Key, e.Token, e.Err)
}

// Unwrap returns the reason.
func (e *LeaseError) Unwrap() error { return e.Err }

// UndecodableError reports a stored record that can't be decoded. errors.Is matches it
// with ErrUndecodable. Retrying is of no use until an operator has removed the record.
type UndecodableError struct {
	// Key is the record's key in the store.
	Key string
	// Err is the decoder's error.
	Err error
}

// Error names the record and the decoder's error.
func (e *UndecodableError) Error() string {
	return fmt.Sprintf("%v %q: %v", ErrUndecodable, e.Key, e.Err)
}

// Unwrap returns ErrUndecodable and the decoder's error.
func (e *UndecodableError) Unwrap() []error { return []error{ErrUndecodable, e.Err} }
