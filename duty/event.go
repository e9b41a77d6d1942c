package duty

import "time"

// EventKind classifies an event. The values are part of the recorded history.
type EventKind string

// The kinds of events.
const (
	LeaseAcquired   EventKind = "acquired"         // the lease was acquired
	TokenRaised     EventKind = "token raised"     // its fencing token was replaced by a higher one
	LeaseResigned   EventKind = "resigned"         // its holder gave it up
	LeaseLost       EventKind = "lost"             // its grant had expired at a renewal
	ActAccepted     EventKind = "act accepted"     // an act was carried out under a permit
	ActRefused      EventKind = "act refused"      // an act was refused, here or by the store
	IntentsRecorded EventKind = "intents recorded" // open intents were written to the store
)

// Event describes a change of a lease, or an act under it.
type Event struct {
	At     time.Time
	Kind   EventKind
	Duty   Name // empty for an event of the lease itself
	Token  FencingToken
	Reason string
}

// Observer receives events. It is called from several goroutines and must not block.
type Observer func(Event)
