package restarts

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

var errOutage = errors.New("outage")

// fakeNode stands in for the connections between the nodes, the key-value store and one agent.
type fakeNode struct {
	view        peer.View
	leaderKey   bool
	revision    wire.Revision
	storeErr    error
	storeReads  int
	active      map[string]bool // by task, whether its attempt is active; tasks that are missing can't be read
	lookups     int
	cancelled   map[wire.JobID]bool
	stops       func(*wire.TaskStatus) bool
	agent       wire.Heartbeat // what the agent would report now
	agentErr    error
	probes      int
	fencedWith  []wire.FencingToken
	fenceEpochs []wire.AgentEpoch
}

func (n *fakeNode) View() *peer.View { return &n.view }

func (n *fakeNode) List(context.Context, store.RequestClass, string) ([]wire.Entry, wire.Revision, error) {
	n.storeReads++
	if n.leaderKey {
		return []wire.Entry{{Key: store.LeaderKey}}, n.revision, n.storeErr
	}
	return nil, n.revision, n.storeErr
}

func (n *fakeNode) Send(_ context.Context, _ string, commands wire.Commands, _ time.Duration) (*wire.Heartbeat, int, error) {
	n.probes++
	answer := n.agent
	answer.Token = max(answer.Token, commands.Token)
	return &answer, 200, n.agentErr
}

func (n *fakeNode) Fence(_ context.Context, _ string, token wire.FencingToken, heartbeat *wire.Heartbeat, mustStop func(*wire.TaskStatus) bool) (*wire.Heartbeat, error) {
	n.stops = mustStop
	n.fencedWith, n.fenceEpochs = append(n.fencedWith, token), append(n.fenceEpochs, heartbeat.Epoch)
	return heartbeat, nil
}

func (n *fakeNode) AttemptIsActive(_ context.Context, task wire.TaskID, _ wire.AttemptNumber, _ wire.MachineID) (bool, error) {
	n.lookups++
	active, known := n.active[task.String()]
	if !known {
		return false, errOutage
	}
	return active, nil
}

func (n *fakeNode) ConfirmedAt(id wire.JobID) (time.Time, bool) { return time.Time{}, n.cancelled[id] }

const testStoreRPS = 200

func newTestGuard(n *fakeNode) *Guard {
	return NewGuard(Config{Mesh: n, Store: n, Agents: n, Cancels: n, StoreRPS: testStoreRPS, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

func freshHeartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Addr: "10.0.0.9:9000", Epoch: 1, Sequence: 1}
}

// Guards against copies of launches in an election: the agent of a restarted machine is shown a token
// above all launches, and not above that of the next leader.
func TestAgentWithoutMemoryIsFenced(t *testing.T) {
	known := peer.View{Token: 40, LeaderRaisesToken: true}
	cases := []struct {
		name      string
		node      fakeNode
		heartbeat *wire.Heartbeat
		want      wire.FencingToken // 0: not fenced
	}{
		{"token of the last leader known", fakeNode{view: known, leaderKey: true}, freshHeartbeat(), 41},
		{"no leader's key", fakeNode{revision: 73}, freshHeartbeat(), 74},
		{"a leader's key, and the leader may not raise its token", fakeNode{view: peer.View{Token: 40}, leaderKey: true, revision: 73}, freshHeartbeat(), 0},
		{"store down", fakeNode{revision: 73, storeErr: errOutage}, freshHeartbeat(), 0},
		{"late copy: the agent has seen a token", fakeNode{view: known, agent: wire.Heartbeat{Token: 40}}, freshHeartbeat(), 0},
		{"agent not reached", fakeNode{view: known, agentErr: errOutage}, freshHeartbeat(), 0},
		{"old heartbeat with a token", fakeNode{view: known}, &wire.Heartbeat{Machine: "n-1", Addr: "10.0.0.9:9000", Epoch: 1, Sequence: 9, Token: 40}, 0},
		{"heartbeat without an address", fakeNode{view: known}, &wire.Heartbeat{Machine: "n-1", Epoch: 1, Sequence: 1}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				tc.node.agent.Machine, tc.node.agent.Epoch = "n-1", 1
				guard := newTestGuard(&tc.node)
				go guard.Run(ctx)
				guard.Check(tc.heartbeat)
				synctest.Wait()
				if tc.want == 0 && len(tc.node.fencedWith) > 0 {
					t.Errorf("fenced with %v, want not fenced", tc.node.fencedWith)
				}
				if tc.want > 0 && (len(tc.node.fencedWith) != 1 || tc.node.fencedWith[0] != tc.want) {
					t.Errorf("fenced with %v, want %d once", tc.node.fencedWith, tc.want)
				}
			})
		})
	}
}

func TestAgentIsAskedOnceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		node := fakeNode{view: peer.View{Token: 40, LeaderRaisesToken: true}, agent: wire.Heartbeat{Machine: "n-1", Epoch: 1}}
		guard := newTestGuard(&node)
		guard.Check(freshHeartbeat())
		guard.Check(freshHeartbeat())
		go guard.Run(ctx)
		synctest.Wait()
		if node.probes != 1 {
			t.Errorf("%d probes for two heartbeats that wait, want 1", node.probes)
		}
		guard.Check(freshHeartbeat())
		synctest.Wait()
		if node.probes != 2 {
			t.Errorf("%d probes after a later heartbeat, want 2", node.probes)
		}
	})
}

func TestOneReadOfTheStoreServesAllAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := fakeNode{revision: 73}
		guard := newTestGuard(&node)
		for range 10 {
			guard.vacantAt(t.Context())
		}
		if node.storeReads != 1 {
			t.Errorf("%d reads at once, want 1", node.storeReads)
		}
		time.Sleep(vacancyLifetime)
		guard.vacantAt(t.Context())
		if node.storeReads != 2 {
			t.Errorf("%d reads after %v, want 2", node.storeReads, vacancyLifetime)
		}
	})
}

func statusOf(task string, phase wire.TaskPhase) wire.TaskStatus {
	return wire.TaskStatus{Task: task, Attempt: 1, Phase: phase}
}

// Guards against a copy that comes before the first contact: what the records do not have on the machine
// is stopped, also if the agent started it since, and nothing else is.
func TestStaleAttemptsOfYoungAgentAreStopped(t *testing.T) {
	known := peer.View{Token: 40, LeaderRaisesToken: true}
	ended, running := statusOf("req-1/0", wire.PhaseFetching), statusOf("req-2/0", wire.PhaseRunning)
	startedSince := statusOf("req-3/0", wire.PhaseFetching)
	records := map[string]bool{"req-1/0": false, "req-2/0": true}
	cases := []struct {
		name      string
		node      fakeNode
		tasks     []wire.TaskStatus
		sequence  wire.Sequence
		wantToken wire.FencingToken // 0: left alone
		wantStops []wire.TaskStatus
		wantKept  []wire.TaskStatus
	}{
		{"ended attempt", fakeNode{view: known, active: records}, []wire.TaskStatus{ended, running}, 3, 41, []wire.TaskStatus{ended, startedSince}, []wire.TaskStatus{running}},
		{"no higher token may be shown", fakeNode{view: peer.View{Token: 40}, leaderKey: true, active: records}, []wire.TaskStatus{ended}, 3, 40, []wire.TaskStatus{ended}, nil},
		{"cancelled job, store down", fakeNode{view: known, cancelled: map[wire.JobID]bool{"req-1": true}}, []wire.TaskStatus{ended}, 3, 41, []wire.TaskStatus{ended}, nil},
		{"recorded attempt", fakeNode{view: known, active: records}, []wire.TaskStatus{running}, 3, 0, nil, nil},
		{"store down", fakeNode{view: known}, []wire.TaskStatus{ended}, 3, 0, nil, nil},
		{"exited", fakeNode{view: known, active: records}, []wire.TaskStatus{statusOf("req-1/0", wire.PhaseExited)}, 3, 0, nil, nil},
		{"not young", fakeNode{view: known, active: records}, []wire.TaskStatus{ended}, youngSequence + 1, 0, nil, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				node := &tc.node
				node.agent = wire.Heartbeat{Machine: "n-1", Addr: "10.0.0.9:9000", Epoch: 1, Sequence: tc.sequence, Token: 40, Tasks: tc.tasks}
				guard := newTestGuard(node)
				go guard.Run(ctx)
				guard.Check(&node.agent)
				synctest.Wait()
				if tc.wantToken == 0 {
					if len(node.fencedWith) > 0 {
						t.Errorf("fenced with %v, want left alone", node.fencedWith)
					}
					return
				}
				if len(node.fencedWith) != 1 || node.fencedWith[0] != tc.wantToken {
					t.Fatalf("fenced with %v, want %d once", node.fencedWith, tc.wantToken)
				}
				for i := range tc.wantStops {
					if !node.stops(&tc.wantStops[i]) {
						t.Errorf("%s is not stopped", tc.wantStops[i].Task)
					}
				}
				for i := range tc.wantKept {
					if node.stops(&tc.wantKept[i]) {
						t.Errorf("%s is stopped", tc.wantKept[i].Task)
					}
				}
			})
		})
	}
}

// Guards against an election that is starved: many machines that have just joined are looked up at a
// bounded rate.
func TestLookupsTakeAPartOfTheStoresLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		node := &fakeNode{active: map[string]bool{"req-2/0": true}}
		node.agent = wire.Heartbeat{Machine: "n-1", Addr: "10.0.0.9:9000", Epoch: 1, Sequence: 3, Token: 40, Tasks: []wire.TaskStatus{statusOf("req-2/0", wire.PhaseRunning)}}
		guard := newTestGuard(node)
		go guard.Run(ctx)
		for range 100 {
			guard.Check(&node.agent)
			synctest.Wait()
		}
		if most := testStoreRPS / rateDivisor / store.ReadsPerAttempt; node.lookups > most {
			t.Errorf("%d look-ups at once, want at most %d", node.lookups, most)
		}
	})
}
