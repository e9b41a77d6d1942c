package leader

import (
	"lilaclead/internal/wire"
)

// quarantined tells whether a job is set aside. A cancelled one is not: whatever is on
// machines of it is to be halted.
func (s *State) quarantined(id wire.JobID) bool {
	if !s.quarantinedJobs[id] {
		return false
	}
	j := s.jobs[id]
	return j == nil || !j.cancelled
}
