package lilaclead

import (
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// Reasons why a node isn't ready, as the load balancer receives them.
const (
	reasonNoStore  = "state service not reachable from here"
	reasonIsolated = "neither state service nor another node reachable from here"
)

// serveReady answers the load balancer's health check. This node is not ready in two cases:
//
//   - The version check forbids it to serve users. A refusal that comes only from an outage of
//     the key-value store (excusedByOutage) doesn't count.
//   - It can't reach the key-value store, and another node can or might. Another node might if
//     this node has peers but is in contact with none of them.
//
// In an outage that all nodes share, every node stays ready and refuses requests at once.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if reason := n.notReadyReason(); reason != "" {
		wire.WriteRetryableError(w, http.StatusServiceUnavailable, reason, retryAfterSeconds)
		return
	}
	wire.WriteResponse(w, http.StatusOK, struct {
		Ready bool `cbor:"ready"`
	}{true})
}

// notReadyReason returns why users should use other nodes than this one, or "" if this node is
// ready.
func (n *Node) notReadyReason() string {
	refusal := n.versions.checkServe()
	stateReachable := n.store.Reachable()
	if refusal != nil && !excusedByOutage(refusal, stateReachable) {
		return refusal.Error()
	}
	if stateReachable {
		return ""
	}
	if len(n.cfg.Peers) == 0 {
		return ""
	}
	return reasonWithoutStore(n.mesh.View().Peers, time.Now())
}

// reasonWithoutStore returns why users should use other nodes than this one, which can't reach
// the key-value store. It returns "" if some peers are in contact, and none of these reaches the
// key-value store either.
func reasonWithoutStore(peers map[wire.NodeID]peer.Peer, now time.Time) string {
	isolated := true
	for _, p := range peers {
		if !p.Connected(now) {
			continue
		}
		isolated = false
		if p.StateReachable {
			return reasonNoStore
		}
	}
	if isolated {
		return reasonIsolated
	}
	return ""
}

// excusedByOutage reports whether a node refuses users only because it can't reach the
// key-value store, through which versions are negotiated. In that case the other nodes may be in
// the same outage.
func excusedByOutage(refusal error, stateReachable bool) bool {
	waitsForState := errors.Is(refusal, upgrade.ErrNotPublished) || errors.Is(refusal, upgrade.ErrActiveUnknown)
	return waitsForState && !stateReachable
}
