package admin

import (
	"errors"
	"log/slog"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/config"
	"lilaclead/internal/leader"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// Admin serves the operator-facing API of a node.
type Admin struct {
	cfg     *config.Config
	store   *store.Client
	tuning  *tuning.Current
	leader  *leader.Leader
	mesh    *peer.Mesh
	metrics *Metrics
	log     *slog.Logger
	// UndecodableLog logs the stored settings that can't be decoded.
	UndecodableLog *undecodable.Log
}

// New returns the operator-facing API of a node.
func New(cfg *config.Config, st *store.Client, current *tuning.Current, l *leader.Leader, mesh *peer.Mesh, metrics *Metrics, log *slog.Logger) *Admin {
	return &Admin{cfg: cfg, store: st, tuning: current, leader: l, mesh: mesh, metrics: metrics, log: log}
}

// Routes registers the operators' paths.
func (a *Admin) Routes(r *httprouter.Router) {
	r.GET("/admin/settings", a.listSettings)
	r.PUT("/admin/settings", a.putSettings)
	r.GET("/admin/view", a.viewNode)
	r.GET("/admin/versions", a.viewVersions)
	r.Handler("GET", "/metrics", a.metrics.handler())
}

// retryAfterSeconds is the Retry-After header of responses to requests that may be retried.
const retryAfterSeconds = 1

// requestError is an error of the request itself: the same request fails again if it is
// retried.
type requestError struct {
	status int
	body   wire.ErrorBody
}

// Error returns the reason, preceded by the name of the wrong field if there is one.
func (e *requestError) Error() string {
	if e.body.Field == "" {
		return e.body.Error
	}
	return wire.FieldError{Field: e.body.Field, Reason: e.body.Error}.Error()
}

// respondError writes the response to a request that failed. Any error other than a
// requestError comes from the key-value store, and the client may retry the request.
func respondError(w http.ResponseWriter, err error) {
	var rejected *requestError
	if !errors.As(err, &rejected) {
		wire.WriteRetryableError(w, http.StatusServiceUnavailable, "state service not available", retryAfterSeconds)
		return
	}
	if rejected.status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close") // the body was not read to its end
	}
	wire.WriteResponse(w, rejected.status, rejected.body)
}
