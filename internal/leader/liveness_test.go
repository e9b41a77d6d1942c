package leader

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

// A large zone goes silent at once. It is told within seconds, before the first
// of its machines is taken for lost: none is returned, nothing is placed or
// rented there, and its room is not counted on. (The leader once returned 467
// of 600 such machines one by one, before most of them were overdue.) Silence
// of this node itself is no such sign, nor are machines that die here and there.
func TestLargeZoneGoesSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := sized(t, 300)
		report := func(skip func(*cluster.Machine) bool) {
			for _, m := range tm.state.Machines {
				if !skip(m) {
					rep := reportOf(m)
					tm.reconciler.Reconcile(m, &rep, true, time.Now())
					m.LastReplyAt = time.Now()
				}
			}
		}
		// Each machine reports every ten seconds, a hundredth of them at a time.
		watch := func(d time.Duration, silent func(*cluster.Machine) bool) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(500 * time.Millisecond)
				turn := time.Now().UnixMilli() / 500 % 20
				report(func(m *cluster.Machine) bool {
					var n int64
					for _, c := range m.ID {
						n = n*10 + int64(c-'0')
					}
					return silent(m) || n%20 != turn
				})
				tm.monitor.CheckMachines(time.Now())
				for more := true; more; {
					select {
					case e := <-tm.Events:
						tm.handle(e)
					default:
						more = false
					}
				}
			}
		}
		defer tm.End("the test is over")
		none := func(*cluster.Machine) bool { return false }
		returned := func(z wire.Zone) (n int) {
			for _, m := range tm.state.Machines {
				if m.Zone == z && m.ScalingIn {
					n++
				}
			}
			return
		}
		watch(20*time.Second, none)
		time.Sleep(5 * time.Second) // nothing comes in at all
		watch(20*time.Second, none)
		for _, z := range tm.state.Settings.Zones {
			if tm.state.LatelyPartitioned(z, time.Now()) {
				t.Errorf("zone %s is called cut off when this node stood still", z)
			}
		}
		cut := time.Now()
		inA := func(m *cluster.Machine) bool { return m.Zone == "a" }
		watch(3*time.Second, inA)
		if !tm.state.LatelyPartitioned("a", time.Now()) || tm.state.LatelyPartitioned("b", time.Now()) {
			t.Error("after 3 s the zone is not told to be cut off, or another one is")
		}
		watch(25*time.Second, inA)
		if n := returned("a"); n != 0 {
			t.Errorf("%d machines of the cut zone are returned after %v", n, time.Since(cut))
		}
		for _, m := range tm.state.Machines {
			if m.Zone == "a" && tm.scheduler.Usable(m, time.Now()) {
				t.Fatalf("%s takes launches behind the cut", m.ID)
			}
		}
		for _, o := range tm.scheduler.Offers(tm.leader.Catalog.Get(), time.Now()) {
			if o.Zone == "a" {
				t.Error("machines would be rented behind the cut")
			}
		}
		watch(40*time.Second, none)
		if n := returned("a"); n != 0 || tm.state.LatelyPartitioned("a", time.Now()) {
			t.Errorf("%d machines are returned when the zone is back, cut off: %v", n, tm.state.LatelyPartitioned("a", time.Now()))
		}
	})
}

// A successor that a majority never acknowledges, since most controllers are in
// the zone that is cut off, counts what an earlier leader may answer for as long
// as a node may be a delegate, and not for B; and a leader that not all acknowledge
// keeps to that, whatever comes late from those it has lost.
func TestLeadersWithoutEachOther(t *testing.T) {
	tm, _, _ := rig(t)
	tm.leader.Config.Peers = []config.Peer{{HostName: "b"}, {HostName: "c"}}
	now := time.Now()
	tm.state.TermStartedAt = now.Add(-40 * time.Second)
	since := func(at time.Time) time.Duration { return at.Sub(tm.state.TermStartedAt).Round(time.Second) }
	// Without a time for delegates, and with a majority.
	if got := since(tm.monitor.EarlierLeaderRepliesUntil()); got != peer.OutageLimit {
		t.Errorf("without delegates: %v", got)
	}
	tm.state.Delegation.Time = 22 * time.Second
	if got := since(tm.monitor.EarlierLeaderRepliesUntil()); got != 22*time.Second {
		t.Errorf("never acknowledged: %v", got)
	}
	tm.state.Delegation.Time = 5 * time.Second // less than an empty acknowledgement of a fresh process may count
	if got := since(tm.monitor.EarlierLeaderRepliesUntil()); got != 7*time.Second {
		t.Errorf("never acknowledged, little time for delegates: %v", got)
	}
	tm.state.Delegation.Time = 22 * time.Second
	tm.state.QuorumAckedAt = tm.state.TermStartedAt.Add(3 * time.Second)
	if got := since(tm.monitor.EarlierLeaderRepliesUntil()); got != 5*time.Second {
		t.Errorf("acknowledged after 3 s: %v", got)
	}
	// Of the others' last acknowledged beats the oldest counts.
	view := func(b, c float64) *peer.View {
		asked := func(s float64) time.Time { return tm.state.TermStartedAt.Add(time.Duration(s * float64(time.Second))) }
		return &peer.View{Peers: map[wire.NodeID]peer.Peer{"b": {AckSent: asked(b), LastContact: now}, "c": {AckSent: asked(c), LastContact: now}}}
	}
	for _, c := range []struct{ b, c, want float64 }{{39.5, 39.5, 39.5}, {39.5, 20, 20}, {39.5, 33, 33}, {0, 0, 0}} {
		if got := tm.oldestAck(view(c.b, c.c), now).Sub(tm.state.TermStartedAt).Seconds(); math.Abs(got-c.want) > 0.001 {
			t.Errorf("acknowledged beats of %v and %v s: the oldest is of %v s, want %v", c.b, c.c, got, c.want)
		}
	}
}

// With reports every ten seconds a machine with replicas that has stopped is
// known lost after some eight seconds, not after sixteen like others; but when
// many such are quiet at once it is rather the way to them.
func TestServingMachineIsMissedSoon(t *testing.T) {
	for _, many := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			tm := sized(t, 60)
			var serving, other *cluster.Machine
			silent := map[*cluster.Machine]bool{}
			for _, m := range tm.state.Machines {
				switch {
				case !tm.state.HoldsReplicas(m):
					other = m
				case many && len(silent) < 10 || serving == nil:
					serving = m
					silent[m] = true
				}
			}
			silent[other] = true
			begin := time.Now()
			watch := func(until time.Duration) {
				for time.Since(begin) < until {
					time.Sleep(500 * time.Millisecond)
					for _, m := range tm.state.Machines {
						if silent[m] {
							m.UnansweredProbes, m.RelayUnanswered = 2, true
						} else {
							m.LastMessageAt = time.Now()
						}
					}
					tm.monitor.CheckMachines(time.Now())
				}
			}
			defer tm.End("the test is over")
			watch(6 * time.Second)
			if serving.ScalingIn {
				t.Error("returned after 6 s")
			}
			watch(9 * time.Second)
			if serving.ScalingIn == many || other.ScalingIn {
				t.Errorf("%d silent: after 9 s the one with replicas is returned: %v, the other: %v", len(silent), serving.ScalingIn, other.ScalingIn)
			}
			watch(17 * time.Second)
			if !serving.ScalingIn || !other.ScalingIn {
				t.Errorf("%d silent: after 17 s returned: %v, %v", len(silent), serving.ScalingIn, other.ScalingIn)
			}
		})
	}
}
