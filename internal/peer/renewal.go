package peer

import "time"

// RecordRenewal records that this node is about to renew an agent's lease as a delegate. It is called
// before the node checks whether it may renew, so that if the response to a heartbeat does not state
// the renewal, the check sees that heartbeat.
func (m *Mesh) RecordRenewal() {
	m.uptimeAtRenewal.Store(max(1, int64(time.Since(m.startedAt))))
}

// SinceRenewal returns how long ago this node last renewed an agent's lease as a delegate; 0 if it has
// not done so since it started.
func (m *Mesh) SinceRenewal() time.Duration {
	renewalUptime := time.Duration(m.uptimeAtRenewal.Load())
	if renewalUptime == 0 {
		return 0
	}
	return max(1, time.Since(m.startedAt)-renewalUptime)
}
