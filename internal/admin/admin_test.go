package admin_test

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/admin"
	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/leader"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/netio"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// node is a node that does not lead, with its operator-facing API and the simulator's
// key-value store.
type node struct {
	admin   *admin.Admin
	metrics *admin.Metrics
	current *tuning.Current
	client  *store.Client
	mesh    *peer.Mesh
	store   *simulator.KVStore
	handler http.Handler
	log     *bytes.Buffer
}

// runNode runs a test on a node, in virtual time.
func runNode(t *testing.T, negotiatesVersions bool, test func(t *testing.T, n *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := simulator.NewNetwork(time.Millisecond)
		n := &node{store: simulator.NewKVStore(12, 16), log: &bytes.Buffer{}}
		stop, err := network.ServeKVStore(n.store)
		if err != nil {
			t.Fatal(err)
		}
		n.build(t, network.Host("10.0.0.1"), negotiatesVersions)
		test(t, n)
		stop()
	})
}

// build creates the parts of the node and registers the operators' paths.
func (n *node) build(t *testing.T, net netio.Network, negotiatesVersions bool) {
	t.Helper()
	cfg := &config.Config{HostName: "node-1", Settings: config.Settings{
		Size:    1,
		Workers: config.Workers{HeartbeatInterval: 3, Lease: 45, CancelTimeout: 70},
		State:   config.StoreLimits{RPS: 1000, WriteRPS: 1000, TxnOps: 12, ValueKB: 16},
	}}
	log := slog.New(slog.NewTextHandler(n.log, nil))
	undecodableLog := undecodable.New(log)
	cancelled := cancels.New(nil, time.Minute)
	n.client = store.New(simulator.KVStoreAddr, cfg.Settings.State, cfg.Settings.Size, net)
	n.mesh = peer.New(cfg.HostName, nil, func() peer.Status { return peer.Status{} }, cancelled, net, log)
	n.metrics, n.current = admin.NewMetrics(), tuning.NewCurrent()
	dependencies := leader.Dependencies{
		Config: cfg, Net: net, Store: n.client, Mesh: n.mesh, Cancels: cancelled, Tuning: n.current,
		Catalog: &cluster.MachineCatalog{}, Log: log, Metrics: n.metrics.LeaderMetrics(), UndecodableLog: undecodableLog,
	}
	if negotiatesVersions {
		member, err := upgrade.NewMember(upgrade.Options{Node: cfg.HostName, SupportedRange: leader.SupportedVersions, Store: n.client})
		if err != nil {
			t.Fatal(err)
		}
		dependencies.Versions = member
	}
	n.admin = admin.New(cfg, n.client, n.current, leader.New(dependencies), n.mesh, n.metrics, log)
	n.admin.UndecodableLog = undecodableLog
	router := httprouter.New()
	n.admin.Routes(router)
	n.handler = router
}

// send sends a request and returns the recorded response.
func (n *node) send(method, path string, body []byte) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	n.handler.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	return w
}

// list returns the node's listing of settings.
func (n *node) list(t *testing.T) admin.Listing {
	t.Helper()
	w := n.send("GET", "/admin/settings", nil)
	var listing admin.Listing
	decode(t, w, http.StatusOK, &listing)
	return listing
}

// change changes a setting and returns the new version. The change must succeed.
func (n *node) change(t *testing.T, version wire.Revision, name string, value any) wire.Revision {
	t.Helper()
	w := n.send("PUT", "/admin/settings", changeBody(version, name, value))
	var changed struct {
		Version wire.Revision `cbor:"version"`
	}
	decode(t, w, http.StatusOK, &changed)
	return changed.Version
}

// changeBody returns the body of a request that changes one setting.
func changeBody(version wire.Revision, name string, value any) []byte {
	return wire.Encode(map[string]any{"version": version, "set": map[string]any{name: value}})
}

// decode checks the status of a response and decodes its body.
func decode(t *testing.T, w *httptest.ResponseRecorder, wantCode int, out any) {
	t.Helper()
	if w.Code != wantCode {
		t.Errorf("status: got %d, want %d", w.Code, wantCode)
	}
	if err := wire.Decode(w.Body.Bytes(), out); err != nil {
		t.Errorf("body %x: %v", w.Body.Bytes(), err)
	}
}

// valueOf returns the listed value of a setting.
func valueOf(t *testing.T, listing admin.Listing, name string) any {
	t.Helper()
	for _, setting := range listing.Settings {
		if setting.Name == name {
			return setting.Value
		}
	}
	t.Errorf("%s is not listed", name)
	return nil
}

// storedValues returns the settings in the key-value store.
func (n *node) storedValues(t *testing.T) map[string]any {
	t.Helper()
	values := map[string]any{}
	if raw := n.store.Value(store.SettingsKey); raw != nil {
		if err := wire.Decode(raw, &values); err != nil {
			t.Errorf("stored settings %x: %v", raw, err)
		}
	}
	return values
}

func TestListingWithoutStoredSettingsHasDefaults(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		listing := n.list(t)
		if listing.Version != 0 {
			t.Errorf("version: got %d, want 0", listing.Version)
		}
		if got, want := len(listing.Settings), len(tuning.Fields); got != want {
			t.Fatalf("settings: got %d, want %d", got, want)
		}
		for i, field := range tuning.Fields {
			defaults := tuning.Default()
			value := field.Get(&defaults)
			want := admin.Setting{Name: field.Name, Value: value, Default: value, Allowed: field.Range(), About: field.About}
			if got := listing.Settings[i]; got != want {
				t.Errorf("setting %d: got %+v, want %+v", i, got, want)
			}
		}
	})
}

func TestChangeIsListedWithItsVersion(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		first := n.change(t, 0, "round.period_s", 2.5)
		second := n.change(t, first, "log.level", "debug")
		listing := n.list(t)
		if stored := n.store.Revision(store.SettingsKey); listing.Version != second || second != stored {
			t.Errorf("version: got %d in the listing and %d in the response, want the record's revision %d", listing.Version, second, stored)
		}
		for name, want := range map[string]any{"round.period_s": 2.5, "log.level": "debug", "gangs.spare": tuning.Default().SpareGangs} {
			if got := valueOf(t, listing, name); got != want {
				t.Errorf("%s: got %v, want %v", name, got, want)
			}
		}
	})
}

func TestRejectedChangeLeavesStoredSettingsUnchanged(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		version := n.change(t, 0, "round.period_s", 2.5)
		for _, tt := range []struct {
			name     string
			body     []byte
			wantCode int
			want     wire.ErrorBody
		}{
			{"version before the last change", changeBody(0, "round.period_s", 3.0), http.StatusConflict, wire.ErrorBody{Error: "the settings have changed since that version"}},
			{"version after the last change", changeBody(version+1, "round.period_s", 3.0), http.StatusConflict, wire.ErrorBody{Error: "the settings have changed since that version"}},
			{"unknown setting", changeBody(version, "round.color", 1), http.StatusBadRequest, wire.ErrorBody{Error: "unknown setting", Field: "round.color"}},
			{"value out of range", changeBody(version, "round.period_s", 99.0), http.StatusBadRequest, wire.ErrorBody{Error: "must be 0.2 to 30", Field: "round.period_s"}},
			{"value of the wrong type", changeBody(version, "round.period_s", "fast"), http.StatusBadRequest, wire.ErrorBody{Error: "must be 0.2 to 30", Field: "round.period_s"}},
			{"text that is not among the choices", changeBody(version, "log.level", "loud"), http.StatusBadRequest, wire.ErrorBody{Error: `must be one of ["" "error" "info" "debug"]`, Field: "log.level"}},
			{"invalid value with an older version", changeBody(0, "round.period_s", 99.0), http.StatusBadRequest, wire.ErrorBody{Error: "must be 0.2 to 30", Field: "round.period_s"}},
			{"one invalid value of two", wire.Encode(map[string]any{"version": version, "set": map[string]any{"gangs.spare": 3, "zone.color": 1}}), http.StatusBadRequest, wire.ErrorBody{Error: "unknown setting", Field: "zone.color"}},
			{"body that is not a map", wire.Encode(7), http.StatusBadRequest, wire.ErrorBody{Error: "not a CBOR map of version and set"}},
			{"body that is not CBOR", []byte{0xa1, 0x61}, http.StatusBadRequest, wire.ErrorBody{Error: "not a CBOR map of version and set"}},
			{"empty body", nil, http.StatusBadRequest, wire.ErrorBody{Error: "not a CBOR map of version and set"}},
			{"no version", wire.Encode(map[string]any{"set": map[string]any{"round.period_s": 3.0}}), http.StatusBadRequest, wire.ErrorBody{Error: "missing", Field: "version and set"}},
			{"nothing to set", wire.Encode(map[string]any{"version": version}), http.StatusBadRequest, wire.ErrorBody{Error: "missing", Field: "version and set"}},
			{"body over the limit", make([]byte, wire.MaxBodyBytes+1), http.StatusRequestEntityTooLarge, wire.ErrorBody{Error: "body too large"}},
		} {
			w := n.send("PUT", "/admin/settings", tt.body)
			var got wire.ErrorBody
			decode(t, w, tt.wantCode, &got)
			if got != tt.want {
				t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
			}
			if wantClose := tt.wantCode == http.StatusRequestEntityTooLarge; (w.Header().Get("Connection") == "close") != wantClose {
				t.Errorf("%s: Connection: got %q, want close %t", tt.name, w.Header().Get("Connection"), wantClose)
			}
		}
		if got, want := n.storedValues(t), map[string]any{"round.period_s": 2.5}; !maps.Equal(got, want) || n.store.Revision(store.SettingsKey) != version {
			t.Errorf("stored: got %v of revision %d, want %v of revision %d", got, n.store.Revision(store.SettingsKey), want, version)
		}
	})
}

func TestChangeConflictsWithConcurrentChange(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		n.store.DelayTransactions(func(*wire.Txn) time.Duration {
			n.store.Put(store.SettingsKey, map[string]any{"gangs.spare": 3.0})
			return 0
		})
		w := n.send("PUT", "/admin/settings", changeBody(0, "round.period_s", 2.5))
		var got wire.ErrorBody
		decode(t, w, http.StatusConflict, &got)
		if stored, want := n.storedValues(t), map[string]any{"gangs.spare": 3.0}; !maps.Equal(stored, want) {
			t.Errorf("stored: got %v, want the concurrent change %v", stored, want)
		}
	})
}

func TestSettingsRequestsFailWithRetryAfterDuringStoreOutage(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		n.store.SetOutage(true)
		for method, body := range map[string][]byte{"GET": nil, "PUT": changeBody(0, "round.period_s", 2.5)} {
			w := n.send(method, "/admin/settings", body)
			var got wire.ErrorBody
			decode(t, w, http.StatusServiceUnavailable, &got)
			if got.Error != "state service not available" || w.Header().Get("Retry-After") != "1" {
				t.Errorf("%s: got %q, Retry-After %q, want %q, Retry-After 1", method, got.Error, w.Header().Get("Retry-After"), "state service not available")
			}
		}
		n.store.SetOutage(false)
	})
}

// A newer node may have stored settings that this one does not know or allow. This node ignores
// them and applies the others, and a change keeps them in the record.
func TestInvalidStoredSettingsAreIgnoredAndKept(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		version := n.store.Put(store.SettingsKey, map[string]any{"round.period_s": 99.0, "gangs.spare": 3.0, "gangs.of_tomorrow": "yes"})
		listing := n.list(t)
		for name, want := range map[string]any{"round.period_s": tuning.Default().CycleIntervalSeconds, "gangs.spare": 3.0} {
			if got := valueOf(t, listing, name); got != want {
				t.Errorf("%s: got %v, want %v", name, got, want)
			}
		}
		if got := n.log.String(); !strings.Contains(got, "level=ERROR") || !strings.Contains(got, "invalid settings ignored") || !strings.Contains(got, "round.period_s: must be") {
			t.Errorf("log: got %q, want an error that names round.period_s", got)
		}
		n.change(t, version, "log.level", "info")
		want := map[string]any{"round.period_s": 99.0, "gangs.spare": 3.0, "gangs.of_tomorrow": "yes", "log.level": "info"}
		if got := n.storedValues(t); !maps.Equal(got, want) {
			t.Errorf("stored: got %v, want %v", got, want)
		}
	})
}

func TestUndecodableStoredSettingsAreLoggedAndReplacedByAChange(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		version := n.store.Put(store.SettingsKey, "not a map")
		listing := n.list(t)
		if listing.Version != version || valueOf(t, listing, "round.period_s") != tuning.Default().CycleIntervalSeconds {
			t.Errorf("listing: got %+v, want the defaults with version %d", listing, version)
		}
		if got := n.log.String(); !strings.Contains(got, "undecodable") || !strings.Contains(got, store.SettingsKey) {
			t.Errorf("log: got %q, want an undecodable %s", got, store.SettingsKey)
		}
		n.change(t, version, "round.period_s", 2.5)
		if got, want := n.storedValues(t), map[string]any{"round.period_s": 2.5}; !maps.Equal(got, want) {
			t.Errorf("stored: got %v, want %v", got, want)
		}
	})
}

func TestFollowSettingsAppliesEveryChangeOnce(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		ctx, cancel := context.WithCancel(t.Context())
		var applied []tuning.Values
		followingEnded := make(chan struct{})
		go func() {
			defer close(followingEnded)
			n.admin.FollowSettings(ctx, func(values tuning.Values) { applied = append(applied, values) })
		}()
		time.Sleep(time.Minute)
		n.store.Put(store.SettingsKey, map[string]any{"round.period_s": 2.5, "gangs.spare": -1.0})
		time.Sleep(6 * time.Second)
		if got := n.current.Get(); got.CycleIntervalSeconds != 2.5 || got.SpareGangs != tuning.Default().SpareGangs {
			t.Errorf("current values: got %+v, want round.period_s 2.5 and the default of gangs.spare", got)
		}
		n.store.SetOutage(true)
		time.Sleep(time.Minute)
		n.store.SetOutage(false)
		time.Sleep(6 * time.Second)
		cancel()
		<-followingEnded
		if len(applied) != 1 || applied[0] != n.current.Get() {
			t.Errorf("values applied: got %+v, want only %+v", applied, n.current.Get())
		}
	})
}

func TestViewOfNodeThatDoesNotLead(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		n.list(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.mesh.Run(ctx)
		n.mesh.ObserveToken(ctx, 7)
		synctest.Wait()
		var got admin.View
		decode(t, n.send("GET", "/admin/view", nil), http.StatusOK, &got)
		if want := (admin.View{Node: "node-1", Token: 7, StoreReachable: true}); got != want {
			t.Errorf("view: got %+v, want %+v", got, want)
		}
		n.store.SetOutage(true)
		n.send("GET", "/admin/settings", nil)
		var duringOutage admin.View
		decode(t, n.send("GET", "/admin/view", nil), http.StatusOK, &duringOutage)
		if want := (admin.View{Node: "node-1", Token: 7}); duringOutage != want {
			t.Errorf("view during an outage: got %+v, want %+v", duringOutage, want)
		}
		n.store.SetOutage(false)
	})
}

func TestVersionsWithoutNegotiationAreNotFound(t *testing.T) {
	runNode(t, false, func(t *testing.T, n *node) {
		var got wire.ErrorBody
		decode(t, n.send("GET", "/admin/versions", nil), http.StatusNotFound, &got)
		if want := "versions are not negotiated (upgrades.negotiate is off)"; got.Error != want {
			t.Errorf("reason: got %q, want %q", got.Error, want)
		}
	})
}

func TestVersionsWithNegotiationShowUpgradeStatus(t *testing.T) {
	runNode(t, true, func(t *testing.T, n *node) {
		var status upgrade.Status
		decode(t, n.send("GET", "/admin/versions", nil), http.StatusOK, &status)
		if len(status.Controllers) != 1 || status.Controllers[0].Node != "node-1" || status.Next != leader.SupportedVersions.Max {
			t.Errorf("status: got %+v, want node-1 alone and version %d next", status, leader.SupportedVersions.Max)
		}
		n.store.SetOutage(true)
		w := n.send("GET", "/admin/versions", nil)
		var got wire.ErrorBody
		decode(t, w, http.StatusServiceUnavailable, &got)
		if w.Header().Get("Retry-After") != "1" {
			t.Errorf("during an outage: Retry-After: got %q, want 1", w.Header().Get("Retry-After"))
		}
		n.store.SetOutage(false)
	})
}
