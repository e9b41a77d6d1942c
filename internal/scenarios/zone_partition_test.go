package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A zone is partitioned with its controllers for longer than a lease. They must renew leases as
// delegates of the leader that they can't reach any more, so that the replicas there keep
// running. With two zones, a spread service has no other zone for these replicas. It must not
// matter whether the leader is in the partitioned zone.
func TestZonePartitionedWithItsControllers(t *testing.T) {
	t.Parallel()
	for _, leaderInside := range []bool{false, true} {
		t.Run(fmt.Sprint("leader inside ", leaderInside), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(5), 37, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, arrayJob := service(1, 4), array(2, 12, 30)
				sleepUntil(2 * time.Second)
				submitAll(sim, serviceJob, arrayJob)
				sleepUntil(45 * time.Second)
				zone := leaderZoneOrOther(sim, leaderInside)
				sim.IsolateZone(zone, true)
				sleepUntil(78 * time.Second)
				mustRun(t, sim, serviceJob, "33 s after the zone was partitioned")
				if l := sim.Leader(); l < 0 || sim.Config(l).Zone == zone {
					t.Errorf("leader is controller %d, want one outside the partitioned zone", l)
				}
				sim.IsolateZone(zone, false)
				sleepUntil(95 * time.Second)
				mustRun(t, sim, serviceJob, "after the partition")
				mustRestartNoTask(t, sim)
				sleepUntil(200 * time.Second)
				mustFinish(t, sim, arrayJob)
			})
		})
	}
}

// One zone is partitioned: the one with most of the controllers, the one with one, or the one
// with none, whose agents then reach no controller. The work that ran there must be done
// elsewhere during the partition and never twice, wherever the leader was.
func TestAnyZonePartitioned(t *testing.T) {
	t.Parallel()
	for _, zones := range [][2]wire.Zone{{"a", "a"}, {"a", "b"}, {"b", "a"}, {"b", "b"}, {"c", "a"}} {
		t.Run(fmt.Sprintf("%s, leader in %s", zones[0], zones[1]), func(t *testing.T) {
			t.Parallel()
			runOnUnevenLayout(t, 50, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				firstArray, laterArray := array(1, 18, 40), array(2, 6, 20)
				sleepUntil(2 * time.Second)
				moveLeadershipTo(t, sim, zones[1])
				sim.Submit(firstArray, 0)
				sleepUntil(45 * time.Second)
				sim.IsolateZone(zones[0], true)
				time.Sleep(8 * time.Second)
				sim.Submit(laterArray, 0)
				time.Sleep(160 * time.Second)
				mustFinish(t, sim, firstArray, laterArray)
				sim.IsolateZone(zones[0], false)
				time.Sleep(60 * time.Second)
			})
		})
	}
}

// Two zones can't reach each other for longer than a lease; both still reach the key-value
// store. The agents of one zone reach no controller that reaches the leader, and the controller
// there acts as the leader's delegate. Running tasks must keep running. It must not matter in
// which zone the leader is, and the leader must not change.
func TestTwoZonesPartitionedFromEachOther(t *testing.T) {
	t.Parallel()
	for _, leaderZone := range []wire.Zone{"a", "b"} {
		t.Run("leader in "+string(leaderZone), func(t *testing.T) {
			t.Parallel()
			runOnUnevenLayout(t, 51, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				arrayJob := array(1, 18, 70)
				sleepUntil(2 * time.Second)
				moveLeadershipTo(t, sim, leaderZone)
				sim.Submit(arrayJob, 0)
				sleepUntil(60 * time.Second)
				leader := sim.Leader()
				sim.PartitionZones("a", "b", true)
				time.Sleep(20 * time.Second)
				for i := range 3 {
					if status, _, _ := sim.Ask(i, "GET", "/ready", nil); status != 200 {
						t.Errorf("/ready of controller %d answers %d, want 200", i, status)
					}
				}
				time.Sleep(16 * time.Second)
				sim.PartitionZones("a", "b", false)
				if sim.Leader() != leader {
					t.Error("the leader changed during the partition")
				}
				time.Sleep(80 * time.Second)
				mustFinish(t, sim, arrayJob)
				mustRestartNoTask(t, sim)
			})
		})
	}
}

// A job is cancelled just after its zone was partitioned, for longer than cancel_s. The cloud is
// unavailable, so the leader can't stop the tasks, and the delegates in the zone don't know of
// the cancellation. They must stop answering heartbeats in time.
func TestCancelInPartitionedZone(t *testing.T) {
	t.Parallel()
	for _, leaderInside := range []bool{false, true} {
		t.Run(fmt.Sprint("leader inside ", leaderInside), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(5), 38, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				serviceJob, cancelledJob := service(1, 4), service(2, 6)
				sleepUntil(2 * time.Second)
				sim.Submit(serviceJob, 0)
				sim.Submit(cancelledJob, 44*time.Second)
				sleepUntil(45 * time.Second)
				zone := leaderZoneOrOther(sim, leaderInside)
				sim.SetCloudOutage(true)
				sim.IsolateZone(zone, true)
				sleepUntil(115 * time.Second)
				sim.WithChecker(func(c *simulator.Checker) {
					if n := c.TasksOnMachines(cancelledJob.Spec.ID); n != 0 {
						t.Errorf("%d tasks of the cancelled job run in the partitioned zone, want 0", n)
					}
				})
				sim.IsolateZone(zone, false)
				sim.SetCloudOutage(false)
				sleepUntil(160 * time.Second)
				mustRun(t, sim, serviceJob, "after all faults")
			})
		})
	}
}

// A zone with agents and a controller is partitioned for longer than a lease. Jobs that may run
// only in that zone are cancelled just before the partition, early in it and late in it; one is
// submitted and cancelled during it; others wait for its end. As the cloud is unavailable, only
// the agents and the controller in that zone can stop the tasks there.
func TestSingleZoneJobsInPartitionedZone(t *testing.T) {
	t.Parallel()
	for _, leaderInside := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader inside %v", leaderInside), func(t *testing.T) {
			t.Parallel()
			runOnUnevenLayout(t, 62, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				zone := wire.Zone("b") // the zone of controller 1
				inZone := func(j simulator.JobScript) simulator.JobScript { j.Spec.Zone = zone; return j }
				uncancelledArray, sameZoneArray := inZone(array(1, 4, 120)), array(2, 3, 60)
				sameZoneArray.Spec.SameZone = true
				withoutSpread := func(j simulator.JobScript) simulator.JobScript { j.Spec.Spread = false; return inZone(j) }
				cancelledBefore, cancelledEarly, cancelledLate, submittedDuring := withoutSpread(service(3, 2)), withoutSpread(service(4, 2)), withoutSpread(service(5, 2)), withoutSpread(service(6, 2))
				anyZoneArray := array(7, 6, 30)
				sleepUntil(2 * time.Second)
				if moveLeadershipTo(t, sim, "a"); leaderInside {
					moveLeadershipTo(t, sim, zone)
				}
				for _, j := range []simulator.JobScript{uncancelledArray, sameZoneArray, cancelledBefore, cancelledEarly, cancelledLate} {
					sim.Submit(j, 0)
				}
				time.Sleep(40 * time.Second)
				sim.Submit(anyZoneArray, 0)
				time.Sleep(5 * time.Second)
				cancelAtController(t, sim, 0, cancelledBefore)
				partitionedAt := time.Now()
				sim.SetCloudOutage(true)
				sim.IsolateZone(zone, true)
				sim.WithChecker(func(c *simulator.Checker) {
					if c.TasksOnMachines(cancelledEarly.Spec.ID) != 2 || c.TasksOnMachines(cancelledLate.Spec.ID) != 2 || c.TasksOnMachines(uncancelledArray.Spec.ID) == 0 {
						t.Error("jobs have too few tasks in the zone when it is partitioned, want 2, 2 and at least 1")
					}
				})
				time.Sleep(3 * time.Second)
				cancelAtController(t, sim, 0, cancelledEarly)
				sim.Submit(submittedDuring, 0)
				time.Sleep(15 * time.Second)
				cancelAtController(t, sim, 0, submittedDuring)
				confirmed := cancelAtController(t, sim, 0, cancelledLate)
				if time.Since(partitionedAt) > sim.Settings.Workers.Lease.Duration() || !confirmed.After(partitionedAt) {
					t.Errorf("last cancellation confirmed %v after the partition began, want within a lease", confirmed.Sub(partitionedAt))
				}
				time.Sleep(50 * time.Second)
				if time.Since(partitionedAt) < sim.Settings.Workers.Lease.Duration()*2 {
					t.Error("the partition was shorter than two leases")
				}
				sim.IsolateZone(zone, false)
				time.Sleep(2 * time.Second)
				sim.SetCloudOutage(false)
				mustRecover(t, sim, 3, uncancelledArray, sameZoneArray, anyZoneArray)
			})
		})
	}
}

// The controller in a partitioned zone is the leader's delegate there. It is killed and restarted
// just as the partition ends, so it no longer knows which heartbeats it answered. The leader
// must still wait for the end of the leases that the delegate renewed.
func TestDelegateRestartsAsPartitionHeals(t *testing.T) {
	t.Parallel()
	// With leaderChanges, another controller becomes leader during the partition.
	for leaderChanges, duration := range map[bool]time.Duration{false: 21 * time.Second, true: 28 * time.Second} {
		t.Run(fmt.Sprintf("partition of %v, leader changes %v", duration, leaderChanges), func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(3), 68, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				arrayJob, serviceJob, fillerArray := array(1, 14, 120), service(2, 4), array(3, 6, 300)
				fillerArray.Spec.Zone = "a"
				sleepUntil(2 * time.Second)
				moveLeadershipTo(t, sim, "a")
				submitAll(sim, arrayJob, serviceJob, fillerArray)
				time.Sleep(60 * time.Second)
				leader := sim.Leader()
				sim.IsolateZone("b", true)
				sim.SetCloudOutage(true) // so that no machine is returned
				if leaderChanges {
					sim.KillController(leader)
					awaitOtherLeader(t, sim, leader, 10*time.Second)
					startControllers(t, sim, leader)
				}
				time.Sleep(duration - 300*time.Millisecond)
				tasksInside := 0
				sim.WithChecker(func(c *simulator.Checker) { tasksInside = c.TasksByZone(arrayJob.Spec.ID)["b"] })
				if tasksInside == 0 {
					t.Error("no task of the array runs in the partitioned zone, want some")
				}
				cancelAtController(t, sim, sim.Leader(), fillerArray) // frees capacity to start the array's tasks elsewhere
				sim.KillController(1)
				time.Sleep(200 * time.Millisecond)
				startControllers(t, sim, 1)
				time.Sleep(100 * time.Millisecond)
				// Machines become reachable some seconds later than controllers.
				var machineIPs []string
				for _, id := range append(sim.MachinesRunning(arrayJob.Spec.ID), sim.MachinesRunning(serviceJob.Spec.ID)...) {
					if sim.MachineZone(id) == "b" {
						machineIPs = append(machineIPs, sim.MachineIP(id))
					}
				}
				cutMachines := func(on bool) {
					for _, ip := range machineIPs {
						for i := range 3 {
							sim.Net.Cut(simulator.NodeIP(i), ip, on)
						}
					}
				}
				cutMachines(true)
				sim.IsolateZone("b", false)
				time.Sleep(2500 * time.Millisecond)
				cutMachines(false)
				time.Sleep(8 * time.Second)
				sim.SetCloudOutage(false)
				mustRecover(t, sim, 3, arrayJob, serviceJob)
			})
		})
	}
}
