package lilaclead

import (
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// reportPath takes workers' reports.
const reportPath = "/hello"

// frontRoutes are the paths of users, workers and the load balancer.
func (n *Node) frontRoutes() http.Handler {
	users := router()
	n.intake.Routes(users)
	// What is not named here is a user's path, or none: the users' router answers that.
	r := router()
	r.NotFound = n.unlessRefused(n.mayServe, users)
	r.POST(reportPath, n.unlessRefusedHandle(n.understands, n.leader.ServeHeartbeat))
	r.GET("/ready", n.ready)
	return r
}

// understands says why this node must not even answer workers, and mayServe why it must
// not serve users; nil where versions are not negotiated.
func (n *Node) understands() error {
	if n.versions == nil {
		return nil
	}
	return n.versions.Understands()
}

func (n *Node) mayServe() error {
	if n.versions == nil {
		return nil
	}
	return n.versions.MayServe()
}

// unlessRefused serves unless the version forbids it: then it answers 503 at once.
func (n *Node) unlessRefused(why func() error, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := why(); err != nil {
			w.Header().Set("Connection", "close")
			wire.RefuseRetryable(w, http.StatusServiceUnavailable, err.Error(), 1)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) unlessRefusedHandle(why func() error, h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		n.unlessRefused(why, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h(w, r, p) })).ServeHTTP(w, r)
	}
}

// peerRoutes are the paths of the other nodes and of operators.
func (n *Node) peerRoutes() http.Handler {
	r := router()
	r.Handler("POST", "/peer/beats", n.mesh)
	r.POST("/peer/hello", n.unlessRefusedHandle(n.understands, n.leader.ServeRelayedHeartbeat))
	r.POST("/peer/ask", n.unlessRefusedHandle(n.understands, n.leader.ServeRelayedProbe))
	n.admin.Routes(r)
	return r
}

// router answers unknown paths and methods in CBOR.
func router() *httprouter.Router {
	r := httprouter.New()
	r.RedirectTrailingSlash, r.RedirectFixedPath, r.HandleOPTIONS = false, false, false
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.Answer(w, http.StatusNotFound, wire.ErrorBody{Error: "no such path"})
	})
	r.MethodNotAllowed = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.Answer(w, http.StatusMethodNotAllowed, wire.ErrorBody{Error: "method not allowed"})
	})
	return r
}

// ready fails only when this node can't serve and another says that it can,
// or may, since none is in contact: in an outage that all share, every node
// stays ready and refuses fast.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if why := n.notReady(); why != "" {
		wire.RefuseRetryable(w, http.StatusServiceUnavailable, why, 1)
		return
	}
	wire.Answer(w, http.StatusOK, struct {
		Ready bool `cbor:"ready"`
	}{true})
}

// notReady says why users should go to other nodes, "" if they may come here.
func (n *Node) notReady() string {
	err := n.mayServe()
	waits := errors.Is(err, upgrade.ErrNotPublished) || errors.Is(err, upgrade.ErrUnknown)
	if err != nil && (!waits || n.store.Reachable()) {
		return err.Error()
	}
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
