package liveness

import (
	"reflect"
	"testing"
	"time"

	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
)

func TestMachinesAreCountedByReachability(t *testing.T) {
	f := newFixture(t)
	f.addMachine(0)
	f.addMachine(3100 * time.Millisecond)                                       // heartbeat just not overdue
	f.addMachine(4 * time.Second)                                               // unresponsive
	f.addMachine(6 * time.Second)                                               // lost
	f.addMachine(time.Minute).Booting = true                                    // not counted
	f.addMachine(time.Minute).ScalingIn = true                                  // not counted
	f.addMachine(0).RelayedOnly = true                                          // relayed
	f.addMachine(0).HeartbeatsMissingSince = f.now.Add(-time.Hour)              // outbound path lost
	host, lostHost := f.addMachine(6*time.Second), f.addMachine(10*time.Second) // with replicas
	lostHost.Zone = "b"
	service := f.addJob(wire.KindService, 2)
	f.addAttempt(service, 0, host)
	f.addAttempt(service, 1, lostHost)
	receivesNothing := f.addMachine(0)
	receivesNothing.Inbound.RecordResponse(testToken, 1, 10)
	receivesNothing.Inbound.RecordUnansweredCommand()
	receivesNothing.Inbound.ObserveHeartbeat(&wire.Heartbeat{Epoch: 1, Sequence: 11}, detector.HeartbeatEvidence{}, f.now)

	want := &machineCounts{
		up: 9, unresponsive: 4, lost: 3, relayed: 1, inboundPathLost: 1, outboundPathLost: 1,
		replicaHosts: 2, replicaHostsUnresponsive: 1,
		upByZone: map[wire.Zone]int{"a": 8, "b": 1}, lostByZone: map[wire.Zone]int{"a": 2, "b": 1},
	}
	if got := f.CountMachines(f.now); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestIsolationNeedsMajorityOfAtLeastThreeMachines(t *testing.T) {
	cases := []struct {
		name                       string
		counts                     machineCounts
		wantIsolated               bool
		wantMostOutOfDirectContact bool
	}{
		{"all responsive", machineCounts{up: 10}, false, false},
		{"two of two unresponsive", machineCounts{up: 2, unresponsive: 2, lost: 2}, false, false},
		{"half unresponsive", machineCounts{up: 10, unresponsive: 5, lost: 5}, false, false},
		{"most unresponsive, half lost", machineCounts{up: 10, unresponsive: 6, lost: 5}, true, false},
		{"most lost", machineCounts{up: 10, unresponsive: 6, lost: 6}, true, true},
		{"half relayed", machineCounts{up: 10, relayed: 5}, false, false},
		{"most relayed", machineCounts{up: 10, relayed: 6}, false, true},
		{"two of two relayed", machineCounts{up: 2, relayed: 2}, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.counts.isolated(); got != tc.wantIsolated {
				t.Errorf("%+v: isolated %v, want %v", tc.counts, got, tc.wantIsolated)
			}
			if got := tc.counts.mostOutOfDirectContact(); got != tc.wantMostOutOfDirectContact {
				t.Errorf("%+v: most out of direct contact %v, want %v", tc.counts, got, tc.wantMostOutOfDirectContact)
			}
		})
	}
}

func TestSingleFaultsArePlausibleUpToThreeOrAQuarter(t *testing.T) {
	for _, tc := range []struct {
		faulty, total int
		want          bool
	}{{0, 0, true}, {3, 3, true}, {4, 15, false}, {4, 16, true}, {25, 100, true}, {26, 100, false}} {
		if got := plausibleSingleFaults(tc.faulty, tc.total); got != tc.want {
			t.Errorf("%d of %d machines faulty: single faults plausible %v, want %v", tc.faulty, tc.total, got, tc.want)
		}
	}
}
