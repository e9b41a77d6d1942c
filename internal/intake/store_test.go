package intake_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"

	"lilaclead/internal/cancels"
	"lilaclead/internal/config"
	"lilaclead/internal/intake"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// node is the intake of one node.
type node struct {
	handler   http.Handler
	cancelLog *cancels.Log
}

// cluster is two nodes that share the simulator's key-value store.
type cluster struct {
	store *simulator.KVStore
	nodes [2]node
	types []wire.MachineSpec // offered by the cloud; nil: not known yet
}

// highLimits are limits of the store that no test reaches.
var highLimits = config.StoreLimits{RPS: 1000, WriteRPS: 1000, TxnOps: 12, ValueKB: 16}

// runCluster runs a test on a cluster in virtual time.
func runCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	t.Helper()
	runClusterWithin(t, highLimits, test)
}

// runClusterWithin runs a test, in virtual time, on a cluster whose nodes keep to the given
// limits of the store.
func runClusterWithin(t *testing.T, limits config.StoreLimits, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := simulator.NewNetwork(time.Millisecond)
		c := &cluster{
			store: simulator.NewKVStore(12, 16),
			types: []wire.MachineSpec{{Name: "small", CPUs: 8, MemoryGB: 16, DiskGB: 100, Zones: []wire.Zone{"a"}}},
		}
		stop, err := network.ServeKVStore(c.store)
		if err != nil {
			t.Fatal(err)
		}
		for i, host := range []string{"10.0.0.1", "10.0.0.2"} {
			c.nodes[i] = c.startNode(ctx, network, host, limits)
		}
		test(t, c)
		cancel()
		stop()
	})
}

// startNode starts the intake of a node, which runs until the context ends.
func (c *cluster) startNode(ctx context.Context, network *simulator.Network, host string, limits config.StoreLimits) node {
	settings := &config.Settings{Size: 2, Teams: []config.Team{{Name: "red"}}, State: limits, Limits: config.ProcessLimits{FDLimit: 900}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	cancelLog := cancels.New(nil, time.Minute)
	client := store.New(simulator.KVStoreAddr, limits, settings.Size, network.Host(host))
	in := intake.New(settings, client, cancelLog, func() []wire.MachineSpec { return c.types }, log)
	in.UndecodableLog = undecodable.New(log)
	router := httprouter.New()
	in.Routes(router)
	go in.Run(ctx)
	return node{handler: router, cancelLog: cancelLog}
}

// send sends a request to the node, decodes the body of the response into out,
// unless that is nil, and returns the status.
func (n node) send(t *testing.T, method, path string, body []byte, out any) int {
	t.Helper()
	w := httptest.NewRecorder()
	n.handler.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
	if out == nil {
		return w.Code
	}
	if err := wire.Decode(w.Body.Bytes(), out); err != nil {
		t.Errorf("%s %s: response of status %d: %v", method, path, w.Code, err)
	}
	return w.Code
}

// submit submits a job and checks the response.
func (n node) submit(t *testing.T, id wire.JobID, wantCode int, want wire.Status) {
	t.Helper()
	var got wire.JobSummary
	if code := n.send(t, "POST", "/v1/jobs", submission(id), &got); code != wantCode || got.Status != want {
		t.Errorf("submission of %s: got %d %q, want %d %q", id, code, got.Status, wantCode, want)
	}
}

// cancel cancels a job and checks the response.
func (n node) cancel(t *testing.T, id wire.JobID, wantCode int, want wire.Status) {
	t.Helper()
	var got wire.JobSummary
	if code := n.send(t, "POST", "/v1/jobs/"+string(id)+"/cancel", nil, &got); code != wantCode || got.Status != want {
		t.Errorf("cancellation of %s: got %d %q, want %d %q", id, code, got.Status, wantCode, want)
	}
}

// poll polls a job and checks the response.
func (n node) poll(t *testing.T, id wire.JobID, wantCode int, want wire.JobState) {
	t.Helper()
	var got wire.JobState
	if code := n.send(t, "GET", "/v1/jobs/"+string(id), nil, &got); code != wantCode || got != want {
		t.Errorf("poll of %s: got %d %+v, want %d %+v", id, code, got, wantCode, want)
	}
}

// submission returns the body of a valid submission.
func submission(id wire.JobID) []byte {
	return wire.Encode(map[string]any{"nameId": id, "lane": "batch", "owner": "red", "shape": "sweep", "urgency": "standard",
		"parts": 2, "cpus": 4.0, "cards": 0.0, "ramGb": 1.0, "bundle": "image", "imageGb": 0.5, "samePlace": false, "apart": false,
		"standby": false, "expectedS": 1.0, "snapshotEveryS": 0.0, "snapshotS": 0.0})
}

func TestRepeatedSubmissionReturnsJobStatus(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[0].submit(t, "req-1", http.StatusCreated, wire.StatusQueued)
		firstRevision := c.store.Revision(store.JobKey("req-1"))
		c.nodes[1].submit(t, "req-1", http.StatusOK, wire.StatusQueued)
		c.types = nil
		c.nodes[1].submit(t, "req-1", http.StatusOK, wire.StatusQueued)
		c.types = []wire.MachineSpec{}
		c.nodes[1].submit(t, "req-1", http.StatusOK, wire.StatusQueued)
		if got := c.store.Revision(store.JobKey("req-1")); got != firstRevision {
			t.Errorf("revision of the record after the repetitions: got %d, want %d", got, firstRevision)
		}
		c.store.Delete(store.JobKey("req-1"))
		c.store.Put(store.FinalKey("req-1"), store.FinalRecord{Status: wire.StatusDone, Done: 2})
		c.nodes[0].submit(t, "req-1", http.StatusOK, wire.StatusDone)
	})
}

func TestRepetitionFindsSubmissionOfUnknownOutcome(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.store.LoseResponses(1)
		c.nodes[0].submit(t, "req-1", http.StatusServiceUnavailable, "")
		c.nodes[1].submit(t, "req-1", http.StatusOK, wire.StatusQueued)
	})
}

func TestSubmissionOverTheWriteRateIsRetried(t *testing.T) {
	const writeRPS = 10
	limits := highLimits
	limits.WriteRPS = writeRPS
	runClusterWithin(t, limits, func(t *testing.T, c *cluster) {
		start := time.Now()
		for n := range 2 * writeRPS {
			c.nodes[0].submit(t, wire.JobID("req-"+strconv.Itoa(n)), http.StatusCreated, wire.StatusQueued)
		}
		if took := time.Since(start); took < time.Second {
			t.Errorf("%d submissions at %d writes per second took %v, want at least 1s", 2*writeRPS, writeRPS, took)
		}
	})
}

func TestInfeasibleOrUndecidedSubmissionIsNotStored(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		for _, tt := range []struct {
			name       string
			types      []wire.MachineSpec
			wantCode   int
			wantReason string
		}{
			{"no machine type fits", []wire.MachineSpec{}, http.StatusUnprocessableEntity, "a task fits no allowed machine type"},
			{"machine types are not known yet", nil, http.StatusServiceUnavailable, "machine types not known yet"},
		} {
			c.types = tt.types
			var got wire.ErrorBody
			if code := c.nodes[0].send(t, "POST", "/v1/jobs", submission("req-1"), &got); code != tt.wantCode || got.Error != tt.wantReason {
				t.Errorf("%s: got %d %q, want %d %q", tt.name, code, got.Error, tt.wantCode, tt.wantReason)
			}
		}
		if got := c.store.Keys(store.JobPrefix); len(got) != 0 {
			t.Errorf("stored jobs: got %v, want none", got)
		}
	})
}

func TestMalformedSubmissionReportsField(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		body := wire.Encode(map[string]any{"nameId": "req-1"})
		want := wire.ErrorBody{Error: "missing", Field: "lane"}
		var got wire.ErrorBody
		if code := c.nodes[0].send(t, "POST", "/v1/jobs", body, &got); code != http.StatusBadRequest || got != want {
			t.Errorf("submission with only an ID: got %d %+v, want 400 %+v", code, got, want)
		}
	})
}

func TestBodyOverLimitIsRejected(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		body := make([]byte, wire.MaxBodyBytes+1)
		for _, path := range []string{"/v1/jobs", "/v1/jobs/req-1/cancel"} {
			if got := c.nodes[0].send(t, "POST", path, body, nil); got != http.StatusRequestEntityTooLarge {
				t.Errorf("%s with %d bytes: got %d, want 413", path, len(body), got)
			}
		}
	})
}

func TestPollReportsStateThatAnotherNodeConfirmed(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[1].poll(t, "req-1", http.StatusNotFound, wire.JobState{})
		c.nodes[0].submit(t, "req-1", http.StatusCreated, wire.StatusQueued)
		c.nodes[1].poll(t, "req-1", http.StatusOK, wire.JobState{ID: "req-1", Status: wire.StatusQueued})
		c.nodes[0].cancel(t, "req-1", http.StatusOK, wire.StatusCancelled)
		c.nodes[1].poll(t, "req-1", http.StatusOK, wire.JobState{ID: "req-1", Status: wire.StatusCancelled})
	})
}

func TestPollReportsTaskCounts(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[0].submit(t, "req-1", http.StatusCreated, wire.StatusQueued)
		c.store.Put(store.ChunkKey("req-1", 0), store.ChunkRecord{Done: []int{0, 1}, Active: []store.ActiveAttempt{{Task: 1, Attempt: 2, Machine: "machine-1"}}})
		want := wire.JobState{ID: "req-1", Status: wire.StatusRunning, Done: 1, Running: 1}
		c.nodes[0].poll(t, "req-1", http.StatusOK, want)
		c.store.Put(store.ChunkKey("req-1", 0), store.ChunkRecord{Done: []int{0, 2}})
		c.nodes[0].poll(t, "req-1", http.StatusOK, want) // within the lifetime of the count
		time.Sleep(3 * time.Second)
		c.nodes[0].poll(t, "req-1", http.StatusOK, wire.JobState{ID: "req-1", Status: wire.StatusQueued, Done: 2})
	})
}

func TestPollDuringOutageIsRefusedUnlessStateIsFinal(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[0].submit(t, "req-1", http.StatusCreated, wire.StatusQueued)
		c.nodes[0].submit(t, "req-2", http.StatusCreated, wire.StatusQueued)
		c.nodes[0].cancel(t, "req-2", http.StatusOK, wire.StatusCancelled)
		c.store.SetOutage(true)
		c.nodes[0].poll(t, "req-1", http.StatusServiceUnavailable, wire.JobState{})
		c.nodes[0].poll(t, "req-2", http.StatusOK, wire.JobState{ID: "req-2", Status: wire.StatusCancelled})
		c.nodes[0].poll(t, "req-3", http.StatusServiceUnavailable, wire.JobState{})
		c.store.SetOutage(false)
	})
}

func TestMalformedJobIDIsNotFound(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[0].poll(t, "job-1", http.StatusNotFound, wire.JobState{})
		c.nodes[0].cancel(t, "job-1", http.StatusNotFound, "")
	})
}

func TestRepeatedCancellationReturnsFinalStatus(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[0].cancel(t, "req-1", http.StatusNotFound, "")
		c.nodes[0].submit(t, "req-1", http.StatusCreated, wire.StatusQueued)
		for i, n := range []node{c.nodes[0], c.nodes[1], c.nodes[0]} {
			n.cancel(t, "req-1", http.StatusOK, wire.StatusCancelled)
			if _, logged := n.cancelLog.ConfirmedAt("req-1"); !logged {
				t.Errorf("cancellation %d is not in the log of the node that confirmed it", i+1)
			}
		}
		c.store.Put(store.FinalKey("req-2"), store.FinalRecord{Status: wire.StatusDone, Done: 2})
		c.nodes[0].cancel(t, "req-2", http.StatusOK, wire.StatusDone)
	})
}

func TestRepetitionFindsCancellationOfUnknownOutcome(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[0].submit(t, "req-1", http.StatusCreated, wire.StatusQueued)
		c.store.LoseResponses(1)
		c.nodes[0].cancel(t, "req-1", http.StatusServiceUnavailable, "")
		c.nodes[1].cancel(t, "req-1", http.StatusOK, wire.StatusCancelled)
	})
}

func TestCancellationAfterJobEndedMeanwhileReturnsDone(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.nodes[0].submit(t, "req-1", http.StatusCreated, wire.StatusQueued)
		ended := false
		c.store.DelayTransactions(func(*wire.Txn) time.Duration {
			if !ended {
				ended = true
				c.store.Delete(store.JobKey("req-1"))
				c.store.Put(store.FinalKey("req-1"), store.FinalRecord{Status: wire.StatusDone, Done: 2})
			}
			return 0
		})
		c.nodes[0].cancel(t, "req-1", http.StatusOK, wire.StatusDone)
		if !ended {
			t.Error("the cancellation executed no transaction")
		}
	})
}

func TestUndecodableRecordIsUnavailableRatherThanNotFound(t *testing.T) {
	runCluster(t, func(t *testing.T, c *cluster) {
		c.store.Put(store.JobKey("req-1"), "no record")
		c.store.Put(store.FinalKey("req-2"), "no record")
		for _, id := range []wire.JobID{"req-1", "req-2"} {
			c.nodes[0].poll(t, id, http.StatusServiceUnavailable, wire.JobState{})
			c.nodes[0].cancel(t, id, http.StatusServiceUnavailable, "")
			c.nodes[0].submit(t, id, http.StatusServiceUnavailable, "")
		}
	})
}
