package simulator

import (
	"net/http"
	"net/http/httptest"
	"time"

	"lilaclead/internal/wire"
)

// LateRequests counts the scale-out and scale-in requests that the cloud delayed, and their
// effects.
type LateRequests struct {
	Delayed     int // requests that were delayed
	Executed    int // delayed requests that have been executed
	Provisioned int // machines that a late scale-out request provisioned
	ScaledIn    int // machines that a late scale-in request removed
	KilledTasks int // tasks that were on the removed machines
}

// lateRequests is the part of the cloud that delays requests. The simulation's lock guards it.
type lateRequests struct {
	scaleOuts, scaleIns int // number of next requests to delay
	delay               time.Duration
	outcome             LateRequests
}

// DelayCloudRequests makes the cloud leave the next scale-out and scale-in requests unanswered
// and execute them after a delay, when another controller may lead.
func (sim *Simulation) DelayCloudRequests(scaleOuts, scaleIns int, delay time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.lateRequests.scaleOuts, sim.lateRequests.scaleIns, sim.lateRequests.delay = scaleOuts, scaleIns, delay
}

// LateCloudRequests returns what became of the delayed requests.
func (sim *Simulation) LateCloudRequests() LateRequests {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.lateRequests.outcome
}

// delayRequest schedules a request for later if it is one to be delayed, and reports whether it
// is; the caller holds the lock.
func (sim *Simulation) delayRequest(r *http.Request, raw []byte) bool {
	var execute func()
	switch {
	case r.URL.Path == "/machines" && r.Method == "POST" && sim.lateRequests.scaleOuts > 0:
		sim.lateRequests.scaleOuts--
		execute = func() { sim.scaleOutLate(raw) }
	case r.URL.Path == "/machines/release" && sim.lateRequests.scaleIns > 0:
		sim.lateRequests.scaleIns--
		execute = func() { sim.scaleInLate(raw) }
	default:
		return false
	}
	sim.lateRequests.outcome.Delayed++
	delay := sim.lateRequests.delay
	sim.spawn(func() {
		sleep(sim.ctx, delay)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.lateRequests.outcome.Executed++
		execute()
	})
	return true
}

func (sim *Simulation) scaleOutLate(raw []byte) {
	before := sim.provisionedCount
	sim.scaleOut(httptest.NewRecorder(), raw)
	sim.lateRequests.outcome.Provisioned += sim.provisionedCount - before
}

func (sim *Simulation) scaleInLate(raw []byte) {
	var names wire.MachineNames
	if wire.Decode(raw, &names) != nil {
		return
	}
	for _, id := range names.Machines {
		if m := sim.machines[id]; m != nil {
			sim.lateRequests.outcome.ScaledIn++
			sim.lateRequests.outcome.KilledTasks += len(m.tasks)
		}
	}
	sim.scaleIn(raw)
}
