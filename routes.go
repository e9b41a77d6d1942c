package lilaclead

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/wire"
)

// reportPath takes workers' reports.
const reportPath = "/hello"

// frontRoutes are the paths of users, workers and the load balancer.
func (n *Node) frontRoutes() http.Handler {
	r := router()
	n.intake.Routes(r)
	r.POST(reportPath, n.leader.Report)
	r.GET("/ready", n.ready)
	return r
}

// peerRoutes are the paths of the other nodes and of operators.
func (n *Node) peerRoutes() http.Handler {
	r := router()
	r.Handler("POST", "/peer/beats", n.mesh)
	r.POST("/peer/hello", n.leader.RelayReport)
	r.POST("/peer/ask", n.leader.RelayProbe)
	n.admin.Routes(r)
	return r
}

// router answers unknown paths and methods in CBOR.
func router() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath, r.HandleOPTIONS = false, false, false
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.Answer(w, http.StatusNotFound, wire.Reason{Error: "no such path"})
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.Answer(w, http.StatusMethodNotAllowed, wire.Reason{Error: "method not allowed"})
	})
	return r
}

// ready fails only when this node can't serve and another says that it can,
// or may, since none is in contact: in an outage that all share, every node
// stays ready and refuses fast.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if why := n.notReady(); why != "" {
		wire.Refuse(w, http.StatusServiceUnavailable, why, 1)
		return
	}
	wire.Answer(w, http.StatusOK, struct {
		Ready bool `cbor:"ready"`
	}{true})
}

// notReady says why users should go to other nodes, "" if they may come here.
func (n *Node) notReady() string {
	if n.store.Reachable() {
		return ""
	}
	now := time.Now()
	alone := len(n.cfg.Peers) > 0
	for _, p := range n.mesh.View().Peers {
		if !p.Connected(now) {
			continue
		}
		alone = false
		if p.StateReachable {
			return "state service not reachable from here"
		}
	}
	if alone {
		return "neither state service nor another node reachable from here"
	}
	return ""
}
