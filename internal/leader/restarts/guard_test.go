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

func (n *fakeNode) Fence(_ context.Context, _ string, token wire.FencingToken, heartbeat *wire.Heartbeat, _ func(*wire.TaskStatus) bool) (*wire.Heartbeat, error) {
	n.fencedWith, n.fenceEpochs = append(n.fencedWith, token), append(n.fenceEpochs, heartbeat.Epoch)
	return heartbeat, nil
}

func newTestGuard(n *fakeNode) *Guard {
	return NewGuard(n, n, n, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
		{"heartbeat with a token", fakeNode{view: known}, &wire.Heartbeat{Machine: "n-1", Addr: "10.0.0.9:9000", Epoch: 1, Sequence: 9, Token: 40}, 0},
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
