package features

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A file turns on what it names; none turns on nothing.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "features.toml")
	if f, err := Load(path); err != nil || f != (Features{}) {
		t.Errorf("no file: %+v, %v", f, err)
	}
	if err := os.WriteFile(path, []byte("[duties]\nrecord_intents = true\n[history]\ndir = \"/h\"\nlimit_mb = 8\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || !f.RecordIntents || f.HistoryDir != "/h" || f.HistoryLimitMB != 8 || !strings.Contains(f.String(), "duties.record_intents=true") {
		t.Errorf("%v, %v", f, err)
	}
	if _, err := Load(filepath.Dir(path)); err == nil {
		t.Error("a folder was read as a file")
	}
}

// Everything that is wrong is reported at once, each with its field.
func TestWrongFields(t *testing.T) {
	for _, c := range []struct {
		text string
		want []string
	}{
		{"duties.record_intents = 1\nduty = true\n[dutees]\n[x.y]\nz = 2", []string{"duties.record_intents: must be true or false", "duty: unknown name", "dutees: unknown name", "x.y.z: unknown name"}},
		{"[history]\ndir = 3\nlimit_mb = -1\nlimit = 2", []string{"history.dir: must be a text", "history.limit_mb: must be a number above 0", "history.limit: unknown name"}},
		{"history.limit_mb = nan", []string{"history.limit_mb"}},
		{"duties = true", []string{"duties: unknown name"}},
		{"[duties]\n\nrecord_intents = tru", []string{"line 3"}},
	} {
		f, err := Parse([]byte(c.text))
		if err == nil || f != (Features{}) {
			t.Errorf("%q: %+v, %v", c.text, f, err)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%q: %v lacks %q", c.text, err, want)
			}
		}
	}
}

// The file of the repository is one that the program takes.
func TestDeployedFile(t *testing.T) {
	if _, err := Load(PathBeside("../../target/lilaclead")); err != nil {
		t.Error(err)
	}
}
