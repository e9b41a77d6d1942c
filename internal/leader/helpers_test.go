package leader

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/reconcile"
	"lilaclead/internal/peer"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// localAddr is the address of the tested node in simulated networks.
const localAddr = "10.0.0.1"

// newCurrentCancels returns the cancellation log of a single node, which has just read all
// cancellations.
func newCurrentCancels() *cancels.Log {
	log := cancels.New(nil, time.Minute)
	log.RecordRead(time.Now())
	return log
}

// newLease returns a lease that was just acquired and is valid for the duration.
func newLease(l *Leader, token wire.FencingToken, d time.Duration) *election.Lease {
	now := time.Now()
	return election.NewLease(l.candidate, election.Acquisition{Token: token, AcquiredAt: now, ValidUntil: now.Add(d)})
}

// setMesh replaces a term's view of its peers.
func setMesh(tm *term, mesh *peer.Mesh) {
	tm.leader.Mesh = mesh
	tm.dispatcher.Client.Mesh = mesh
	tm.monitor.Mesh = mesh
	tm.committer.Mesh = mesh
}

// setStore replaces a term's client of the key-value store.
func setStore(tm *term, client *store.Client) {
	tm.leader.Store = client
	tm.committer.Store = client
	tm.records.Store = client
}

// disconnect makes the cloud and all agents unreachable for a term.
func disconnect(tm *term) {
	host := simulator.NewNetwork(0).Host(localAddr)
	tm.scaler.Cloud = cloud.New("10.2.0.2:8443", config.CloudLimits{RPS: 6}, host)
	tm.dispatcher.Client.HTTP = &http.Client{Transport: host.Transport(2, 2)}
}

// noMetrics returns metrics that record nothing.
func noMetrics() core.Metrics {
	return core.Metrics{
		TaskInterrupted: func(string) {},
		StartDelay:      func(string, float64) {},
		FleetChange:     func(string, int) {},
		ScaleOutHolds:   func(map[string]int) {},
		Machines:        func(map[string]int) {},
	}
}

// testDependencies returns the dependencies of a leader without I/O.
func testDependencies(limits config.StoreLimits) Dependencies {
	settings := config.Settings{
		Size:    3,
		Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41},
		State:   limits,
	}
	return Dependencies{
		Config:  &config.Config{Settings: settings},
		Cancels: newCurrentCancels(),
		Tuning:  tuning.NewCurrent(),
		Catalog: &cluster.MachineCatalog{},
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: noMetrics(),
	}
}

// newTestTerm returns a term without I/O, with a job of one task whose attempt 7 is stored
// on machine n-1. The machine has sent heartbeat 10 of epoch 1.
func newTestTerm(tb testing.TB) (*term, *cluster.Machine, *cluster.Attempt) {
	tb.Helper()
	l := &Leader{Dependencies: testDependencies(config.StoreLimits{ValueKB: 16})}
	l.delegationBounds.MaxCancelAge = delegation.BoundsOf(l.Config.Settings.Workers).MaxCancelAge
	l.delegate = newDelegate(l.Dependencies, l.delegationBounds)
	l.agents = &agents.Client{}
	tm := newTerm(l, newLease(l, 50, time.Hour))
	tm.state.RecordsRead = true
	j := addJob(tm, wire.JobSpec{ID: "req-1", Team: "red", Kind: wire.KindArray, Tasks: 1, CPUs: 1})
	m := tm.state.GetOrAddMachine("n-1")
	m.Epoch, m.Sequence, m.Token, m.FirstHeartbeatAt = 1, 10, 50, time.Now()
	a := &cluster.Attempt{Job: j, Chunk: j.Chunk(0), Index: 0, Number: 7, Machine: m}
	a.Chunk.AddAttempt(a)
	return tm, m, a
}

// newJob returns a job that was accepted just now.
func newJob(spec wire.JobSpec, revision wire.Revision) *cluster.Job {
	return cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(time.Now())}, revision)
}

// addJob adds a job that was accepted just now to a term's model.
func addJob(tm *term, spec wire.JobSpec) *cluster.Job {
	j := newJob(spec, 1)
	tm.state.Jobs[spec.ID] = j
	return j
}

// heartbeatFrom returns a heartbeat of machine n-1.
func heartbeatFrom(epoch wire.AgentEpoch, sequence wire.Sequence, token wire.FencingToken, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "n-1", Epoch: epoch, Sequence: sequence, Token: token, Tasks: tasks}
}

// sendHeartbeat returns a term's response to a heartbeat.
func sendHeartbeat(tm *term, heartbeat *wire.Heartbeat) reconcile.HeartbeatResponse {
	call := reconcile.HeartbeatCall{Heartbeat: *heartbeat, Response: make(chan reconcile.HeartbeatResponse, 1)}
	tm.reconciler.OnHeartbeat(call)
	return <-call.Response
}

// withSimulatedStore runs a test in virtual time with the term of newTestTerm, which writes
// to a simulated key-value store. Its attempt has ended, and its job is stored as queued.
// The term's loop does not run. Instead the test calls runEvents, which writes due changes
// and handles events for up to ten seconds.
func withSimulatedStore(t *testing.T, test func(tm *term, m *cluster.Machine, st *simulator.KVStore, runEvents func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tm, m, a := newTestTerm(t)
		network := simulator.NewNetwork(time.Millisecond)
		host := network.Host(localAddr)
		st := simulator.NewKVStore(12, 16)
		stop, err := network.ServeKVStore(st)
		if err != nil {
			t.Fatal(err)
		}
		setStore(tm, store.New(simulator.KVStoreAddr, config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}, 1, host))
		setMesh(tm, peer.New("a", nil, func() peer.Status { return peer.Status{} }, tm.leader.Cancels, host, tm.leader.Log))
		go tm.leader.Mesh.Run(ctx)
		tm.Begin(ctx)
		tm.state.Settings.State.TxnOps = 12
		storeLeadership(tm, st)
		m.Token = tm.Fencing.Token
		tm.state.EndAttempt(a, cluster.TaskPending)
		a.Chunk.Dirty, a.Job.Finished = false, false
		a.Job.Revision = st.Put(store.JobKey("req-1"), store.JobRecord{Spec: a.Job.Spec, Status: wire.StatusQueued})
		test(tm, m, st, func() { handleEvents(tm, 200) })
		cancel()
		stop()
	})
}

// storeLeadership stores the term's node as the leader, and gives the term the token and
// the lease that result.
func storeLeadership(tm *term, st *simulator.KVStore) {
	l := tm.leader
	l.candidate = election.NewCandidate(l.Config, l.Store, l.Log, l.Mesh.ObserveToken)
	token := wire.FencingToken(st.Put(store.LeaderKey, l.candidate.LeaseRecord()))
	tm.Fencing.Token, tm.state.FirstToken = token, token
	tm.Lease = newLease(l, token, time.Hour)
}

// handleEvents calls handleNextEvent the given number of times.
func handleEvents(tm *term, times int) {
	for range times {
		handleNextEvent(tm)
	}
}

// handleNextEvent writes due changes and then handles the next event, for which it waits up
// to 50 ms.
func handleNextEvent(tm *term) {
	tm.committer.Flush(time.Now())
	select {
	case e := <-tm.Events:
		tm.handle(e)
	case <-time.After(50 * time.Millisecond):
	}
}

// isOver reports whether a term has ended.
func isOver(tm *term) bool {
	select {
	case <-tm.Done:
		return true
	default:
		return false
	}
}
