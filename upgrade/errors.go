package upgrade

import (
	"errors"
	"fmt"
)

// Reasons why a controller must not serve.
var (
	// ErrActiveUnknown reports that this process has not read the active version yet, and
	// that no other controller has reported it.
	ErrActiveUnknown = errors.New("the active version is not known yet")
	// ErrNotPublished reports that this process has not yet published what it supports.
	ErrNotPublished = errors.New("the versions of this process are not published yet")
	// ErrProgramTooOld reports that the active version is above those this program supports.
	ErrProgramTooOld = errors.New("this program is too old for the active version")
	// ErrProgramTooNew reports that the active version is below those this program supports.
	ErrProgramTooNew = errors.New("this program is too new for the active version")
	// ErrProcessReplaced reports that another process has published under this controller's
	// name after this one.
	ErrProcessReplaced = errors.New("another process serves under this controller's name")
	// ErrUndecodable reports that a record of versions can't be decoded.
	ErrUndecodable = errors.New("undecodable record of versions")
)

// ErrNotReady reports that a controller or the operators' limit blocks the next version, or
// that there is no next version.
var ErrNotReady = errors.New("not every controller supports the next version")

// UnsupportedVersionError reports that a program does not support the active version. It
// wraps ErrProgramTooOld or ErrProgramTooNew. Retrying with the same program is of no use
// while that version is active.
type UnsupportedVersionError struct {
	Active    Version
	Supported Range
}

// Error states the active version and the supported ones.
func (e *UnsupportedVersionError) Error() string {
	return fmt.Sprintf("%v: version %d is active, supported are %v", e.Unwrap(), e.Active, e.Supported)
}

// Unwrap returns ErrProgramTooOld or ErrProgramTooNew.
func (e *UnsupportedVersionError) Unwrap() error {
	if e.Active > e.Supported.Max {
		return ErrProgramTooOld
	}
	return ErrProgramTooNew
}

// UndecodableError reports a record of versions that can't be decoded. It wraps
// ErrUndecodable. Retrying is of no use until an operator has removed the record.
type UndecodableError struct {
	// Key is the key of the record in the store.
	Key string
}

// Error states the key of the record.
func (e *UndecodableError) Error() string { return fmt.Sprintf("%v: %s", ErrUndecodable, e.Key) }

// Unwrap returns ErrUndecodable.
func (e *UndecodableError) Unwrap() error { return ErrUndecodable }
