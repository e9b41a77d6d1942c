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

// newVersionGate makes this process one of those that negotiate the active version, if
// that feature is on.
func newVersionGate(features Features, options upgrade.Options) (versionGate, error) {
	if !features.NegotiateVersions {
		return versionGate{}, nil
	}
	member, err := upgrade.NewMember(options)
	return versionGate{member}, err
}

// negotiated reports whether versions are negotiated.
func (g versionGate) negotiated() bool { return g.member != nil }

// learn takes in that another controller knows a version to be active.
func (g versionGate) learn(version uint64) { g.member.ObserveActive(upgrade.Version(version)) }

// understands returns why this node must not even acknowledge workers and peers, or nil.
func (g versionGate) understands() error {
	if !g.negotiated() {
		return nil
	}
	return g.member.CheckSupport()
}

// mayServe returns why this node must not serve users, or nil.
func (g versionGate) mayServe() error {
	if !g.negotiated() {
		return nil
	}
	return g.member.CheckServe()
}

// addTo adds to a status what the other nodes need to know about versions.
func (g versionGate) addTo(status *peer.Status) {
	if !g.negotiated() {
		return
	}
	status.Incarnation = g.member.Incarnation()
	status.ActiveVersion = uint64(g.member.ActiveVersion())
	status.RefusesAcks = g.member.CheckSupport() != nil
}

// retryAfterSeconds is when a refused client may try again.
const retryAfterSeconds = 1

// refuseUnless answers 503 at once while check returns an error, and closes the
// connection, so that the client goes to another node.
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

// refuseHandleUnless is refuseUnless for a handler with parameters of its path.
func refuseHandleUnless(check func() error, handle httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(w, r, params) })
		refuseUnless(check, handler).ServeHTTP(w, r)
	}
}
