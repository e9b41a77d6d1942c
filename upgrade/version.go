package upgrade

import "fmt"

// Version numbers the behaviour: what is written, and what must be understood.
type Version uint64

// BaseVersion is the version that is active where none was ever recorded: what was written
// before versions were negotiated.
const BaseVersion Version = 1

// Range is the versions that a program supports. It reads what was written under each of
// them, and behaves as the active one demands.
type Range struct{ Min, Max Version }

// Contains reports whether a version is supported.
func (r Range) Contains(v Version) bool { return r.Min <= v && v <= r.Max }

// check returns an *UnsupportedVersionError if a version is not supported.
func (r Range) check(v Version) error {
	if r.Contains(v) {
		return nil
	}
	return &UnsupportedVersionError{Active: v, Supported: r}
}

// String returns both ends of the range.
func (r Range) String() string { return fmt.Sprintf("%d to %d", r.Min, r.Max) }

// Validate returns an error unless the range goes up from BaseVersion at least.
func (r Range) Validate() error {
	if r.Min < BaseVersion || r.Max < r.Min {
		return fmt.Errorf("versions %v: must go up from %d at least", r, BaseVersion)
	}
	return nil
}
