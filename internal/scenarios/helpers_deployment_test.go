package scenarios_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead"
	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// startController makes a real controller for a simulated deployment, with the optional
// parts that are on in the deploy file. With SCENARIO_LOG set its log goes to standard
// error.
func startController(cfg *config.Config, nw netio.Net) (func(context.Context) error, error) {
	deployed, err := lilaclead.LoadFeatures("../../deploy/features.toml")
	if err != nil {
		return nil, err
	}
	return startWith(deployed)(cfg, nw)
}

// startWith makes controllers with optional parts of the test's own.
func startWith(features lilaclead.Features) simulator.StartFunc {
	return func(cfg *config.Config, nw netio.Net) (func(context.Context) error, error) {
		return startNode(cfg, nw, lilaclead.Options{Features: features})
	}
}

// startNode makes a controller on the simulated network.
func startNode(cfg *config.Config, nw netio.Net, options lilaclead.Options) (func(context.Context) error, error) {
	options.Net, options.Log = nw, io.Discard
	if os.Getenv("SCENARIO_LOG") != "" {
		options.Log = os.Stderr
	}
	n, err := lilaclead.New(cfg, options)
	if err != nil {
		return nil, err
	}
	return n.Run, nil
}

// scenarioRunner runs a script on a deployment with one layout of zones and
// controllers. The script sleeps until a time after the start with its last
// argument.
type scenarioRunner = func(*testing.T, uint64, func(*simulator.Simulation, func(time.Duration)))

// runScenario runs a script on the default deployment, in virtual time. All
// controllers are up when it begins; when it ends every rule must have held.
func runScenario(t *testing.T, seed uint64, script func(sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	runWithSettings(t, simulator.DefaultSettings(), seed, script)
}

// runOnBothLayouts runs a script with controllers in every zone, and with a zone
// that has machines and no controller.
func runOnBothLayouts(t *testing.T, seed uint64, script func(t *testing.T, sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			t.Parallel()
			layout.run(t, seed, func(sim *simulator.Simulation, at func(time.Duration)) { script(t, sim, at) })
		})
	}
}

// runWithSettings is runScenario with settings of the test's own.
func runWithSettings(t *testing.T, set config.Settings, seed uint64, script func(sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	runWithControllersIn(t, set, set.Zones, seed, script)
}

// layouts are the two layouts that tests choose from.
var layouts = []struct {
	name string
	run  scenarioRunner
}{{"controllers in every zone", runScenario}, {"zone without controller", runOnUnevenLayout}}

// unevenZones are the zones of three controllers of a deployment with machines in
// three zones: the third zone has none.
var unevenZones = []wire.Zone{"a", "b", "a"}

// runOnUnevenLayout is runScenario with controllers in two of three zones.
func runOnUnevenLayout(t *testing.T, seed uint64, script func(sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	runWithControllersIn(t, simulator.GasSettings(), unevenZones, seed, script)
}

// runWithControllersIn is runWithSettings with controllers in some zones only.
func runWithControllersIn(t *testing.T, set config.Settings, zones []wire.Zone, seed uint64, script func(sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	runDeployment(t, set, zones, seed, startController, script)
}

// runWithFeatures is runScenario with optional parts of the test's own.
func runWithFeatures(t *testing.T, features lilaclead.Features, seed uint64, script func(sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	set := simulator.DefaultSettings()
	runDeployment(t, set, set.Zones, seed, startWith(features), script)
}

// runDeployment runs a script on a deployment of controllers that start makes.
func runDeployment(t *testing.T, set config.Settings, zones []wire.Zone, seed uint64, start simulator.StartFunc, script func(sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := simulator.New(ctx, set, seed, start, nil)
		defer sim.Close() // also after t.Fatal: what is left running hides the failure
		defer cancel()
		sim.PlaceControllers(zones...)
		begin := time.Now()
		for i := range set.Size {
			if err := sim.StartController(i); err != nil {
				t.Fatal(err)
			}
		}
		script(sim, func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) })
		sim.AskAllAboutAll()
		sim.WithChecker(func(c *simulator.Checker) {
			c.Finish(time.Now())
			if late, slow := c.LateStarts(), c.LateDone(); late+slow > 0 {
				t.Logf("%d starts after a confirmed cancellation, %d polls not told done in time", late, slow)
			}
			for _, b := range c.Violations {
				t.Errorf("%6.1f s %s: %s", b.At.Sub(begin).Seconds(), b.Rule, b.What)
			}
		})
	})
}

// runOnAlternatingLayouts runs a script with one seed or as many as asked for: even
// ones on the first layout, odd ones on the second.
func runOnAlternatingLayouts(t *testing.T, seed uint64, script func(t *testing.T, sim *simulator.Simulation, at func(time.Duration))) {
	t.Helper()
	for i := range seedCount(1) {
		layout := layouts[(seed+i)%2]
		t.Run(fmt.Sprint(layout.name, " ", seed+i), func(t *testing.T) {
			t.Parallel()
			layout.run(t, seed+i, func(sim *simulator.Simulation, at func(time.Duration)) { script(t, sim, at) })
		})
	}
}

// seedCount is how many seeds a scenario is run with: at least so many, or as many
// as SCENARIO_SEEDS asks for.
func seedCount(least int) uint64 {
	asked, _ := strconv.Atoi(os.Getenv("SCENARIO_SEEDS"))
	return uint64(max(least, asked))
}

// settingsOfSize are the default settings with another number of controllers.
func settingsOfSize(n int) config.Settings {
	s := simulator.DefaultSettings()
	s.Size = n
	return s
}

// settingsWithTeamLimits are the default settings with limits of both teams that
// tests can reach.
func settingsWithTeamLimits() config.Settings {
	s := simulator.DefaultSettings()
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 16, MaxCPUs: 24}, {Name: "blue", GuaranteedCPUs: 16, MaxCPUs: 16}}
	return s
}

// settingsWithFastStore are the default settings with a key-value store so
// fast that requests hardly queue, and answers cross within milliseconds.
func settingsWithFastStore() config.Settings {
	s := simulator.DefaultSettings()
	s.State.RPS, s.State.WriteRPS = 4000, 2000
	return s
}

// startControllers starts those of the controllers that are down.
func startControllers(t *testing.T, sim *simulator.Simulation, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		if err := sim.StartController(i); err != nil {
			t.Error(err)
		}
	}
}

// startAll starts the controllers that are down.
func startAll(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	for i := range sim.Settings.Size {
		startControllers(t, sim, i)
	}
}

// killAll ends all controllers, as a power cut does.
func killAll(sim *simulator.Simulation) {
	for i := range sim.Settings.Size {
		sim.KillController(i)
	}
}

// restartLeader kills the leader and starts it again after a time, in which another
// may have been elected.
func restartLeader(t *testing.T, sim *simulator.Simulation, after time.Duration) {
	t.Helper()
	l := sim.Leader()
	sim.KillController(l)
	time.Sleep(after)
	startControllers(t, sim, l)
}

// markFaultsOver tells the checker that no fault lasts from now on.
func markFaultsOver(sim *simulator.Simulation) {
	sim.WithChecker(func(c *simulator.Checker) { c.FaultsOver(time.Now()) })
}
