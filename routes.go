package lilaclead

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/wire"
)

// heartbeatPath is the endpoint for agents' heartbeats.
const heartbeatPath = "/hello"

// userRoutes returns the handler for users, agents and the load balancer.
func (n *Node) userRoutes() http.Handler {
	users := newRouter()
	n.intake.Routes(users)
	router := newRouter()
	// All other paths go to the users' router, which also answers the unknown ones.
	router.NotFound = refuseUnless(n.versions.checkServe, users)
	router.POST(heartbeatPath, refuseHandleUnless(n.versions.checkSupport, n.leader.ServeHeartbeat))
	router.GET("/ready", n.serveReady)
	return router
}

// peerRoutes returns the handler for the other nodes and operators.
func (n *Node) peerRoutes() http.Handler {
	router := newRouter()
	router.Handler("POST", "/peer/beats", n.mesh)
	router.POST("/peer/hello", refuseHandleUnless(n.versions.checkSupport, n.leader.ServeRelayedHeartbeat))
	router.POST("/peer/ask", refuseHandleUnless(n.versions.checkSupport, n.leader.ServeRelayedProbe))
	n.admin.Routes(router)
	return router
}

// newRouter returns a router that answers unknown paths and methods in CBOR.
func newRouter() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.NotFound = errorHandler(http.StatusNotFound, "no such path")
	router.MethodNotAllowed = errorHandler(http.StatusMethodNotAllowed, "method not allowed")
	return router
}

// errorHandler returns a handler that always answers with the same error.
func errorHandler(status int, reason string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		wire.WriteResponse(w, status, wire.ErrorBody{Error: reason})
	})
}
