package scenarios_test

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// These tests run gangs whose progress takes several chunk records, and gangs in every phase
// while the limits of the key-value store are lowered.

// largeGang returns a gang of many small tasks, which may run in different zones and take runSeconds.
func largeGang(n, tasks int, runSeconds float64) simulator.JobScript {
	j := gang(n, tasks, runSeconds)
	j.Spec.CPUs, j.Spec.MemoryGB, j.Spec.SameZone = 0.1, 0.3, false
	return j
}

// settingsWithSmallChunks returns settings with which a chunk record holds 56 tasks and a
// transaction four writes.
func settingsWithSmallChunks() config.Settings {
	s := settingsBeforeLowering()
	s.State.Next = &loweredLimits
	return s
}

// delayProgressWrites delays the transactions that write progress records.
func delayProgressWrites(sim *simulator.Simulation, by time.Duration) {
	sim.State.DelayTransactions(func(txn *wire.Txn) time.Duration {
		for _, write := range txn.Writes {
			if strings.HasPrefix(write.PutKey, store.ProgressPrefix) {
				return by
			}
		}
		return 0
	})
}

// mustRunAttemptsOnOneMachine checks in all recorded heartbeats that no attempt of a task was
// ever on two machines.
func mustRunAttemptsOnOneMachine(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	type attempt struct {
		task   string
		number wire.AttemptNumber
	}
	machineOf := map[attempt]wire.MachineID{}
	for n := range 400 { // also machines that are gone
		machine := wire.MachineID(fmt.Sprintf("n-%06d", n))
		for _, heartbeat := range sim.RecordedHeartbeats(machine) {
			for _, task := range heartbeat.Tasks {
				key := attempt{task.Task, task.Attempt}
				if other, ok := machineOf[key]; ok && other != machine {
					t.Errorf("attempt %d of %s was on %s and on %s", key.number, key.task, other, machine)
				}
				machineOf[key] = machine
			}
		}
	}
	if len(machineOf) == 0 {
		t.Error("no heartbeat reported a task")
	}
}

// storedAttempts returns the machine of each attempt in a job's progress records. A key is the
// task's index and the attempt's number.
func storedAttempts(t *testing.T, sim *simulator.Simulation, id wire.JobID) map[[2]int]wire.MachineID {
	t.Helper()
	reader := store.New(simulator.KVStoreAddr, config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 32, TxnOps: 12}, 1, sim.Net.Host("10.9.9.9"))
	reader.Observe = func(string, string, time.Duration) {}
	entries, _, err := reader.List(context.Background(), store.ClassBackground, store.ProgressPrefix+string(id)+"/")
	if err != nil {
		t.Fatal(err)
	}
	machines := map[[2]int]wire.MachineID{}
	for _, entry := range entries {
		var record store.ChunkRecord
		_, chunk, ok := store.ParseChunkKey(entry.Key)
		if !ok || wire.Decode(entry.Value, &record) != nil {
			t.Fatalf("%s is not a chunk record", entry.Key)
		}
		for _, active := range record.Active {
			machines[[2]int{chunk*store.TasksPerChunkForLimit(loweredLimits.ValueKB) + active.Task, int(active.Attempt)}] = active.Machine
		}
	}
	return machines
}

// mustNotReassignAttempts checks that no attempt recorded before is recorded for another
// machine after.
func mustNotReassignAttempts(t *testing.T, before, after map[[2]int]wire.MachineID) {
	t.Helper()
	if len(before) == 0 || len(after) == 0 {
		t.Errorf("%d attempts recorded before, %d after, want some of both", len(before), len(after))
	}
	for attempt, machine := range after {
		if previous, ok := before[attempt]; ok && previous != machine {
			t.Errorf("attempt %d of task %d is recorded for machine %s, was for %s", attempt[1], attempt[0], machine, previous)
		}
	}
}

// A gang of 300 tasks is recorded in six chunks, in at least two transactions. The leader is
// killed between these, after the last of them, or after the first launches were sent. The next
// leader must stop what is recorded in part and complete the launch of what is recorded as a
// whole, so that the gang runs once, as a whole.
func TestLeaderFailureWhileGangIsRecordedInChunks(t *testing.T) {
	t.Parallel()
	const chunks = 6
	steps := map[string]func(g simulator.GangState, recorded int) bool{
		"partly recorded": func(g simulator.GangState, n int) bool { return n > 0 && n < chunks },
		"recorded":        func(g simulator.GangState, n int) bool { return n == chunks && g.Fetching+g.Waiting+g.Running == 0 },
		"first launched":  func(g simulator.GangState, n int) bool { return g.Fetching+g.Waiting > 0 },
	}
	for step, reached := range steps {
		for _, downtime := range []time.Duration{200 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint(step, " ", downtime), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsWithSmallChunks(), 850, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
					sim.RecordHeartbeats()
					gangJob := largeGang(1, 300, 40)
					sleepUntil(2 * time.Second)
					delayProgressWrites(sim, 400*time.Millisecond)
					if step != "partly recorded" {
						sim.DelayCommands(simulator.CommandDelay{Command: 300 * time.Millisecond})
					}
					sim.Submit(gangJob, 0)
					if !eventually(t, 60*time.Second, step, func() bool { return reached(sim.GangState(gangJob.Spec.ID), storedChunks(sim, gangJob)) }) {
						return
					}
					leader := sim.Leader()
					sim.KillController(leader)
					if g, n := sim.GangState(gangJob.Spec.ID), storedChunks(sim, gangJob); step == "partly recorded" && (n == chunks || g.Fetching+g.Waiting > 0) {
						t.Errorf("%d of %d chunks recorded, %+v: want some chunks and no launched task", n, chunks, g)
					}
					attemptsBefore := storedAttempts(t, sim, gangJob.Spec.ID)
					sim.DelayCommands(simulator.CommandDelay{})
					time.Sleep(downtime)
					if err := sim.StartController(leader); err != nil {
						t.Fatal(err)
					}
					delayProgressWrites(sim, 0)
					restarted := time.Now()
					eventually(t, 60*time.Second, "the gang starts", func() bool { return sim.GangState(gangJob.Spec.ID).Starts > 0 })
					t.Logf("%s: gang started %v after the controller, %+v", step, time.Since(restarted), sim.GangState(gangJob.Spec.ID))
					mustNotReassignAttempts(t, attemptsBefore, storedAttempts(t, sim, gangJob.Spec.ID))
					time.Sleep(120 * time.Second)
					mustBeArchived(t, sim, gangJob)
					if g := sim.GangState(gangJob.Spec.ID); g.Starts != 1 || g.Rollbacks != 0 || g.WaitTimeouts > 0 {
						t.Errorf("%+v, want one start, no rollback and no timed-out wait", g)
					}
					mustRunAttemptsOnOneMachine(t, sim)
				})
			})
		}
	}
}

// The leader is killed twice while it records a gang. This leaves partial records of two
// attempts, in different chunks.
func TestTwoLeaderFailuresWhileGangIsRecordedInChunks(t *testing.T) {
	t.Parallel()
	runWithSettings(t, settingsWithSmallChunks(), 851, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
		sim.RecordHeartbeats()
		gangJob := largeGang(1, 500, 30)
		sleepUntil(2 * time.Second)
		delayProgressWrites(sim, 500*time.Millisecond)
		sim.Submit(gangJob, 0)
		recordedAttempts := map[[2]int]wire.MachineID{}
		for range 2 {
			previousLeader := sim.Leader()
			if !eventually(t, 60*time.Second, "gang recorded in part", func() bool { n := storedChunks(sim, gangJob); return n > 0 && n < 9 }) {
				return
			}
			attempts := storedAttempts(t, sim, gangJob.Spec.ID)
			if len(recordedAttempts) > 0 {
				mustNotReassignAttempts(t, recordedAttempts, attempts)
			}
			maps.Copy(recordedAttempts, attempts)
			replaceLeader(t, sim)
			if sim.Leader() == previousLeader {
				t.Error("the same controller still leads, want another")
			}
			time.Sleep(1200 * time.Millisecond)
		}
		delayProgressWrites(sim, 0)
		awaitGangRunning(t, sim, gangJob, 60*time.Second)
		mustNotReassignAttempts(t, recordedAttempts, storedAttempts(t, sim, gangJob.Spec.ID))
		time.Sleep(150 * time.Second)
		mustBeArchived(t, sim, gangJob)
		if g := sim.GangState(gangJob.Spec.ID); g.Starts != 1 || g.Rollbacks != 0 || g.WaitTimeouts > 0 {
			t.Errorf("%+v, want one start, no rollback and no timed-out wait", g)
		}
		mustRunAttemptsOnOneMachine(t, sim)
	})
}

// machineHoldingOnly returns a machine that holds tasks of one job and none of the others.
func machineHoldingOnly(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, others ...simulator.JobScript) wire.MachineID {
	t.Helper()
	shared := map[wire.MachineID]bool{}
	for _, other := range others {
		for _, id := range sim.MachinesHolding(other.Spec.ID) {
			shared[id] = true
		}
	}
	for _, id := range sim.MachinesHolding(j.Spec.ID) {
		if !shared[id] {
			return id
		}
	}
	t.Fatalf("every machine of %s also holds tasks of the other jobs", j.Spec.ID)
	return ""
}

// The limits of the key-value store are lowered while gangs run, wait for capacity or are being
// recorded. One gang was accepted before the lower limits were announced, the others after. The
// limits are lowered alone, with a change of leader, or during an outage.
func TestGangsAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	for i, fault := range []string{"no other fault", "change of leader", "outage"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsBeforeLowering(), 860+uint64(i), func(sim *simulator.Simulation, sleepUntil func(time.Duration)) {
				sim.RecordHeartbeats()
				// The first gang is stored in a chunk for 256 tasks, which exceeds the lower limit.
				acceptedBefore, acceptedAfter := largeGang(1, 200, 120), largeGang(2, 150, 100)
				waiting := gang(3, 4, 20)
				waiting.Spec.CPUs, waiting.Spec.MachineTypes, waiting.Spec.Zone = 16, []wire.MachineType{"c16"}, "a"
				recording := largeGang(4, 300, 40)
				sleepUntil(2 * time.Second)
				sim.Submit(acceptedBefore, 0)
				awaitGangRunning(t, sim, acceptedBefore, 60*time.Second)
				announceLoweredLimits(t, sim)
				sim.Submit(acceptedAfter, 0)
				awaitGangRunning(t, sim, acceptedAfter, 60*time.Second)
				mustExceedLoweredLimits(t, sim, acceptedBefore)
				sim.SetSoldOut("a", true)
				sim.Submit(waiting, 0)
				delayProgressWrites(sim, 400*time.Millisecond)
				sim.Submit(recording, 0)
				eventually(t, 60*time.Second, "gang recorded in part", func() bool { n := storedChunks(sim, recording); return n > 0 && n < 6 })
				switch fault {
				case "change of leader":
					leader := sim.Leader()
					sim.KillController(leader)
					lowerLimits(sim)
					awaitSuccessor(t, sim, leader)
				case "outage":
					sim.State.SetOutage(true)
					lowerLimits(sim)
					time.Sleep(10 * time.Second)
					sim.State.SetOutage(false)
				default:
					lowerLimits(sim)
				}
				if g := sim.GangState(waiting.Spec.ID); g.Fetching+g.Waiting+g.Running > 0 {
					t.Errorf("the gang without capacity is on machines: %+v", g)
				}
				delayProgressWrites(sim, 0)
				sim.SetSoldOut("a", false)
				time.Sleep(time.Second)
				// The first gang loses a task. Its oversized chunk is split at the next write: when
				// the gang is stopped or, if the ends of all its tasks go into one write, when it
				// starts again.
				sim.ReclaimMachine(machineHoldingOnly(t, sim, acceptedBefore, acceptedAfter, recording))
				eventually(t, 120*time.Second, "the oversized chunk is split", func() bool { return storedSubchunks(sim) > 0 })
				time.Sleep(300 * time.Second)
				mustBeArchived(t, sim, acceptedBefore, acceptedAfter, waiting, recording)
				for _, j := range []simulator.JobScript{acceptedBefore, acceptedAfter, waiting, recording} {
					rollbacks := 0
					if j.Spec.ID == acceptedBefore.Spec.ID {
						rollbacks = 1
					}
					if g := sim.GangState(j.Spec.ID); g.Starts != 1+rollbacks || g.Rollbacks != rollbacks || g.WaitTimeouts > 0 {
						t.Errorf("%s: %+v, want %d starts, one rollback less and no timed-out wait", j.Spec.ID, g, 1+rollbacks)
					}
				}
				if sim.State.OversizeRefusals() == 0 {
					t.Error("the key-value store refused no write as oversized, want some")
				}
				mustRunAttemptsOnOneMachine(t, sim)
			})
		})
	}
}
