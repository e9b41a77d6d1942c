package simulator

import (
	"net/http"
	"net/http/httptest"
	"time"

	"lilaclead/internal/wire"
)

// LateRequests is what became of the scale-out and scale-in requests that the cloud carried out
// late.
type LateRequests struct {
	Delayed     int // requests that were held back
	CarriedOut  int // of these
	Provisioned int // machines that a late scale-out request made
	ScaledIn    int // machines that a late scale-in request took
	EndedTasks  int // tasks that ran on these
}

// lateRequests is the part of the cloud that holds requests back. The simulation's
// lock guards it.
type lateRequests struct {
	scaleOuts, scaleIns int // how many more are held back
	delay               time.Duration
	outcome             LateRequests
}

// DelayCloudRequests makes the next scale-out and scale-in requests unanswered and carries them
// out so much later, whoever leads then.
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

// delayRequest keeps a request for later, if it is one to be kept; call with the lock
// held.
func (sim *Simulation) delayRequest(r *http.Request, raw []byte) bool {
	var carryOut func()
	switch {
	case r.URL.Path == "/machines" && r.Method == "POST" && sim.lateRequests.scaleOuts > 0:
		sim.lateRequests.scaleOuts--
		carryOut = func() { sim.scaleOutLate(raw) }
	case r.URL.Path == "/machines/release" && sim.lateRequests.scaleIns > 0:
		sim.lateRequests.scaleIns--
		carryOut = func() { sim.scaleInLate(raw) }
	default:
		return false
	}
	sim.lateRequests.outcome.Delayed++
	delay := sim.lateRequests.delay
	sim.spawn(func() {
		sleep(sim.ctx, delay)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.lateRequests.outcome.CarriedOut++
		carryOut()
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
			sim.lateRequests.outcome.EndedTasks += len(m.tasks)
		}
	}
	sim.scaleIn(raw)
}
