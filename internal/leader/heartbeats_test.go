package leader

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/leader/election"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// heartbeatNode is a node that answers heartbeats, with the label values that it has counted
// in the heartbeat metric.
type heartbeatNode struct {
	*Leader
	term    *term
	counted []string
}

// newHeartbeatNode returns a node that knows no leader and has no other nodes in contact.
func newHeartbeatNode(t *testing.T) *heartbeatNode {
	t.Helper()
	tm, _, _ := newTestTerm(t)
	node := &heartbeatNode{Leader: tm.leader, term: tm}
	node.contacts = newAgentContacts()
	node.candidate = election.NewCandidate(node.Config, nil, node.Log, nil)
	node.Config.HostName = "a"
	node.Mesh = peer.New("a", nil, func() peer.Status { return peer.Status{} }, node.Cancels, simulator.NewNetwork(0).Host("10.0.0.1"), node.Log)
	node.delegate = newDelegate(node.Dependencies, node.delegationBounds)
	node.Metrics.Heartbeat = func(outcome string) { node.counted = append(node.counted, outcome) }
	return node
}

func TestHeartbeatIsAnsweredOnlyByTheLeader(t *testing.T) {
	heartbeat := wire.Encode(&wire.Heartbeat{Machine: "n-1", Epoch: 1, Sequence: 11, Token: 50})
	cases := []struct {
		name       string
		setup      func(n *heartbeatNode)
		body       []byte
		relayed    bool
		wantStatus int
		wantCounts []string
		wantLeader wire.NodeID
	}{
		{name: "no leader known", body: heartbeat, wantStatus: http.StatusServiceUnavailable, wantCounts: []string{"elsewhere"}},
		{
			name:  "another node leads",
			setup: func(n *heartbeatNode) { n.candidate.RecordHolder("c", time.Now()) },
			body:  heartbeat, wantStatus: http.StatusMisdirectedRequest, wantCounts: []string{"elsewhere"}, wantLeader: "c",
		},
		{
			name:  "this node leads",
			setup: func(n *heartbeatNode) { n.Leader.term.Store(n.term) },
			body:  heartbeat, wantStatus: http.StatusOK, wantCounts: []string{"ok"},
		},
		{
			name:  "this node leads and the machine was removed",
			setup: func(n *heartbeatNode) { n.Leader.term.Store(n.term); n.term.state.RemovedMachines["n-1"] = time.Now() },
			body:  heartbeat, wantStatus: http.StatusServiceUnavailable, wantCounts: []string{"refused"},
		},
		{
			name: "the lease has expired",
			setup: func(n *heartbeatNode) {
				n.Leader.term.Store(n.term)
				n.term.Lease = newLease(n.Leader, 50, -time.Second)
			},
			body: heartbeat, wantStatus: http.StatusServiceUnavailable, wantCounts: []string{"elsewhere"},
		},
		{name: "relayed to a node that does not lead", body: heartbeat, relayed: true, wantStatus: http.StatusServiceUnavailable},
		{
			name:  "relayed to the leader, first contact",
			setup: func(n *heartbeatNode) { n.Leader.term.Store(n.term) },
			body:  wire.Encode(&wire.Heartbeat{Machine: "n-2", Epoch: 1, Sequence: 1}), relayed: true,
			wantStatus: http.StatusMisdirectedRequest, wantCounts: []string{"sent here"}, wantLeader: "a",
		},
		{name: "not a heartbeat", body: []byte("hello"), wantStatus: http.StatusBadRequest},
		{name: "a heartbeat without a machine", body: wire.Encode(&wire.Heartbeat{Epoch: 1}), wantStatus: http.StatusBadRequest},
		{name: "a relayed heartbeat without a machine", body: wire.Encode(&wire.Heartbeat{Epoch: 1}), relayed: true, wantStatus: http.StatusBadRequest},
		{name: "too large", body: make([]byte, wire.MaxBodyBytes+1), wantStatus: http.StatusRequestEntityTooLarge},
		{name: "too large and relayed", body: make([]byte, wire.MaxBodyBytes+1), relayed: true, wantStatus: http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				node := newHeartbeatNode(t)
				defer runHeartbeatLoop(node.term)()
				if c.setup != nil {
					c.setup(node)
				}
				serve := node.ServeHeartbeat
				if c.relayed {
					serve = node.ServeRelayedHeartbeat
				}
				w := httptest.NewRecorder()
				serve(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(c.body)), nil)
				if w.Code != c.wantStatus || !slices.Equal(node.counted, c.wantCounts) {
					t.Errorf("got status %d and counts %q, want %d and %q", w.Code, node.counted, c.wantStatus, c.wantCounts)
				}
				if c.wantLeader == "" {
					return
				}
				var redirect wire.Redirect
				body, _ := io.ReadAll(w.Body)
				if err := wire.Decode(body, &redirect); err != nil || redirect.Leader != c.wantLeader {
					t.Errorf("redirect: got %q (err %v), want %q", redirect.Leader, err, c.wantLeader)
				}
			})
		})
	}
}

func TestAgentsCountAsInContactForTheirLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := newHeartbeatNode(t)
		done := make(chan struct{})
		go func() {
			defer close(done)
			node.contacts.count(t.Context())
		}()
		t.Cleanup(func() { <-done })
		node.contacts.record("n-1")
		node.contacts.record("n-2")
		node.contacts.record("n-2")
		for _, c := range []struct {
			wait time.Duration
			want int
		}{{2 * time.Second, 2}, {contactLifetime + 2*contactRecountInterval, 0}} {
			time.Sleep(c.wait)
			if got := node.ReachableAgents(); got != c.want {
				t.Errorf("agents in contact after another %v: got %d, want %d", c.wait, got, c.want)
			}
		}
	})
}
