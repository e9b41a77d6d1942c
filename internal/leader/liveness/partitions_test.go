package liveness

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// withPeer runs a test in a synctest bubble, with a controller b in zone a that is connected to
// this one and reports the given status. The function cut ends the connection.
func withPeer(t *testing.T, status peer.Status, test func(t *testing.T, f *fixture, cut func())) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		network := simulator.NewNetwork(time.Millisecond)
		f.Peers = []config.Peer{{HostName: "b", Zone: "a", Addr: simulator.NodeIP(1) + ":8081"}}
		var stops []func()
		startMesh := func(name wire.NodeID, node int, peers []config.Peer, status peer.Status) *peer.Mesh {
			host := network.Host(simulator.NodeIP(node))
			m := peer.New(name, peers, func() peer.Status { return status }, cancels.New(nil, time.Minute), host, f.Log)
			listener, err := host.Listen("tcp4", simulator.NodeIP(node)+":8081")
			if err != nil {
				t.Fatal(err)
			}
			var protocols http.Protocols
			protocols.SetUnencryptedHTTP2(true)
			server := &http.Server{Handler: m, Protocols: &protocols}
			go server.Serve(listener) //nolint:errcheck // ends with Close
			go m.Run(t.Context())
			stops = append(stops, func() { server.Close() })
			return m
		}
		f.Mesh = startMesh("a", 0, f.Peers, peer.Status{Leads: true})
		startMesh("b", 1, []config.Peer{{HostName: "a", Zone: "b", Addr: simulator.NodeIP(0) + ":8081"}}, status)
		time.Sleep(3 * time.Second)
		f.now = time.Now()
		test(t, f, func() { network.Cut(simulator.NodeIP(0), simulator.NodeIP(1), true) })
		t.Cleanup(func() { // runs after t.Context has been cancelled
			network.Close()
			for _, stop := range stops {
				stop()
			}
			time.Sleep(5 * time.Second)
			network.Close()
		})
	})
}

func TestLeaderResignsForABetterConnectedPeer(t *testing.T) {
	isolated := machineCounts{up: 10, unresponsive: 6, lost: 6}
	cases := []struct {
		name   string
		status peer.Status
		counts machineCounts
		age    time.Duration // since the term started
		want   bool
	}{
		{"peer reaches most machines", peer.Status{StateReachable: true, ReachableAgents: 6}, isolated, time.Minute, true},
		{"peer reaches half of the machines", peer.Status{StateReachable: true, ReachableAgents: 5}, isolated, time.Minute, false},
		{"peer can't reach the store", peer.Status{ReachableAgents: 10}, isolated, time.Minute, false},
		{"this node reaches the machines too", peer.Status{StateReachable: true, ReachableAgents: 10}, machineCounts{up: 10}, time.Minute, false},
		{"the term has just begun", peer.Status{StateReachable: true, ReachableAgents: 10}, isolated, 7500 * time.Millisecond, false},
		{"the term is old enough", peer.Status{StateReachable: true, ReachableAgents: 10}, isolated, 7600 * time.Millisecond, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			withPeer(t, tc.status, func(t *testing.T, f *fixture, _ func()) {
				f.State.TermStartedAt = f.now.Add(-tc.age)
				node, got := f.betterConnectedPeer(&tc.counts, f.now)
				if got != tc.want || got && node != "b" {
					t.Errorf("peer %+v, counts %+v, term of %v: resigns %v for %q, want %v", tc.status, tc.counts, tc.age, got, node, tc.want)
				}
			})
		})
	}
}

func TestSmallZoneIsPartitionedOnlyIfItsControllersAreLost(t *testing.T) {
	for name, tc := range map[string]struct {
		cut  bool
		want bool
	}{
		"its controller is connected": {false, false},
		"its controller is lost":      {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			withPeer(t, peer.Status{}, func(t *testing.T, f *fixture, cut func()) {
				if tc.cut {
					cut()
				}
				time.Sleep(3 * time.Second)
				f.now = time.Now()
				counts := &machineCounts{up: 100, upByZone: map[wire.Zone]int{"a": 3, "": 2}, lostByZone: map[wire.Zone]int{"a": 3, "": 2}}
				f.judgePartitions(counts, f.now)
				if got := f.State.ZonePartitioned("a", f.now); got != tc.want {
					t.Errorf("three of three machines lost: partitioned %v, want %v", got, tc.want)
				}
				if f.State.ZonePartitioned("", f.now) {
					t.Error("the unknown zone is partitioned")
				}
			})
		})
	}
}

func TestPeerThatNeverAcknowledgedTokenMayBeEarlierLeadersDelegate(t *testing.T) {
	withPeer(t, peer.Status{}, func(t *testing.T, f *fixture, _ func()) {
		if got := f.anyDelegateAnswersUntil(f.now); !got.IsZero() {
			t.Errorf("delegation disabled: a delegate can answer until %v, want never", got)
		}
		f.State.Delegation.MaxDelegationTime, f.State.TermStartedAt = 22*time.Second, f.now
		// The peer never acknowledged this term's token, so it may be the delegate of an
		// earlier leader.
		if got, want := f.anyDelegateAnswersUntil(f.now), f.State.TermStartedAt.Add(22*time.Second); !got.Equal(want) {
			t.Errorf("token never acknowledged: a delegate can answer until %v, want %v", got, want)
		}
	})
}

func TestReplicasBehindPartitionAreMovedWhenLeaseIsEnding(t *testing.T) {
	cases := []struct {
		name         string
		sinceMessage time.Duration
		kind         wire.JobKind
		setup        func(f *fixture, job *cluster.Job)
		want         bool
	}{
		{"lease ending", 15200 * time.Millisecond, wire.KindService, func(*fixture, *cluster.Job) {}, true},
		{"lease not ending yet", 15100 * time.Millisecond, wire.KindService, func(*fixture, *cluster.Job) {}, false},
		{"no replicas", time.Minute, wire.KindArray, func(*fixture, *cluster.Job) {}, false},
		{"bound to its zone", time.Minute, wire.KindService, func(_ *fixture, job *cluster.Job) { job.Spec.Zone = "a" }, false},
		{"spread, the other zone has capacity", time.Minute, wire.KindService, func(_ *fixture, job *cluster.Job) { job.Spec.Spread = true }, true},
		{"spread, there is no other zone", time.Minute, wire.KindService, func(f *fixture, job *cluster.Job) {
			job.Spec.Spread, f.State.Settings.Zones = true, []wire.Zone{"a"}
		}, false},
		{"spread, the other zone is partitioned too", time.Minute, wire.KindService, func(f *fixture, job *cluster.Job) {
			job.Spec.Spread = true
			f.partition("b")
		}, false},
		{"spread, the other zone is full", time.Minute, wire.KindService, func(f *fixture, job *cluster.Job) {
			job.Spec.Spread = true
			other := f.addMachine(0)
			other.Zone = "b"
			f.addAttempt(job, 1, other)
		}, false},
		{"this node is isolated", time.Minute, wire.KindService, func(f *fixture, _ *cluster.Job) {
			for range 9 {
				f.addMachine(time.Minute)
			}
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.State.Settings.Zones = []wire.Zone{"a", "b"}
			f.partition("a")
			machine := f.addMachine(tc.sinceMessage)
			job := f.addJob(tc.kind, 2)
			f.addAttempt(job, 0, machine)
			tc.setup(f, job)
			f.checkReplicas(machine, f.CountMachines(f.now), f.now)
			if got := machine.DrainReason == cluster.DrainLeaseExpiring; got != tc.want {
				t.Errorf("no message for %v: scaled in %v, want %v", tc.sinceMessage, got, tc.want)
			}
		})
	}
}
