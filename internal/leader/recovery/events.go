package recovery

import (
	"time"

	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// RecordsLoaded is an event: the records that a new leader needs were read from the key-value
// store.
type RecordsLoaded struct {
	Jobs, Progress []wire.Entry
	Version        upgrade.Version
	Intents        autoscaler.EarlierIntents
	StartedAt      time.Time // when the read began

	jobsRevision wire.Revision // revision of the store at which the jobs were read
}

// JobRecordsChanged is an event: a watch of the job records returned, with or without changes.
type JobRecordsChanged struct {
	Changes   []wire.WatchEvent
	StartedAt time.Time // when the watch began
}

// ResignationDue is an event: this process must not lead, and the term has to resign.
type ResignationDue struct{ Reason string }
