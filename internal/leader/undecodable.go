package leader

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// setAside notes that a record of a job can't be decoded: the job's own, or one of
// its progress. What of the job may be on machines is not known then, so nothing of
// it is started, written, halted or forgotten until the job is cancelled or a version
// that can decode the record leads: it may have been written by a later one. All
// other jobs go on.
func (t *term) setAside(key string, id wire.JobID, err error) {
	t.l.Undecodable.Note(key, err)
	t.undecodable[id] = true
	if j := t.jobs[id]; j != nil && key == store.JobKey(id) {
		j.stale = true // a write that is guarded by what was known of it would fail
	}
}

// isAside tells whether a job is set aside. A cancelled one is not: whatever is on
// machines of it is to be halted.
func (t *term) isAside(id wire.JobID) bool {
	if !t.undecodable[id] {
		return false
	}
	j := t.jobs[id]
	return j == nil || !j.cancelled
}
