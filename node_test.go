package lilaclead

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/history"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	nodeHost   = "10.0.0.1"
	clientHost = "10.1.0.1"
)

// testConfig returns the settings of a node without peers on a simulated network.
func testConfig() *Config {
	settings := simulator.DefaultSettings()
	settings.Size = 1
	settings.Zones = settings.Zones[:1]
	return &Config{
		HostName:  "worker-0",
		Zone:      settings.Zones[0],
		UserAddr:  nodeHost + ":8080",
		PeerAddr:  nodeHost + ":8081",
		Endpoints: config.Endpoints{Cloud: simulator.CloudAddr, State: simulator.KVStoreAddr},
		Settings:  settings,
	}
}

// runNode runs a node and a key-value store with the given records in virtual time, until the
// script returns. The script may send requests to the node.
func runNode(t *testing.T, records map[string]any, features Features, script func(t *testing.T, n *Node, network *simulator.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := simulator.NewNetwork(time.Millisecond)
		cfg := testConfig()
		state := simulator.NewKVStore(cfg.Settings.State.TxnOps, int(cfg.Settings.State.ValueKB))
		for key, value := range records {
			state.Put(key, value)
		}
		stopState, err := network.ServeKVStore(state)
		if err != nil {
			t.Fatal(err)
		}
		n, err := New(cfg, Options{Net: network.Host(nodeHost), Log: io.Discard, Features: features})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		script(t, n, network)
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Run returned %v after its context ended, want nil", err)
		}
		stopState()
		time.Sleep(time.Minute) // lets the goroutines of the node and the store end
	})
}

// call sends a request from a host of the simulated network.
func call(t *testing.T, network *simulator.Network, method, addr, path string) (status int, body []byte) {
	t.Helper()
	client := &http.Client{Transport: netio.Network{Dial: network.Host(clientHost).Dial}.Transport(1, 1)}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	status, body, _, err := netio.Call(ctx, client, method, "http://"+addr+path, nil, 1<<16)
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
	}
	return status, body
}

func TestNodeAnswersKnownPathsAndRejectsOthers(t *testing.T) {
	runNode(t, nil, Features{}, func(t *testing.T, n *Node, network *simulator.Network) {
		time.Sleep(time.Second)
		for _, c := range []struct {
			situation, method, addr, path string
			want                          int
			wantError                     string
		}{
			{"health check", "GET", n.cfg.UserAddr, "/ready", http.StatusOK, ""},
			{"unknown path for users", "GET", n.cfg.UserAddr, "/unknown", http.StatusNotFound, "no such path"},
			{"wrong method for users", "PUT", n.cfg.UserAddr, "/ready", http.StatusMethodNotAllowed, "method not allowed"},
			{"unknown path for peers", "GET", n.cfg.PeerAddr, "/unknown", http.StatusNotFound, "no such path"},
			{"health check at the peers' address", "GET", n.cfg.PeerAddr, "/ready", http.StatusNotFound, "no such path"},
		} {
			status, body := call(t, network, c.method, c.addr, c.path)
			var refusal wire.ErrorBody
			if err := wire.Decode(body, &refusal); c.wantError != "" && err != nil {
				t.Errorf("%s: %s %s: response can't be decoded: %v", c.situation, c.method, c.path, err)
			}
			if status != c.want || refusal.Error != c.wantError {
				t.Errorf("%s: %s %s = %d %q, want %d %q", c.situation, c.method, c.path, status, refusal.Error, c.want, c.wantError)
			}
		}
	})
}

func TestNodeRecordsAcquiredLeases(t *testing.T) {
	features := Features{HistoryDir: t.TempDir(), HistoryLimitMB: 1}
	runNode(t, nil, features, func(*testing.T, *Node, *simulator.Network) { time.Sleep(time.Minute) })
	events, damaged, err := history.Read(features.HistoryDir, history.Filter{Kind: "acquired", Controller: "worker-0"})
	if err != nil || len(damaged) > 0 || len(events) == 0 {
		t.Errorf("Read = %v, damaged %v, error %v, want the event of an acquired lease", events, damaged, err)
	}
}

func TestNodeLoadsStoredMachineTypes(t *testing.T) {
	stored := wire.MachineSpecs{Types: []wire.MachineSpec{{Name: "large", CPUs: 8, MemoryGB: 32}}}
	runNode(t, map[string]any{store.MachineSpecsKey: stored}, Features{}, func(t *testing.T, n *Node, _ *simulator.Network) {
		time.Sleep(10 * time.Second)
		got := n.machineTypes.catalog.Get()
		if len(got) != 1 || got[0].Name != "large" {
			t.Errorf("machine types %+v, want %+v", got, stored.Types)
		}
	})
}

func TestCatalogStaysEmptyWithoutUsableMachineTypes(t *testing.T) {
	for name, records := range map[string]map[string]any{
		"none stored":             nil,
		"record isn't decodable":  {store.MachineSpecsKey: 7},
		"record without any type": {store.MachineSpecsKey: wire.MachineSpecs{}},
	} {
		t.Run(name, func(t *testing.T) {
			runNode(t, records, Features{}, func(t *testing.T, n *Node, _ *simulator.Network) {
				time.Sleep(10 * time.Second)
				if got := n.machineTypes.catalog.Get(); got != nil {
					t.Errorf("machine types %+v without a cloud, want none", got)
				}
			})
		})
	}
}

func TestNewNamesInvalidSettings(t *testing.T) {
	cfg := testConfig()
	cfg.UserAddr = "no address"
	cfg.Settings.Cloud.RPS = 0
	_, err := New(cfg, Options{Log: io.Discard})
	for _, setting := range []string{"front", "settings.cloud.rps"} {
		if err == nil || !strings.Contains(err.Error(), setting) {
			t.Errorf("New with an invalid %s: error %v doesn't name the setting", setting, err)
		}
	}
}

func TestNewNamesInvalidHistoryLimit(t *testing.T) {
	features := Features{HistoryDir: t.TempDir(), HistoryLimitMB: -1}
	_, err := New(testConfig(), Options{Log: io.Discard, Features: features})
	if invalid, ok := errors.AsType[*history.OptionError](err); !ok || invalid.Option != "limit" {
		t.Errorf("New with %+v: error %v, want one for the limit", features, err)
	}
}

func TestRunNamesTheAddressThatCantBeBound(t *testing.T) {
	cfg := testConfig()
	for _, c := range []struct{ setting, addr string }{{"front", cfg.UserAddr}, {"peer_bind", cfg.PeerAddr}} {
		t.Run(c.setting, func(t *testing.T) {
			network := simulator.NewNetwork(time.Millisecond)
			defer network.Close()
			host := network.Host(nodeHost)
			if _, err := host.Listen("tcp4", c.addr); err != nil {
				t.Fatal(err)
			}
			n, err := New(cfg, Options{Net: host, Log: io.Discard})
			if err != nil {
				t.Fatal(err)
			}
			err = n.Run(t.Context())
			listenErr, ok := errors.AsType[*ListenError](err)
			if !ok || listenErr.Setting != c.setting || listenErr.Addr != c.addr {
				t.Fatalf("Run = %v, want a ListenError for %s", err, c.setting)
			}
			if !strings.HasPrefix(err.Error(), c.setting+": ") {
				t.Errorf("Run = %q, want it to begin with %q", err, c.setting)
			}
			if c.setting == "peer_bind" {
				listener, err := host.Listen("tcp4", cfg.UserAddr)
				if err != nil {
					t.Fatalf("the users' address is still bound: %v", err)
				}
				listener.Close()
			}
		})
	}
}
