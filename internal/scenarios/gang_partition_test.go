package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
)

// A zone is partitioned with a gang inside, for less and for more than a lease. Meanwhile
// delayed copies of the heartbeats of its machines arrive.
func TestGangInPartitionedZone(t *testing.T) {
	t.Parallel()
	for _, duration := range []time.Duration{5 * time.Second, 30 * time.Second, 70 * time.Second} {
		for _, leaderInside := range []bool{false, true} {
			t.Run(fmt.Sprint(duration, " leader inside ", leaderInside), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(5), 808, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					sleepUntil(2 * time.Second)
					time.Sleep(3 * time.Second)
					zone := leaderZoneOrOther(sim, leaderInside)
					insideGang, sameZoneGang := gang(1, 4, 50), gang(2, 4, 50)
					spreadGang := gang(3, 6, 50)
					insideGang.Spec.Zone, spreadGang.Spec.SameZone, spreadGang.Spec.Spread = zone, false, true
					submitAll(sim, insideGang, sameZoneGang, spreadGang)
					awaitGangRunning(t, sim, insideGang, 40*time.Second)
					time.Sleep(10 * time.Second)
					for _, id := range sim.MachinesHolding(insideGang.Spec.ID) {
						sim.ResendLastHeartbeat(id, 3*time.Second, 20*time.Second, 60*time.Second, 100*time.Second)
					}
					sim.IsolateZone(zone, true)
					time.Sleep(duration)
					sim.IsolateZone(zone, false)
					time.Sleep(180 * time.Second)
					mustFinish(t, sim, insideGang, sameZoneGang, spreadGang)
					t.Logf("in the partitioned zone %+v\nin any one zone %+v\nacross zones %+v", sim.GangState(insideGang.Spec.ID), sim.GangState(sameZoneGang.Spec.ID), sim.GangState(spreadGang.Spec.ID))
				})
			})
		}
	}
}

// Copies of heartbeats that show an earlier attempt arrive while the next attempt waits and
// runs, also at a new leader.
func TestGangDuplicatedHeartbeatsArriveLate(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsOfSize(5), 809, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		gangJob := gang(1, 4, 60)
		sleepUntil(2 * time.Second)
		sim.Submit(gangJob, 0)
		awaitGangRunning(t, sim, gangJob, 40*time.Second)
		machines := sim.MachinesHolding(gangJob.Spec.ID)
		var delays []time.Duration
		for seconds := 1; seconds < 70; seconds += 2 {
			delays = append(delays, time.Duration(seconds)*time.Second)
		}
		time.Sleep(2 * time.Second)
		for _, id := range machines {
			sim.ResendLastHeartbeat(id, delays...)
		}
		sim.ReclaimMachine(machines[0])
		time.Sleep(15 * time.Second)
		restartLeader(t, sim, time.Second)
		time.Sleep(150 * time.Second)
		mustFinish(t, sim, gangJob)
		if g := sim.GangState(gangJob.Spec.ID); g.Starts != 2 || g.Rollbacks != 1 {
			t.Errorf("%+v, want two starts and one rollback", g)
		}
	})
}
