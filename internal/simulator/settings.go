package simulator

import (
	"context"
	"fmt"
	"net"
	"strings"

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// KVStoreAddr and CloudAddr are the endpoints of the fake key-value store and the fake cloud.
const (
	KVStoreAddr = "10.2.0.1:2379"
	CloudAddr   = "10.2.0.2:8443"
)

// NodeIP returns the IP address of the i-th controller.
func NodeIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// DefaultSettings returns the settings of a small deployment.
func DefaultSettings() config.Settings {
	return config.Settings{
		Size: 3, Zones: []wire.Zone{"a", "b"}, MaxClockSkewMillis: 250,
		Teams:   []config.Team{{Name: "red", GuaranteedCPUs: 16, MaxCPUs: 40}, {Name: "blue", GuaranteedCPUs: 16}},
		Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41, GangWait: 45, GangPeerTimeout: 8},
		State:   config.StoreLimits{RPS: 200, WriteRPS: 50, ValueKB: 16, TxnOps: 12},
		Cloud:   config.CloudLimits{RPS: 6, ListLag: 4},
		Limits:  config.ProcessLimits{Cores: 0.2, MemoryMB: 98, FDLimit: 900},
	}
}

// ThreeZoneSettings returns the settings of three controllers and three zones, with low limits
// of the key-value store and a cancel timeout little longer than two leases. PlaceControllers
// can leave a zone without a controller.
func ThreeZoneSettings() config.Settings {
	s := DefaultSettings()
	s.Zones = []wire.Zone{"a", "b", "c"}
	s.Workers = config.Workers{HeartbeatInterval: 4, Lease: 22, CancelTimeout: 47, GangWait: 45, GangPeerTimeout: 8}
	s.State = config.StoreLimits{RPS: 80, WriteRPS: 25, ValueKB: 4, TxnOps: 8}
	s.Cloud = config.CloudLimits{RPS: 10, ListLag: 6}
	return s
}

// Loopback returns the operating system's loopback network, for use in place of the
// in-memory network: host 10.a.b.c is 127.a.b.c.
func Loopback(string) netio.Network {
	system := netio.HostNetwork()
	onLoopback := func(addr string) string { return LoopbackAddr(addr) }
	return netio.Network{
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return system.Dial(ctx, network, onLoopback(addr))
		},
		Listen: func(network, addr string) (net.Listener, error) { return system.Listen(network, onLoopback(addr)) },
	}
}

// LoopbackAddr returns the loopback address that replaces an address of the simulation.
func LoopbackAddr(addr string) string { return "127." + strings.TrimPrefix(addr, "10.") }
