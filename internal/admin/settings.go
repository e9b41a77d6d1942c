package admin

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// Setting is one setting in a Listing, with the value in effect and a description of the
// allowed values.
type Setting struct {
	Name    string `cbor:"name"`
	Value   any    `cbor:"value"`
	Default any    `cbor:"default"`
	Allowed string `cbor:"allowed"`
	About   string `cbor:"about"`
}

// Listing lists all settings, with the version that a Change must name.
type Listing struct {
	Version  wire.Revision `cbor:"version"`
	Settings []Setting     `cbor:"settings"`
}

// Change is a change of settings. Version must be that of the listing on which the
// change is based; 0 means that no settings were stored.
type Change struct {
	Version *wire.Revision `cbor:"version"`
	Set     map[string]any `cbor:"set"`
}

// storedSettings are the settings that operators have set, by name.
type storedSettings struct {
	values map[string]any
	// version is the revision of the record; 0: there is no record.
	version wire.Revision
}

// readSettings reads the stored settings. If the record can't be decoded, it returns the values
// that were decoded before the error. It logs only the first such error.
func (a *Admin) readSettings(ctx context.Context) (storedSettings, error) {
	entry, err := a.store.Get(ctx, store.ClassUser, store.SettingsKey)
	if errors.Is(err, store.ErrNotFound) {
		return storedSettings{values: map[string]any{}}, nil
	}
	if err != nil {
		return storedSettings{}, err
	}
	values := map[string]any{}
	if err := wire.Decode(entry.Value, &values); err != nil {
		a.UndecodableLog.LogOnce(store.SettingsKey, err)
	}
	return storedSettings{values: values, version: entry.Revision}, nil
}

// effectiveValues returns the stored values, and the default of each setting that is not
// stored or whose stored value is not valid.
func (a *Admin) effectiveValues(stored storedSettings) tuning.Values {
	values, err := tuning.Override(tuning.Default(), stored.values, false)
	if err != nil {
		a.log.Error("invalid settings ignored", "version", stored.version, "err", err)
	}
	return values
}

// listSettings responds with a Listing.
func (a *Admin) listSettings(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	stored, err := a.readSettings(r.Context())
	if err != nil {
		respondError(w, err)
		return
	}
	values, defaults := a.effectiveValues(stored), tuning.Default()
	listing := Listing{Version: stored.version}
	for _, field := range tuning.Fields {
		listing.Settings = append(listing.Settings, Setting{
			Name:    field.Name,
			Value:   field.Get(&values),
			Default: field.Get(&defaults),
			Allowed: field.Range(),
			About:   field.About,
		})
	}
	wire.WriteResponse(w, http.StatusOK, listing)
}

// putSettings carries out a Change and responds with the new version.
func (a *Admin) putSettings(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	version, err := a.changeSettings(r.Context(), r.Body)
	if err != nil {
		respondError(w, err)
		return
	}
	wire.WriteResponse(w, http.StatusOK, struct {
		Version wire.Revision `cbor:"version"`
	}{version})
}

// errVersionConflict is returned for a change that is not based on the stored version.
var errVersionConflict = &requestError{http.StatusConflict, wire.ErrorBody{Error: "the settings have changed since that version"}}

// changeSettings reads a change from the body of a request, stores it and returns the
// new version. The change is stored as a whole or not at all.
func (a *Admin) changeSettings(ctx context.Context, body io.Reader) (wire.Revision, error) {
	change, err := readChange(body)
	if err != nil {
		return 0, err
	}
	stored, err := a.readSettings(ctx)
	if err != nil {
		return 0, err
	}
	if err := checkValues(change.Set); err != nil {
		return 0, err
	}
	if stored.version != *change.Version {
		return 0, errVersionConflict
	}
	maps.Copy(stored.values, change.Set)
	version, err := a.storeSettings(ctx, stored)
	if err != nil {
		return 0, err
	}
	a.log.Info("settings changed", "version", version, "set", change.Set)
	return version, nil
}

// readChange reads a change from the body of a request.
func readChange(body io.Reader) (Change, error) {
	raw, err := wire.ReadBody(body, wire.MaxBodyBytes)
	if err != nil {
		return Change{}, &requestError{http.StatusRequestEntityTooLarge, wire.ErrorBody{Error: err.Error()}}
	}
	var change Change
	if !wire.IsMap(raw) || wire.Decode(raw, &change) != nil {
		return Change{}, &requestError{http.StatusBadRequest, wire.ErrorBody{Error: "not a CBOR map of version and set"}}
	}
	if change.Version == nil || len(change.Set) == 0 {
		return Change{}, &requestError{http.StatusBadRequest, wire.ErrorBody{Error: "missing", Field: "version and set"}}
	}
	return change, nil
}

// checkValues checks the names and the values of a change. If several settings are invalid, it
// returns the error of the first by name.
func checkValues(set map[string]any) error {
	_, err := tuning.Override(tuning.Default(), set, true)
	if err == nil {
		return nil
	}
	var invalid wire.FieldError
	errors.As(err, &invalid)
	return &requestError{http.StatusBadRequest, wire.ErrorBody{Error: invalid.Reason, Field: invalid.Field}}
}

// storeSettings replaces the stored settings and returns the new version. It fails with
// errVersionConflict if they have changed since they were read.
func (a *Admin) storeSettings(ctx context.Context, settings storedSettings) (wire.Revision, error) {
	version, err := a.store.Commit(ctx, store.ClassBackground, wire.Txn{
		Guards: []wire.Guard{{Key: store.SettingsKey, Revision: settings.version}},
		Writes: []wire.Write{{PutKey: store.SettingsKey, Value: wire.Encode(settings.values)}},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return 0, errVersionConflict
	}
	return version, err
}

// pollInterval is the pause between two reads of the settings. Every node applies a change
// within about this time.
const pollInterval = 5 * time.Second

// FollowSettings polls the stored settings until the context ends. It applies them at the start,
// if there are any, and after every change. After each application it calls onApplied with the
// values that it has applied.
func (a *Admin) FollowSettings(ctx context.Context, onApplied func(tuning.Values)) {
	var applied wire.Revision
	for {
		stored, err := a.readSettings(ctx)
		if err == nil && stored.version != applied {
			applied = stored.version
			values := a.effectiveValues(stored)
			a.tuning.Set(values)
			onApplied(values)
			a.log.Info("settings applied", "version", stored.version)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}
