package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/cloud"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// inventory follows the cloud's machine list and its machine types.
type inventory struct {
	*core.Loop
	state      *cluster.State
	cloud      *cloud.Client
	dispatcher *agents.Dispatcher
}

// pollMachineList reads the machine list again and again.
func (in *inventory) pollMachineList(ctx context.Context) {
	wait := 4 * time.Second
	for {
		asked := time.Now()
		list, err := in.cloud.List(ctx)
		next := wait
		if err == nil {
			in.Post(machineListReceived{list, asked})
		} else {
			next = time.Second + rand.N(time.Second)
			in.Log.Debug("machine list refused", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}

// onMachineList takes in a machine list. A list lags and goes backwards: what it
// lacks means nothing, and what it shows may be gone.
func (in *inventory) onMachineList(list []wire.ListedMachine, now time.Time) {
	in.state.MachineListReceived = true
	for _, h := range list {
		if _, gone := in.state.RemovedMachines[h.Name]; gone {
			continue
		}
		known := in.state.Machines[h.Name] != nil
		m := in.state.GetOrAddMachine(h.Name)
		m.ListedAt = now
		if !known {
			m.RequestedAt = now.Add(-h.Age.Duration())
			m.Booting = h.State == wire.ListedStarting
		}
		if m.FirstHeartbeatAt.IsZero() {
			m.Addr, m.MachineType, m.Zone, m.Spot = h.Addr, h.Type, h.Zone, h.Spot
			if age := now.Add(-h.Age.Duration()); age.Before(m.RequestedAt) {
				m.RequestedAt = age
			}
			if h.State == wire.ListedRunning && m.Token < in.state.FirstToken && m.UnansweredProbes == 0 && !m.ScalingIn {
				in.dispatcher.TokenAnnounced = false
			}
		}
		if h.State == wire.ListedFailed && !m.FailedInCloud {
			m.FailedInCloud, m.Booting = true, false
			in.Log.Info("machine failed", "machine", m.ID, "tasks", len(m.Tasks))
		}
	}
}

// storeMachineSpecs stores the types and prices, as long as this node leads.
func (in *inventory) storeMachineSpecs(ctx context.Context, specs []wire.MachineSpec) bool {
	permit, err := duty.PermitFor[duty.Cleanup](in.Lease.Lease)
	if err != nil {
		return false
	}
	_, err = permit.Commit(ctx, store.Background, wire.Txn{Writes: []wire.Write{{Put: store.MachineSpecsKey, Value: wire.Encode(wire.MachineSpecs{Types: specs})}}})
	return err == nil
}

// pollMachineSpecs keeps the types and prices fresh and stores them for nodes
// that start while the cloud is down.
func (in *inventory) pollMachineSpecs(ctx context.Context) {
	stored := false
	for {
		fs, err := in.cloud.MachineSpecs(ctx)
		next := 20 * time.Second
		if err == nil {
			in.state.Catalog.Set(fs)
			stored = stored || in.storeMachineSpecs(ctx, fs)
			in.Post(machineSpecsReceived{})
		} else {
			next = 2*time.Second + rand.N(time.Second)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}
