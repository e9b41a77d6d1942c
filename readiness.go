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

// Reasons of a node that isn't ready.
const (
	reasonNoStateService = "state service not reachable from here"
	reasonIsolated       = "neither state service nor another node reachable from here"
)

// serveReady answers the load balancer. It fails only when this node can't serve and
// another says that it can, or may, since none is in contact: in an outage that all
// share, every node stays ready and refuses fast.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if reason := n.notReadyReason(); reason != "" {
		wire.WriteRetryableError(w, http.StatusServiceUnavailable, reason, retryAfterSeconds)
		return
	}
	wire.WriteResponse(w, http.StatusOK, struct {
		Ready bool `cbor:"ready"`
	}{true})
}

// notReadyReason returns why users should go to other nodes, "" if they may come here.
func (n *Node) notReadyReason() string {
	refusal := n.versions.mayServe()
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

// reasonWithoutState returns why users should go to other nodes than one that can't
// reach the state service, "" if they have none that is better.
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

// excusedByOutage reports whether a node refuses users only because the state service,
// from which it learns the active version, can't be reached: then all nodes may be in
// the same outage.
func excusedByOutage(refusal error, stateReachable bool) bool {
	waitsForState := errors.Is(refusal, upgrade.ErrNotPublished) || errors.Is(refusal, upgrade.ErrActiveUnknown)
	return waitsForState && !stateReachable
}
