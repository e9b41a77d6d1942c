package main

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lilaclead/history"
	"lilaclead/internal/admin"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// runCommand runs a command line and returns its output.
func runCommand(args ...string) (results, errorLines string, err error) {
	var resultBuffer, errorBuffer bytes.Buffer
	err = run(args, &output{results: &resultBuffer, errors: &errorBuffer})
	return resultBuffer.String(), errorBuffer.String(), err
}

func TestVersionIsPrinted(t *testing.T) {
	results, _, err := runCommand("version")
	if want := "lilaclead " + version + "\n"; err != nil || results != want {
		t.Errorf("version printed %q, error %v, want %q", results, err, want)
	}
}

func TestInvalidCommandLinesAreRejected(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	for name, c := range map[string]struct {
		args []string
		want []string // parts of the error
	}{
		"unknown command":             {[]string{"bogus"}, []string{"unexpected argument bogus"}},
		"check without settings file": {[]string{"check"}, []string{"--config FILE is missing"}},
		"serve without settings file": {nil, []string{"--config FILE is missing"}},
		"both files missing":          {[]string{"check", "--config", missing, "--features", missing}, []string{"missing: no such file", "features file: "}},
		"times that can't be parsed":  {[]string{"history", "--from", "noon", "--to", "night"}, []string{`--from: "noon" is not a time`, `--to: "night" is not a time`}},
		"history without a folder":    {[]string{"history"}, []string{"--dir: missing"}},
		"settings without an address": {[]string{"settings", "list"}, []string{"--addr"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := runCommand(c.args...)
			for _, part := range c.want {
				if err == nil || !strings.Contains(err.Error(), part) {
					t.Errorf("lilaclead %q: error %v, want %q in it", c.args, err, part)
				}
			}
		})
	}
}

// recordHistory records two events in a folder.
func recordHistory(t *testing.T, dir string) {
	t.Helper()
	recorder, err := history.NewRecorder(history.Options{Dir: dir, Controller: "worker-0"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // Run still writes the events that were recorded before
	at := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	recorder.Record(history.Event{At: at, Kind: "acquired", Duty: "renting", Token: 7, Reason: "free"})
	recorder.Record(history.Event{At: at.Add(time.Hour), Kind: "version switched", Token: 8, Version: 2, Reason: "all ready"})
	recorder.Run(ctx)
}

const (
	firstEventLine  = "2026-12-02T10:00:00.000Z worker-0     acquired         renting    token 7        free\n"
	secondEventLine = "2026-12-02T11:00:00.000Z worker-0     version switched            token 8        version 2 all ready\n"
)

func TestHistoryPrintsSelectedEvents(t *testing.T) {
	dir := t.TempDir()
	recordHistory(t, dir)
	features := filepath.Join(t.TempDir(), "features.toml")
	if err := os.WriteFile(features, []byte("[history]\ndir = '"+dir+"'\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"all":                         {[]string{"--dir", dir}, firstEventLine + secondEventLine},
		"folder of the features file": {[]string{"--features", features}, firstEventLine + secondEventLine},
		"by time":                     {[]string{"--dir", dir, "--from", "2026-12-02T10:30:00Z", "--to", "2026-12-02T12:00:00Z"}, secondEventLine},
		"by kind and duty":            {[]string{"--dir", dir, "--kind", "acquired", "--duty", "renting"}, firstEventLine},
		"of another controller":       {[]string{"--dir", dir, "--controller", "worker-1"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			args := append([]string{"history"}, c.args...)
			results, errorLines, err := runCommand(args...)
			if err != nil || errorLines != "" || results != c.want {
				t.Errorf("lilaclead %q printed\n%s%s, error %v, want\n%s", args, results, errorLines, err, c.want)
			}
		})
	}
}

func TestDamagedHistoryFileIsReported(t *testing.T) {
	dir := t.TempDir()
	recordHistory(t, dir)
	const name = "history-worker-1-000000000001.log.zst"
	if err := os.WriteFile(filepath.Join(dir, name), []byte("x"), 0o644); err != nil {
		t.Fatal(err)
	}
	results, errorLines, err := runCommand("history", "--dir", dir)
	if !errors.Is(err, errDamagedHistory) || results != firstEventLine+secondEventLine {
		t.Errorf("printed\n%s, error %v, want both events and %v", results, err, errDamagedHistory)
	}
	if want := "lilaclead: " + name + ": 0 events read, the rest is lost: at byte 0 of 1: damaged or truncated\n"; errorLines != want {
		t.Errorf("printed errors %q, want %q", errorLines, want)
	}
}

// serveAdmin serves an administration API and returns its address. It answers every request with
// the status and a body: get for a GET, put for a PUT. A PUT must be the change that checkChange
// expects.
func serveAdmin(t *testing.T, status int, get, put any) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := get
		if r.Method == http.MethodPut {
			response = put
			checkChange(t, r)
		}
		wire.WriteResponse(w, status, response)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// checkChange checks that a request sets the log level to debug, at the listing's version.
func checkChange(t *testing.T, r *http.Request) {
	t.Helper()
	body, err := wire.ReadBody(r.Body, 1<<16)
	if err != nil {
		t.Errorf("change: %v", err)
		return
	}
	var change admin.Change
	if err := wire.Decode(body, &change); err != nil {
		t.Errorf("change: %v", err)
		return
	}
	if change.Version == nil || *change.Version != listedVersion || change.Set["log.level"] != "debug" {
		t.Errorf("change %+v, want the log level debug at version %d", change, listedVersion)
	}
}

// listedVersion is the version of the settings in the listing.
const listedVersion = 4

func TestOperatorsClientPrintsResponses(t *testing.T) {
	listing := admin.Listing{Version: listedVersion, Settings: []admin.Setting{{Name: "log.level", Value: "info", Default: "info", Allowed: "info, debug", About: "the log's level"}}}
	settings := serveAdmin(t, http.StatusOK, listing, map[string]any{"version": 5})
	upgrading := serveAdmin(t, http.StatusOK, upgrade.Status{Active: 1, Next: 2, MaxVersion: 1, LimitedByOperators: true, Controllers: []upgrade.ControllerStatus{
		{Node: "worker-0", Min: 1, Max: 2},
		{Node: "worker-1", Min: 1, Max: 1, Blocker: "too old"},
	}}, nil)
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"settings list": {[]string{"settings", "--addr", settings, "list"}, "log.level                info     (default info; info, debug) the log's level\n"},
		"settings get":  {[]string{"settings", "--addr", settings, "get", "log.level"}, "info\n"},
		"settings set":  {[]string{"settings", "--addr", settings, "set", "log.level", "debug"}, "log.level = debug, version 5\n"},
		"versions": {[]string{"versions", "--addr", upgrading}, "active 1, next 2, held back at 1 by upgrade.max_version\n" +
			"worker-0         understands 1 to 2  ready\n" +
			"worker-1         understands 1 to 1  too old\n"},
	} {
		t.Run(name, func(t *testing.T) {
			results, _, err := runCommand(c.args...)
			if err != nil || results != c.want {
				t.Errorf("lilaclead %q printed\n%s, error %v, want\n%s", c.args, results, err, c.want)
			}
		})
	}
}

func TestOperatorsClientReportsWhyARequestFailed(t *testing.T) {
	refusing := serveAdmin(t, http.StatusBadRequest, wire.ErrorBody{Error: "must be a number", Field: "rate"}, nil)
	unreadable := serveAdmin(t, http.StatusBadGateway, 7, nil)
	withoutSettings := serveAdmin(t, http.StatusOK, admin.Listing{}, nil)
	for name, c := range map[string]struct {
		args []string
		want string
	}{
		"refused":         {[]string{"settings", "--addr", refusing, "list"}, "rate: must be a number (400)"},
		"unreadable":      {[]string{"versions", "--addr", unreadable}, "unreadable answer (502)"},
		"unknown setting": {[]string{"settings", "--addr", withoutSettings, "get", "bogus"}, "bogus: unknown setting"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := runCommand(c.args...)
			if err == nil || err.Error() != c.want {
				t.Errorf("lilaclead %q: error %v, want %s", c.args, err, c.want)
			}
		})
	}
}

func TestNumericSettingsAreParsedAsNumbers(t *testing.T) {
	got := []any{parseSetting("2.5"), parseSetting("7"), parseSetting("debug"), parseSetting("")}
	want := []any{2.5, 7.0, "debug", ""}
	if !slices.Equal(got, want) {
		t.Errorf("parseSetting = %v, want %v", got, want)
	}
}
