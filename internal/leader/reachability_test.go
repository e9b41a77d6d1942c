package leader

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/reconcile"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// away gives a term a cloud and workers that can't be reached.
func away(tm *term) {
	nw := simulator.NewNetwork(0).Host("10.0.0.1")
	tm.scaler.Cloud = cloud.New("10.2.0.2:8443", config.Cloud{RPS: 6}, nw)
	tm.dispatcher.Agents.HTTP = &http.Client{Transport: nw.Transport(2, 2)}
}

func (t *term) tell(rep *wire.Heartbeat) reconcile.Reply {
	h := reconcile.Call{Heartbeat: *rep, Reply: make(chan reconcile.Reply, 1)}
	t.reconciler.OnHeartbeat(h)
	return <-h.Reply
}

// A machine whose reports come in and that receives nothing is told by what it
// does not do; one that does something again is trusted again; and one that
// stays so with work on it that can't be accounted for is returned.
func TestLostInboundIsToldByWhatItDoesNotDo(t *testing.T) {
	launch := func(tm *term, m *cluster.Machine) {
		j := tm.state.Jobs["req-1"]
		a := &cluster.Attempt{Job: j, Chunk: j.Chunk(0), Index: 0, Number: 8, Machine: m, DecidedAt: time.Now()}
		a.Chunk.Add(a)
	}
	shown := wire.TaskState{Task: "req-1/0", Attempt: 8, Phase: wire.PhaseFetching}
	cases := map[string]struct {
		setup   func(tm *term, m *cluster.Machine)
		reports func(token wire.FencingToken) []*wire.Heartbeat
		lost    bool
	}{
		"shows no launch twice": {launch, func(k wire.FencingToken) []*wire.Heartbeat {
			return []*wire.Heartbeat{said(1, 11, k), said(1, 12, k), said(1, 13, k)}
		}, true},
		"shows it in the end": {launch, func(k wire.FencingToken) []*wire.Heartbeat {
			return []*wire.Heartbeat{said(1, 11, k), said(1, 12, k), said(1, 13, k, shown)}
		}, false},
		"takes no token": {func(_ *term, m *cluster.Machine) { m.Token = 0 },
			func(k wire.FencingToken) []*wire.Heartbeat {
				return []*wire.Heartbeat{said(1, 11, 0), said(1, 12, 0), said(1, 13, 0)}
			}, true},
		"its lease runs out though it is answered": {func(*term, *cluster.Machine) {},
			func(k wire.FencingToken) []*wire.Heartbeat { return []*wire.Heartbeat{said(1, 11, k), said(2, 1, k)} }, true},
		"has nothing to show": {func(*term, *cluster.Machine) {},
			func(k wire.FencingToken) []*wire.Heartbeat {
				return []*wire.Heartbeat{said(1, 11, k), said(1, 12, k), said(1, 13, k)}
			}, false},
	}
	for name, c := range cases {
		withState(t, func(tm *term, m *cluster.Machine, _ *simulator.State, _ func()) {
			away(tm)
			c.setup(tm, m)
			for _, rep := range c.reports(tm.Fencing.Token) {
				tm.tell(rep)
				time.Sleep(time.Second)
			}
			if lost := !m.Inbound.Works(); lost != c.lost || lost && tm.scheduler.Usable(m, time.Now()) {
				t.Errorf("%s: lost %v, usable %v", name, lost, tm.scheduler.Usable(m, time.Now()))
			}
			for n := wire.Sequence(20); n < 30; n++ {
				time.Sleep(2 * time.Second)
				m.LastMessageAt = time.Now() // it goes on reporting
				tm.monitor.CheckMachines(time.Now())
			}
			if m.ScalingIn != c.lost {
				t.Errorf("%s: returned %v", name, m.ScalingIn)
			}
		})
	}
}

// A report that is older than the last one known is a late copy, unless it
// crossed a newer message just now: it renews nothing and proves nothing.
func TestOlderReports(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, _ *simulator.State, _ func()) {
		away(tm)
		tm.tell(said(1, 20, tm.Fencing.Token))
		if r := tm.tell(said(1, 19, tm.Fencing.Token)); r.Commands == nil || len(r.Commands.Commands) > 0 {
			t.Errorf("a report that crossed a newer one: %+v", r)
		}
		time.Sleep(10 * time.Second)
		m.Addr = "10.1.0.1:9000"
		before := *m
		for _, rep := range []*wire.Heartbeat{said(1, 20, tm.Fencing.Token), said(1, 3, tm.Fencing.Token), said(0, 99, 0)} {
			if r := tm.tell(rep); r.Rejected == nil {
				t.Errorf("copy %d/%d answered %+v", rep.Epoch, rep.Sequence, r)
			}
		}
		if m.LastMessageAt != before.LastMessageAt || m.LastReplyAt != before.LastReplyAt || m.Sequence != before.Sequence {
			t.Error("late copies make a silent machine seem alive")
		}
		// Two copies at a time cost one question to the machine itself.
		if !m.CommandInFlight || m.LastVerifiedAt != time.Now() {
			t.Error("the machine was not asked which it is")
		}
		tm.state.RemovedMachines["n-9"] = time.Now()
		gone := said(9, 9, tm.Fencing.Token)
		gone.Machine = "n-9"
		if r := tm.tell(gone); r.Rejected == nil || tm.state.Machines["n-9"] != nil {
			t.Errorf("a copy of a returned machine's report: %+v", r)
		}
		// While a term is still reading its books, the newest report counts.
		tm.state.Recovered, tm.reconciler.EarlyHeartbeats = false, map[wire.MachineID]wire.Heartbeat{}
		tm.tell(said(2, 5, tm.Fencing.Token))
		tm.tell(said(1, 40, tm.Fencing.Token))
		if got := tm.reconciler.EarlyHeartbeats["n-1"]; got.Epoch != 2 {
			t.Errorf("kept report %d/%d", got.Epoch, got.Sequence)
		}
	})
}

// A zone most of whose machines are silent is cut off as a whole: they are
// kept, but for those with replicas, which are returned shortly before their
// leases would end. A machine that is silent alone is returned at once.
func TestCutZoneIsKept(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, _ *simulator.State, _ func()) {
		away(tm)
		m.Zone = "b"
		zone := map[wire.Zone][]*cluster.Machine{}
		for i := range 26 {
			x := tm.state.GetOrAddMachine(wire.MachineID(fmt.Sprint("n-", 100+i)))
			x.Token, x.FirstHeartbeatAt, x.LastMessageAt, x.LastReplyAt, x.Zone = tm.Fencing.Token, time.Now(), time.Now(), time.Now(), "b"
			if i < 10 {
				x.Zone = "a"
			}
			zone[x.Zone] = append(zone[x.Zone], x)
		}
		serving := zone["a"][0]
		j := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindService, Tasks: 1, CPUs: 1}, AcceptedAt: wire.TimestampOf(time.Now())}, 1)
		tm.state.Jobs["req-2"] = j
		j.Chunk(0).Add(&cluster.Attempt{Job: j, Chunk: j.Chunk(0), Index: 0, Number: 1, Machine: serving, Observed: true})
		returned := func() (n int) {
			for _, x := range zone["a"] {
				if x.ScalingIn {
					n++
				}
			}
			return
		}
		watch := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(500 * time.Millisecond)
				for _, x := range tm.state.Machines {
					if x.Zone == "b" && x != zone["b"][0] {
						x.LastMessageAt = time.Now()
					} else {
						x.UnansweredProbes, x.RelayUnanswered = 2, true
					}
				}
				tm.monitor.CheckMachines(time.Now())
			}
		}
		watch(10 * time.Second)
		if !zone["b"][0].ScalingIn || returned() != 0 {
			t.Errorf("after 10 s the silent machine beside live ones is returned: %v; of the cut zone %d are", zone["b"][0].ScalingIn, returned())
		}
		watch(5500 * time.Millisecond) // 15.5 s of a lease of 16 s
		if !serving.ScalingIn || returned() != 1 {
			t.Errorf("near the lease's end the machine with a replica is returned: %v; %d in all", serving.ScalingIn, returned())
		}
		watch(2500 * time.Millisecond)
		if n := j.ActiveTasks; n != 0 {
			// (The cloud is away here. Such replicas once waited for its return.)
			t.Errorf("after the lease %d replicas of the cut zone are still counted", n)
		}
		watch(75 * time.Second)
		if returned() != 10 {
			t.Errorf("%d of 10 are returned when the cut has outlasted their leases by far", returned())
		}
	})
}

// A node knows who leads only as long as it hears of it: what it knew before
// it was cut off must not send workers to a node that leads no more.
func TestWhoLeadsIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tm, _, _ := rig(t)
		nw := simulator.NewNetwork(time.Millisecond)
		mesh := func(name wire.NodeID, i, other int, to wire.NodeID, leads bool) *peer.Mesh {
			m := peer.New(name, []config.Peer{{HostName: to, Addr: simulator.NodeIP(other) + ":8081"}},
				func() peer.Status { return peer.Status{Leads: leads} }, cancels.New(nil, time.Minute), nw.Host(simulator.NodeIP(i)), tm.leader.Log)
			l, err := nw.Host(simulator.NodeIP(i)).Listen("tcp4", simulator.NodeIP(i)+":8081")
			if err != nil {
				t.Fatal(err)
			}
			var protocols http.Protocols
			protocols.SetUnencryptedHTTP2(true)
			srv := &http.Server{Handler: m, Protocols: &protocols}
			go srv.Serve(l) //nolint:errcheck // ends with Close
			go m.Run(ctx)
			t.Cleanup(func() { srv.Close() })
			return m
		}
		l := tm.leader
		l.Config.HostName = "a"
		l.candidate = election.NewCandidate(l.Config, nil, l.Log, nil)
		l.Mesh = mesh("a", 0, 1, "b", false)
		b := mesh("b", 1, 0, "a", true)
		b.ObserveToken(ctx, 7)
		time.Sleep(3 * time.Second)
		if got := l.currentLeader(time.Now()); got != "b" {
			t.Errorf("hears %q lead", got)
		}
		nw.Cut(simulator.NodeIP(0), simulator.NodeIP(1), true)
		time.Sleep(6 * time.Second)
		if got := l.currentLeader(time.Now()); got != "" {
			t.Errorf("cut off it still says that %q leads", got)
		}
		l.candidate.Observed("c", time.Now())
		if got := l.currentLeader(time.Now()); got != "c" {
			t.Errorf("by the state service's word: %q", got)
		}
		time.Sleep(3 * time.Second)
		if got := l.currentLeader(time.Now()); got != "" {
			t.Errorf("that word is old, and yet %q", got)
		}
		cancel()
		nw.Close()
		time.Sleep(5 * time.Second)
		nw.Close()
	})
}
