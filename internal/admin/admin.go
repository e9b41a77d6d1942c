// Package admin is the operators' side of a node: their own settings, the
// metrics and a view of what goes on, on the address that peers use.
package admin

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/config"
	"lilaclead/internal/leader"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// Admin serves operators.
type Admin struct {
	cfg     *config.Config
	store   *store.Client
	tuning  *tuning.Current
	leader  *leader.Leader
	mesh    *peer.Mesh
	metrics *Metrics
	log     *slog.Logger
	// Undecodable is told of stored settings that can't be decoded.
	Undecodable *undecodable.Log
}

// New makes the operators' side of a node.
func New(cfg *config.Config, st *store.Client, box *tuning.Current, l *leader.Leader, mesh *peer.Mesh, met *Metrics, log *slog.Logger) *Admin {
	return &Admin{cfg: cfg, store: st, tuning: box, leader: l, mesh: mesh, metrics: met, log: log}
}

// Routes adds the operators' paths.
func (a *Admin) Routes(r *httprouter.Router) {
	r.GET("/admin/settings", a.list)
	r.PUT("/admin/settings", a.put)
	r.GET("/admin/view", a.view)
	r.GET("/admin/versions", a.versions)
	r.Handler("GET", "/metrics", a.metrics.handler())
}

// Setting as it is listed.
type Setting struct {
	Name    string `cbor:"name"`
	Value   any    `cbor:"value"`
	Default any    `cbor:"default"`
	Allowed string `cbor:"allowed"`
	About   string `cbor:"about"`
}

// Listing of all settings with the version to name in a change.
type Listing struct {
	Version  wire.Revision `cbor:"version"`
	Settings []Setting     `cbor:"settings"`
}

// Change of settings; Version must be the listing's, or 0 for none yet.
type Change struct {
	Version *wire.Revision `cbor:"version"`
	Set     map[string]any `cbor:"set"`
}

// stored reads what operators have set.
func (a *Admin) stored(ctx context.Context) (map[string]any, wire.Revision, error) {
	e, err := a.store.Get(ctx, store.User, store.SettingsKey)
	if errors.Is(err, store.ErrMissing) {
		return map[string]any{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	m := map[string]any{}
	if err := wire.Decode(e.Value, &m); err != nil {
		a.Undecodable.Note(store.SettingsKey, err)
	}
	return m, e.Revision, nil
}

// retryAfterS is in how many seconds a refused operator should come back.
const retryAfterS = 1

func refuseUnavailable(w http.ResponseWriter) {
	wire.RefuseRetryable(w, http.StatusServiceUnavailable, "state service not available", retryAfterS)
}

func answerConflict(w http.ResponseWriter) {
	wire.Answer(w, http.StatusConflict, wire.ErrorBody{Error: "the settings have changed since that version"})
}

func (a *Admin) list(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	m, version, err := a.stored(r.Context())
	if err != nil {
		refuseUnavailable(w)
		return
	}
	v, err := tuning.Apply(tuning.Default(), m, false)
	if err != nil {
		a.log.Error("stored settings are out of range", "err", err)
	}
	def := tuning.Default()
	out := Listing{Version: version}
	for _, f := range tuning.Fields {
		out.Settings = append(out.Settings, Setting{f.Name, f.Get(&v), f.Get(&def), f.Range(), f.About})
	}
	wire.Answer(w, http.StatusOK, out)
}

// readChange reads a change of settings from a request's body; it answers what is
// wrong itself.
func readChange(w http.ResponseWriter, r *http.Request) (Change, bool) {
	var c Change
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	if err != nil {
		w.Header().Set("Connection", "close")
		wire.Answer(w, http.StatusRequestEntityTooLarge, wire.ErrorBody{Error: err.Error()})
		return c, false
	}
	if !wire.IsMap(raw) || wire.Decode(raw, &c) != nil {
		wire.Answer(w, http.StatusBadRequest, wire.ErrorBody{Error: "not a CBOR map of version and set"})
		return c, false
	}
	if c.Version == nil || len(c.Set) == 0 {
		wire.Answer(w, http.StatusBadRequest, wire.ErrorBody{Error: "missing", Field: "version and set"})
		return c, false
	}
	return c, true
}

func (a *Admin) put(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	c, ok := readChange(w, r)
	if !ok {
		return
	}
	m, version, err := a.stored(r.Context())
	if err != nil {
		refuseUnavailable(w)
		return
	}
	if _, err := tuning.Apply(tuning.Default(), c.Set, true); err != nil {
		var fe wire.FieldError
		errors.As(err, &fe)
		wire.Answer(w, http.StatusBadRequest, wire.ErrorBody{Error: fe.Reason, Field: fe.Field})
		return
	}
	if version != *c.Version {
		answerConflict(w)
		return
	}
	for k, v := range c.Set {
		m[k] = v
	}
	rev, err := a.store.Commit(r.Context(), store.Background, wire.Txn{
		Guards: []wire.Guard{{Key: store.SettingsKey, Revision: version}},
		Writes: []wire.Write{{Put: store.SettingsKey, Value: wire.Encode(m)}},
	})
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		answerConflict(w)
	case err != nil:
		refuseUnavailable(w)
	default:
		a.log.Info("settings changed", "version", rev, "set", c.Set)
		wire.Answer(w, http.StatusOK, struct {
			Version wire.Revision `cbor:"version"`
		}{rev})
	}
}

// followPeriod is how soon a change of settings is applied on every node.
const followPeriod = 5 * time.Second

// Follow applies what operators set, on every node, until the context ends.
func (a *Admin) Follow(ctx context.Context, changed func(tuning.Values)) {
	var last wire.Revision
	for {
		if m, version, err := a.stored(ctx); err == nil && version != last {
			last = version
			v, err := tuning.Apply(tuning.Default(), m, false)
			if err != nil {
				a.log.Error("stored settings are out of range; the rest applies", "err", err)
			}
			a.tuning.Set(v)
			changed(v)
			a.log.Info("settings applied", "version", version)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(followPeriod):
		}
	}
}

// View of a node, read-only.
type View struct {
	Node   wire.NodeID       `cbor:"node"`
	Token  wire.FencingToken `cbor:"token"`
	Leader wire.NodeID       `cbor:"leader"`
	Leads  bool              `cbor:"leads"`
	Serves bool              `cbor:"serves"`
	Term   *leader.View      `cbor:"term,omitempty"`
}

func (a *Admin) view(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	known := a.mesh.View()
	out := View{Node: a.cfg.HostName, Token: known.Token, Leader: known.Leader, Leads: a.leader.Leads(), Serves: a.store.Reachable()}
	if out.Leads {
		out.Leader = a.cfg.HostName
		out.Term = a.leader.View(r.Context())
	}
	wire.Answer(w, http.StatusOK, out)
}

// versions tells how far an upgrade is.
func (a *Admin) versions(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	status, err := a.leader.UpgradeStatus(r.Context())
	switch {
	case err != nil:
		wire.RefuseRetryable(w, http.StatusServiceUnavailable, err.Error(), retryAfterS)
	case status == nil:
		wire.Answer(w, http.StatusNotFound, wire.ErrorBody{Error: "versions are not negotiated (upgrades.negotiate is off)"})
	default:
		wire.Answer(w, http.StatusOK, status)
	}
}
