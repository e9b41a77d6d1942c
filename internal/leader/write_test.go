package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// withState runs a term that writes to a simulated state service. Its loop is
// the test: settle runs what the helpers post until nothing happens.
func withState(t *testing.T, f func(tm *term, m *cluster.Machine, st *simulator.State, settle func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tm, m, a := rig(t)
		nw := simulator.NewNetwork(time.Millisecond)
		st := simulator.NewState(12, 16)
		stop, err := nw.ServeState(st)
		if err != nil {
			t.Fatal(err)
		}
		setStore(tm, store.New(simulator.StateAddr, config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}, 1, nw.Host("10.0.0.1")))
		setMesh(tm, peer.New("a", nil, func() peer.Status { return peer.Status{} }, tm.leader.Cancels, nw.Host("10.0.0.1"), tm.leader.Log))
		go tm.leader.Mesh.Run(ctx)
		tm.Begin(ctx)
		tm.state.Settings.State.TxnOps = 12
		tm.leader.candidate = election.NewCandidate(tm.leader.Config, tm.leader.Store, tm.leader.Log, tm.leader.Mesh.ObserveToken)
		tm.Fencing.Token = wire.FencingToken(st.Put(store.LeaderKey, tm.leader.candidate.Record()))
		tm.Lease, tm.state.FirstToken = leaseFor(tm.leader, tm.Fencing.Token, time.Hour), tm.Fencing.Token
		m.Token = tm.Fencing.Token
		tm.state.EndAttempt(a, cluster.TaskPending)
		a.Chunk.Dirty, a.Job.Finished = false, false
		a.Job.Revision = st.Put(store.JobKey("req-1"), store.JobRecord{Spec: a.Job.Spec, Status: wire.Queued})
		f(tm, m, st, func() {
			for range 200 {
				tm.committer.Flush(time.Now())
				select {
				case e := <-tm.Events:
					tm.handle(e)
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
		cancel()
		stop()
	})
}

func ended(tm *term) bool {
	select {
	case <-tm.Done:
		return true
	default:
		return false
	}
}

// A launch is stored only while its job's record is the one that the leader
// knows: a job that was cancelled meanwhile starts nothing.
func TestLaunchGuardsItsJob(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
		j := tm.state.Jobs["req-1"]
		st.Put(store.JobKey("req-1"), store.JobRecord{Spec: j.Spec, Status: wire.Cancelled})
		tm.scheduler.StartTask(j, m, time.Now())
		settle()
		if n := st.Keys(store.ProgressPrefix); len(n) != 0 || j.ActiveTasks != 0 || !j.Cancelled {
			t.Errorf("stored %v, held %d, cancelled %v", n, j.ActiveTasks, j.Cancelled)
		}
		if past := st.Keys(store.FinalKey("req-1")); len(past) != 1 || ended(tm) {
			t.Errorf("final records %v, term over: %v", past, ended(tm))
		}
	})
}

// A transaction without an answer is neither repeated blindly nor taken for
// done: a new token ends what may still come, and a read tells what was.
func TestOutcomeUnknown(t *testing.T) {
	for name, lose := range map[string]func(*simulator.State){
		"executed, answer lost": func(st *simulator.State) { st.LoseAnswers(1) },
		"lost before it came":   func(st *simulator.State) { st.DropRequests(1) },
	} {
		withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
			j, token := tm.state.Jobs["req-1"], tm.Fencing.Token
			lose(st)
			tm.scheduler.StartTask(j, m, time.Now())
			settle()
			a := j.Chunks[0].Attempts[0]
			if a == nil || a.Unstored || len(st.Keys(store.ProgressPrefix)) != 1 || ended(tm) {
				t.Errorf("%s: attempt %+v, stored %v, term over: %v", name, a, st.Keys(store.ProgressPrefix), ended(tm))
			}
			if tm.Fencing.Token <= token {
				t.Errorf("%s: the token was not raised", name)
			}
			// What is known still agrees with what is stored.
			tm.state.EndAttempt(a, cluster.TaskDone)
			settle()
			if past := st.Keys(store.FinalKey("req-1")); len(past) != 1 || ended(tm) {
				t.Errorf("%s: final records %v, term over: %v", name, past, ended(tm))
			}
		})
	}
}

// A leader whose key is another's writes nothing and stops.
func TestLateLeaderWritesNothing(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
		st.Put(store.LeaderKey, store.LeaderRecord{Node: "b", Nonce: "other"})
		tm.scheduler.StartTask(tm.state.Jobs["req-1"], m, time.Now())
		settle()
		if !ended(tm) || len(st.Keys(store.ProgressPrefix)) != 0 {
			t.Errorf("term over: %v, stored %v", ended(tm), st.Keys(store.ProgressPrefix))
		}
	})
}

// A machine that vanished while nobody led is in no list and never reports
// to the next leader: with no address to probe it must count as lost all the
// same. (Its replicas once waited for its lease.) And the first round must
// not wait for it either.
func TestMachineNeverHeardOf(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, _ *simulator.State, _ func()) {
		tm.scaler.Cloud = cloud.New("10.2.0.2:8443", config.Cloud{RPS: 6}, simulator.NewNetwork(0).Host("10.0.0.1"))
		tm.state.MachineListReceived = true
		m.Token, m.Addr, m.FirstHeartbeatAt = 0, "", time.Time{}
		if !tm.enoughMachinesHeard(time.Now()) {
			t.Error("the first round waits for a machine that nothing is known of")
		}
		time.Sleep(5 * time.Second)
		tm.monitor.CheckMachines(time.Now())
		if m.ScalingIn {
			t.Error("released after 5 s")
		}
		time.Sleep(5 * time.Second)
		tm.monitor.CheckMachines(time.Now())
		if !m.ScalingIn {
			t.Error("not released after 10 s")
		}
	})
}

// What has no room in a chunk's record, machines' names being longer than was
// counted on, waits; the rest of the chunk is stored all the same.
func TestRecordOverTheLimit(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
		j := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindArray, Tasks: 40, CPUs: 1}, AcceptedAt: wire.TimestampOf(time.Now())}, 1)
		j.Revision = st.Put(store.JobKey("req-2"), store.JobRecord{Spec: j.Spec, Status: wire.Queued})
		tm.state.Jobs[j.Spec.ID] = j
		tm.state.Settings.State.ValueKB = 0.5
		long := tm.state.GetOrAddMachine("n-a-very-long-name-of-a-machine-000000001")
		for range 40 {
			tm.scheduler.StartTask(j, long, time.Now())
		}
		settle()
		if j.ActiveTasks == 0 || j.ActiveTasks > 8 || j.Pending() != 40-j.ActiveTasks || j.Chunk(0).Revision == 0 {
			t.Errorf("%d of 40 held, %d pending, stored at revision %d", j.ActiveTasks, j.Pending(), j.Chunk(0).Revision)
		}
	})
}

// The chunks that the transaction of a job's end has no room for are dropped only
// once that transaction is executed. (They were dropped as well when it had failed,
// its user having cancelled just then; with the job still live its end then failed
// for ever at the chunks that were gone, and all that was to be written beside it.)
func TestChunksStayUntilTheEndIsStored(t *testing.T) {
	withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
		rec := store.JobRecord{Spec: wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindArray, Tasks: 20, CPUs: 1}, Status: wire.Queued, AcceptedAt: wire.TimestampOf(time.Now()), Chunk: 1}
		j := cluster.NewJob(rec, st.Put(store.JobKey("req-2"), rec))
		tm.state.Jobs[j.Spec.ID] = j
		for n := range j.Chunks {
			c := j.Chunk(n)
			c.TaskStates[0] = cluster.TaskDone
			c.Revision = st.Put(store.ChunkKey("req-2", n), c.Record())
			j.DoneTasks++
		}
		rec.Status = wire.Cancelled
		st.Put(store.JobKey("req-2"), rec) // not yet known to the leader
		st.DelayAnswers("", 300*time.Millisecond)
		tm.state.MarkIfFinished(j)
		conflicts := 0
		for range 100 {
			tm.committer.Flush(time.Now())
			select {
			case e := <-tm.Events:
				tm.handle(e)
			case <-time.After(50 * time.Millisecond):
			}
			if j.RecordOutdated {
				conflicts++
			}
			if live, chunks := len(st.Keys(store.JobKey("req-2"))), len(st.Keys(store.ProgressPrefix+"req-2/")); live == 1 && chunks != 20 {
				t.Errorf("%d of 20 chunks of a live job", chunks)
				break
			}
		}
		settle()
		if conflicts == 0 || len(st.Keys(store.FinalKey("req-2"))) != 1 || len(st.Keys(store.ProgressPrefix+"req-2/")) != 0 || ended(tm) {
			t.Errorf("record read again: %v, final records %v, chunks %v, term over: %v", conflicts > 0, st.Keys(store.FinalKey("req-2")), st.Keys(store.ProgressPrefix+"req-2/"), ended(tm))
		}
	})
}

// News of a job's record, and the answer to a question for it, may come when the
// job is archived already, the service being slow at times. They bring nothing back
// to life and don't end the term.
func TestLateNewsOfAnArchivedJob(t *testing.T) {
	for _, watchFirst := range []bool{false, true} {
		withState(t, func(tm *term, m *cluster.Machine, st *simulator.State, settle func()) {
			j := tm.state.Jobs["req-1"]
			rec := store.JobRecord{Spec: j.Spec, Status: wire.Cancelled}
			put := wire.Change{Put: store.JobKey("req-1"), Value: wire.Encode(rec), Revision: st.Put(store.JobKey("req-1"), rec)}
			drop := wire.Change{Delete: store.JobKey("req-1"), Revision: put.Revision + 1}
			if watchFirst {
				// It is read again after a guard that failed; the watch tells first,
				// and the answer comes when the watch has shown its end as well.
				st.DelayAnswers("", time.Second)
				tm.committer.Reread(j)
				time.Sleep(20 * time.Millisecond)
				st.DelayAnswers("", 0)
				tm.records.applyChanges([]wire.Change{put})
				for range 8 {
					tm.committer.Flush(time.Now())
					select {
					case e := <-tm.Events:
						tm.handle(e)
					case <-time.After(50 * time.Millisecond):
					}
				}
				if len(st.Keys(store.FinalKey("req-1"))) != 1 {
					t.Error("not archived while the answer is under way")
				}
				tm.records.applyChanges([]wire.Change{drop})
			} else {
				tm.scheduler.StartTask(j, m, time.Now())
			}
			settle()
			if len(st.Keys(store.FinalKey("req-1"))) != 1 || len(tm.state.Jobs) != 0 {
				t.Errorf("not archived: %v, %v", tm.state.Jobs, st.Keys(""))
			}
			tm.committer.Reread(j) // as one that was under way
			settle()
			if !watchFirst {
				tm.records.applyChanges([]wire.Change{put})
				settle()
			}
			if len(tm.state.Jobs) != 0 || ended(tm) {
				t.Errorf("watch first %v: jobs %v, term over: %v %s", watchFirst, tm.state.Jobs, ended(tm), tm.EndReason())
			}
			tm.records.applyChanges([]wire.Change{drop})
			if len(tm.state.ArchivedJobs) != 0 {
				t.Errorf("remembered for ever: %v", tm.state.ArchivedJobs)
			}
		})
	}
}
