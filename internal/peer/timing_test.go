package peer

import "testing"

// The periods and limits of streams satisfy the rules that depend on AckLifetime.
func TestTimingSatisfiesAckLifetimeRules(t *testing.T) {
	const minHeartbeats = 3 // two of them may be lost
	tests := []struct {
		name  string
		holds bool
	}{
		{"several heartbeats fit into AckLifetime", minHeartbeats*heartbeatPeriod < AckLifetime},
		{"idle stream is closed only after its acknowledgements have expired", streamIdleTimeout > AckLifetime},
		{"watchdog closes a stream before it has too many unanswered heartbeats", maxUnansweredHeartbeats*heartbeatPeriod > streamIdleTimeout},
		{"outage limit is much longer than AckLifetime", OutageLimit > 10*AckLifetime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !tt.holds {
				t.Errorf("rule violated by AckLifetime %v, OutageLimit %v, heartbeatPeriod %v, streamIdleTimeout %v, maxUnansweredHeartbeats %d",
					AckLifetime, OutageLimit, heartbeatPeriod, streamIdleTimeout, maxUnansweredHeartbeats)
			}
		})
	}
}
