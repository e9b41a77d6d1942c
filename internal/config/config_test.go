package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lilaclead/internal/wire"
)

const validFile = `
host_name = "a"
zone = "z1"
front = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
novel = 3
[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[settings]
size = 1
zones = ["z1"]
[[settings.teams]]
name = "t"
[settings.workers]
report_s = 3.0
lease_s = 45.0
cancel_s = 70.0
[settings.state]
rps = 10.0
write_rps = 5.0
value_kb = 16.0
txn_ops = 12
[settings.cloud]
rps = 6.0
list_lag_s = 4.0
[settings.limits]
cores = 0.2
memory_mb = 98.0
fd_limit = 900
`

// parseChanged parses the valid file after replacements in its text. They are pairs of an old
// text, which the file must contain, and a new one.
func parseChanged(t *testing.T, replacements ...string) (*Config, error) {
	t.Helper()
	for i := 0; i < len(replacements); i += 2 {
		if !strings.Contains(validFile, replacements[i]) {
			t.Fatalf("the valid file lacks %q", replacements[i])
		}
	}
	return Parse([]byte(strings.NewReplacer(replacements...).Replace(validFile)))
}

// parseWith parses the valid file with lines added to its table of workers, and with another
// section added.
func parseWith(t *testing.T, workerLines, section string) (*Config, error) {
	t.Helper()
	return parseChanged(t, "[settings.cloud]", section+"\n[settings.cloud]", "cancel_s = 70.0", "cancel_s = 70.0\n"+workerLines)
}

func TestParseIgnoresUnknownFields(t *testing.T) {
	cfg, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if got := cfg.Settings; got.Workers.Lease != 45 || got.Teams[0].Name != "t" {
		t.Errorf("settings: got %+v, want a lease of 45 and the team t", got)
	}
}

func TestLoadReadsFileOrReportsItMissing(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(path, []byte(validFile), 0o644); err != nil {
		t.Fatal(err)
	}
	if cfg, err := Load(path); err != nil || cfg.HostName != "a" {
		t.Errorf("Load of a valid file: got %+v, %v, want the host name a", cfg, err)
	}
	if cfg, err := Load(filepath.Join(dir, "none.toml")); !errors.Is(err, os.ErrNotExist) || cfg != nil {
		t.Errorf("Load of a missing file: got %+v, %v, want %v", cfg, err, os.ErrNotExist)
	}
}

func TestParseErrorNamesPositionOfSyntaxError(t *testing.T) {
	_, err := Parse([]byte("host_name = \"a\"\n\nzone = z1\n"))
	if err == nil || !strings.Contains(err.Error(), "settings file, line 3") {
		t.Errorf("got %v, want an error in line 3", err)
	}
}

func TestValidateReportsEveryWrongField(t *testing.T) {
	_, err := parseChanged(t, `zone = "z1"`, "", "lease_s = 45.0", "lease_s = -1.0", "size = 1", "size = 3",
		`front = "127.0.0.1:8080"`, `front = "nowhere"`)
	if err == nil {
		t.Fatal("got no error, want four")
	}
	for _, want := range []string{"zone: missing", "settings.workers.lease_s", "settings.size", "front: must be host:port"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %q, want an error that contains %q", err, want)
		}
	}
	var first wire.FieldError
	if want := (wire.FieldError{Field: "zone", Reason: "missing"}); !errors.As(err, &first) || first != want {
		t.Errorf("first error: got %v, want %v", first, want)
	}
}

// Tight limits are valid, and so are a node in a zone that the settings lack and a zone without
// a node.
func TestValidateAllowsTightSettings(t *testing.T) {
	for _, tt := range []struct{ name, old, replacement string }{
		{"node in a zone that the settings lack", `zone = "z1"`, `zone = "elsewhere"`},
		{"zones without a node", `zones = ["z1"]`, `zones = ["z1", "z2", "z3"]`},
		{"short lease", "lease_s = 45.0", "lease_s = 4.0"},
		{"short cancellation timeout", "cancel_s = 70.0", "cancel_s = 20.0"},
		{"small value limit", "value_kb = 16.0", "value_kb = 1.0"},
		{"smallest value limit", "value_kb = 16.0", "value_kb = 0.5"},
		{"small transactions", "txn_ops = 12", "txn_ops = 2"},
		{"low request rate of the store", "rps = 10.0", "rps = 1.5"},
		{"little memory", "memory_mb = 98.0", "memory_mb = 24.0"},
		{"few file descriptors", "fd_limit = 900", "fd_limit = 64"},
		{"machine list without lag", "list_lag_s = 4.0", "list_lag_s = 0.0"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := parseChanged(t, tt.old, tt.replacement); err != nil {
				t.Errorf("%s: got %v, want no error", tt.replacement, err)
			}
		})
	}
}

func TestValidateRejectsSettingsThatCannotWork(t *testing.T) {
	for _, tt := range []struct{ name, old, replacement, want string }{
		{"lease shorter than the heartbeat interval", "lease_s = 45.0", "lease_s = 2.0", "settings.workers.lease_s: must be longer than report_s: leases would end between two reports"},
		{"infinite heartbeat interval", "report_s = 3.0", "report_s = inf", "settings.workers.report_s: must be above 0"},
		{"cancellation timeout of zero", "cancel_s = 70.0", "cancel_s = 0.0", "settings.workers.cancel_s: must be above 0"},
		{"value limit too small for a job", "value_kb = 16.0", "value_kb = 0.1", "settings.state.value_kb: must be 0.5 or more, to hold one job"},
		{"value limit that is not a number", "value_kb = 16.0", "value_kb = nan", "settings.state.value_kb: must be above 0"},
		{"transaction limit of one write", "txn_ops = 12", "txn_ops = 1", "settings.state.txn_ops: must be 2 or more: a job's record is replaced by its final one"},
		{"request rate of zero for the store", "rps = 10.0", "rps = 0.0", "settings.state.rps: must be above 0"},
		{"negative write rate of the store", "write_rps = 5.0", "write_rps = -1.0", "settings.state.write_rps: must be above 0"},
		{"zone without a name", `zones = ["z1"]`, `zones = ["z1", ""]`, "settings.zones[1]: missing"},
		{"no zones", `zones = ["z1"]`, `zones = []`, "settings.zones: missing"},
		{"no teams", "[[settings.teams]]\nname = \"t\"", "", "settings.teams: missing"},
		{"team named twice", `name = "t"`, "name = \"t\"\n[[settings.teams]]\nname = \"t\"", "settings.teams[1].name: named twice"},
		{"team without a name", `name = "t"`, `name = ""`, "settings.teams[0].name: missing"},
		{"negative CPU quota", `name = "t"`, "name = \"t\"\ncpus = -1.0", "settings.teams[0].cpus: must be 0 or more"},
		{"negative CPU limit", `name = "t"`, "name = \"t\"\ncpus_max = -1.0", "settings.teams[0].cpus_max: must be 0 or more"},
		{"negative GPU quota", `name = "t"`, "name = \"t\"\ngpus = -1.0", "settings.teams[0].gpus: must be 0 or more"},
		{"GPU limit that is not a number", `name = "t"`, "name = \"t\"\ngpus_max = nan", "settings.teams[0].gpus_max: must be 0 or more"},
		{"no nodes", "size = 1", "size = 0", "settings.size: must be 1 or more"},
		{"more nodes than are named", "size = 1", "size = 3", "settings.size: is 3, but others and this node make 1"},
		{"no host name", `host_name = "a"`, "", "host_name: missing"},
		{"own peer address without a port", `peer_bind = "127.0.0.1:8081"`, `peer_bind = "127.0.0.1:"`, "peer_bind: must be host:port"},
		{"peer with the name of this node", "[endpoints]", "[[others]]\nhost_name = \"a\"\naddr = \"127.0.0.1:9\"\n[endpoints]", "others[0].host_name: named twice"},
		{"peer without an address", "[endpoints]", "[[others]]\nhost_name = \"b\"\n[endpoints]", "others[0].addr: must be host:port"},
		{"no address of the cloud", `cloud = "127.0.0.1:1"`, "", "endpoints.cloud: must be host:port"},
		{"no address of the store", `state = "127.0.0.1:2"`, "", "endpoints.state: must be host:port"},
		{"request rate of zero for the cloud", "rps = 6.0", "rps = 0.0", "settings.cloud.rps: must be above 0"},
		{"negative lag of the machine list", "list_lag_s = 4.0", "list_lag_s = -1.0", "settings.cloud.list_lag_s: must be 0 or more"},
		{"zero cores", "cores = 0.2", "cores = 0.0", "settings.limits.cores: must be above 0"},
		{"zero memory", "memory_mb = 98.0", "memory_mb = 0.0", "settings.limits.memory_mb: must be above 0"},
		{"too few file descriptors", "fd_limit = 900", "fd_limit = 63", "settings.limits.fd_limit: must be 64 or more"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := parseChanged(t, tt.old, tt.replacement); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("%q: got %v, want an error that contains %q", tt.replacement, err, tt.want)
			}
		})
	}
}

func TestFileWithoutGangTimesAndNextLimitsIsValid(t *testing.T) {
	cfg, err := Parse([]byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	if limits := cfg.Settings.State; limits.Next != nil || limits.Strictest() != limits {
		t.Errorf("limits: got %+v and %+v as the strictest, want both the same", limits, limits.Strictest())
	}
	if w := cfg.Settings.Workers; w.GangWait != 0 || w.GangPeerTimeout != 0 {
		t.Errorf("gang times: got %v and %v, want 0", w.GangWait, w.GangPeerTimeout)
	}
}

func TestParseReadsGangTimes(t *testing.T) {
	cfg, err := parseWith(t, "gang_wait_s = 40.0\ngang_peer_s = 3.0", "")
	if err != nil {
		t.Fatal(err)
	}
	if w := cfg.Settings.Workers; w.GangWait != 40 || w.GangPeerTimeout != 3 {
		t.Errorf("gang times: got %v and %v, want 40 and 3", w.GangWait, w.GangPeerTimeout)
	}
}

func TestStrictestLimitsAreTheLowerOnes(t *testing.T) {
	for _, tt := range []struct {
		name, next string
		want       StoreLimits
	}{
		{"lower announced limits apply before they are in force", "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 3.0", StoreLimits{RPS: 10, WriteRPS: 3, ValueKB: 2, TxnOps: 4}},
		{"higher announced limits do not apply before they are in force", "value_kb = 64.0\ntxn_ops = 40", StoreLimits{RPS: 10, WriteRPS: 5, ValueKB: 16, TxnOps: 12}},
		{"limits that are not announced stay", "rps = 4.0", StoreLimits{RPS: 4, WriteRPS: 5, ValueKB: 16, TxnOps: 12}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg, err := parseWith(t, "gang_wait_s = 40.0\ngang_peer_s = 3.0", "[settings.state.next]\n"+tt.next)
			if err != nil {
				t.Fatal(err)
			}
			if got := cfg.Settings.State.Strictest(); got != tt.want {
				t.Errorf("next limits %q: got %+v, want %+v", tt.next, got, tt.want)
			}
		})
	}
}

func TestValidateRejectsWrongGangTimesAndNextLimits(t *testing.T) {
	for _, tt := range []struct{ name, workerLines, next, want string }{
		{"negative gang wait", "gang_wait_s = -1.0", "", "settings.workers.gang_wait_s: must be 0 or more"},
		{"infinite gang wait", "gang_wait_s = inf", "", "settings.workers.gang_wait_s: must be 0 or more"},
		{"gang peer timeout that is not a number", "gang_peer_s = nan", "", "settings.workers.gang_peer_s: must be 0 or more"},
		{"infinite gang peer timeout", "gang_peer_s = inf", "", "settings.workers.gang_peer_s: must be 0 or more"},
		{"negative request rate", "", "rps = -1.0", "settings.state.next.rps: must be 0 or more"},
		{"write rate that is not a number", "", "write_rps = nan", "settings.state.next.write_rps: must be 0 or more"},
		{"value limit too small for a job", "", "value_kb = 0.1", "settings.state.next.value_kb: must be 0.5 or more, to hold one job"},
		{"value limit that is not a number", "", "value_kb = nan", "settings.state.next.value_kb: must be 0.5 or more, to hold one job"},
		{"transaction limit of one write", "", "txn_ops = 1", "settings.state.next.txn_ops: must be 2 or more: a job's record is replaced by its final one"},
		{"negative transaction limit", "", "txn_ops = -4", "settings.state.next.txn_ops: must be 2 or more: a job's record is replaced by its final one"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			section := ""
			if tt.next != "" {
				section = "[settings.state.next]\n" + tt.next
			}
			if _, err := parseWith(t, tt.workerLines, section); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("%s%s: got %v, want an error that contains %q", tt.workerLines, tt.next, err, tt.want)
			}
		})
	}
}

func TestTeamIsFoundByName(t *testing.T) {
	settings := Settings{Teams: []Team{{Name: "red", GuaranteedCPUs: 1}, {Name: "blue", GuaranteedCPUs: 2}}}
	if team, known := settings.Team("blue"); !known || team.GuaranteedCPUs != 2 {
		t.Errorf("blue: got %+v, %t, want the team with 2 CPUs", team, known)
	}
	if team, known := settings.Team("green"); known || team != (Team{}) {
		t.Errorf("green: got %+v, %t, want none", team, known)
	}
}
