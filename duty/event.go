package duty

import "time"

// EventKind classifies an event. Its values are stored in the recorded history.
type EventKind string

// The kinds of events.
const (
	LeaseAcquired   EventKind = "acquired"         // the lease was acquired
	TokenRaised     EventKind = "token raised"     // its fencing token was replaced by a higher one
	LeaseResigned   EventKind = "resigned"         // its holder gave it up
	LeaseLost       EventKind = "lost"             // a renewal found that its grant had expired
	ActAccepted     EventKind = "act accepted"     // an act was carried out under a permit
	ActRefused      EventKind = "act refused"      // an act was refused, by this process or by the store
	IntentsRecorded EventKind = "intents recorded" // open intents were written to the store
)

// Event describes a change to a lease, or an act that was carried out or refused under it.
type Event struct {
	At     time.Time
	Kind   EventKind
	Duty   Name // empty for an event of the lease itself
	Token  FencingToken
	Reason string // why the lease was lost or the act refused; or how many intents are open
}

// Observer receives events. It is called from several goroutines and must not block.
type Observer func(Event)
