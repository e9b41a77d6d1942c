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
	reasonNoStateService = "state service not reachable from here"
	reasonIsolated       = "neither state service nor another node reachable from here"
)

// serveReady answers the load balancer's health check. It fails if the version check forbids
// this node to serve users. It also fails if this node can't reach the key-value store while
// another node can, or might: a node that is in contact with no other can't tell. In an outage
// that all nodes share, every node stays ready and refuses requests at once.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if reason := n.notReadyReason(); reason != "" {
		wire.WriteRetryableError(w, http.StatusServiceUnavailable, reason, retryAfterSeconds)
		return
	}
	wire.WriteResponse(w, http.StatusOK, struct {
		Ready bool `cbor:"ready"`
	}{true})
}

// notReadyReason returns why users should use other nodes than this one, "" if it is ready.
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
	return reasonWithoutState(n.mesh.View().Peers, time.Now())
}

// reasonWithoutState returns why users should use other nodes than this one, which can't reach
// the key-value store. It returns "" if no node that is in contact reaches the key-value store
// either.
func reasonWithoutState(peers map[wire.NodeID]peer.Peer, now time.Time) string {
	isolated := true
	for _, p := range peers {
		if !p.Connected(now) {
			continue
		}
		isolated = false
		if p.StateReachable {
			return reasonNoStateService
		}
	}
	if isolated {
		return reasonIsolated
	}
	return ""
}

// excusedByOutage reports whether a node refuses users only because it can't reach the
// key-value store, through which versions are negotiated. Then all nodes may be in the same
// outage.
func excusedByOutage(refusal error, stateReachable bool) bool {
	waitsForState := errors.Is(refusal, upgrade.ErrNotPublished) || errors.Is(refusal, upgrade.ErrActiveUnknown)
	return waitsForState && !stateReachable
}
