package scenarios_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// newLoggingController returns a function that makes real controllers and appends the log of each
// new process to logs.
func newLoggingController(logs *[]*processLog) func(*config.Config, netio.Network) (func(context.Context) error, error) {
	return func(cfg *config.Config, network netio.Network) (func(context.Context) error, error) {
		out := &processLog{}
		*logs = append(*logs, out)
		node, err := lilaclead.New(cfg, lilaclead.Options{Net: network, Log: out})
		if err != nil {
			return nil, err
		}
		return node.Run, nil
	}
}

// Undecodable records of a job's progress, of jobs, of the machine types and of the operators'
// settings appear in the key-value store while no controller leads. Each process that reads such a
// record logs it once. The record is kept, and nothing else is affected: running tasks go on, also
// those that the record is about, no task is started twice, and new jobs run.
func TestUndecodableRecords(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var logs []*processLog
		start := newLoggingController(&logs)
		set := simulator.DefaultSettings()
		sim := simulator.New(ctx, set, 900, start, nil)
		sim.PlaceControllers(set.Zones...)
		begin := time.Now()
		sleepUntil := func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) }
		for i := range set.Size {
			if err := sim.StartController(i); err != nil {
				t.Fatal(err)
			}
		}
		arrayJob, serviceJob, gangJob, later := array(1, 6, 400), service(2, 3), gang(3, 3, 400), array(4, 4, 10)
		sleepUntil(2 * time.Second)
		for _, j := range []simulator.JobScript{arrayJob, serviceJob, gangJob} {
			sim.Submit(j, 0)
		}
		sleepUntil(60 * time.Second)
		restartsBefore := 0 // an urgent gang may have preempted tasks until now
		sim.WithChecker(func(c *simulator.Checker) { restartsBefore = c.Restarts() })
		killed := sim.Leader()
		sim.KillController(killed)
		undecodable := map[string]any{
			"run/req-000001/0": "no record", "job/req-000777": []int{1, 2}, "job/req-000778": map[string]any{"unknown": true},
			"job/req-000779": map[string]any{"spec": map[string]any{"nameId": "req-000779", "parts": 1 << 40}, "status": "queued"},
		}
		for key, value := range undecodable {
			sim.State.Put(key, value)
		}
		sim.State.Put("run/req-000777/0", store.ChunkRecord{NextAttempt: 5, Active: []store.ActiveAttempt{{Task: 0, Attempt: 4, Machine: "n-000000"}}})
		sim.State.Put(store.MachineSpecsKey, 7)
		sim.State.Put(store.SettingsKey, "no settings")
		sleepUntil(64 * time.Second)
		if err := sim.StartController(killed); err != nil {
			t.Fatal(err)
		}
		sleepUntil(70 * time.Second)
		sim.Submit(later, 0)
		sleepUntil(120 * time.Second)
		// The next leader reads the records, too.
		replaceLeader(t, sim)
		sleepUntil(150 * time.Second)
		mustFinish(t, sim, later)
		sim.WithChecker(func(c *simulator.Checker) {
			if c.TasksOnMachines(arrayJob.Spec.ID) != 6 || c.TasksOnMachines(serviceJob.Spec.ID) != 3 || c.TasksOnMachines(gangJob.Spec.ID) != 3 || c.Restarts() != restartsBefore {
				t.Errorf("%d of 6 tasks, %d of 3 replicas, %d of 3 gang tasks run, %d tasks were started again, want all and 0", c.TasksOnMachines(arrayJob.Spec.ID), c.TasksOnMachines(serviceJob.Spec.ID), c.TasksOnMachines(gangJob.Spec.ID), c.Restarts()-restartsBefore)
			}
		})
		for key := range undecodable {
			if len(sim.State.Keys(key)) != 1 {
				t.Errorf("%s was deleted, want it kept", key)
			}
		}
		if len(sim.State.Keys("run/req-000777/0")) != 1 {
			t.Error("the progress of a job with an undecodable record was deleted, want it kept")
		}
		for i := range set.Size {
			for _, id := range []string{"req-000777", "req-000778", "req-000779"} {
				status, _, header := sim.Ask(i, "GET", "/v1/jobs/"+id, nil)
				cancelStatus, _, _ := sim.Ask(i, "POST", "/v1/jobs/"+id+"/cancel", nil)
				if status != 503 || header.Get("Retry-After") == "" || cancelStatus != 503 {
					t.Errorf("%s: poll is answered %d by controller %d, cancellation %d, want 503 and Retry-After", id, status, i, cancelStatus)
				}
			}
		}
		for key, minimum := range map[string]int{"run/req-000001/0": 2, "job/req-000777": 2, "job/req-000778": 2, "job/req-000779": 2, store.SettingsKey: set.Size, store.MachineSpecsKey: 0} {
			total := 0
			for _, log := range logs {
				n := log.countErrors(key)
				if total += n; n > 1 {
					t.Errorf("%s is logged %d times by one process, want at most 1", key, n)
				}
			}
			if total < minimum {
				t.Errorf("%s is logged %d times by all processes, want %d or more", key, total, minimum)
			}
		}
		// A job with undecodable progress can be cancelled, and its running tasks end.
		if !cancelWithin(t, sim, arrayJob.Spec.ID, 10*time.Second) {
			t.Error("the job with undecodable progress was not cancelled within 10 s")
		}
		sleepUntil(220 * time.Second)
		sim.WithChecker(func(c *simulator.Checker) {
			if n := c.TasksOnMachines(arrayJob.Spec.ID); n != 0 {
				t.Errorf("%d tasks of the cancelled job run, want 0", n)
			}
			c.Finish(time.Now())
			for _, v := range c.Violations {
				t.Errorf("%6.1f s %s: %s", v.At.Sub(begin).Seconds(), v.Rule, v.What)
			}
		})
		if keys := slices.Concat(sim.State.Keys(store.JobKey(arrayJob.Spec.ID)), sim.State.Keys(store.ProgressPrefix+string(arrayJob.Spec.ID)+"/")); len(keys) > 0 {
			t.Errorf("records of the cancelled job are left: %v", keys)
		}
		if t.Failed() {
			for i, log := range logs {
				for line := range strings.Lines(log.buf.String()) {
					if strings.Contains(line, "ERROR") {
						fmt.Print(i, " ", line)
					}
				}
			}
		}
		cancel()
		sim.Close()
	})
}

// Undecodable messages reach each controller repeatedly: heartbeats of an agent, direct and
// relayed, and heartbeats of a peer. Each kind is logged once for a sender. Leadership doesn't
// change, and jobs run.
func TestUndecodableMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var logs []*processLog
		set := simulator.DefaultSettings()
		sim := simulator.New(ctx, set, 901, newLoggingController(&logs), nil)
		sim.PlaceControllers(set.Zones...)
		for i := range set.Size {
			if err := sim.StartController(i); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		leader, leaderKeyRevision := sim.Leader(), sim.LeaderKeyRevision()
		job := array(1, 6, 10)
		sim.Submit(job, 0)
		var protocols http.Protocols // peers send heartbeats over HTTP/2
		protocols.SetUnencryptedHTTP2(true)
		peerClient := &http.Client{Transport: &http.Transport{Protocols: &protocols, DialContext: sim.Net.Host("10.3.0.8").Dial}}
		for range 60 {
			for i := range set.Size {
				resp, err := peerClient.Post("http://"+simulator.NodeIP(i)+":8081/peer/beats", wire.ContentType, bytes.NewReader(wire.Encode("no beat")))
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if status, _, _ := sim.AskAsOperator(i, "POST", "/peer/hello", "no report"); status != 400 {
					t.Errorf("an undecodable relayed heartbeat of an agent is answered %d, want 400", status)
				}
				if status, _, _ := sim.Ask(i, "POST", "/hello", "no report"); status != 400 {
					t.Errorf("an undecodable heartbeat of an agent is answered %d, want 400", status)
				}
			}
			time.Sleep(time.Second)
		}
		peerClient.CloseIdleConnections()
		mustFinish(t, sim, job)
		if sim.Leader() != leader || sim.LeaderKeyRevision() != leaderKeyRevision {
			t.Errorf("controller %d leads, want controller %d without a new election", sim.Leader(), leader)
		}
		for i, log := range logs {
			for _, what := range []string{"a heartbeat from", "a relayed report from", "\"a report from"} {
				if n := log.countErrors(what); n != 1 {
					t.Errorf("controller %d logs %d errors about %s, want 1", i, n, what)
				}
			}
		}
		cancel()
		sim.Close()
	})
}
