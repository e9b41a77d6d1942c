package admin

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/leader"
	"lilaclead/internal/wire"
)

// View is the status of a node.
type View struct {
	Node wire.NodeID `cbor:"node"`
	// Token is the highest fencing token that the node knows. Leader is the node that leads
	// with that token; empty if it is not known.
	Token  wire.FencingToken `cbor:"token"`
	Leader wire.NodeID       `cbor:"leader"`
	Leads  bool              `cbor:"leads"`
	// StoreReachable reports whether the node can reach the key-value store.
	StoreReachable bool `cbor:"serves"`
	// Cluster is the state of the cluster as the leader knows it; nil unless this node leads.
	Cluster *leader.View `cbor:"term,omitempty"`
}

// viewNode responds with the View of this node.
func (a *Admin) viewNode(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	peerView := a.mesh.View()
	view := View{
		Node:           a.cfg.HostName,
		Token:          peerView.Token,
		Leader:         peerView.Leader,
		Leads:          a.leader.Leads(),
		StoreReachable: a.store.Reachable(),
	}
	if view.Leads {
		view.Leader = a.cfg.HostName
		view.Cluster = a.leader.View(r.Context())
	}
	wire.WriteResponse(w, http.StatusOK, view)
}

// viewVersions responds with the status of an upgrade, or with 404 if versions are not negotiated.
func (a *Admin) viewVersions(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	status, err := a.leader.UpgradeStatus(r.Context())
	switch {
	case err != nil:
		wire.WriteRetryableError(w, http.StatusServiceUnavailable, err.Error(), retryAfterSeconds)
	case status == nil:
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorBody{Error: "versions are not negotiated (upgrades.negotiate is off)"})
	default:
		wire.WriteResponse(w, http.StatusOK, status)
	}
}
