package cluster

import (
	"testing"
	"time"

	"lilaclead/internal/leader/detector"
)

func TestOutboundConnectivityLostAfterHalfALeaseWithoutHeartbeats(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	tests := map[string]struct {
		missingSince          time.Time
		storeAvailableSince   time.Time
		delegatesRenewedUntil time.Time
		wantMissingFor        time.Duration
		wantLost              bool
	}{
		"heartbeats come":                        {wantMissingFor: 0},
		"missing for a moment":                   {missingSince: ago(3 * time.Second), wantMissingFor: 3 * time.Second},
		"missing for half a lease":               {missingSince: ago(8 * time.Second), wantMissingFor: 8 * time.Second},
		"missing for more than half":             {missingSince: ago(9 * time.Second), wantMissingFor: 9 * time.Second, wantLost: true},
		"the store had an outage until recently": {missingSince: ago(time.Minute), storeAvailableSince: ago(5 * time.Second), wantMissingFor: 5 * time.Second},
		"a delegate renewed until recently":      {missingSince: ago(time.Minute), delegatesRenewedUntil: ago(6 * time.Second), wantMissingFor: 6 * time.Second},
		"both ended long ago":                    {missingSince: ago(10 * time.Second), storeAvailableSince: ago(time.Hour), delegatesRenewedUntil: ago(time.Hour), wantMissingFor: 10 * time.Second, wantLost: true},
		"the later of the three is used":         {missingSince: ago(time.Minute), storeAvailableSince: ago(4 * time.Second), delegatesRenewedUntil: ago(20 * time.Second), wantMissingFor: 4 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			m := s.GetOrAddMachine("n-1")
			m.HeartbeatsMissingSince = tt.missingSince
			s.StoreAvailableSince, s.DelegatesRenewedUntil = tt.storeAvailableSince, tt.delegatesRenewedUntil
			if got := s.HeartbeatsMissingFor(m, now); got != tt.wantMissingFor {
				t.Errorf("HeartbeatsMissingFor = %v, want %v", got, tt.wantMissingFor)
			}
			if got := s.OutboundConnectivityLost(m, now); got != tt.wantLost {
				t.Errorf("OutboundConnectivityLost = %v, want %v", got, tt.wantLost)
			}
		})
	}
}

func TestOutboundConnectivityLostNeedsTwoHeartbeatIntervals(t *testing.T) {
	now := time.Now()
	s := newTestState(t)
	s.Settings.Workers.HeartbeatInterval = 10 // longer than a quarter of the lease
	m := s.GetOrAddMachine("n-1")
	m.HeartbeatsMissingSince = now.Add(-20 * time.Second)
	if s.OutboundConnectivityLost(m, now) {
		t.Error("outbound connectivity lost after two intervals, want later")
	}
	if !s.OutboundConnectivityLost(m, now.Add(time.Millisecond)) {
		t.Error("outbound connectivity not lost after more than two intervals")
	}
}

func TestSinceLastMessageCountsFromTheStartOfTheTermAtTheEarliest(t *testing.T) {
	s := newTestState(t)
	now := s.TermStartedAt.Add(time.Minute)
	m := s.GetOrAddMachine("n-1")
	if got := s.SinceLastMessage(m, now); got != time.Minute {
		t.Errorf("SinceLastMessage without a message = %v, want %v", got, time.Minute)
	}
	m.LastMessageAt = now.Add(-2 * time.Second)
	if got := s.SinceLastMessage(m, now); got != 2*time.Second {
		t.Errorf("SinceLastMessage after a message = %v, want %v", got, 2*time.Second)
	}
}

func TestMachinesOfAPartitionedZoneAreUnseenUntilTheySendAMessage(t *testing.T) {
	s := newTestState(t)
	begin := s.TermStartedAt
	unseen, seen := s.GetOrAddMachine("n-1"), s.GetOrAddMachine("n-2")
	unseen.Zone, unseen.LastMessageAt = "a", begin.Add(-time.Second)
	seen.Zone, seen.LastMessageAt = "a", begin.Add(time.Millisecond)
	mostMachinesLost := detector.ZoneCounts{Machines: 10, LostMachines: 9, AllMachines: 100}
	s.ZoneDetector.CheckZone("a", mostMachinesLost, begin)

	if !s.ZonePartitioned("a", begin) || !s.ZoneRecentlyPartitioned("a", begin) || !s.UnseenSincePartition(unseen, begin) {
		t.Error("zone is not partitioned, or the silent machine is not unseen, when most of the zone's machines are lost")
	}
	if s.UnseenSincePartition(seen, begin) {
		t.Error("machine counts as unseen although it has sent a message since")
	}
	if s.ZonePartitioned("b", begin) || s.ZoneRecentlyPartitioned("b", begin) {
		t.Error("another zone is partitioned")
	}
	later := begin.Add(time.Hour)
	if s.ZonePartitioned("a", later) || s.ZoneRecentlyPartitioned("a", later) || s.UnseenSincePartition(unseen, later) {
		t.Error("zone is still partitioned, or the machine still unseen, an hour later")
	}
}
