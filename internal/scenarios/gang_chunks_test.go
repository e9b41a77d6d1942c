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

// Gangs whose progress takes several chunks, and gangs in every phase as the limits of
// the key-value store drop.

// largeGang is a gang of many small tasks.
func largeGang(n, tasks int, run float64) simulator.JobScript {
	j := gang(n, tasks, run)
	j.Spec.CPUs, j.Spec.MemoryGB, j.Spec.SameZone = 0.1, 0.3, false
	return j
}

// smallChunks are settings by which 56 tasks go into a chunk, and four writes into a
// transaction.
func smallChunks() config.Settings {
	s := settingsBeforeLowering()
	s.State.Next = &loweredLimits
	return s
}

// delayProgressWrites delays what is written of jobs' progress.
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

// mustUseAttemptsOnce checks that no attempt of a task was ever on two machines, by all that
// the workers have reported.
func mustUseAttemptsOnce(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	type attempt struct {
		task   string
		number wire.AttemptNumber
	}
	on := map[attempt]wire.MachineID{}
	for n := range 400 { // also those that are gone
		id := wire.MachineID(fmt.Sprintf("n-%06d", n))
		for _, rep := range sim.RecordedHeartbeats(id) {
			for _, p := range rep.Tasks {
				a := attempt{p.Task, p.Attempt}
				if other, ok := on[a]; ok && other != id {
					t.Errorf("attempt %d of %s was on %s and on %s", a.number, a.task, other, id)
				}
				on[a] = id
			}
		}
	}
	if len(on) == 0 {
		t.Error("nothing was reported")
	}
}

// storedAttempts lists the attempts that are recorded of a job, and their machines.
func storedAttempts(t *testing.T, sim *simulator.Simulation, id wire.JobID) map[[2]int]wire.MachineID {
	t.Helper()
	reader := store.New(simulator.KVStoreAddr, config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 32, TxnOps: 12}, 1, sim.Net.Host("10.9.9.9"))
	reader.Observe = func(string, string, time.Duration) {}
	entries, _, err := reader.List(context.Background(), store.ClassBackground, store.ProgressPrefix+string(id)+"/")
	if err != nil {
		t.Fatal(err)
	}
	out := map[[2]int]wire.MachineID{}
	for _, e := range entries {
		var rec store.ChunkRecord
		_, n, ok := store.ParseChunkKey(e.Key)
		if !ok || wire.Decode(e.Value, &rec) != nil {
			t.Fatalf("%s is no chunk", e.Key)
		}
		for _, h := range rec.Active {
			out[[2]int{n*store.ChunkTasksFor(loweredLimits.ValueKB) + h.Task, int(h.Attempt)}] = h.Machine
		}
	}
	return out
}

// mustNotReassignAttempts checks that no attempt that was recorded is recorded again for another
// machine.
func mustNotReassignAttempts(t *testing.T, before, after map[[2]int]wire.MachineID) {
	t.Helper()
	if len(before) == 0 || len(after) == 0 {
		t.Errorf("%d attempts are recorded before, %d after", len(before), len(after))
	}
	for a, id := range after {
		if was, ok := before[a]; ok && was != id {
			t.Errorf("attempt %d of task %d is recorded for %s and was for %s", a[1], a[0], id, was)
		}
	}
}

// A gang of 300 tasks is recorded in six chunks over two transactions at least. The
// leader ends between these, with all recorded, and with the first launches sent: what
// is recorded in part is stopped, what is whole is completed, and the gang runs once,
// as a whole.
func TestGangOfManyChunksLosesTheLeader(t *testing.T) {
	t.Parallel()
	const chunks = 6
	steps := map[string]func(g simulator.GangState, recorded int) bool{
		"half recorded":  func(g simulator.GangState, n int) bool { return n > 0 && n < chunks },
		"recorded":       func(g simulator.GangState, n int) bool { return n == chunks && g.Fetching+g.Waiting+g.Running == 0 },
		"first launched": func(g simulator.GangState, n int) bool { return g.Fetching+g.Waiting > 0 },
	}
	for name, is := range steps {
		for _, down := range []time.Duration{200 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint(name, " ", down), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, smallChunks(), 850, func(sim *simulator.Simulation, at func(time.Duration)) {
					sim.RecordHeartbeats()
					j := largeGang(1, 300, 40)
					at(2 * time.Second)
					delayProgressWrites(sim, 400*time.Millisecond)
					if name != "half recorded" {
						sim.DelayCommands(simulator.CommandDelay{Command: 300 * time.Millisecond})
					}
					sim.Submit(j, 0)
					if !eventually(t, 60*time.Second, name, func() bool { return is(sim.GangState(j.Spec.ID), storedChunks(sim, j)) }) {
						return
					}
					l := sim.Leader()
					sim.KillController(l)
					if g, n := sim.GangState(j.Spec.ID), storedChunks(sim, j); name == "half recorded" && (n == chunks || g.Fetching+g.Waiting > 0) {
						t.Errorf("%d of %d chunks recorded, %+v: not half recorded", n, chunks, g)
					}
					before := storedAttempts(t, sim, j.Spec.ID)
					sim.DelayCommands(simulator.CommandDelay{})
					time.Sleep(down)
					if err := sim.StartController(l); err != nil {
						t.Fatal(err)
					}
					delayProgressWrites(sim, 0)
					begin := time.Now()
					eventually(t, 60*time.Second, "runs", func() bool { return sim.GangState(j.Spec.ID).Starts > 0 })
					t.Logf("%s: runs %v after, %+v", name, time.Since(begin), sim.GangState(j.Spec.ID))
					mustNotReassignAttempts(t, before, storedAttempts(t, sim, j.Spec.ID))
					time.Sleep(120 * time.Second)
					mustBeArchived(t, sim, j)
					if g := sim.GangState(j.Spec.ID); g.Starts != 1 || g.Rollbacks != 0 || g.Incomplete > 0 {
						t.Errorf("%+v: want one start, no fall, nobody alone", g)
					}
					mustUseAttemptsOnce(t, sim)
				})
			})
		}
	}
}

// The leader ends twice while a gang is recorded, so that two attempts are left in
// part, in different chunks.
func TestGangOfManyChunksIsRecordedInPartTwice(t *testing.T) {
	t.Parallel()
	runWithSettings(t, smallChunks(), 851, func(sim *simulator.Simulation, at func(time.Duration)) {
		sim.RecordHeartbeats()
		j := largeGang(1, 500, 30)
		at(2 * time.Second)
		delayProgressWrites(sim, 500*time.Millisecond)
		sim.Submit(j, 0)
		all := map[[2]int]wire.MachineID{}
		for range 2 {
			before := sim.Leader()
			if !eventually(t, 60*time.Second, "recorded in part", func() bool { n := storedChunks(sim, j); return n > 0 && n < 9 }) {
				return
			}
			stored := storedAttempts(t, sim, j.Spec.ID)
			if len(all) > 0 {
				mustNotReassignAttempts(t, all, stored)
			}
			maps.Copy(all, stored)
			replaceLeader(t, sim)
			if sim.Leader() == before {
				t.Error("the leader has not changed")
			}
			time.Sleep(1200 * time.Millisecond)
		}
		delayProgressWrites(sim, 0)
		awaitGangRunning(t, sim, j, 60*time.Second)
		mustNotReassignAttempts(t, all, storedAttempts(t, sim, j.Spec.ID))
		time.Sleep(150 * time.Second)
		mustBeArchived(t, sim, j)
		if g := sim.GangState(j.Spec.ID); g.Starts != 1 || g.Rollbacks != 0 || g.Incomplete > 0 {
			t.Errorf("%+v: want one start, no fall, nobody alone", g)
		}
		mustUseAttemptsOnce(t, sim)
	})
}

// machineOnlyWith is a machine that holds tasks of one job and none of the others.
func machineOnlyWith(t *testing.T, sim *simulator.Simulation, j simulator.JobScript, others ...simulator.JobScript) wire.MachineID {
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
	t.Fatalf("every machine of %s holds tasks of others", j.Spec.ID)
	return ""
}

// The limits drop while gangs run, wait for room, and are being recorded, accepted
// before and after the upgrade, alone and with a change of leader or an outage.
func TestGangsAcrossLoweredLimits(t *testing.T) {
	t.Parallel()
	for i, trouble := range []string{"quiet", "change of leader", "outage"} {
		t.Run(trouble, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsBeforeLowering(), 860+uint64(i), func(sim *simulator.Simulation, at func(time.Duration)) {
				sim.RecordHeartbeats()
				// Of the first a chunk of 256 tasks is stored, over the limit to come.
				running, young := largeGang(1, 200, 120), largeGang(2, 150, 100)
				waiting := gang(3, 4, 20)
				waiting.Spec.CPUs, waiting.Spec.MachineTypes, waiting.Spec.Zone = 16, []wire.MachineType{"c16"}, "a"
				recording := largeGang(4, 300, 40)
				at(2 * time.Second)
				sim.Submit(running, 0)
				awaitGangRunning(t, sim, running, 60*time.Second)
				announceLoweredLimits(t, sim)
				sim.Submit(young, 0)
				awaitGangRunning(t, sim, young, 60*time.Second)
				mustExceedLoweredLimits(t, sim, running)
				sim.SetSoldOut("a", true)
				sim.Submit(waiting, 0)
				delayProgressWrites(sim, 400*time.Millisecond)
				sim.Submit(recording, 0)
				eventually(t, 60*time.Second, "is being recorded", func() bool { n := storedChunks(sim, recording); return n > 0 && n < 6 })
				switch trouble {
				case "change of leader":
					l := sim.Leader()
					sim.KillController(l)
					lowerLimits(sim)
					awaitSuccessor(t, sim, l)
				case "outage":
					sim.State.Outage(true)
					lowerLimits(sim)
					time.Sleep(10 * time.Second)
					sim.State.Outage(false)
				default:
					lowerLimits(sim)
				}
				if g := sim.GangState(waiting.Spec.ID); g.Fetching+g.Waiting+g.Running > 0 {
					t.Errorf("the gang that is to wait does not: %+v", g)
				}
				delayProgressWrites(sim, 0)
				sim.SetSoldOut("a", false)
				time.Sleep(time.Second)
				// A task of the first is lost: its large chunk is written again, in parts, as it
				// is stopped or, if all its ends are written at once, as it starts again.
				sim.ReclaimMachine(machineOnlyWith(t, sim, running, young, recording))
				eventually(t, 120*time.Second, "is written in parts", func() bool { return storedPieces(sim) > 0 })
				time.Sleep(300 * time.Second)
				mustBeArchived(t, sim, running, young, waiting, recording)
				for _, j := range []simulator.JobScript{running, young, waiting, recording} {
					again := 0
					if j.Spec.ID == running.Spec.ID {
						again = 1
					}
					if g := sim.GangState(j.Spec.ID); g.Starts != 1+again || g.Rollbacks != again || g.Incomplete > 0 {
						t.Errorf("%s: %+v: want %d starts, nobody alone", j.Spec.ID, g, 1+again)
					}
				}
				if sim.State.OversizeRefusals() == 0 {
					t.Error("nothing was refused by the lower limits")
				}
				mustUseAttemptsOnce(t, sim)
			})
		})
	}
}
