package election

import (
	"math"
	"testing"
	"time"

	"lilaclead/internal/peer"
)

// A leader that not all others acknowledge answers no longer than a node may be a
// delegate, whatever arrives late from those it has lost. While all acknowledge,
// peer.OutageLimit after the end of its grant is the bound.
func TestOutageLimitDependsOnOldestAck(t *testing.T) {
	now := time.Now()
	takenAt := now.Add(-40 * time.Second)
	at := func(seconds float64) time.Time {
		return takenAt.Add(time.Duration(seconds * float64(time.Second)))
	}
	const delegationTime = 22 * time.Second
	// The last successful renewal was sent 10 s into the term.
	lease := NewLease(nil, Tenure{AcquiredAt: takenAt, ValidUntil: at(10).Add(safeTTL)})
	for _, c := range []struct {
		name         string
		ackB, ackC   float64 // when the others' last acknowledgements were asked for
		wantDeadline float64
	}{
		{"all acknowledge", 39.5, 39.5, 44},
		{"one lost before the lease expired", 39.5, 20, 32},
		{"one lost lately", 39.5, 33, 37},
		{"none ever acknowledged", 0, 0, 32},
	} {
		t.Run(c.name, func(t *testing.T) {
			oldest := at(min(c.ackB, c.ackC))
			got := lease.outageLimit(oldest, delegationTime).Round(time.Second).Seconds()
			if got != math.Round(c.wantDeadline) && got != math.Round(c.wantDeadline-0.5) {
				t.Errorf("acknowledgements asked for at %v and %v s: may answer until %v s, want %v", c.ackB, c.ackC, got, c.wantDeadline)
			}
		})
	}
	most := 10*time.Second + leaseTTL + peer.OutageLimit
	if got := lease.outageLimit(now, 0); got > most || got < most-time.Second {
		t.Errorf("without delegates: may answer until %v, want just below %v", got, most)
	}
}

func TestLeaseAnswersOnlyWhileMajorityAcknowledges(t *testing.T) {
	now := time.Now()
	takenAt := now.Add(-40 * time.Second)
	lease := NewLease(nil, Tenure{AcquiredAt: takenAt, ValidUntil: takenAt.Add(10*time.Second + safeTTL)})
	lease.RecordAcks(now.Add(-time.Second), now, 0)
	if lease.MayAnswerHeartbeats() {
		t.Error("acknowledgements of the majority too old: answers, want not")
	}
	lease.RecordAcks(now.Add(time.Second), now, 0)
	if !lease.MayAnswerHeartbeats() || lease.Deciding() {
		t.Errorf("acknowledged by a majority: answers %v, decides %v, want true, false", lease.MayAnswerHeartbeats(), lease.Deciding())
	}
}

func TestPollIntervalKeepsWithinStoreRate(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		rps  float64
		want time.Duration
	}{
		{"no other node", 1, 1, minPollInterval},
		{"plenty of calls", 3, 1000, minPollInterval},
		{"a sixth of the calls", 5, 24, time.Second},
		{"few calls", 5, 1, maxPollInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := pollSettings(c.size, c.rps)
			if got := pollInterval(&settings); got != c.want {
				t.Errorf("size %d, %v calls a second: every %v, want %v", c.size, c.rps, got, c.want)
			}
		})
	}
}
