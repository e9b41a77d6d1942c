package simulator

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/wire"
)

// PlaceControllers assigns the controllers to the given zones in turn, before they are
// started. Zones that are not given have no controller.
func (sim *Simulation) PlaceControllers(zones ...wire.Zone) {
	zone := func(i int) wire.Zone { return zones[i%len(zones)] }
	for i, node := range sim.controllers {
		node.cfg.Zone = zone(i)
		node.cfg.Peers = slices.Clone(node.cfg.Peers)
		for p := range node.cfg.Peers {
			peer := &node.cfg.Peers[p]
			peer.Zone = zone(slices.IndexFunc(sim.controllers, func(c *controller) bool { return c.cfg.HostName == peer.HostName }))
		}
	}
}

// Config returns the configuration of the i-th controller.
func (sim *Simulation) Config(i int) config.Config { return sim.controllers[i].cfg }

// ChangeSettings changes the settings with which the i-th controller starts next.
func (sim *Simulation) ChangeSettings(i int, change func(*config.Settings)) {
	change(&sim.controllers[i].cfg.Settings)
}

// StartController starts the i-th controller if it is down.
func (sim *Simulation) StartController(i int) error {
	n := sim.controllers[i]
	if n.cancel != nil {
		return nil
	}
	cfg := n.cfg
	run, err := sim.start(&cfg, sim.hostNet(NodeIP(i)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(sim.ctx)
	n.cancel = cancel
	sim.setPower(n, true)
	sim.spawn(func() { _ = run(ctx) }) // the error of a killed controller says nothing
	return nil
}

// KillController stops the i-th controller as a power failure does.
func (sim *Simulation) KillController(i int) {
	n := sim.controllers[i]
	if n.cancel == nil {
		return
	}
	sim.Net.Reset(NodeIP(i))
	n.cancel()
	n.cancel = nil
	sim.setPower(n, false)
	sim.Net.Reset(NodeIP(i))
}

// setPower records that a controller starts or stops, which counts as a fault.
func (sim *Simulation) setPower(n *controller, up bool) {
	sim.mu.Lock()
	n.up, sim.lastFault = up, time.Now()
	sim.mu.Unlock()
}

// Leader returns the index of the controller that the key-value store records as the leader,
// or -1.
func (sim *Simulation) Leader() int {
	sim.State.mu.Lock()
	defer sim.State.mu.Unlock()
	e := sim.State.keys["lead"]
	if e == nil {
		return -1
	}
	var rec struct {
		Node wire.NodeID `cbor:"node"`
	}
	if wire.Decode(e.value, &rec) != nil {
		return -1
	}
	for i, n := range sim.controllers {
		if n.cfg.HostName == rec.Node {
			return i
		}
	}
	return -1
}

// LeaderKeyRevision returns the revision of the leader's key, 0 if the key does not exist.
func (sim *Simulation) LeaderKeyRevision() wire.Revision {
	sim.State.mu.Lock()
	defer sim.State.mu.Unlock()
	if e := sim.State.keys["lead"]; e != nil {
		return e.revision
	}
	return 0
}

// LeaderAndToken returns the index of the leader, -1 if there is none, and its fencing token,
// which is the revision of the leader's key.
func (sim *Simulation) LeaderAndToken() (int, wire.FencingToken) {
	i, revision := sim.Leader(), sim.LeaderKeyRevision()
	if i < 0 || revision == 0 {
		return -1, 0
	}
	return i, wire.FencingToken(revision)
}

// IsolateController cuts the i-th controller off from the key-value store and from the other
// controllers, or ends the cut. Workers, users and the cloud still reach it.
func (sim *Simulation) IsolateController(i int, mode CutMode, on bool) {
	for k := range sim.controllers {
		if k != i {
			sim.Net.CutWithMode(NodeIP(i), NodeIP(k), mode, on)
		}
	}
	sim.Net.CutWithMode(NodeIP(i), hostOf(KVStoreAddr), mode, on)
}

// controllerIndex returns the index of the controller with a name.
func controllerIndex(name string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, "worker-"))
	return n
}
