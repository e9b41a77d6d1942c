package lilaclead

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// versionGate refuses requests while the active version of the controllers' behaviour
// forbids this node to answer them.
type versionGate struct {
	member *upgrade.Member // nil: versions are not negotiated, and nothing is refused
}

// newVersionGate returns a gate whose member negotiates the active version. If that feature is
// off, the gate refuses nothing.
func newVersionGate(features Features, options upgrade.Options) (versionGate, error) {
	if !features.NegotiateVersions {
		return versionGate{}, nil
	}
	member, err := upgrade.NewMember(options)
	return versionGate{member}, err
}

func (g versionGate) negotiated() bool { return g.member != nil }

// observeActive notes that another controller has reported the version as active.
func (g versionGate) observeActive(version uint64) { g.member.ObserveActive(upgrade.Version(version)) }

// checkSupport returns why this node must not even acknowledge requests of agents and peers, or
// nil if it may.
func (g versionGate) checkSupport() error {
	if !g.negotiated() {
		return nil
	}
	return g.member.CheckSupport()
}

// checkServe returns why this node must not serve users, or nil if it may.
func (g versionGate) checkServe() error {
	if !g.negotiated() {
		return nil
	}
	return g.member.CheckServe()
}

// setVersionFields sets the fields of a status that tell other nodes about versions.
func (g versionGate) setVersionFields(status *peer.Status) {
	if !g.negotiated() {
		return
	}
	status.Incarnation = g.member.Incarnation()
	status.ActiveVersion = uint64(g.member.ActiveVersion())
	status.RefusesAcks = g.member.CheckSupport() != nil
}

// retryAfterSeconds is how long a refused client is asked to wait before it retries.
const retryAfterSeconds = 1

// refuseUnless returns a handler that calls the given one only if check returns nil. Otherwise
// it answers 503 and closes the connection, so that the client turns to another node.
func refuseUnless(check func() error, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := check(); err != nil {
			w.Header().Set("Connection", "close")
			wire.WriteRetryableError(w, http.StatusServiceUnavailable, err.Error(), retryAfterSeconds)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// refuseHandleUnless is refuseUnless for a handler that takes path parameters.
func refuseHandleUnless(check func() error, handle httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(w, r, params) })
		refuseUnless(check, handler).ServeHTTP(w, r)
	}
}
