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
