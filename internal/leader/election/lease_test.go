package election

import (
	"math"
	"testing"
	"time"

	"lilaclead/internal/peer"
)

// A leader whose token not all other nodes acknowledge answers no longer than a node may be a
// delegate, even if delayed acknowledgements still arrive. While all acknowledge, the bound is
// peer.OutageLimit after the end of its grant.
func TestOutageLimitDependsOnOldestAck(t *testing.T) {
	now := time.Now()
	acquiredAt := now.Add(-40 * time.Second)
	at := func(seconds float64) time.Time {
		return acquiredAt.Add(time.Duration(seconds * float64(time.Second)))
	}
	const delegationTime = 22 * time.Second
	// The last successful renewal was sent 10 s into the term.
	lease := NewLease(nil, Acquisition{AcquiredAt: acquiredAt, ValidUntil: at(10).Add(safeTTL)})
	// The times of a case are in seconds since the lease was acquired.
	for _, c := range []struct {
		name         string
		ackB, ackC   float64 // when the others' last acknowledgements were requested
		wantDeadline float64
	}{
		{"all acknowledge", 39.5, 39.5, 44},
		{"one out of contact for 20 s", 39.5, 20, 32},
		{"one out of contact for 7 s", 39.5, 33, 37},
		{"none ever acknowledged", 0, 0, 32},
	} {
		t.Run(c.name, func(t *testing.T) {
			oldest := at(min(c.ackB, c.ackC))
			got := lease.outageLimit(oldest, delegationTime).Round(time.Second).Seconds()
			if got != math.Round(c.wantDeadline) && got != math.Round(c.wantDeadline-0.5) {
				t.Errorf("acknowledgements requested at %v and %v s: may answer until %v s, want %v", c.ackB, c.ackC, got, c.wantDeadline)
			}
		})
	}
	maxLimit := 10*time.Second + leaseTTL + peer.OutageLimit
	if got := lease.outageLimit(now, 0); got > maxLimit || got < maxLimit-time.Second {
		t.Errorf("without delegation: may answer for %v, want just below %v", got, maxLimit)
	}
}

func TestLeaseAnswersOnlyWhileMajorityAcknowledges(t *testing.T) {
	now := time.Now()
	acquiredAt := now.Add(-40 * time.Second)
	lease := NewLease(nil, Acquisition{AcquiredAt: acquiredAt, ValidUntil: acquiredAt.Add(10*time.Second + safeTTL)})
	lease.RecordAcks(now.Add(-time.Second), now, 0)
	if lease.MayAnswerHeartbeats() {
		t.Error("the majority's acknowledgements are too old: may answer, want not")
	}
	lease.RecordAcks(now.Add(time.Second), now, 0)
	if !lease.MayAnswerHeartbeats() || lease.Deciding() {
		t.Errorf("acknowledged by a majority: may answer %v, deciding %v, want true, false", lease.MayAnswerHeartbeats(), lease.Deciding())
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
		{"a high rate limit", 3, 1000, minPollInterval},
		{"a rate limit that polling uses to a sixth", 5, 24, time.Second},
		{"a low rate limit", 5, 1, maxPollInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := pollSettings(c.size, c.rps)
			if got := pollInterval(&settings); got != c.want {
				t.Errorf("size %d, %v calls a second: poll interval %v, want %v", c.size, c.rps, got, c.want)
			}
		})
	}
}
