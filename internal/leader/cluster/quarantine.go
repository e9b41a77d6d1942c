package cluster

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// IsQuarantined reports whether a job is quarantined. A cancelled one is not: whatever of it
// is on machines is to be stopped.
func (t *JobTable) IsQuarantined(id wire.JobID) bool {
	if !t.QuarantinedJobs[id] {
		return false
	}
	j := t.Jobs[id]
	return j == nil || !j.Cancelled
}

// Quarantine marks a job of which the record under the key can't be decoded: the job's own,
// or one of its progress. What of the job may be on machines is not known then, so nothing
// of it is started, written, stopped or forgotten until the job is cancelled, or a version
// that can decode the record leads: it may have been written by a later one. All other jobs
// go on.
func (t *JobTable) Quarantine(key string, id wire.JobID) {
	t.QuarantinedJobs[id] = true
	if j := t.Jobs[id]; j != nil && key == store.JobKey(id) {
		j.RecordOutdated = true // a write that is guarded by what was known of it would fail
	}
}
