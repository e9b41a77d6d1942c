package upgrade

import (
	"time"

	"lilaclead/duty"
)

// EventKind classifies an event. The values are stored in the history of events.
type EventKind string

// The kinds of events.
const (
	VersionsPublished EventKind = "versions published" // a process published what it supports
	VersionSwitched   EventKind = "version switched"   // the active version was raised
	VersionRefused    EventKind = "version refused"    // a process must not serve
)

// Event describes a decision of a member.
type Event struct {
	At   time.Time
	Kind EventKind
	// Version is the highest supported version in a VersionsPublished event, and the active
	// version in the others: BaseVersion if its record can't be decoded.
	Version Version
	Token   duty.FencingToken // of the lease under which the version was switched; else 0
	Reason  string            // why the process must not serve, or the version before the switch
}
