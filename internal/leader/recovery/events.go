package recovery

import (
	"time"

	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// RecordsRead is an event: all that the key-value store holds for a new leader was read.
type RecordsRead struct {
	Jobs, Progress []wire.Entry
	Version        upgrade.Version
	Intents        autoscaler.EarlierIntents
	StartedAt      time.Time // when the read began

	jobsRevision wire.Revision // of the store when the jobs were read
}

// JobRecordsChanged is an event: a watch of the jobs' records was answered.
type JobRecordsChanged struct {
	Changes   []wire.WatchEvent
	StartedAt time.Time // when the watch began
}

// ResignationDue is an event: the leadership must be given up.
type ResignationDue struct{ Reason string }
