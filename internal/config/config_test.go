package config

import (
	"strings"
	"testing"
)

const good = `
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

func TestGoodFileAndUnknownFields(t *testing.T) {
	c, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if c.Settings.Workers.LeaseS != 45 || c.Settings.Teams[0].Name != "t" {
		t.Fatalf("read %+v", c.Settings)
	}
}

func TestEveryErrorIsNamed(t *testing.T) {
	bad := strings.NewReplacer(`zone = "z1"`, "", "lease_s = 45.0", "lease_s = -1.0", "size = 1", "size = 3",
		`front = "127.0.0.1:8080"`, `front = "nowhere"`).Replace(good)
	_, err := Parse([]byte(bad))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"zone: missing", "settings.workers.lease_s", "settings.size", "front: must be host:port"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q lacks %q", err, want)
		}
	}
}

// A tight deployment starts, and so does one with zones that have no controller
// or that no setting names; what can't work at all is named.
func TestTightIsNotWrong(t *testing.T) {
	change := func(pairs ...string) error {
		_, err := Parse([]byte(strings.NewReplacer(pairs...).Replace(good)))
		return err
	}
	for _, pairs := range [][]string{
		{`zone = "z1"`, `zone = "elsewhere"`},
		{`zones = ["z1"]`, `zones = ["z1", "z2", "z3"]`},
		{"lease_s = 45.0", "lease_s = 4.0"},
		{"cancel_s = 70.0", "cancel_s = 20.0"},
		{"value_kb = 16.0", "value_kb = 1.0"},
		{"txn_ops = 12", "txn_ops = 2"},
		{"rps = 10.0", "rps = 1.5"},
		{"memory_mb = 98.0", "memory_mb = 24.0"},
		{"fd_limit = 900", "fd_limit = 64"},
	} {
		if err := change(pairs...); err != nil {
			t.Errorf("%v: %v", pairs, err)
		}
	}
	for want, pairs := range map[string][]string{
		"settings.workers.lease_s":  {"lease_s = 45.0", "lease_s = 2.0"},
		"settings.workers.report_s": {"report_s = 3.0", "report_s = inf"},
		"settings.state.value_kb":   {"value_kb = 16.0", "value_kb = 0.1"},
		"settings.state.txn_ops":    {"txn_ops = 12", "txn_ops = 1"},
		"settings.zones[1]":         {`zones = ["z1"]`, `zones = ["z1", ""]`},
		"settings.teams[1].name":    {`name = "t"`, "name = \"t\"\n[[settings.teams]]\nname = \"t\""},
	} {
		if err := change(pairs...); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: error %v lacks %q", pairs, err, want)
		}
	}
}
