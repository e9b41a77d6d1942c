package upgrade

import "fmt"

// Version is a version of the controllers' behaviour: what a controller writes, and what it
// must be able to read.
type Version uint64

// BaseVersion is the active version while none is recorded. Records of programs
// that don't negotiate versions are of this version.
const BaseVersion Version = 1

// Range is the versions from Min to Max, both included, that a program supports. The program
// reads what was written under each of them, and behaves as the active one requires.
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

// Validate returns an error if Min is below BaseVersion or Max is below Min.
func (r Range) Validate() error {
	if r.Min < BaseVersion || r.Max < r.Min {
		return fmt.Errorf("invalid version range %v: minimum must be %d or more, maximum must not be below the minimum", r, BaseVersion)
	}
	return nil
}
