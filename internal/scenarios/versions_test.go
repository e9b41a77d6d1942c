package scenarios_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"lilaclead"
	"lilaclead/internal/config"
	"lilaclead/internal/leader"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// The programs that controllers run in these scenarios.
var (
	// nonNegotiating doesn't negotiate versions, like the program in production.
	nonNegotiating = program{}
	oldProgram     = program{negotiates: true, supported: upgrade.Range{Min: upgrade.BaseVersion, Max: upgrade.BaseVersion}}
	newProgram     = program{negotiates: true, supported: leader.SupportedVersions}
)

// program is a build of the controller, by the versions that it supports.
type program struct {
	negotiates bool
	supported  upgrade.Range
}

// programs holds the program with which each controller is started the next time.
type programs struct {
	mu     sync.Mutex
	byNode map[wire.NodeID]program
}

// start makes a controller with the program that is set for it.
func (p *programs) start(cfg *config.Config, network netio.Network) (func(context.Context) error, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.byNode[cfg.HostName]
	features := lilaclead.Features{RecordIntents: next.negotiates, NegotiateVersions: next.negotiates}
	return newController(cfg, network, lilaclead.Options{Features: features, Versions: next.supported})
}

// replace restarts a controller with the next program.
func (p *programs) replace(t *testing.T, sim *simulator.Simulation, node int, next program) {
	t.Helper()
	p.setNext(sim, node, next)
	sim.KillController(node)
	time.Sleep(200 * time.Millisecond)
	startControllers(t, sim, node)
}

// setNext sets the program with which a controller is started the next time.
func (p *programs) setNext(sim *simulator.Simulation, node int, next program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byNode[sim.Config(node).HostName] = next
}

// runWithProgram runs a script on three controllers that first run the same program.
func runWithProgram(t *testing.T, seed uint64, first program, script func(sim *simulator.Simulation, p *programs, sleepUntil func(time.Duration))) {
	t.Helper()
	set := simulator.DefaultSettings()
	p := &programs{byNode: map[wire.NodeID]program{}}
	for _, name := range []wire.NodeID{"worker-0", "worker-1", "worker-2"} {
		p.byNode[name] = first
	}
	runDeployment(t, set, set.Zones, seed, p.start, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) { script(sim, p, sleepUntil) })
}

// activeVersion returns the active version in the key-value store; without a record it is the base
// version.
func activeVersion(sim *simulator.Simulation) upgrade.Version {
	var record upgrade.ActiveRecord
	if raw := sim.State.Value(upgrade.ActiveKey); len(raw) > 0 && wire.Decode(raw, &record) == nil {
		return record.Version
	}
	return upgrade.BaseVersion
}

// upgradeStatus returns the status of the upgrade that a controller shows to operators.
func upgradeStatus(t *testing.T, sim *simulator.Simulation, node int) upgrade.Status {
	t.Helper()
	status, raw, _ := sim.AskAsOperator(node, "GET", "/admin/versions", nil)
	var s upgrade.Status
	if status != http.StatusOK || wire.Decode(raw, &s) != nil {
		t.Errorf("controller %d answers /admin/versions with status %d or undecodably, want 200 and a decodable status", node, status)
	}
	return s
}

// mustAccountForAll checks that every serving controller answers about every job with a status.
// The checker verifies that no job runs twice or never.
func mustAccountForAll(t *testing.T, sim *simulator.Simulation, when string, serving []int, jobs []simulator.JobScript) {
	t.Helper()
	for _, i := range serving {
		for _, j := range jobs {
			known := func() bool {
				status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(j.Spec.ID), nil)
				var state wire.JobState
				return status == http.StatusOK && wire.Decode(raw, &state) == nil && state.Status != ""
			}
			eventually(t, 10*time.Second, when+": "+string(j.Spec.ID)+" is known", known)
		}
	}
}

// mustRefuse checks that a controller answers 503, also on /ready, and doesn't lead.
func mustRefuse(t *testing.T, sim *simulator.Simulation, node int, when string) {
	t.Helper()
	for _, path := range []string{"/ready", "/v1/jobs/req-000001"} {
		if status, _, _ := sim.Ask(node, "GET", path, nil); status != http.StatusServiceUnavailable {
			t.Errorf("%s: controller %d answers %s with %d, want 503", when, node, path, status)
		}
	}
	if sim.Leader() == node {
		t.Errorf("%s: controller %d leads, want it to refuse", when, node)
	}
}

// A rolling upgrade is reversed halfway and then completed, and an old controller rejoins.
// Controllers are killed in between, and jobs are submitted all the time. At each step every
// serving controller must know every accepted job. New behaviour may begin only when all
// controllers run the new program.
func TestRollingUpgradeAndRollback(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(2) {
		runWithProgram(t, 80+seed, oldProgram, func(sim *simulator.Simulation, p *programs, sleepUntil func(time.Duration)) {
			rng := rand.New(rand.NewPCG(seed, 5))
			var jobs []simulator.JobScript
			submit := func() {
				j := array(len(jobs)+1, 1+rng.IntN(6), 5+float64(rng.IntN(25)))
				if len(jobs)%5 == 4 {
					j = service(len(jobs)+1, 2)
				}
				jobs = append(jobs, j)
				sim.Submit(j, 0)
			}
			submitFor := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(4 * time.Second) {
					submit()
				}
			}
			all := []int{0, 1, 2}
			checkStep := func(when string, want upgrade.Version, serving []int) {
				submitFor(16 * time.Second)
				mustAccountForAll(t, sim, when, serving, jobs)
				if v := activeVersion(sim); v != want {
					t.Errorf("%s: version %d is active, want %d", when, v, want)
				}
			}
			sleepUntil(2 * time.Second)
			checkStep("old", 1, all)
			p.replace(t, sim, 0, newProgram)
			p.replace(t, sim, 1, newProgram)
			checkStep("half new", 1, all)
			if n := len(sim.State.Keys("intent/")); n > 0 {
				t.Errorf("%d records of intents, want 0 until all controllers run the new program", n)
			}
			restartLeader(t, sim, time.Second)
			p.replace(t, sim, 1, oldProgram)
			p.replace(t, sim, 0, oldProgram)
			checkStep("reversed", 1, all)
			// Controller 2 runs the old, the new and again the old program within seconds.
			p.replace(t, sim, 2, newProgram)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			p.replace(t, sim, 2, oldProgram)
			checkStep("new for a moment", 1, all)
			for i := range 3 {
				p.replace(t, sim, i, newProgram)
				submitFor(8 * time.Second)
				if i < 2 && activeVersion(sim) != 1 {
					t.Errorf("version %d is active with the new program on %d of 3 controllers, want 1", activeVersion(sim), i+1)
				}
			}
			restartLeader(t, sim, time.Second)
			eventually(t, 60*time.Second, "a switch to version 2", func() bool { return activeVersion(sim) == 2 })
			checkStep("new", 2, all)
			// Intents are recorded for scale-outs that the jobs need and for scale-ins after them.
			eventually(t, 4*time.Minute, "a record of intents", func() bool { return len(sim.State.Keys("intent/")) > 0 })
			p.replace(t, sim, 1, oldProgram)
			checkStep("one rejoins old", 2, []int{0, 2})
			mustRefuse(t, sim, 1, "rejoined old")
			p.replace(t, sim, 1, newProgram)
			checkStep("new again", 2, all)
			time.Sleep(150 * time.Second)
			for _, j := range jobs {
				if j.Spec.Kind == wire.KindArray {
					mustFinish(t, sim, j)
				} else {
					mustRun(t, sim, j, "at the end")
				}
			}
		})
	}
}

// The leader is killed just before, during or after the transaction that switches the version.
// The response to the transaction is lost, or the transaction is executed late. The version must
// be switched all the same, and all controllers must serve afterwards.
func TestLeaderKilledDuringVersionSwitch(t *testing.T) {
	t.Parallel()
	for i, fault := range []simulator.TxnFault{
		{Prefix: upgrade.ActiveKey, MaxCount: 1},
		{Prefix: upgrade.ActiveKey, MaxCount: 1, Hang: true, Delay: [2]time.Duration{4 * time.Second, 9 * time.Second}},
		{Prefix: upgrade.ActiveKey, MaxCount: 2, Hang: true},
	} {
		runWithProgram(t, uint64(90+i), newProgram, func(sim *simulator.Simulation, _ *programs, sleepUntil func(time.Duration)) {
			sim.State.InjectTxnFaults(uint64(i), fault)
			job := array(1, 6, 20)
			sleepUntil(500 * time.Millisecond)
			sim.Submit(job, 0)
			hit := func() bool { return len(sim.State.TxnOutcomes()) > 0 }
			waitUntil(t, 30*time.Second, "a version switch under way", hit)
			killed := sim.Leader()
			sim.KillController(killed)
			awaitSuccessor(t, sim, killed)
			startControllers(t, sim, killed)
			eventually(t, 60*time.Second, "a switch to version 2", func() bool { return activeVersion(sim) == 2 })
			time.Sleep(60 * time.Second)
			mustFinish(t, sim, job)
			mustAccountForAll(t, sim, "after the switch", []int{0, 1, 2}, []simulator.JobScript{job})
		})
	}
}

// The version is not switched while a controller is down, runs the old program or negotiates no
// versions, nor while operators limit the version. The status shows which controller blocks the
// switch, and why.
func TestVersionSwitchBlockers(t *testing.T) {
	t.Parallel()
	runWithProgram(t, 95, newProgram, func(sim *simulator.Simulation, p *programs, sleepUntil func(time.Duration)) {
		// The limit holds until all have published their versions. Then controller 2 is replaced
		// by a program that negotiates no versions.
		sim.State.Put(store.SettingsKey, map[string]any{"upgrade.max_version": 1.0})
		sleepUntil(2 * time.Second)
		job := array(1, 4, 10)
		sim.Submit(job, 0)
		sleepUntil(45 * time.Second)
		mustFinish(t, sim, job)
		p.replace(t, sim, 2, nonNegotiating)
		time.Sleep(5 * time.Second)
		sim.State.Put(store.SettingsKey, map[string]any{})
		time.Sleep(20 * time.Second)
		blocker := func(i int) upgrade.Blocker { return upgradeStatus(t, sim, 0).Controllers[i].Blocker }
		controllers := upgradeStatus(t, sim, 0).Controllers
		replaced := 0
		for i, c := range controllers {
			if c.Node == "worker-2" {
				replaced = i
			}
		}
		if v, b := activeVersion(sim), blocker(replaced); v != 1 || b != upgrade.NotConnected {
			t.Errorf("with a controller that doesn't negotiate: version %d is active, blocker is %q, want 1 and the controller not connected", v, b)
		}
		p.replace(t, sim, 2, oldProgram)
		eventually(t, 30*time.Second, "the old controller to be named as blocker", func() bool { return blocker(replaced) == upgrade.NotSupported })
		sim.KillController(2)
		p.setNext(sim, 2, newProgram)
		time.Sleep(20 * time.Second)
		if v := activeVersion(sim); v != 1 {
			t.Errorf("with a controller down: version %d is active, want 1", v)
		}
		status, raw, _ := sim.AskAsOperator(0, "GET", "/admin/settings", nil)
		var listing struct {
			Version wire.Revision `cbor:"version"`
		}
		if status != http.StatusOK || wire.Decode(raw, &listing) != nil {
			t.Fatal("no readable settings at /admin/settings")
		}
		limitVersion := func(version float64, revision wire.Revision) wire.Revision {
			status, raw, _ := sim.AskAsOperator(0, "PUT", "/admin/settings", map[string]any{"version": revision, "set": map[string]any{"upgrade.max_version": version}})
			if status != http.StatusOK || wire.Decode(raw, &listing) != nil {
				t.Fatalf("change of upgrade.max_version is answered %d, want 200", status)
			}
			return listing.Version
		}
		revision := limitVersion(1, listing.Version)
		startControllers(t, sim, 2)
		time.Sleep(30 * time.Second)
		if s := upgradeStatus(t, sim, 1); s.Active != 1 || !s.LimitedByOperators || s.MaxVersion != 1 {
			t.Errorf("with the version limited to 1: status is %+v, want version 1 active and the limit shown", s)
		}
		limitVersion(0, revision)
		eventually(t, 30*time.Second, "a switch to version 2", func() bool { return activeVersion(sim) == 2 })
	})
}

// A controller that was down during the version switch comes back with the old program, during an
// outage of the key-value store. It can then learn of the switch from the other controllers only.
// It must serve nobody and acknowledge nothing.
func TestOldControllerRejoinsInAnOutage(t *testing.T) {
	t.Parallel()
	runWithProgram(t, 96, newProgram, func(sim *simulator.Simulation, p *programs, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		serviceJob := service(1, 2)
		sim.Submit(serviceJob, 0)
		eventually(t, 40*time.Second, "a switch to version 2", func() bool { return activeVersion(sim) == 2 })
		sleepUntil(60 * time.Second)
		old := (sim.Leader() + 1) % 3
		sim.KillController(old)
		p.setNext(sim, old, oldProgram)
		sim.State.SetOutage(true)
		startControllers(t, sim, old)
		time.Sleep(8 * time.Second)
		mustRefuse(t, sim, old, "during the outage")
		sim.State.SetOutage(false)
		time.Sleep(20 * time.Second)
		mustRefuse(t, sim, old, "after the outage")
		mustRun(t, sim, serviceJob, "while one controller refuses")
		if n := len(sim.State.Keys("version/support/")); n != 3 {
			t.Errorf("%d controllers have published their versions, want 3", n)
		}
	})
}

// A partition separates controller 1 from the others. It runs the old program first and is
// replaced by the new one during the partition. The version must not be switched before the
// partition ends, and no job may be lost.
func TestNoVersionSwitchDuringPartition(t *testing.T) {
	t.Parallel()
	runWithProgram(t, 97, newProgram, func(sim *simulator.Simulation, p *programs, sleepUntil func(time.Duration)) {
		p.replace(t, sim, 1, oldProgram)
		sleepUntil(5 * time.Second)
		arrayJob, serviceJob := array(1, 8, 40), service(2, 2)
		submitAll(sim, arrayJob, serviceJob)
		sleepUntil(20 * time.Second)
		sim.PartitionZones("a", "b", true) // controllers 0 and 2 are in zone a, controller 1 in zone b
		time.Sleep(25 * time.Second)
		p.replace(t, sim, 1, newProgram)
		time.Sleep(10 * time.Second)
		if v := activeVersion(sim); v != 1 {
			t.Errorf("version %d is active without contact to controller 1, want 1", v)
		}
		sim.PartitionZones("a", "b", false)
		eventually(t, 60*time.Second, "a switch to version 2", func() bool { return activeVersion(sim) == 2 })
		time.Sleep(60 * time.Second)
		mustFinish(t, sim, arrayJob)
		mustRun(t, sim, serviceJob, "after the partition")
	})
}

// When another process publishes under the name of a controller, the first process stops serving.
func TestProcessReplacedUnderItsNameStopsServing(t *testing.T) {
	t.Parallel()
	runWithProgram(t, 98, newProgram, func(sim *simulator.Simulation, _ *programs, sleepUntil func(time.Duration)) {
		sleepUntil(2 * time.Second)
		job := array(1, 4, 10)
		sim.Submit(job, 0)
		sleepUntil(45 * time.Second)
		mustFinish(t, sim, job)
		other := (sim.Leader() + 1) % 3
		sim.State.Put(upgrade.SupportKey(sim.Config(other).HostName), upgrade.SupportRecord{Min: 1, Max: 2, Incarnation: "another process"})
		time.Sleep(10 * time.Second)
		mustRefuse(t, sim, other, "after its replacement")
		sim.KillController(other)
		startControllers(t, sim, other)
		eventually(t, 20*time.Second, "a new process to serve", func() bool {
			status, _, _ := sim.Ask(other, "GET", "/ready", nil)
			return status == http.StatusOK
		})
	})
}

// Records of versions that can't be decoded are never overwritten. Controllers that already know
// the active version go on, since no controller can switch it. A controller that starts meanwhile
// refuses to serve until the record is repaired.
func TestUndecodableVersionRecords(t *testing.T) {
	t.Parallel()
	for _, key := range []string{upgrade.ActiveKey, upgrade.SupportKey("worker-0")} {
		runWithProgram(t, 99, newProgram, func(sim *simulator.Simulation, _ *programs, sleepUntil func(time.Duration)) {
			sleepUntil(30 * time.Second)
			intact := sim.State.Value(key)
			revision := sim.State.Put(key, "no version")
			time.Sleep(10 * time.Second)
			job := array(1, 4, 10)
			sim.Submit(job, 0)
			sim.KillController(0)
			startControllers(t, sim, 0)
			time.Sleep(45 * time.Second)
			mustFinish(t, sim, job)
			mustRefuse(t, sim, 0, key)
			if sim.State.Revision(key) != revision {
				t.Errorf("%s was overwritten", key)
			}
			sim.State.Put(key, intact)
			eventually(t, 20*time.Second, "controller 0 to serve", func() bool {
				status, _, _ := sim.Ask(0, "GET", "/ready", nil)
				return status == http.StatusOK
			})
		})
	}
}

// The record of a job that needs a later version is not rewritten. Requests for this job are
// answered with 503, and all other jobs go on.
func TestJobRecordOfLaterVersionIsKept(t *testing.T) {
	t.Parallel()
	runWithProgram(t, 100, newProgram, func(sim *simulator.Simulation, _ *programs, sleepUntil func(time.Duration)) {
		sleepUntil(5 * time.Second)
		job, later := array(1, 4, 10), array(2, 4, 10)
		revision := sim.State.Put("job/"+string(later.Spec.ID), map[string]any{"spec": later.Spec, "status": "queued", "at": 1796000000123, "needs": 99})
		sim.Submit(job, 0)
		replaceLeader(t, sim)
		time.Sleep(60 * time.Second)
		mustFinish(t, sim, job)
		for i := range 3 {
			if status, _, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(later.Spec.ID), nil); status != http.StatusServiceUnavailable {
				t.Errorf("controller %d answers %d about the job of a later version, want 503", i, status)
			}
		}
		if sim.State.Revision("job/"+string(later.Spec.ID)) != revision {
			t.Error("the record of the job of a later version was rewritten")
		}
	})
}
