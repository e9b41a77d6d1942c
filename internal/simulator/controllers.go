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

// PlaceControllers says in which zones the nodes are, before they are up: by turns, so that
// some zones may have none.
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

// ChangeSettings changes the settings that a node starts with the next time.
func (sim *Simulation) ChangeSettings(i int, change func(*config.Settings)) {
	change(&sim.controllers[i].cfg.Settings)
}

// StartController starts the i-th node if it is down.
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
	sim.spawn(func() { _ = run(ctx) }) // it is killed
	return nil
}

// KillController ends the i-th node as a power cut does.
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

// setPower records that a controller starts or ends, which is a fault to others.
func (sim *Simulation) setPower(n *controller, up bool) {
	sim.mu.Lock()
	n.up, sim.lastFault = up, time.Now()
	sim.mu.Unlock()
}

// Leader returns the index of the controller that leads by the key-value store's
// record, or -1.
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

// LeaderKeyRevision returns the revision of the leader's key, 0 while nobody holds it.
func (sim *Simulation) LeaderKeyRevision() wire.Revision {
	sim.State.mu.Lock()
	defer sim.State.mu.Unlock()
	if e := sim.State.keys["lead"]; e != nil {
		return e.revision
	}
	return 0
}

// LeaderAndToken returns the leader by the key-value store's record, -1 if nobody leads, and
// the revision of its key.
func (sim *Simulation) LeaderAndToken() (int, wire.FencingToken) {
	i, revision := sim.Leader(), sim.LeaderKeyRevision()
	if i < 0 || revision == 0 {
		return -1, 0
	}
	return i, wire.FencingToken(revision)
}

// IsolateController cuts the i-th controller from the key-value store and from the other ones,
// not from workers, users and the cloud, or ends the cut.
func (sim *Simulation) IsolateController(i int, mode CutMode, on bool) {
	for k := range sim.controllers {
		if k != i {
			sim.Net.CutWithMode(NodeIP(i), NodeIP(k), mode, on)
		}
	}
	sim.Net.CutWithMode(NodeIP(i), hostOf(KVStoreAddr), mode, on)
}

// parseID returns the index of a controller by its name.
func parseID(name string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(name, "worker-"))
	return n
}
