package autoscaler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestEarlierLeadersScaleInIsRepeated(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.sim.State.Put(scaleInKey, duty.IntentRecord[wire.MachineID]{Token: 1, Open: []wire.MachineID{"n-1", "n-2"}})
		removedAt := time.Now()
		term.state.RemovedMachines["n-2"] = removedAt
		term.AdoptIntents(term.loadIntents())
		machine := term.state.Machines["n-1"]
		if machine == nil || !machine.ScalingIn || machine.DrainReason != cluster.DrainAdoptedScaleIn {
			t.Fatalf("machine %+v, want one that is scaling in, adopted from an earlier leader", machine)
		}
		if term.state.Machines["n-2"] != nil {
			t.Error("a machine that was removed is scaled in again")
		}
		term.run(3 * time.Second)
		if _, removed := term.state.RemovedMachines["n-1"]; !removed || term.state.Machines["n-1"] != nil {
			t.Error("n-1 is still in the inventory")
		}
	})
}

func TestScaleInBatchesFitInTheRecord(t *testing.T) {
	const machines = 150
	for _, valueKB := range []float64{1, 2, 16} {
		t.Run(fmt.Sprint(valueKB, " KB"), func(t *testing.T) {
			withTerm(t, termOptions{valueKB: valueKB}, func(term *testTerm) {
				term.loadIntents()
				limit := term.maxScaleInBatch()
				if limit < 1 || limit > scaling.MaxScaleIn {
					t.Fatalf("batches of %d machines, want between 1 and scaling.MaxScaleIn", limit)
				}
				if (limit < scaling.MaxScaleIn) != (valueKB < 16) {
					t.Errorf("batches of %d machines in records of %v KB, want smaller ones only below 16 KB", limit, valueKB)
				}
				for i := range machines {
					id := wire.MachineID(fmt.Sprintf("n-%0*d", maxMachineIDLength-len("n-"), i))
					term.ScaleIn(term.state.GetOrAddMachine(id), cluster.DrainIdle)
				}
				for range machines {
					if stored := storedIntents[wire.MachineID](term, scaleInKey); len(stored) > limit {
						t.Errorf("%d machines in one record, want at most %d", len(stored), limit)
					}
					term.run(time.Second)
				}
				if size := float64(term.sim.State.LargestValue(scaleInKey)); size > valueKB*1024 {
					t.Errorf("a record has %v bytes, want at most %v KB", size, valueKB)
				}
				if len(term.state.Machines) != 0 || len(term.state.RemovedMachines) != machines {
					t.Errorf("%d machines left and %d removed, want 0 and %d", len(term.state.Machines), len(term.state.RemovedMachines), machines)
				}
			})
		})
	}
}

func TestScaleInIsRecordedBeforeItIsSent(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		term.makeOtherNodeLeader()
		machine := term.state.GetOrAddMachine("n-1")
		term.ScaleIn(machine, cluster.DrainIdle)
		term.run(5 * time.Second)
		if !term.ended() {
			t.Error("the term has not ended, although another node leads")
		}
		if term.state.Machines["n-1"] == nil || len(term.state.RemovedMachines) != 0 {
			t.Error("the machine was removed, although the record was refused")
		}
	})
}

func TestScaleInRecordIsClearedAWhileAfterTheConfirmation(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		term.ScaleIn(term.state.GetOrAddMachine("n-1"), cluster.DrainIdle)
		term.run(3 * time.Second)
		confirmedAt := term.Intents.scaleInConfirmedAt

		term.clearScaleIns(confirmedAt.Add(clearIntentsAfter))
		term.run(time.Second)
		if stored := storedIntents[wire.MachineID](term, scaleInKey); !slices.Equal(stored, []wire.MachineID{"n-1"}) {
			t.Errorf("%v after the confirmation: recorded %v, want n-1", clearIntentsAfter, stored)
		}

		term.clearScaleIns(confirmedAt.Add(clearIntentsAfter + 1))
		term.run(time.Second)
		if stored := storedIntents[wire.MachineID](term, scaleInKey); len(stored) != 0 {
			t.Errorf("after a longer time: recorded %v, want nothing", stored)
		}
		if !term.Tracker.BeginScaleIn() {
			t.Error("a request is still in flight")
		}
	})
}

func TestTasksOfAScaledInMachineBecomePending(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		job := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-1", Team: "red", Kind: wire.KindArray, Tasks: 1, CPUs: 1}, AcceptedAt: wire.TimestampOf(time.Now())}, 1)
		term.state.Jobs[job.Spec.ID] = job
		machine := term.state.GetOrAddMachine("n-1")
		attempt := &cluster.Attempt{Job: job, Chunk: job.Chunk(0), Number: 1, Machine: machine}
		attempt.Chunk.AddAttempt(attempt)
		term.ScaleIn(machine, cluster.DrainSlow)
		if job.ActiveTasks != 1 || machine.DrainReason != cluster.DrainSlow {
			t.Errorf("before the confirmation: %d active tasks, drain reason %q; want 1, %q", job.ActiveTasks, machine.DrainReason, cluster.DrainSlow)
		}
		term.run(3 * time.Second)
		if job.ActiveTasks != 0 || job.PendingTasks() != 1 || !term.state.CycleTimer.Requested {
			t.Errorf("after the confirmation: %d active and %d pending tasks, cycle requested %v; want 0, 1, true", job.ActiveTasks, job.PendingTasks(), term.state.CycleTimer.Requested)
		}
	})
}

func TestNoScaleInWithoutTheLease(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		now := time.Now()
		term.Lease = election.NewLease(&election.Candidate{}, election.Acquisition{Token: term.Fencing.Token, AcquiredAt: now, ValidUntil: now.Add(-time.Second)})
		machine := term.state.GetOrAddMachine("n-1")
		term.ScaleIn(machine, cluster.DrainIdle)
		if machine.ScalingIn || machine.DrainReason != "" {
			t.Errorf("without the lease: scaling in %v, drain reason %q; want neither", machine.ScalingIn, machine.DrainReason)
		}
	})
}
