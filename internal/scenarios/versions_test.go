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

// The programs that controllers are of in these scenarios.
var (
	// beforeVersions is of before versions were negotiated, as production is.
	beforeVersions = program{}
	oldProgram     = program{negotiates: true, understands: upgrade.Range{Min: upgrade.BaseVersion, Max: upgrade.BaseVersion}}
	newProgram     = program{negotiates: true, understands: leader.SupportedVersions}
)

// program is what a controller runs.
type program struct {
	negotiates  bool
	understands upgrade.Range
}

// programs says which program each controller is started with from now on.
type programs struct {
	mu sync.Mutex
	of map[wire.NodeID]program
}

func (p *programs) start(cfg *config.Config, nw netio.Net) (func(context.Context) error, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	of := p.of[cfg.HostName]
	features := lilaclead.Features{RecordIntents: of.negotiates, NegotiateVersions: of.negotiates}
	return startNode(cfg, nw, lilaclead.Options{Features: features, Versions: of.understands})
}

// replace restarts a controller with a program.
func (p *programs) replace(t *testing.T, sim *simulator.Simulation, i int, with program) {
	t.Helper()
	p.set(sim, i, with)
	sim.KillController(i)
	time.Sleep(200 * time.Millisecond)
	startControllers(t, sim, i)
}

func (p *programs) set(sim *simulator.Simulation, i int, with program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of[sim.Config(i).HostName] = with
}

// runPrograms runs a script on three controllers of one program.
func runPrograms(t *testing.T, seed uint64, first program, script func(sim *simulator.Simulation, p *programs, at func(time.Duration))) {
	t.Helper()
	set := simulator.DefaultSettings()
	p := &programs{of: map[wire.NodeID]program{}}
	for _, name := range []wire.NodeID{"worker-0", "worker-1", "worker-2"} {
		p.of[name] = first
	}
	runDeployment(t, set, set.Zones, seed, p.start, func(sim *simulator.Simulation, at func(time.Duration)) { script(sim, p, at) })
}

// activeVersion is the one that is recorded.
func activeVersion(sim *simulator.Simulation) upgrade.Version {
	var r upgrade.ActiveRecord
	if raw := sim.State.Value(upgrade.ActiveKey); len(raw) > 0 && wire.Decode(raw, &r) == nil {
		return r.Version
	}
	return upgrade.BaseVersion
}

// upgradeStatus is what a controller shows its operators.
func upgradeStatus(t *testing.T, sim *simulator.Simulation, i int) upgrade.Status {
	t.Helper()
	status, raw, _ := sim.AskAsOperator(i, "GET", "/admin/versions", nil)
	var s upgrade.Status
	if status != http.StatusOK || wire.Decode(raw, &s) != nil {
		t.Errorf("controller %d shows no versions: %d", i, status)
	}
	return s
}

// mustAccountForAll asks every controller that may serve about every job: each is known,
// and running, waiting or done. Rules that a job breaks by running twice or never are the
// checker's.
func mustAccountForAll(t *testing.T, sim *simulator.Simulation, when string, serving []int, jobs []simulator.JobScript) {
	t.Helper()
	for _, i := range serving {
		for _, j := range jobs {
			known := func() bool {
				status, raw, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(j.Spec.ID), nil)
				var answer wire.JobState
				return status == http.StatusOK && wire.Decode(raw, &answer) == nil && answer.Status != ""
			}
			eventually(t, 10*time.Second, when+": "+string(j.Spec.ID)+" is known", known)
		}
	}
}

// mustRefuse checks that a controller serves nobody and says so.
func mustRefuse(t *testing.T, sim *simulator.Simulation, i int, when string) {
	t.Helper()
	for _, path := range []string{"/ready", "/v1/jobs/req-000001"} {
		if status, _, _ := sim.Ask(i, "GET", path, nil); status != http.StatusServiceUnavailable {
			t.Errorf("%s: controller %d answers %s with %d", when, i, path, status)
		}
	}
	if sim.Leader() == i {
		t.Errorf("%s: controller %d leads", when, i)
	}
}

// An upgrade is made, reversed halfway, made again, and an old controller rejoins, with
// controllers killed in between and jobs submitted all the time. At each step every job
// that was accepted is known to every controller that serves. New behaviour begins only
// when all are new.
func TestMixedVersions(t *testing.T) {
	t.Parallel()
	for seed := range seedCount(2) {
		runPrograms(t, 80+seed, oldProgram, func(sim *simulator.Simulation, p *programs, at func(time.Duration)) {
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
			work := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(4 * time.Second) {
					submit()
				}
			}
			all := []int{0, 1, 2}
			step := func(when string, want upgrade.Version, serving []int) {
				work(16 * time.Second)
				mustAccountForAll(t, sim, when, serving, jobs)
				if v := activeVersion(sim); v != want {
					t.Errorf("%s: version %d is active, not %d", when, v, want)
				}
			}
			at(2 * time.Second)
			step("old", 1, all)
			p.replace(t, sim, 0, newProgram)
			p.replace(t, sim, 1, newProgram)
			step("half new", 1, all)
			if n := len(sim.State.Keys("intent/")); n > 0 {
				t.Errorf("%d records of intents before all are new", n)
			}
			restartLeader(t, sim, time.Second)
			p.replace(t, sim, 1, oldProgram)
			p.replace(t, sim, 0, oldProgram)
			step("reversed", 1, all)
			// Old, new and old again within seconds.
			p.replace(t, sim, 2, newProgram)
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			p.replace(t, sim, 2, oldProgram)
			step("new for a moment", 1, all)
			for i := range 3 {
				p.replace(t, sim, i, newProgram)
				work(8 * time.Second)
				if i < 2 && activeVersion(sim) != 1 {
					t.Errorf("version %d is active with %d of 3 new", activeVersion(sim), i+1)
				}
			}
			restartLeader(t, sim, time.Second)
			eventually(t, 60*time.Second, "the switch", func() bool { return activeVersion(sim) == 2 })
			step("new", 2, all)
			// Machines are provisioned for what is submitted, or returned once it is done.
			eventually(t, 4*time.Minute, "a record of intents", func() bool { return len(sim.State.Keys("intent/")) > 0 })
			p.replace(t, sim, 1, oldProgram)
			step("one rejoins old", 2, []int{0, 2})
			mustRefuse(t, sim, 1, "rejoined old")
			p.replace(t, sim, 1, newProgram)
			step("new again", 2, all)
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

// The leader is killed just before, within and after the switch, whose answer is lost or
// which is carried out late: the version is switched once, and all go on by it.
func TestLeaderEndsDuringVersionSwitch(t *testing.T) {
	t.Parallel()
	for i, fault := range []simulator.TxnFault{
		{Prefix: upgrade.ActiveKey, Most: 1},
		{Prefix: upgrade.ActiveKey, Most: 1, Hang: true, Late: [2]time.Duration{4 * time.Second, 9 * time.Second}},
		{Prefix: upgrade.ActiveKey, Most: 2, Hang: true},
	} {
		runPrograms(t, uint64(90+i), newProgram, func(sim *simulator.Simulation, _ *programs, at func(time.Duration)) {
			sim.State.InjectTxnFaults(uint64(i), fault)
			a := array(1, 6, 20)
			at(500 * time.Millisecond)
			sim.Submit(a, 0)
			hit := func() bool { return len(sim.State.TxnOutcomes()) > 0 }
			waitUntil(t, 30*time.Second, "a switch under way", hit)
			killed := sim.Leader()
			sim.KillController(killed)
			awaitSuccessor(t, sim, killed)
			startControllers(t, sim, killed)
			eventually(t, 60*time.Second, "the switch", func() bool { return activeVersion(sim) == 2 })
			time.Sleep(60 * time.Second)
			mustFinish(t, sim, a)
			mustAccountForAll(t, sim, "after the switch", []int{0, 1, 2}, []simulator.JobScript{a})
		})
	}
}

// No switch is made while a controller is away, is of a version from before, or while
// the operators hold it back; they see who is missing and why.
func TestWhoHoldsUpTheSwitch(t *testing.T) {
	t.Parallel()
	runPrograms(t, 95, newProgram, func(sim *simulator.Simulation, p *programs, at func(time.Duration)) {
		// Held back until all have published; then one goes back to a version from before.
		sim.State.Put(store.SettingsKey, map[string]any{"upgrade.max_version": 1.0})
		at(2 * time.Second)
		a := array(1, 4, 10)
		sim.Submit(a, 0)
		at(45 * time.Second)
		mustFinish(t, sim, a)
		p.replace(t, sim, 2, beforeVersions)
		time.Sleep(5 * time.Second)
		sim.State.Put(store.SettingsKey, map[string]any{})
		time.Sleep(20 * time.Second)
		missing := func(i int) upgrade.Blocker { return upgradeStatus(t, sim, 0).Controllers[i].Blocker }
		names := upgradeStatus(t, sim, 0).Controllers
		last := 0
		for i, c := range names {
			if c.Node == "worker-2" {
				last = i
			}
		}
		if v, m := activeVersion(sim), missing(last); v != 1 || m != upgrade.NotConnected {
			t.Errorf("beside a version from before: %d is active, missing %q", v, m)
		}
		p.replace(t, sim, 2, oldProgram)
		eventually(t, 30*time.Second, "an old controller to be seen", func() bool { return missing(last) == upgrade.NotSupported })
		sim.KillController(2)
		p.set(sim, 2, newProgram)
		time.Sleep(20 * time.Second)
		if v := activeVersion(sim); v != 1 {
			t.Errorf("with one away: %d is active", v)
		}
		status, raw, _ := sim.AskAsOperator(0, "GET", "/admin/settings", nil)
		var listing struct {
			Version wire.Revision `cbor:"version"`
		}
		if status != http.StatusOK || wire.Decode(raw, &listing) != nil {
			t.Fatal("no settings")
		}
		hold := func(version float64, revision wire.Revision) wire.Revision {
			status, raw, _ := sim.AskAsOperator(0, "PUT", "/admin/settings", map[string]any{"version": revision, "set": map[string]any{"upgrade.max_version": version}})
			if status != http.StatusOK || wire.Decode(raw, &listing) != nil {
				t.Fatalf("the setting is refused: %d", status)
			}
			return listing.Version
		}
		revision := hold(1, listing.Version)
		startControllers(t, sim, 2)
		time.Sleep(30 * time.Second)
		if s := upgradeStatus(t, sim, 1); s.Active != 1 || !s.LimitedByOperators || s.MaxVersion != 1 {
			t.Errorf("held back: %+v", s)
		}
		hold(0, revision)
		eventually(t, 30*time.Second, "the switch", func() bool { return activeVersion(sim) == 2 })
	})
}

// A controller that is away during the whole switch is too old when it is back; the state
// service is away then, too, so that it can learn of the switch from the others alone. It
// acknowledges nothing and serves nobody.
func TestOldControllerRejoinsInAnOutage(t *testing.T) {
	t.Parallel()
	runPrograms(t, 96, newProgram, func(sim *simulator.Simulation, p *programs, at func(time.Duration)) {
		at(2 * time.Second)
		s := service(1, 2)
		sim.Submit(s, 0)
		eventually(t, 40*time.Second, "the switch", func() bool { return activeVersion(sim) == 2 })
		at(60 * time.Second)
		away := (sim.Leader() + 1) % 3
		sim.KillController(away)
		p.set(sim, away, oldProgram)
		sim.State.Outage(true)
		startControllers(t, sim, away)
		time.Sleep(8 * time.Second)
		mustRefuse(t, sim, away, "in an outage")
		sim.State.Outage(false)
		time.Sleep(20 * time.Second)
		mustRefuse(t, sim, away, "after it")
		mustRun(t, sim, s, "beside the others")
		if n := len(sim.State.Keys("version/support/")); n != 3 {
			t.Errorf("%d controllers have published", n)
		}
	})
}

// A mixed pair is parted, the old one with the key-value store, from the others; no switch
// is made, and no job is lost.
func TestMixedVersionsPartitioned(t *testing.T) {
	t.Parallel()
	runPrograms(t, 97, newProgram, func(sim *simulator.Simulation, p *programs, at func(time.Duration)) {
		p.replace(t, sim, 1, oldProgram)
		at(5 * time.Second)
		a, s := array(1, 8, 40), service(2, 2)
		submitAll(sim, a, s)
		at(20 * time.Second)
		sim.PartitionZones("a", "b", true) // controllers 0 and 2 in one, 1 in the other
		time.Sleep(25 * time.Second)
		p.replace(t, sim, 1, newProgram)
		time.Sleep(10 * time.Second)
		if v := activeVersion(sim); v != 1 {
			t.Errorf("version %d is active though one is not in contact", v)
		}
		sim.PartitionZones("a", "b", false)
		eventually(t, 60*time.Second, "the switch", func() bool { return activeVersion(sim) == 2 })
		time.Sleep(60 * time.Second)
		mustFinish(t, sim, a)
		mustRun(t, sim, s, "after the cut")
	})
}

// Two processes under one name: the first one stops serving.
func TestReplacedUnderItsName(t *testing.T) {
	t.Parallel()
	runPrograms(t, 98, newProgram, func(sim *simulator.Simulation, _ *programs, at func(time.Duration)) {
		at(2 * time.Second)
		a := array(1, 4, 10)
		sim.Submit(a, 0)
		at(45 * time.Second)
		mustFinish(t, sim, a)
		other := (sim.Leader() + 1) % 3
		sim.State.Put(upgrade.SupportKey(sim.Config(other).HostName), upgrade.SupportRecord{Min: 1, Max: 2, Incarnation: "another process"})
		time.Sleep(10 * time.Second)
		mustRefuse(t, sim, other, "replaced")
		sim.KillController(other)
		startControllers(t, sim, other)
		eventually(t, 20*time.Second, "a fresh process to serve", func() bool {
			status, _, _ := sim.Ask(other, "GET", "/ready", nil)
			return status == http.StatusOK
		})
	})
}

// Records of versions that can't be decoded are never overwritten. Controllers that
// knew what is active go on, since nobody can switch; one that starts then refuses to
// serve, until the record is mended.
func TestUndecodableVersions(t *testing.T) {
	t.Parallel()
	for _, key := range []string{upgrade.ActiveKey, upgrade.SupportKey("worker-0")} {
		runPrograms(t, 99, newProgram, func(sim *simulator.Simulation, _ *programs, at func(time.Duration)) {
			at(30 * time.Second)
			intact := sim.State.Value(key)
			revision := sim.State.Put(key, "no version")
			time.Sleep(10 * time.Second)
			a := array(1, 4, 10)
			sim.Submit(a, 0)
			sim.KillController(0)
			startControllers(t, sim, 0)
			time.Sleep(45 * time.Second)
			mustFinish(t, sim, a)
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

// A job of a later version is neither rewritten nor lost: 503, and all else goes on.
func TestJobOfALaterVersion(t *testing.T) {
	t.Parallel()
	runPrograms(t, 100, newProgram, func(sim *simulator.Simulation, _ *programs, at func(time.Duration)) {
		at(5 * time.Second)
		a, later := array(1, 4, 10), array(2, 4, 10)
		revision := sim.State.Put("job/"+string(later.Spec.ID), map[string]any{"spec": later.Spec, "status": "queued", "at": 1796000000123, "needs": 99})
		sim.Submit(a, 0)
		replaceLeader(t, sim)
		time.Sleep(60 * time.Second)
		mustFinish(t, sim, a)
		for i := range 3 {
			if status, _, _ := sim.Ask(i, "GET", "/v1/jobs/"+string(later.Spec.ID), nil); status != http.StatusServiceUnavailable {
				t.Errorf("controller %d answers %d", i, status)
			}
		}
		if sim.State.Revision("job/"+string(later.Spec.ID)) != revision {
			t.Error("the record was rewritten")
		}
	})
}
