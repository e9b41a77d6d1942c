package leader

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A launch is stored only if the stored job record is the one that the leader knows. A job
// that was cancelled in the meantime starts nothing.
func TestLaunchOfCancelledJobIsNotStored(t *testing.T) {
	withSimulatedStore(t, func(tm *term, m *cluster.Machine, st *simulator.KVStore, runEvents func()) {
		j := tm.state.Jobs["req-1"]
		st.Put(store.JobKey("req-1"), store.JobRecord{Spec: j.Spec, Status: wire.StatusCancelled})
		tm.scheduler.StartTask(j, m, time.Now())
		runEvents()
		if chunks := st.Keys(store.ProgressPrefix); len(chunks) != 0 || j.ActiveTasks != 0 || !j.Cancelled {
			t.Errorf("got chunks %v, %d active tasks, cancelled %v, want none, 0, true", chunks, j.ActiveTasks, j.Cancelled)
		}
		if final := st.Keys(store.FinalKey("req-1")); len(final) != 1 || isOver(tm) {
			t.Errorf("got final records %v, term over %v, want one, false", final, isOver(tm))
		}
	})
}

// A transaction without a response is neither repeated blindly nor assumed committed. Raising
// the token keeps it from being executed later, and a read then shows whether it was.
func TestUnknownOutcomeIsReadUnderAHigherToken(t *testing.T) {
	cases := []struct {
		name string
		fail func(*simulator.KVStore)
	}{
		{"executed, response lost", func(st *simulator.KVStore) { st.LoseResponses(1) }},
		{"request lost", func(st *simulator.KVStore) { st.DropRequests(1) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withSimulatedStore(t, func(tm *term, m *cluster.Machine, st *simulator.KVStore, runEvents func()) {
				j, token := tm.state.Jobs["req-1"], tm.Fencing.Token
				c.fail(st)
				tm.scheduler.StartTask(j, m, time.Now())
				runEvents()
				a := j.Chunks[0].Attempts[0]
				if chunks := st.Keys(store.ProgressPrefix); a == nil || a.Unstored || len(chunks) != 1 || isOver(tm) {
					t.Errorf("got attempt %+v, chunks %v, term over %v, want a stored attempt, one chunk, false", a, chunks, isOver(tm))
				}
				if tm.Fencing.Token <= token {
					t.Errorf("token: got %d, want above %d", tm.Fencing.Token, token)
				}
				// The model still agrees with what is stored.
				tm.state.EndAttempt(a, cluster.TaskDone)
				runEvents()
				if final := st.Keys(store.FinalKey("req-1")); len(final) != 1 || isOver(tm) {
					t.Errorf("got final records %v, term over %v, want one, false", final, isOver(tm))
				}
			})
		})
	}
}

func TestSupersededLeaderWritesNothingAndStops(t *testing.T) {
	withSimulatedStore(t, func(tm *term, m *cluster.Machine, st *simulator.KVStore, runEvents func()) {
		st.Put(store.LeaderKey, store.LeaseRecord{Node: "b", Nonce: "other"})
		tm.scheduler.StartTask(tm.state.Jobs["req-1"], m, time.Now())
		runEvents()
		if chunks := st.Keys(store.ProgressPrefix); !isOver(tm) || len(chunks) != 0 {
			t.Errorf("got term over %v, chunks %v, want true, none", isOver(tm), chunks)
		}
	})
}

// A machine that vanished while no node led is in no list and sends the next leader no
// heartbeat. It must be scaled in although there is no address to probe; without this, its
// replicas are replaced only after its lease has expired. Scheduling must not wait for it
// either.
func TestMachineWithoutAddressIsScaledIn(t *testing.T) {
	withSimulatedStore(t, func(tm *term, m *cluster.Machine, _ *simulator.KVStore, _ func()) {
		tm.scaler.Cloud = cloud.New("10.2.0.2:8443", config.CloudLimits{RPS: 6}, simulator.NewNetwork(0).Host(localAddr))
		tm.state.MachineListReceived = true
		m.Token, m.Addr, m.FirstHeartbeatAt = 0, "", time.Time{}
		if !tm.enoughMachinesHeard(time.Now()) {
			t.Error("enough machines heard: got false, want true without the unknown machine")
		}
		time.Sleep(5 * time.Second)
		tm.monitor.CheckMachines(time.Now())
		if m.ScalingIn {
			t.Error("after 5 s: got scaled in, want kept")
		}
		time.Sleep(5 * time.Second)
		tm.monitor.CheckMachines(time.Now())
		if !m.ScalingIn {
			t.Error("after 10 s: got kept, want scaled in")
		}
	})
}

// If machine names are longer than estimated, not all starts fit into a chunk's record. Those
// that don't fit wait, and the rest of the chunk is stored.
func TestStartsBeyondTheRecordLimitWait(t *testing.T) {
	withSimulatedStore(t, func(tm *term, _ *cluster.Machine, st *simulator.KVStore, runEvents func()) {
		j := addJob(tm, wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindArray, Tasks: 40, CPUs: 1})
		j.Revision = st.Put(store.JobKey("req-2"), store.JobRecord{Spec: j.Spec, Status: wire.StatusQueued})
		tm.state.Settings.State.ValueKB = 0.5
		longNamedMachine := tm.state.GetOrAddMachine("n-a-very-long-name-of-a-machine-000000001")
		for range 40 {
			tm.scheduler.StartTask(j, longNamedMachine, time.Now())
		}
		runEvents()
		active, pending, revision := j.ActiveTasks, j.PendingTasks(), j.Chunk(0).Revision
		if active == 0 || active > 8 || pending != 40-active || revision == 0 {
			t.Errorf("got %d of 40 tasks active, %d pending, stored at revision %d, want 1 to 8 active, the others pending, stored", active, pending, revision)
		}
	})
}

// The transaction that archives a job can hold only some of the deletions of its chunks. The
// other chunks are deleted only after that transaction is committed. If they are deleted
// although it failed, because a user cancelled the job just then, the job is still live and
// every later attempt to archive it fails at the missing chunks. All other writes in the same
// transactions then fail too.
func TestChunksStayUntilTheJobIsArchived(t *testing.T) {
	const chunks = 20
	withSimulatedStore(t, func(tm *term, _ *cluster.Machine, st *simulator.KVStore, runEvents func()) {
		spec := wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindArray, Tasks: chunks, CPUs: 1}
		record := store.JobRecord{Spec: spec, Status: wire.StatusQueued, AcceptedAt: wire.TimestampOf(time.Now()), TasksPerChunk: 1}
		j := cluster.NewJob(record, st.Put(store.JobKey("req-2"), record))
		tm.state.Jobs[j.Spec.ID] = j
		for n := range j.Chunks {
			c := j.Chunk(n)
			c.TaskStates[0] = cluster.TaskDone
			c.Revision = st.Put(store.ChunkKey("req-2", n), c.Record())
			j.DoneTasks++
		}
		record.Status = wire.StatusCancelled
		st.Put(store.JobKey("req-2"), record) // not yet known to the leader
		st.DelayResponses("", 300*time.Millisecond)
		tm.state.MarkIfFinished(j)
		reread := false
		for range 100 {
			handleNextEvent(tm)
			reread = reread || j.RecordOutdated
			live := len(st.Keys(store.JobKey("req-2"))) == 1
			if stored := len(st.Keys(store.ProgressPrefix + "req-2/")); live && stored != chunks {
				t.Errorf("chunks of the live job: got %d, want %d", stored, chunks)
				break
			}
		}
		runEvents()
		final, left := st.Keys(store.FinalKey("req-2")), st.Keys(store.ProgressPrefix+"req-2/")
		if !reread || len(final) != 1 || len(left) != 0 || isOver(tm) {
			t.Errorf("got record read again %v, final records %v, chunks %v, term over %v, want true, one, none, false", reread, final, left, isOver(tm))
		}
	})
}

// If the store is slow, a change of a job's record or the response to a read of it may arrive
// after the job was archived. Such late events neither restore the job nor end the term.
func TestLateEventsOfArchivedJobAreIgnored(t *testing.T) {
	for _, watchFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("watch before the read's response %v", watchFirst), func(t *testing.T) {
			withSimulatedStore(t, func(tm *term, m *cluster.Machine, st *simulator.KVStore, runEvents func()) {
				j := tm.state.Jobs["req-1"]
				record := store.JobRecord{Spec: j.Spec, Status: wire.StatusCancelled}
				put := wire.WatchEvent{PutKey: store.JobKey("req-1"), Value: wire.Encode(record), Revision: st.Put(store.JobKey("req-1"), record)}
				deletion := wire.WatchEvent{DeletedKey: store.JobKey("req-1"), Revision: put.Revision + 1}
				if watchFirst {
					// The record is read again because a guard failed. The watch shows the
					// record's change and then its deletion before the response to the read arrives.
					st.DelayResponses("", time.Second)
					tm.committer.Reread(j)
					time.Sleep(20 * time.Millisecond)
					st.DelayResponses("", 0)
					tm.records.ApplyJobRecordChanges([]wire.WatchEvent{put})
					handleEvents(tm, 8)
					if final := st.Keys(store.FinalKey("req-1")); len(final) != 1 {
						t.Errorf("final records while the response is in flight: got %v, want one", final)
					}
					tm.records.ApplyJobRecordChanges([]wire.WatchEvent{deletion})
				} else {
					tm.scheduler.StartTask(j, m, time.Now())
				}
				runEvents()
				if final := st.Keys(store.FinalKey("req-1")); len(final) != 1 || len(tm.state.Jobs) != 0 {
					t.Errorf("got jobs %v, final records %v, want none, one; stored: %v", tm.state.Jobs, final, st.Keys(""))
				}
				tm.committer.Reread(j) // as if a read had still been in flight
				runEvents()
				if !watchFirst {
					tm.records.ApplyJobRecordChanges([]wire.WatchEvent{put})
					runEvents()
				}
				if len(tm.state.Jobs) != 0 || isOver(tm) {
					t.Errorf("after late events: got jobs %v, term over %v (%s), want none, false", tm.state.Jobs, isOver(tm), tm.EndReason())
				}
				tm.records.ApplyJobRecordChanges([]wire.WatchEvent{deletion})
				if len(tm.state.ArchivedJobs) != 0 {
					t.Errorf("archived jobs remembered after the deletion: got %v, want none", tm.state.ArchivedJobs)
				}
			})
		})
	}
}
