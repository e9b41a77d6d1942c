package liveness

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

func TestLimitsFollowFromSettings(t *testing.T) {
	f := newFixture(t)
	f.State.Settings.Workers.HeartbeatInterval = 2
	for _, tc := range []struct {
		name string
		got  time.Duration
		want time.Duration
	}{
		{"longest gap between heartbeats", f.limits().maxHeartbeatGap(), 2500 * time.Millisecond},
		{"probed after", f.limits().unresponsiveAfter(), 3100 * time.Millisecond},
		{"lost after", f.limits().lostAfter(), 5500 * time.Millisecond},
		{"lost even without all probes after", f.limits().longOverdueAfter(), 8500 * time.Millisecond},
		{"lease expired after", f.limits().leaseExpiredAfter(), 20 * time.Second},
		{"longest wait for a partition", f.limits().maxPartitionWait(), 82 * time.Second},
	} {
		if tc.got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, tc.got, tc.want)
		}
	}
	f.State.Settings.Workers.Lease = 60
	if got, want := f.limits().maxPartitionWait(), 150*time.Second; got != want {
		t.Errorf("lease of 60 s: longest wait for a partition %v, want %v", got, want)
	}
}

func TestUnresponsiveLimitsWithAndWithoutReplicas(t *testing.T) {
	cases := []struct {
		name           string
		interval       wire.Seconds
		replicas       bool
		unresponsive   int // how many of 12 machines with replicas are unresponsive
		wantProbeAfter time.Duration
		wantLostAfter  time.Duration
	}{
		{"no replicas", 10, false, 1, 13100 * time.Millisecond, 15500 * time.Millisecond},
		{"replicas", 10, true, 1, 4 * time.Second, 7600 * time.Millisecond},
		{"replicas, three unresponsive", 10, true, 3, 4 * time.Second, 7600 * time.Millisecond},
		{"replicas, many unresponsive", 10, true, 4, 4 * time.Second, 15500 * time.Millisecond},
		{"replicas, frequent heartbeats", 2, true, 1, 3100 * time.Millisecond, 5500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.State.Settings.Workers.HeartbeatInterval = tc.interval
			machine := f.addMachine(0)
			if tc.replicas {
				f.addAttempt(f.addJob(wire.KindService, 1), 0, machine)
			}
			counts := &machineCounts{replicaHosts: 12, replicaHostsUnresponsive: tc.unresponsive}
			verdict := f.verdictOn(machine, counts, f.now)
			probeAfter, lostAfter := verdict.probeAfter(), verdict.lostAfter()
			if probeAfter != tc.wantProbeAfter || lostAfter != tc.wantLostAfter {
				t.Errorf("interval %v s, replicas %v, %d unresponsive: probed after %v, lost after %v; want %v, %v",
					tc.interval, tc.replicas, tc.unresponsive, probeAfter, lostAfter, tc.wantProbeAfter, tc.wantLostAfter)
			}
		})
	}
}
