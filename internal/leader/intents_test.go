package leader

import (
	"testing"
	"time"

	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A machine that an earlier leader was returning takes nothing, and is returned, also if
// the lease is not surely held when that becomes known, and whatever runs there.
func TestAdoptedReturnWithoutLease(t *testing.T) {
	tm, m, a := rig(t)
	ctx := t.Context()
	tm.Begin(ctx)
	away(tm)
	a.LaunchSent, a.Observed, a.Phase = true, true, wire.PhaseRunning
	held := tm.Lease
	tm.Lease = leaseFor(tm.leader, tm.Fencing.Token, -time.Second)
	tm.scaler.AdoptIntents(autoscaler.EarlierIntents{ScaleIns: []wire.MachineID{m.ID}})
	if m.ScalingIn || m.DrainReason != cluster.DrainAdoptedScaleIn {
		t.Errorf("without a lease: releasing %v, drains as %q", m.ScalingIn, m.DrainReason)
	}
	tm.Lease = held
	now := time.Now()
	m.LastMessageAt, m.DirectHeartbeatAt, m.LastReplyAt = now, now, now
	tm.monitor.CheckMachines(now)
	if !m.ScalingIn || len(m.Tasks) != 1 {
		t.Errorf("with the lease: releasing %v, %d tasks", m.ScalingIn, len(m.Tasks))
	}
}

// The machine types are stored only while this node leads, as all that a leader writes.
func TestMachineSpecsAreGuarded(t *testing.T) {
	withState(t, func(tm *term, _ *cluster.Machine, st *simulator.State, _ func()) {
		specs := []wire.MachineSpec{{Name: "c4"}}
		if !tm.inventory.storeMachineSpecs(tm.Context(), specs) || st.Revision(store.MachineSpecsKey) == 0 {
			t.Error("not stored while this node leads")
		}
		stored := st.Revision(store.MachineSpecsKey)
		st.Put(store.LeaderKey, store.LeaderRecord{Node: "b", Nonce: "other"})
		if tm.inventory.storeMachineSpecs(tm.Context(), specs) || st.Revision(store.MachineSpecsKey) != stored {
			t.Error("stored though another node leads")
		}
	})
}
