package cluster

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Quarantined tells whether a job is set aside. A cancelled one is not: whatever is on
// machines of it is to be halted.
func (s *State) Quarantined(id wire.JobID) bool {
	if !s.QuarantinedJobs[id] {
		return false
	}
	j := s.Jobs[id]
	return j == nil || !j.Cancelled
}

// Quarantine marks a job of which a record can't be decoded: the job's own, or one of
// its progress. What of the job may be on machines is not known then, so nothing of it
// is started, written, stopped or forgotten until the job is cancelled or a version that
// can decode the record leads: it may have been written by a later one. All other jobs
// go on.
func (s *State) Quarantine(key string, id wire.JobID) {
	s.QuarantinedJobs[id] = true
	if j := s.Jobs[id]; j != nil && key == store.JobKey(id) {
		j.RecordOutdated = true // a write that is guarded by what was known of it would fail
	}
}
