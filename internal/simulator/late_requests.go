package simulator

import (
	"net/http"
	"net/http/httptest"
	"time"

	"lilaclead/internal/wire"
)

// LateRequests is what became of the rentals and releases that the cloud carried out
// late.
type LateRequests struct {
	Held       int // requests that were held back
	CarriedOut int // of these
	Rented     int // machines that a late rental made
	Released   int // machines that a late release took
	EndedTasks int // tasks that ran on these
}

// lateRequests is the part of the cloud that holds requests back. The simulation's
// lock guards it.
type lateRequests struct {
	rentals, releases int // how many more are held back
	by                time.Duration
	seen              LateRequests
}

// HoldCloudRequests makes the next rentals and releases unanswered and carries them
// out so much later, whoever leads then.
func (sim *Simulation) HoldCloudRequests(rentals, releases int, by time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.late.rentals, sim.late.releases, sim.late.by = rentals, releases, by
}

// LateCloudRequests tells what became of them.
func (sim *Simulation) LateCloudRequests() LateRequests {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.late.seen
}

// holdBack keeps a request for later, if it is one to be kept; call with the lock
// held.
func (sim *Simulation) holdBack(r *http.Request, raw []byte) bool {
	var carryOut func()
	switch {
	case r.URL.Path == "/machines" && r.Method == "POST" && sim.late.rentals > 0:
		sim.late.rentals--
		carryOut = func() { sim.rentLate(raw) }
	case r.URL.Path == "/machines/release" && sim.late.releases > 0:
		sim.late.releases--
		carryOut = func() { sim.releaseLate(raw) }
	default:
		return false
	}
	sim.late.seen.Held++
	by := sim.late.by
	sim.spawn(func() {
		sleep(sim.ctx, by)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.late.seen.CarriedOut++
		carryOut()
	})
	return true
}

func (sim *Simulation) rentLate(raw []byte) {
	before := sim.rentedCount
	sim.rent(httptest.NewRecorder(), raw)
	sim.late.seen.Rented += sim.rentedCount - before
}

func (sim *Simulation) releaseLate(raw []byte) {
	var h wire.MachineNames
	if wire.Decode(raw, &h) != nil {
		return
	}
	for _, id := range h.Machines {
		if m := sim.machines[id]; m != nil {
			sim.late.seen.Released++
			sim.late.seen.EndedTasks += len(m.tasks)
		}
	}
	sim.release(raw)
}
