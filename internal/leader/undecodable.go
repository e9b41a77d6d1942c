package leader

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// quarantine notes that a record of a job can't be decoded: the job's own, or one of
// its progress. What of the job may be on machines is not known then, so nothing of
// it is started, written, halted or forgotten until the job is cancelled or a version
// that can decode the record leads: it may have been written by a later one. All
// other jobs go on.
func (rd *records) quarantine(key string, id wire.JobID, err error) {
	rd.leader.Undecodable.Note(key, err)
	rd.state.quarantinedJobs[id] = true
	if j := rd.state.jobs[id]; j != nil && key == store.JobKey(id) {
		j.recordOutdated = true // a write that is guarded by what was known of it would fail
	}
}

// quarantined tells whether a job is set aside. A cancelled one is not: whatever is on
// machines of it is to be halted.
func (s *State) quarantined(id wire.JobID) bool {
	if !s.quarantinedJobs[id] {
		return false
	}
	j := s.jobs[id]
	return j == nil || !j.cancelled
}
