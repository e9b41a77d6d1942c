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

// A machine that an earlier leader was scaling in gets no new tasks and is scaled in whatever
// runs on it. If the lease is not held when the earlier intent is read, the scale-in follows
// once it is held.
func TestAdoptedScaleInWaitsForTheLease(t *testing.T) {
	tm, m, a := newTestTerm(t)
	tm.Begin(t.Context())
	disconnect(tm)
	a.LaunchSent, a.SeenInHeartbeat, a.Phase = true, true, wire.PhaseRunning
	lease := tm.Lease
	tm.Lease = newLease(tm.leader, tm.Fencing.Token, -time.Second)
	tm.scaler.AdoptIntents(autoscaler.EarlierIntents{ScaleIns: []wire.MachineID{m.ID}})
	if m.ScalingIn || m.DrainReason != cluster.DrainAdoptedScaleIn {
		t.Errorf("without the lease: got scaling in %v, drain reason %q, want false, %q", m.ScalingIn, m.DrainReason, cluster.DrainAdoptedScaleIn)
	}
	tm.Lease = lease
	now := time.Now()
	m.LastMessageAt, m.DirectHeartbeatAt, m.LastResponseAt = now, now, now
	tm.monitor.CheckMachines(now)
	if !m.ScalingIn || len(m.Attempts) != 1 {
		t.Errorf("with the lease: got scaling in %v, %d tasks, want true, 1 task", m.ScalingIn, len(m.Attempts))
	}
}

// Like everything that a leader writes, the machine types are stored only while this node
// leads.
func TestMachineSpecsAreStoredByTheLeaderOnly(t *testing.T) {
	withSimulatedStore(t, func(tm *term, _ *cluster.Machine, st *simulator.KVStore, _ func()) {
		specs := []wire.MachineSpec{{Name: "c4"}}
		if ok, revision := tm.inventory.storeMachineSpecs(tm.Context(), specs), st.Revision(store.MachineSpecsKey); !ok || revision == 0 {
			t.Errorf("while this node leads: got stored %v, revision %d, want true and a revision", ok, revision)
		}
		before := st.Revision(store.MachineSpecsKey)
		st.Put(store.LeaderKey, store.LeaseRecord{Node: "b", Nonce: "other"})
		if ok, revision := tm.inventory.storeMachineSpecs(tm.Context(), specs), st.Revision(store.MachineSpecsKey); ok || revision != before {
			t.Errorf("while another node leads: got stored %v, revision %d, want false and %d", ok, revision, before)
		}
	})
}
