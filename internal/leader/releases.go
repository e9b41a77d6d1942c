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
	minReleaseRetry = 500 * time.Millisecond
	maxReleaseRetry = 2 * time.Second
)

// release returns a machine; its tasks count until the cloud has said that
// it is gone.
func (t *term) release(m *machine, why drainReason) {
	if m.releasing || !t.lease.Deciding() {
		return
	}
	m.releasing = true
	if m.drainReason == "" {
		m.drainReason = why
	}
	t.log().Info("releases", "machine", m.id, "type", m.machineType, "zone", m.zone, "spot", m.spot, "why", why, "tasks", len(m.tasks), "age", time.Since(m.rentedAt))
	t.l.Metrics.Fleet("released", 1)
	t.scaling.QueueScaleIn(m.id)
	t.sendReleases()
}

// sendReleases sends the next request to release, if none is under way, and
// repeats it until the cloud has answered.
func (t *term) sendReleases() {
	ids := t.scaling.NextScaleIn(t.returnsAtOnce())
	if len(ids) == 0 {
		return
	}
	record := t.recordsIntents()
	go func() {
		if (!record || t.recordReturns(ids)) && t.returnMachines(ids) {
			t.post(func() { t.onReleased(ids) })
		}
	}()
}

// returnMachines keeps asking the cloud until it has answered that the machines are
// gone, and only while the lease is held; false: the term is over.
func (t *term) returnMachines(ids []wire.MachineID) bool {
	wait := minReleaseRetry
	for t.ctx.Err() == nil {
		err := t.requestRelease(ids)
		if err == nil {
			return true
		}
		t.log().Debug("release not answered", "machines", len(ids), "err", err)
		t.pause(wait + rand.N(wait/2))
		wait = min(2*wait, maxReleaseRetry) // one request at a time, whatever waits
	}
	return false
}

// requestRelease asks the cloud once, if the lease is held.
func (t *term) requestRelease(ids []wire.MachineID) error {
	permit, err := duty.PermitFor[duty.ScaleIn](t.lease.Lease)
	if err != nil {
		return err
	}
	return t.l.Cloud.ScaleIn(t.ctx, permit, ids)
}

// onReleased takes in that machines are gone, and with them what ran there.
func (t *term) onReleased(ids []wire.MachineID) {
	for _, id := range ids {
		t.forgetMachine(t.machines[id])
	}
	if t.intents != nil {
		t.intents.returnedAt = time.Now()
	}
	t.scaling.EndScaleIn()
	t.sendReleases()
}

func (t *term) forgetMachine(m *machine) {
	t.gone[m.id] = time.Now()
	for _, a := range m.tasks {
		t.l.Metrics.TaskMoved(string(moveMachineGone))
		t.drop(a, taskPending)
	}
	delete(t.machines, m.id)
	t.requestRound()
}
