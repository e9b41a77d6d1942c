package simulator

import (
	"testing"

	"lilaclead/internal/wire"
)

// Controllers send commands to the address that an agent advertises. On the loopback network it
// must be a loopback address.
func TestAgentsAdvertiseAddressesOfTheirNetwork(t *testing.T) {
	const address = "10.1.0.7:9000"
	for _, c := range []struct {
		name       string
		onLoopback bool
		want       string
	}{
		{"in memory", false, address},
		{"on loopback", true, "127.1.0.7:9000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := &Simulation{onLoopback: c.onLoopback, machines: map[wire.MachineID]*worker{}}
			m := &worker{id: "n-7", addr: address, sim: sim, up: true}
			sim.machines[m.id] = m
			if got := sim.listedMachines()[0].Addr; got != c.want {
				t.Errorf("machine list: got %s, want %s", got, c.want)
			}
			if got := m.nextHeartbeat().Addr; got != c.want {
				t.Errorf("heartbeat: got %s, want %s", got, c.want)
			}
		})
	}
}
