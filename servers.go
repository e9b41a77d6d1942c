package lilaclead

import (
	"net/http"
	"time"
)

// Timeouts and size limits of the servers for users, agents and peers.
const (
	headerTimeout   = 4 * time.Second
	requestTimeout  = 8 * time.Second
	responseTimeout = 10 * time.Second
	// idleTimeout is longer than the longest pause between two heartbeats of an agent, so
	// that its connection stays open in between.
	idleTimeout     = 75 * time.Second
	peerIdleTimeout = 60 * time.Second
	maxHeaderBytes  = 16 << 10
)

// userServer serves users and agents on the bounded listener.
func (n *Node) userServer(listener *boundedListener) *http.Server {
	return &http.Server{
		Handler:           listener.classify(n.userRoutes()),
		ConnState:         listener.connState,
		ConnContext:       listener.connContext,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      responseTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          serverErrorLog(n.log),
	}
}

// peerServer serves the other nodes and operators. It has no timeout for reading a request or
// writing a response, since the other nodes' streams have no end.
func (n *Node) peerServer() *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           n.peerRoutes(),
		Protocols:         &protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       peerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          serverErrorLog(n.log),
	}
}
