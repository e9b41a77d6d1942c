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
	if c.Settings.Workers.Lease != 45 || c.Settings.Teams[0].Name != "t" {
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

// The fields for gangs and for the state service's limits to come: a file without
// them is as good as before, and what is wrong in them is named.
func TestGangsAndLimitsToCome(t *testing.T) {
	change := func(workers, next string) (*Config, error) {
		return Parse([]byte(strings.NewReplacer("[settings.cloud]", next+"\n[settings.cloud]", "cancel_s = 70.0", "cancel_s = 70.0\n"+workers).Replace(good)))
	}
	c, err := change("", "")
	if err != nil || c.Settings.State.Next != nil || c.Settings.State.Least() != c.Settings.State || c.Settings.Workers.GangWait != 0 {
		t.Errorf("without them: %v, %+v", err, c.Settings.State)
	}
	c, err = change("gang_wait_s = 40.0\ngang_peer_s = 3.0", "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 3.0")
	if err != nil {
		t.Fatal(err)
	}
	if w := c.Settings.Workers; w.GangWait != 40 || w.GangPeerTimeout != 3 {
		t.Errorf("read %+v", w)
	}
	if got := c.Settings.State.Least(); got != (State{RPS: 10, WriteRPS: 3, ValueKB: 2, TxnOps: 4}) {
		t.Errorf("the least of both is %+v", got)
	}
	// Limits that rise are kept to as soon as they hold, so not yet.
	c, err = change("", "[settings.state.next]\nvalue_kb = 64.0\ntxn_ops = 40")
	if got := c.Settings.State.Least(); err != nil || got != (State{RPS: 10, WriteRPS: 5, ValueKB: 16, TxnOps: 12}) {
		t.Errorf("the least of both is %+v, %v", got, err)
	}
	for want, pair := range map[string][2]string{
		"settings.workers.gang_wait_s":   {"gang_wait_s = -1.0", ""},
		"settings.workers.gang_peer_s":   {"gang_peer_s = nan", ""},
		"settings.state.next.rps":        {"", "[settings.state.next]\nrps = -1.0"},
		"settings.state.next.write_rps":  {"", "[settings.state.next]\nwrite_rps = nan"},
		"settings.state.next.value_kb":   {"", "[settings.state.next]\nvalue_kb = 0.1"},
		"settings.state.next.txn_ops":    {"", "[settings.state.next]\ntxn_ops = 1"},
		"settings.state.next.txn_ops: ":  {"", "[settings.state.next]\ntxn_ops = -4"},
		"settings.state.next.value_kb: ": {"", "[settings.state.next]\nvalue_kb = nan"},
		"settings.workers.gang_wait_s: ": {"gang_wait_s = inf", ""},
		"settings.workers.gang_peer_s: ": {"gang_peer_s = inf", ""},
	} {
		if _, err := change(pair[0], pair[1]); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: error %v lacks %q", pair, err, want)
		}
	}
}
