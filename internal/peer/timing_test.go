package peer

import "testing"

// The periods and limits of streams fit the rules that rest on AckLifetime.
func TestTimingRules(t *testing.T) {
	const leastHeartbeats = 3 // of which two may be lost
	tests := []struct {
		name  string
		holds bool
	}{
		{"several heartbeats fit into AckLifetime", leastHeartbeats*heartbeatPeriod < AckLifetime},
		{"idle stream is closed once its acknowledgements have expired", streamIdleTimeout > AckLifetime},
		{"watchdog closes a stream before its unanswered heartbeats are too many", maxUnanswered*heartbeatPeriod > streamIdleTimeout},
		{"outage limit spans many acknowledgements", OutageLimit > 10*AckLifetime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !tt.holds {
				t.Errorf("AckLifetime %v, OutageLimit %v, heartbeatPeriod %v, streamIdleTimeout %v, maxUnanswered %d",
					AckLifetime, OutageLimit, heartbeatPeriod, streamIdleTimeout, maxUnanswered)
			}
		})
	}
}
