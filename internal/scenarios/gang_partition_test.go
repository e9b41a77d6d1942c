package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// A zone is cut off with a gang inside, shorter and longer than its lease, while
// copies of its old heartbeats come in.
func TestGangInPartitionedZone(t *testing.T) {
	t.Parallel()
	for _, d := range []time.Duration{5 * time.Second, 30 * time.Second, 70 * time.Second} {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprint(d, " leader inside ", leads), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(5), 808, func(sim *simulator.Simulation, at func(time.Duration)) {
					at(2 * time.Second)
					time.Sleep(3 * time.Second)
					z := leaderZoneOrOther(sim, leads)
					in, other := gang(1, 4, 50), gang(2, 4, 50)
					across := gang(3, 6, 50)
					in.Spec.Zone, across.Spec.SameZone, across.Spec.Spread = z, false, true
					submitAll(sim, in, other, across)
					awaitGangRunning(t, sim, in, 40*time.Second)
					time.Sleep(10 * time.Second)
					for _, id := range sim.MachinesHolding(in.Spec.ID) {
						sim.ResendLastHeartbeat(id, 3*time.Second, 20*time.Second, 60*time.Second, 100*time.Second)
					}
					sim.IsolateZone(z, true)
					time.Sleep(d)
					sim.IsolateZone(z, false)
					time.Sleep(180 * time.Second)
					mustFinish(t, sim, in, other, across)
					t.Logf("in %+v\nother %+v\nacross %+v", sim.GangState(in.Spec.ID), sim.GangState(other.Spec.ID), sim.GangState(across.Spec.ID))
				})
			})
		}
	}
}

// Copies of heartbeats that show an older attempt come while the next one waits and
// runs, also to a new leader.
func TestGangDuplicatedHeartbeatsArriveLate(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 809, func(sim *simulator.Simulation, at func(time.Duration)) {
		j := gang(1, 4, 60)
		at(2 * time.Second)
		sim.Submit(j, 0)
		awaitGangRunning(t, sim, j, 40*time.Second)
		on := sim.MachinesHolding(j.Spec.ID)
		var late []time.Duration
		for d := 1; d < 70; d += 2 {
			late = append(late, time.Duration(d)*time.Second)
		}
		time.Sleep(2 * time.Second)
		for _, id := range on {
			sim.ResendLastHeartbeat(id, late...)
		}
		sim.ReclaimMachine(on[0])
		time.Sleep(15 * time.Second)
		restartLeader(t, sim, time.Second)
		time.Sleep(150 * time.Second)
		mustFinish(t, sim, j)
		if g := sim.GangState(j.Spec.ID); g.Starts != 2 || g.Rollbacks != 1 {
			t.Errorf("%+v, want two starts", g)
		}
	})
}
