package cluster

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// IsQuarantined reports whether a job is quarantined. A cancelled job is not, because all of
// its tasks on machines are to be stopped.
func (t *JobTable) IsQuarantined(id wire.JobID) bool {
	if !t.QuarantinedJobs[id] {
		return false
	}
	j := t.Jobs[id]
	return j == nil || !j.Cancelled
}

// Quarantine marks a job whose record under the key can't be decoded: the job's own record,
// or one of its progress. A later version may have written it. Which tasks of the job may be
// on machines is then unknown, so nothing of the job is started, written, stopped or
// forgotten until the job is cancelled, or a version that can decode the record leads. Other
// jobs are not affected.
func (t *JobTable) Quarantine(key string, id wire.JobID) {
	t.QuarantinedJobs[id] = true
	if j := t.Jobs[id]; j != nil && key == store.JobKey(id) {
		j.RecordOutdated = true // a write guarded by its known revision would fail
	}
}
