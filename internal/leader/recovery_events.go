package leader

import (
	"time"

	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// recordsRead is all that the state service holds for a new leader.
type recordsRead struct {
	jobs, progress []wire.Entry
	version        upgrade.Version
	intents        autoscaler.EarlierIntents
	startedAt      time.Time // when the read began
}

// jobRecordsChanged is the answer to one watch of the jobs' records.
type jobRecordsChanged struct {
	changes   []wire.Change
	startedAt time.Time // when the watch began
}

// resignationDue says that the leadership must be given up.
type resignationDue struct{ reason string }
