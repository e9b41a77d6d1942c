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

// inventory polls the cloud for its machine list and its machine types.
type inventory struct {
	*core.Loop
	state      *cluster.State
	cloud      *cloud.Client
	dispatcher *agents.Dispatcher
}

// machineListReceived is an event: the cloud has answered with its machine list.
type machineListReceived struct {
	machines    []wire.ListedMachine
	requestedAt time.Time
}

// machineSpecsReceived is an event: the catalog of machine types was refreshed.
type machineSpecsReceived struct{}

const (
	// machineListInterval is the pause between two requests for the machine list.
	machineListInterval = 4 * time.Second
	// machineListRetry is the shortest pause after a failed request for the list.
	machineListRetry = time.Second
	// machineSpecsInterval is the pause between two requests for the machine types.
	machineSpecsInterval = 20 * time.Second
	// machineSpecsRetry is the shortest pause after a failed request for the types.
	machineSpecsRetry = 2 * time.Second
	// cloudRetryJitter is the upper bound of the random time that is added to the pause
	// after a failed request.
	cloudRetryJitter = time.Second
)

// pollMachineList requests the machine list periodically and posts each one to the loop,
// until the context ends.
func (in *inventory) pollMachineList(ctx context.Context) {
	for {
		requestedAt := time.Now()
		list, err := in.cloud.ListMachines(ctx)
		pause := machineListInterval
		if err == nil {
			in.Post(machineListReceived{list, requestedAt})
		} else {
			pause = machineListRetry + rand.N(cloudRetryJitter)
			in.Log.Debug("machine list request failed", "err", err)
		}
		if !core.Pause(ctx, pause) {
			return
		}
	}
}

// onMachineList updates the machines from a list. A list may be older than the one before:
// a machine that is missing from it may exist, and one that is in it may be gone.
func (in *inventory) onMachineList(list []wire.ListedMachine, now time.Time) {
	in.state.MachineListReceived = true
	for i := range list {
		if _, removed := in.state.RemovedMachines[list[i].Name]; !removed {
			in.updateMachine(&list[i], now)
		}
	}
}

// updateMachine updates a machine from its entry in a list, and adds it if it is new.
func (in *inventory) updateMachine(listed *wire.ListedMachine, now time.Time) {
	requestedAt := now.Add(-listed.Age.Duration())
	known := in.state.Machines[listed.Name] != nil
	m := in.state.GetOrAddMachine(listed.Name)
	m.ListedAt = now
	if !known {
		m.RequestedAt = requestedAt
		m.Booting = listed.State == wire.ListedStarting
	}
	if m.FirstHeartbeatAt.IsZero() {
		in.describeUnheardMachine(m, listed, requestedAt)
	}
	if listed.State == wire.ListedFailed && !m.FailedInCloud {
		m.FailedInCloud, m.Booting = true, false
		in.Log.Info("machine failed", "machine", m.ID, "tasks", len(m.Attempts))
	}
}

// describeUnheardMachine describes a machine that has sent no heartbeat in this term by its
// entry in a list. If the machine is listed as running but has not seen a token of this term,
// the token is announced again, unless a probe was unanswered or the machine is being scaled in.
func (in *inventory) describeUnheardMachine(m *cluster.Machine, listed *wire.ListedMachine, requestedAt time.Time) {
	m.Addr = listed.Addr
	m.MachineType = listed.Type
	m.Zone = listed.Zone
	m.Spot = listed.Spot
	if requestedAt.Before(m.RequestedAt) {
		m.RequestedAt = requestedAt
	}
	awaitsToken := m.Token < in.state.FirstToken && m.UnansweredCommands == 0 && !m.ScalingIn
	if listed.State == wire.ListedRunning && awaitsToken {
		in.dispatcher.TokenAnnounced = false
	}
}

// pollMachineSpecs refreshes the machine types and prices periodically until the context
// ends. It stores them once in a term, for nodes that start while the cloud is down.
func (in *inventory) pollMachineSpecs(ctx context.Context) {
	stored := false
	for {
		specs, err := in.cloud.MachineSpecs(ctx)
		pause := machineSpecsInterval
		if err == nil {
			in.state.Catalog.Set(specs)
			stored = stored || in.storeMachineSpecs(ctx, specs)
			in.Post(machineSpecsReceived{})
		} else {
			pause = machineSpecsRetry + rand.N(cloudRetryJitter)
		}
		if !core.Pause(ctx, pause) {
			return
		}
	}
}

// storeMachineSpecs stores the machine types and prices if this node still leads. It
// reports whether they are stored.
func (in *inventory) storeMachineSpecs(ctx context.Context, specs []wire.MachineSpec) bool {
	permit, err := duty.PermitFor[duty.Cleanup](in.Lease.Lease)
	if err != nil {
		return false
	}
	write := wire.Write{PutKey: store.MachineSpecsKey, Value: wire.Encode(wire.MachineSpecs{Types: specs})}
	_, err = permit.Commit(ctx, store.ClassBackground, wire.Txn{Writes: []wire.Write{write}})
	return err == nil
}
