package features

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lilaclead/internal/wire"
)

func TestLoadOfMissingFileTurnsNothingOn(t *testing.T) {
	path := filepath.Join(t.TempDir(), "features.toml")
	if got, err := Load(path); err != nil || got != (Features{}) {
		t.Errorf("Load of a missing file: got %+v, %v, want all off", got, err)
	}
}

func TestLoadReadsFeatures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "features.toml")
	content := "[duties]\nrecord_intents = true\n[history]\ndir = \"/h\"\nlimit_mb = 8\n"
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
	got, err := Load(path)
	if want := (Features{RecordIntents: true, HistoryDir: "/h", HistoryLimitMB: 8}); err != nil || got != want {
		t.Errorf("Load of %q: got %+v, %v, want %+v", content, got, err, want)
	}
}

func TestLoadOfDirectoryFails(t *testing.T) {
	if got, err := Load(t.TempDir()); err == nil || got != (Features{}) {
		t.Errorf("Load of a directory: got %+v, %v, want an error", got, err)
	}
}

func TestParseOfValidFiles(t *testing.T) {
	for _, tt := range []struct {
		name, content string
		want          Features
	}{
		{"empty file", "", Features{}},
		{"empty table", "[duties]", Features{}},
		{"feature set to false", "duties.record_intents = false", Features{}},
		{"dotted names", "upgrades.negotiate = true", Features{NegotiateVersions: true}},
		{"limit with a fraction", "history.limit_mb = 0.5", Features{HistoryLimitMB: 0.5}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got, err := Parse([]byte(tt.content)); err != nil || got != tt.want {
				t.Errorf("Parse(%q): got %+v, %v, want %+v", tt.content, got, err, tt.want)
			}
		})
	}
}

func TestParseReportsEveryWrongField(t *testing.T) {
	for _, tt := range []struct {
		name, content string
		want          []string
	}{
		{"wrong type, unknown name, unknown tables", "duties.record_intents = 1\nduty = true\n[dutees]\n[x.y]\nz = 2",
			[]string{"duties.record_intents: must be true or false", "duty: unknown name", "dutees: unknown name", "x.y.z: unknown name"}},
		{"wrong types beside an unknown name", "[history]\ndir = 3\nlimit_mb = -1\nlimit = 2",
			[]string{"history.dir: must be a text", "history.limit_mb: must be a number above 0", "history.limit: unknown name"}},
		{"limit that is not a number", "history.limit_mb = nan", []string{"history.limit_mb: must be a number above 0"}},
		{"infinite limit", "history.limit_mb = inf", []string{"history.limit_mb: must be a number above 0"}},
		{"limit of zero", "history.limit_mb = 0", []string{"history.limit_mb: must be a number above 0"}},
		{"limit as a text", "history.limit_mb = \"8\"", []string{"history.limit_mb: must be a number above 0"}},
		{"value in place of a table", "duties = true", []string{"duties: unknown name"}},
		{"syntax error", "[duties]\n\nrecord_intents = tru", []string{"line 3"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, err := Parse([]byte(tt.content))
			if err == nil || got != (Features{}) {
				t.Fatalf("Parse(%q): got %+v, %v, want an error and all off", tt.content, got, err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("Parse(%q): got error %v, want one that contains %q", tt.content, err, want)
				}
			}
		})
	}
}

func TestParseErrorNamesTheFirstFieldByName(t *testing.T) {
	_, err := Parse([]byte("x = 1\nduties.record_intents = 1"))
	var got wire.FieldError
	if want := (wire.FieldError{Field: "duties.record_intents", Reason: "must be true or false"}); !errors.As(err, &got) || got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestStringListsEveryField(t *testing.T) {
	features := Features{RecordIntents: true, HistoryDir: "/h", HistoryLimitMB: 8}
	want := "duties.record_intents=true upgrades.negotiate=false history.dir=/h history.limit_mb=8"
	if got := features.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestFeaturesFileInRepositoryIsValid(t *testing.T) {
	if _, err := Load(FilePathFor("../../target/lilaclead")); err != nil {
		t.Error(err)
	}
}
