package leader

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A machine that sends heartbeats but receives nothing is detected by what its heartbeats fail
// to show. It is usable again once they show that something was received. If they never do,
// and the state of its tasks is uncertain, it is scaled in.
func TestMachineThatReceivesNothingIsDetected(t *testing.T) {
	launch := func(tm *term, m *cluster.Machine) {
		j := tm.state.Jobs["req-1"]
		a := &cluster.Attempt{Job: j, Chunk: j.Chunk(0), Index: 0, Number: 8, Machine: m, ScheduledAt: time.Now()}
		a.Chunk.AddAttempt(a)
	}
	nothing := func(*term, *cluster.Machine) {}
	launched := wire.TaskStatus{Task: "req-1/0", Attempt: 8, Phase: wire.PhaseFetching}
	cases := []struct {
		name            string
		setup           func(tm *term, m *cluster.Machine)
		heartbeats      func(token wire.FencingToken) []*wire.Heartbeat
		wantInboundLost bool
	}{
		{"two heartbeats do not show the launch", launch, func(token wire.FencingToken) []*wire.Heartbeat {
			return []*wire.Heartbeat{heartbeatFrom(1, 11, token), heartbeatFrom(1, 12, token), heartbeatFrom(1, 13, token)}
		}, true},
		{"the third heartbeat shows the launch", launch, func(token wire.FencingToken) []*wire.Heartbeat {
			return []*wire.Heartbeat{heartbeatFrom(1, 11, token), heartbeatFrom(1, 12, token), heartbeatFrom(1, 13, token, launched)}
		}, false},
		{"the token is never seen", func(_ *term, m *cluster.Machine) { m.Token = 0 }, func(wire.FencingToken) []*wire.Heartbeat {
			return []*wire.Heartbeat{heartbeatFrom(1, 11, 0), heartbeatFrom(1, 12, 0), heartbeatFrom(1, 13, 0)}
		}, true},
		{"the lease expires though heartbeats are answered", nothing, func(token wire.FencingToken) []*wire.Heartbeat {
			return []*wire.Heartbeat{heartbeatFrom(1, 11, token), heartbeatFrom(2, 1, token)}
		}, true},
		{"there is nothing to show", nothing, func(token wire.FencingToken) []*wire.Heartbeat {
			return []*wire.Heartbeat{heartbeatFrom(1, 11, token), heartbeatFrom(1, 12, token), heartbeatFrom(1, 13, token)}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSimulatedStore(t, func(tm *term, m *cluster.Machine, _ *simulator.KVStore, _ func()) {
				disconnect(tm)
				c.setup(tm, m)
				for _, heartbeat := range c.heartbeats(tm.Fencing.Token) {
					sendHeartbeat(tm, heartbeat)
					time.Sleep(time.Second)
				}
				usable := tm.scheduler.Usable(m, time.Now())
				if lost := !m.Inbound.Works(); lost != c.wantInboundLost || lost && usable {
					t.Errorf("got inbound lost %v, usable %v, want lost %v, usable only if not lost", lost, usable, c.wantInboundLost)
				}
				for range 10 {
					time.Sleep(2 * time.Second)
					m.LastMessageAt = time.Now() // it goes on sending heartbeats
					tm.monitor.CheckMachines(time.Now())
				}
				if m.ScalingIn != c.wantInboundLost {
					t.Errorf("scaled in: got %v, want %v", m.ScalingIn, c.wantInboundLost)
				}
			})
		})
	}
}

// A heartbeat that is older than the last one is a late copy, unless it has just crossed a
// newer message on the way. A late copy renews no lease and proves no contact.
func TestOlderHeartbeatRenewsNothing(t *testing.T) {
	withSimulatedStore(t, func(tm *term, m *cluster.Machine, _ *simulator.KVStore, _ func()) {
		disconnect(tm)
		token := tm.Fencing.Token
		sendHeartbeat(tm, heartbeatFrom(1, 20, token))
		if response := sendHeartbeat(tm, heartbeatFrom(1, 19, token)); response.Commands == nil || len(response.Commands.Commands) > 0 {
			t.Errorf("heartbeat that crossed a newer one: got %+v, want a response without commands", response)
		}
		time.Sleep(10 * time.Second)
		m.Addr = "10.1.0.1:9000"
		before := *m
		for _, late := range []*wire.Heartbeat{heartbeatFrom(1, 20, token), heartbeatFrom(1, 3, token), heartbeatFrom(0, 99, 0)} {
			if response := sendHeartbeat(tm, late); response.Rejected == nil {
				t.Errorf("late copy %d/%d: got %+v, want a rejection", late.Epoch, late.Sequence, response)
			}
		}
		if m.LastMessageAt != before.LastMessageAt || m.LastResponseAt != before.LastResponseAt || m.Sequence != before.Sequence {
			t.Errorf("after late copies: got last message %v, last response %v, sequence %d, want %v, %v, %d",
				m.LastMessageAt, m.LastResponseAt, m.Sequence, before.LastMessageAt, before.LastResponseAt, before.Sequence)
		}
		// Late copies that arrive together cause a single probe, of the machine itself.
		if !m.CommandInFlight || m.LastVerifiedAt != time.Now() {
			t.Errorf("after late copies: got probe in flight %v, verified at %v, want a probe now", m.CommandInFlight, m.LastVerifiedAt)
		}
	})
}

func TestHeartbeatOfRemovedMachineIsRejected(t *testing.T) {
	withSimulatedStore(t, func(tm *term, _ *cluster.Machine, _ *simulator.KVStore, _ func()) {
		tm.state.RemovedMachines["n-9"] = time.Now()
		removed := heartbeatFrom(9, 9, tm.Fencing.Token)
		removed.Machine = "n-9"
		if response := sendHeartbeat(tm, removed); response.Rejected == nil || tm.state.Machines["n-9"] != nil {
			t.Errorf("got %+v, machine added %v, want a rejection and no machine", response, tm.state.Machines["n-9"] != nil)
		}
	})
}

func TestNewestHeartbeatIsKeptDuringRecovery(t *testing.T) {
	withSimulatedStore(t, func(tm *term, _ *cluster.Machine, _ *simulator.KVStore, _ func()) {
		tm.state.RecordsRead = false
		tm.reconciler.EarlyHeartbeats = map[wire.MachineID]wire.Heartbeat{}
		sendHeartbeat(tm, heartbeatFrom(2, 5, tm.Fencing.Token))
		sendHeartbeat(tm, heartbeatFrom(1, 40, tm.Fencing.Token))
		if got := tm.reconciler.EarlyHeartbeats["n-1"]; got.Epoch != 2 {
			t.Errorf("kept heartbeat: got %d/%d, want 2/5", got.Epoch, got.Sequence)
		}
		// A late copy of a heartbeat from before the machine's restart has a lower token.
		sendHeartbeat(tm, heartbeatFrom(2, 50, tm.Fencing.Token-1))
		sendHeartbeat(tm, heartbeatFrom(1, 3, tm.Fencing.Token+1))
		sendHeartbeat(tm, heartbeatFrom(2, 50, tm.Fencing.Token))
		if got := tm.reconciler.EarlyHeartbeats["n-1"]; got.Sequence != 3 {
			t.Errorf("kept heartbeat: got %d/%d, want the one with the highest token", got.Epoch, got.Sequence)
		}
	})
}

// addZones adds ten machines in zone a and sixteen in zone b to a term's model. All of them
// have just sent a heartbeat.
func addZones(tm *term) (zoneA, zoneB []*cluster.Machine) {
	now := time.Now()
	for i := range 26 {
		m := tm.state.GetOrAddMachine(wire.MachineID(fmt.Sprint("n-", 100+i)))
		m.Token, m.FirstHeartbeatAt, m.LastMessageAt, m.LastResponseAt = tm.Fencing.Token, now, now, now
		if i < 10 {
			m.Zone = "a"
			zoneA = append(zoneA, m)
		} else {
			m.Zone = "b"
			zoneB = append(zoneB, m)
		}
	}
	return zoneA, zoneB
}

// A zone counts as partitioned if most of its machines are unresponsive. Its machines are then
// kept, except for those with replicas, which are scaled in shortly before their leases
// expire. A machine that is unresponsive alone is scaled in at once.
func TestMachinesOfPartitionedZoneAreKept(t *testing.T) {
	withSimulatedStore(t, func(tm *term, m *cluster.Machine, _ *simulator.KVStore, _ func()) {
		disconnect(tm)
		m.Zone = "b"
		zoneA, zoneB := addZones(tm)
		withReplica, unresponsiveAlone := zoneA[0], zoneB[0]
		j := addJob(tm, wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindService, Tasks: 1, CPUs: 1})
		j.Chunk(0).AddAttempt(&cluster.Attempt{Job: j, Chunk: j.Chunk(0), Index: 0, Number: 1, Machine: withReplica, SeenInHeartbeat: true})
		unresponsive := map[*cluster.Machine]bool{unresponsiveAlone: true}
		for _, m := range zoneA {
			unresponsive[m] = true
		}
		checkMachinesFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(500 * time.Millisecond)
				recordMessagesExceptFrom(tm, unresponsive)
				tm.monitor.CheckMachines(time.Now())
			}
		}
		checkMachinesFor(10 * time.Second)
		if n := countScalingIn(tm, "a"); !unresponsiveAlone.ScalingIn || n != 0 {
			t.Errorf("after 10 s: got the machine unresponsive alone scaled in %v, %d of the partitioned zone, want true and 0", unresponsiveAlone.ScalingIn, n)
		}
		checkMachinesFor(5500 * time.Millisecond) // 15.5 s of a lease of 16 s
		if n := countScalingIn(tm, "a"); !withReplica.ScalingIn || n != 1 {
			t.Errorf("just before the lease expires: got the machine with a replica scaled in %v, %d in all, want true and 1", withReplica.ScalingIn, n)
		}
		checkMachinesFor(2500 * time.Millisecond)
		if n := j.ActiveTasks; n != 0 {
			// The cloud is unreachable in this test. The replicas must not wait for its return.
			t.Errorf("active replicas of the partitioned zone after the lease: got %d, want 0", n)
		}
		checkMachinesFor(75 * time.Second)
		if n := countScalingIn(tm, "a"); n != 10 {
			t.Errorf("machines scaled in when the partition has outlasted their leases by far: got %d, want 10", n)
		}
	})
}

// newMesh returns the running mesh of a node that has one peer.
func newMesh(ctx context.Context, t *testing.T, network *simulator.Network, name wire.NodeID, address int, other config.Peer, leads bool) *peer.Mesh {
	t.Helper()
	tm, _, _ := newTestTerm(t)
	host := network.Host(simulator.NodeIP(address))
	mesh := peer.New(name, []config.Peer{other}, func() peer.Status { return peer.Status{Leads: leads} }, cancels.New(nil, time.Minute), host, tm.leader.Log)
	listener, err := host.Listen("tcp4", simulator.NodeIP(address)+":8081")
	if err != nil {
		t.Fatal(err)
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mesh, Protocols: &protocols}
	go server.Serve(listener) //nolint:errcheck // ends with Close
	go mesh.Run(ctx)
	t.Cleanup(func() { server.Close() })
	return mesh
}

// A node knows the current leader only while it keeps hearing who leads. What it knew before
// it was cut off must not redirect agents to a node that no longer leads.
func TestCurrentLeaderIsForgottenWithoutContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tm, _, _ := newTestTerm(t)
		network := simulator.NewNetwork(time.Millisecond)
		l := tm.leader
		l.Config.HostName = "a"
		l.candidate = election.NewCandidate(l.Config, nil, l.Log, nil)
		l.Mesh = newMesh(ctx, t, network, "a", 0, config.Peer{HostName: "b", Addr: simulator.NodeIP(1) + ":8081"}, false)
		meshB := newMesh(ctx, t, network, "b", 1, config.Peer{HostName: "a", Addr: simulator.NodeIP(0) + ":8081"}, true)
		meshB.ObserveToken(ctx, 7)
		checkCurrentLeader := func(situation string, want wire.NodeID) {
			t.Helper()
			if got := l.currentLeader(time.Now()); got != want {
				t.Errorf("current leader %s: got %q, want %q", situation, got, want)
			}
		}
		time.Sleep(3 * time.Second)
		checkCurrentLeader("by a peer's heartbeat", "b")
		network.Cut(simulator.NodeIP(0), simulator.NodeIP(1), true)
		time.Sleep(6 * time.Second)
		checkCurrentLeader("6 s after the links were cut", "")
		l.candidate.RecordHolder("c", time.Now())
		checkCurrentLeader("by the key-value store", "c")
		time.Sleep(3 * time.Second)
		checkCurrentLeader("3 s after the key-value store was read", "")
		cancel()
		network.Close()
		time.Sleep(5 * time.Second)
		network.Close()
	})
}
