package leader

import (
	"math/rand/v2"
	"time"

	"lilaclead/internal/wire"
)

// release returns a machine; its tasks count until the cloud has said that
// it is gone.
func (t *term) release(m *machine, why string) {
	if m.releasing || !t.lease.Deciding() {
		return
	}
	m.releasing = true
	if m.drain == "" {
		m.drain = why
	}
	t.log().Info("releases", "machine", m.id, "kit", m.kit, "zone", m.zone, "spot", m.spot, "why", why, "tasks", len(m.tasks), "age", time.Since(m.rentedAt))
	t.l.Metrics.Fleet("released", 1)
	t.fleet.toRelease = append(t.fleet.toRelease, m)
	t.sendReleases()
}

// sendReleases has one release request under way at a time; what comes
// meanwhile shares the next one.
func (t *term) sendReleases() {
	if t.fleet.releases || len(t.fleet.toRelease) == 0 {
		return
	}
	n := min(len(t.fleet.toRelease), maxRelease)
	ms := t.fleet.toRelease[:n:n]
	t.fleet.toRelease, t.fleet.releases = t.fleet.toRelease[n:], true
	ids := make([]wire.MachineID, n)
	for i, m := range ms {
		ids[i] = m.id
	}
	go func() {
		wait := 500 * time.Millisecond
		for t.ctx.Err() == nil {
			err := t.l.Cloud.Release(t.ctx, ids)
			if err == nil {
				t.post(func() {
					for _, m := range ms {
						t.wasReleased(m)
					}
					t.fleet.releases = false
					t.sendReleases()
				})
				return
			}
			t.log().Debug("release not answered", "machines", len(ids), "err", err)
			select {
			case <-t.ctx.Done():
			case <-time.After(wait + rand.N(wait/2)):
			}
			wait = min(2*wait, 2*time.Second) // one request at a time, whatever waits
		}
	}()
}

func (t *term) wasReleased(m *machine) {
	t.gone[m.id] = time.Now()
	for _, a := range m.tasks {
		t.l.Metrics.Moved("machine gone")
		t.drop(a, taskPending)
	}
	delete(t.machines, m.id)
	t.requestRound()
}
