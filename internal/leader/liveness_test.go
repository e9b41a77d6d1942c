package leader

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// noneUnresponsive selects no machine as unresponsive.
func noneUnresponsive(*cluster.Machine) bool { return false }

// handlePostedEvents handles the events that have been posted.
func handlePostedEvents(tm *term) {
	for {
		select {
		case e := <-tm.Events:
			tm.handle(e)
		default:
			return
		}
	}
}

// sendsInSlot reports whether a machine sends its heartbeat in this slot. Ten seconds have
// twenty slots of half a second, and each machine sends one heartbeat in them.
func sendsInSlot(m *cluster.Machine, slot int64) bool {
	var n int64
	for _, c := range m.ID {
		n = n*10 + int64(c-'0')
	}
	return n%20 == slot
}

// receiveHeartbeats lets the duration pass while each machine that is not unresponsive sends
// a heartbeat every ten seconds.
func receiveHeartbeats(tm *term, d time.Duration, unresponsive func(*cluster.Machine) bool) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(500 * time.Millisecond)
		slot := time.Now().UnixMilli() / 500 % 20
		for _, m := range tm.state.Machines {
			if unresponsive(m) || !sendsInSlot(m, slot) {
				continue
			}
			heartbeat := heartbeatOf(m)
			tm.reconciler.Reconcile(m, &heartbeat, true, time.Now())
			m.LastResponseAt = time.Now()
		}
		tm.monitor.CheckMachines(time.Now())
		handlePostedEvents(tm)
	}
}

// countScalingIn counts the machines of a zone that are being scaled in.
func countScalingIn(tm *term, zone wire.Zone) int {
	n := 0
	for _, m := range tm.state.Machines {
		if m.Zone == zone && m.ScalingIn {
			n++
		}
	}
	return n
}

// A large zone whose machines become unresponsive all at once counts as partitioned within
// seconds, before the first of its machines counts as failed. None of them is scaled in,
// nothing is placed or scaled out there, and the zone's capacity is not counted on. Without
// this, the leader scales in 467 of 600 such machines one by one, before most of them are
// overdue. Neither a pause of this node itself nor scattered failures of machines make a
// zone count as partitioned.
func TestUnresponsiveLargeZoneCountsAsPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := newSizedTerm(t, 300)
		defer tm.End("the test is over")
		partitioned := func(zone wire.Zone) bool { return tm.state.ZoneRecentlyPartitioned(zone, time.Now()) }
		receiveHeartbeats(tm, 20*time.Second, noneUnresponsive)
		time.Sleep(5 * time.Second) // this node receives nothing at all
		receiveHeartbeats(tm, 20*time.Second, noneUnresponsive)
		for _, zone := range tm.state.Settings.Zones {
			if partitioned(zone) {
				t.Errorf("zone %s after this node received nothing: got partitioned, want connected", zone)
			}
		}
		partitionedAt := time.Now()
		inZoneA := func(m *cluster.Machine) bool { return m.Zone == "a" }
		receiveHeartbeats(tm, 3*time.Second, inZoneA)
		if a, b := partitioned("a"), partitioned("b"); !a || b {
			t.Errorf("zones a and b partitioned after 3 s without a heartbeat from a: got %v and %v, want true and false", a, b)
		}
		receiveHeartbeats(tm, 25*time.Second, inZoneA)
		if n := countScalingIn(tm, "a"); n != 0 {
			t.Errorf("machines of the partitioned zone scaled in after %v: got %d, want 0", time.Since(partitionedAt), n)
		}
		for _, m := range tm.state.Machines {
			if m.Zone == "a" && tm.scheduler.Usable(m, time.Now()) {
				t.Fatalf("machine %s in the partitioned zone: got usable, want unusable", m.ID)
			}
		}
		for _, offer := range tm.scheduler.Offers(tm.leader.Catalog.Get(), time.Now()) {
			if offer.Zone == "a" {
				t.Errorf("offer in the partitioned zone: got %+v, want none", offer)
			}
		}
		receiveHeartbeats(tm, 40*time.Second, noneUnresponsive)
		if n := countScalingIn(tm, "a"); n != 0 || partitioned("a") {
			t.Errorf("when the zone is back: got %d machines scaled in, partitioned %v, want 0 and false", n, partitioned("a"))
		}
	})
}

// A new leader may never be acknowledged by a quorum, if most controllers are in the
// partitioned zone. It then assumes that an earlier leader may answer heartbeats for as long
// as a node may be a delegate, and not for the outage limit.
func TestEarlierLeaderMayAnswerUntilDelegatesStop(t *testing.T) {
	cases := []struct {
		name       string
		delegation time.Duration
		ackedAfter time.Duration // since the start of the term; 0: never
		want       time.Duration // since the start of the term
	}{
		{name: "no delegates", want: peer.OutageLimit},
		{name: "never acknowledged", delegation: 22 * time.Second, want: 22 * time.Second},
		// An empty acknowledgement by a process that has just started may count for longer
		// than its delegation.
		{name: "never acknowledged, short delegation", delegation: 5 * time.Second, want: 7 * time.Second},
		{name: "acknowledged after 3 s", delegation: 22 * time.Second, ackedAfter: 3 * time.Second, want: 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, _, _ := newTestTerm(t)
			tm.leader.Config.Peers = []config.Peer{{HostName: "b"}, {HostName: "c"}}
			tm.state.TermStartedAt = time.Now().Add(-40 * time.Second)
			tm.state.Delegation.MaxDelegationTime = c.delegation
			if c.ackedAfter > 0 {
				tm.state.QuorumAckedAt = tm.state.TermStartedAt.Add(c.ackedAfter)
			}
			until := tm.monitor.EarlierLeaderAnswersUntil()
			if got := until.Sub(tm.state.TermStartedAt).Round(time.Second); got != c.want {
				t.Errorf("time since the term's start in which an earlier leader may answer: got %v, want %v", got, c.want)
			}
		})
	}
}

// For a leader that not all nodes acknowledge, the oldest acknowledgement counts, even if
// other messages still arrive from the nodes that no longer acknowledge it.
func TestOldestAckOfAllPeersCounts(t *testing.T) {
	tm, _, _ := newTestTerm(t)
	tm.leader.Config.Peers = []config.Peer{{HostName: "b"}, {HostName: "c"}}
	now := time.Now()
	tm.state.TermStartedAt = now.Add(-40 * time.Second)
	ackAt := func(seconds float64) peer.Peer {
		requestedAt := tm.state.TermStartedAt.Add(time.Duration(seconds * float64(time.Second)))
		return peer.Peer{AckRequestedAt: requestedAt, LastContact: now}
	}
	for _, c := range []struct{ b, c, want float64 }{{39.5, 39.5, 39.5}, {39.5, 20, 20}, {39.5, 33, 33}, {0, 0, 0}} {
		t.Run(fmt.Sprintf("acknowledged at %g s and %g s", c.b, c.c), func(t *testing.T) {
			view := &peer.View{Peers: map[wire.NodeID]peer.Peer{"b": ackAt(c.b), "c": ackAt(c.c)}}
			if got := tm.oldestAck(view, now).Sub(tm.state.TermStartedAt).Seconds(); math.Abs(got-c.want) > 0.001 {
				t.Errorf("oldest acknowledgement: got %g s, want %g s", got, c.want)
			}
		})
	}
}

// With heartbeats every ten seconds, a machine with replicas that becomes unresponsive is
// scaled in after about eight seconds, and other machines after sixteen. If many machines
// with replicas are unresponsive at once, the cause is more likely the network, and they are
// scaled in as late as the others.
func TestMachineWithReplicasIsReplacedSooner(t *testing.T) {
	for _, manyUnresponsive := range []bool{false, true} {
		t.Run(fmt.Sprintf("many unresponsive %v", manyUnresponsive), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tm := newSizedTerm(t, 60)
				defer tm.End("the test is over")
				var replicas, other *cluster.Machine
				unresponsive := map[*cluster.Machine]bool{}
				for _, m := range tm.state.Machines {
					switch {
					case !tm.state.HoldsReplicas(m):
						other = m
					case manyUnresponsive && len(unresponsive) < 10 || replicas == nil:
						replicas = m
						unresponsive[m] = true
					}
				}
				unresponsive[other] = true
				start := time.Now()
				checkMachinesUntil := func(age time.Duration) {
					for time.Since(start) < age {
						time.Sleep(500 * time.Millisecond)
						recordMessagesExceptFrom(tm, unresponsive)
						tm.monitor.CheckMachines(time.Now())
					}
				}
				checkMachinesUntil(6 * time.Second)
				if replicas.ScalingIn {
					t.Error("machine with replicas after 6 s: got scaled in, want kept")
				}
				checkMachinesUntil(9 * time.Second)
				if got, want := replicas.ScalingIn, !manyUnresponsive; got != want || other.ScalingIn {
					t.Errorf("%d unresponsive, after 9 s, machine with replicas and the other scaled in: got %v and %v, want %v and false", len(unresponsive), got, other.ScalingIn, want)
				}
				checkMachinesUntil(17 * time.Second)
				if !replicas.ScalingIn || !other.ScalingIn {
					t.Errorf("%d unresponsive, after 17 s, machine with replicas and the other scaled in: got %v and %v, want both", len(unresponsive), replicas.ScalingIn, other.ScalingIn)
				}
			})
		})
	}
}

// recordMessagesExceptFrom records a message of each machine that is not unresponsive, and
// two unanswered probes of each one that is.
func recordMessagesExceptFrom(tm *term, unresponsive map[*cluster.Machine]bool) {
	for _, m := range tm.state.Machines {
		if unresponsive[m] {
			m.UnansweredCommands, m.LastRelayUnanswered = 2, true
		} else {
			m.LastMessageAt = time.Now()
		}
	}
}
