package peer

import "time"

// RecordRenewal records that this node is about to renew a worker's lease as a delegate. It is called before the node checks
// whether it may: an answer to a heartbeat that lacks the renewal was then made before the check, which sees that heartbeat.
func (m *Mesh) RecordRenewal() {
	m.renewedAfter.Store(max(1, int64(time.Since(m.startedAt))))
}

// SinceRenewal returns how long ago this node last renewed a worker's lease as a delegate; 0 if it has not since it started.
func (m *Mesh) SinceRenewal() time.Duration {
	after := time.Duration(m.renewedAfter.Load())
	if after == 0 {
		return 0
	}
	return max(1, time.Since(m.startedAt)-after)
}
