package leader

import (
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/wire"
)

// A request to release that is not answered is sent again after a pause that grows
// from the one to the other.
const (
	minScaleInRetry = 500 * time.Millisecond
	maxScaleInRetry = 2 * time.Second
)

// scaleIn returns a machine; its tasks count until the cloud has said that
// it is gone.
func (t *term) scaleIn(m *machine, why drainReason) {
	if m.scalingIn || !t.lease.Deciding() {
		return
	}
	m.scalingIn = true
	if m.drainReason == "" {
		m.drainReason = why
	}
	t.log().Info("releases", "machine", m.id, "type", m.machineType, "zone", m.zone, "spot", m.spot, "why", why, "tasks", len(m.tasks), "age", time.Since(m.requestedAt))
	t.leader.Metrics.Fleet("released", 1)
	t.scaling.QueueScaleIn(m.id)
	t.sendNextScaleIn()
}

// sendNextScaleIn sends the next request to release, if none is under way, and
// repeats it until the cloud has answered.
func (t *term) sendNextScaleIn() {
	ids := t.scaling.NextScaleIn(t.maxScaleInBatch())
	if len(ids) == 0 {
		return
	}
	record := t.recordsIntents()
	go func() {
		if (!record || t.recordScaleIns(ids)) && t.sendScaleIn(ids) {
			t.post(func() { t.onScaledIn(ids) })
		}
	}()
}

// sendScaleIn keeps asking the cloud until it has answered that the machines are
// gone, and only while the lease is held; false: the term is over.
func (t *term) sendScaleIn(ids []wire.MachineID) bool {
	wait := minScaleInRetry
	for t.ctx.Err() == nil {
		err := t.requestScaleIn(ids)
		if err == nil {
			return true
		}
		t.log().Debug("release not answered", "machines", len(ids), "err", err)
		t.pause(wait + rand.N(wait/2))
		wait = min(2*wait, maxScaleInRetry) // one request at a time, whatever waits
	}
	return false
}

// requestScaleIn asks the cloud once, if the lease is held.
func (t *term) requestScaleIn(ids []wire.MachineID) error {
	permit, err := duty.PermitFor[duty.ScaleIn](t.lease.Lease)
	if err != nil {
		return err
	}
	return t.leader.Cloud.ScaleIn(t.ctx, permit, ids)
}

// onScaledIn takes in that machines are gone, and with them what ran there.
func (t *term) onScaledIn(ids []wire.MachineID) {
	for _, id := range ids {
		t.removeMachine(t.state.machines[id])
	}
	if t.intents != nil {
		t.intents.scaledInAt = time.Now()
	}
	t.scaling.EndScaleIn()
	t.sendNextScaleIn()
}

func (t *term) removeMachine(m *machine) {
	t.state.removedMachines[m.id] = time.Now()
	for _, a := range m.tasks {
		t.leader.Metrics.TaskMoved(string(EvictedMachineRemoved))
		t.state.endAttempt(a, taskPending)
	}
	delete(t.state.machines, m.id)
	t.state.requestCycle()
}
