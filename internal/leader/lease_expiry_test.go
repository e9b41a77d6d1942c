package leader

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
)

// The tasks of an unresponsive machine count as active until its lease has expired even by
// the slowest clock. The lease is counted from the latest time at which any node can have
// answered a heartbeat of the machine.
func TestTasksEndExactlyWhenTheLeaseExpires(t *testing.T) {
	const clockDriftDivisor = 500
	lease := 16*time.Second + 16*time.Second/clockDriftDivisor + 1500*time.Millisecond
	cases := []struct {
		name  string
		setup func(tm *term, m *cluster.Machine)
		// renewedAt is the latest time at which the lease can have been renewed.
		renewedAt func(tm *term, m *cluster.Machine) time.Time
	}{
		{
			"answered by this leader",
			func(tm *term, m *cluster.Machine) { m.LastResponseAt = tm.state.TermStartedAt.Add(5 * time.Second) },
			func(_ *term, m *cluster.Machine) time.Time { return m.LastResponseAt },
		},
		{
			"only probed: an earlier leader may have answered until the agent saw this term's token",
			func(tm *term, m *cluster.Machine) { m.TokenSeenAt = tm.state.TermStartedAt.Add(time.Second) },
			func(_ *term, m *cluster.Machine) time.Time { return m.TokenSeenAt },
		},
		{
			"in a new epoch, which may have begun just before its first heartbeat",
			func(tm *term, m *cluster.Machine) {
				m.LastResponseAt = tm.state.TermStartedAt
				m.EpochSince = tm.state.TermStartedAt.Add(15 * time.Second)
			},
			func(_ *term, m *cluster.Machine) time.Time { return m.EpochSince },
		},
		{
			"never heard, a quorum acknowledges the token",
			func(tm *term, m *cluster.Machine) {
				m.Token, tm.state.QuorumAckedAt = 0, tm.state.TermStartedAt.Add(time.Second)
			},
			func(tm *term, _ *cluster.Machine) time.Time { return tm.state.QuorumAckedAt.Add(peer.AckLifetime) },
		},
		{
			"never heard, no quorum",
			func(tm *term, m *cluster.Machine) { m.Token = 0 },
			func(tm *term, _ *cluster.Machine) time.Time { return tm.state.TermStartedAt.Add(peer.OutageLimit) },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, m, a := newTestTerm(t)
			c.setup(tm, m)
			expiry := c.renewedAt(tm, m).Add(lease)
			tm.monitor.ExpireLease(m, expiry.Add(-time.Millisecond))
			if got := a.Job.ActiveTasks; got != 1 {
				t.Errorf("active tasks just before the lease expires: got %d, want 1", got)
			}
			tm.monitor.ExpireLease(m, expiry)
			if got := a.Job.ActiveTasks; got != 0 {
				t.Errorf("active tasks when the lease has expired: got %d, want 0", got)
			}
		})
	}
}
