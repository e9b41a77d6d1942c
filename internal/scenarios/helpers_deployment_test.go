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

// newDeployedController makes a real controller for a simulated deployment, with the features
// that deploy/features.toml turns on, and returns its run function.
func newDeployedController(cfg *config.Config, network netio.Network) (func(context.Context) error, error) {
	deployed, err := lilaclead.LoadFeatures("../../deploy/features.toml")
	if err != nil {
		return nil, err
	}
	return newControllerWith(deployed)(cfg, network)
}

// newControllerWith returns a function that makes controllers with the given features.
func newControllerWith(features lilaclead.Features) simulator.StartFunc {
	return func(cfg *config.Config, network netio.Network) (func(context.Context) error, error) {
		return newController(cfg, network, lilaclead.Options{Features: features})
	}
}

// newController makes a controller on the simulated network and returns its run function. With
// SCENARIO_LOG set, the controller's log goes to standard error.
func newController(cfg *config.Config, network netio.Network, options lilaclead.Options) (func(context.Context) error, error) {
	options.Net, options.Log = network, io.Discard
	if os.Getenv("SCENARIO_LOG") != "" {
		options.Log = os.Stderr
	}
	node, err := lilaclead.New(cfg, options)
	if err != nil {
		return nil, err
	}
	return node.Run, nil
}

// scenarioRunner runs a script on a deployment with one layout of zones and controllers. The
// last argument of the script is a function that sleeps until a given time after the start.
type scenarioRunner = func(*testing.T, uint64, func(*simulator.Simulation, func(time.Duration)))

// runScenario runs a script on the default deployment, in virtual time. All controllers are up
// when the script begins. When it ends, the checker must have found no violation of a rule.
func runScenario(t *testing.T, seed uint64, script func(sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	runWithSettings(t, simulator.DefaultSettings(), seed, script)
}

// runOnBothLayouts runs a script twice: with controllers in every zone, and with a zone that has
// machines but no controller.
func runOnBothLayouts(t *testing.T, seed uint64, script func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	for _, layout := range layouts {
		t.Run(layout.name, func(t *testing.T) {
			t.Parallel()
			layout.run(t, seed, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) { script(t, sim, sleepUntil) })
		})
	}
}

// runWithSettings is runScenario with the given settings.
func runWithSettings(t *testing.T, set config.Settings, seed uint64, script func(sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	runWithControllersIn(t, set, set.Zones, seed, script)
}

// layouts are the two layouts of zones and controllers that tests run on.
var layouts = []struct {
	name string
	run  scenarioRunner
}{{"controllers in every zone", runScenario}, {"zone without controller", runOnUnevenLayout}}

// unevenZones are the zones of the three controllers in a deployment with machines in the zones
// a, b and c: zone c has no controller.
var unevenZones = []wire.Zone{"a", "b", "a"}

// runOnUnevenLayout is runScenario with three zones, of which only two have controllers.
func runOnUnevenLayout(t *testing.T, seed uint64, script func(sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	runWithControllersIn(t, simulator.ThreeZoneSettings(), unevenZones, seed, script)
}

// runWithControllersIn is runWithSettings with controllers in the given zones only.
func runWithControllersIn(t *testing.T, set config.Settings, zones []wire.Zone, seed uint64, script func(sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	runDeployment(t, set, zones, seed, newDeployedController, script)
}

// runWithFeatures is runScenario with the given features.
func runWithFeatures(t *testing.T, features lilaclead.Features, seed uint64, script func(sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	set := simulator.DefaultSettings()
	runDeployment(t, set, set.Zones, seed, newControllerWith(features), script)
}

// runDeployment runs a script on a deployment whose controllers are made by start.
func runDeployment(t *testing.T, set config.Settings, zones []wire.Zone, seed uint64, start simulator.StartFunc, script func(sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := simulator.New(ctx, set, seed, start, nil)
		defer sim.Close() // also after t.Fatal: goroutines still running would hide the failure
		defer cancel()
		sim.PlaceControllers(zones...)
		begin := time.Now()
		for i := range set.Size {
			if err := sim.StartController(i); err != nil {
				t.Fatal(err)
			}
		}
		script(sim, func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) })
		sim.PollAllJobs()
		sim.WithChecker(func(c *simulator.Checker) {
			c.Finish(time.Now())
			if lateStarts, latePolls := c.LateStarts(), c.LatePolls(); lateStarts+latePolls > 0 {
				t.Logf("%d tasks started after a confirmed cancellation, %d polls didn't show the job's end in time", lateStarts, latePolls)
			}
			for _, v := range c.Violations {
				t.Errorf("%6.1f s %s: %s", v.At.Sub(begin).Seconds(), v.Rule, v.What)
			}
		})
	})
}

// runOnAlternatingLayouts runs a script with one seed, or with as many as SCENARIO_SEEDS asks
// for: even seeds on the first layout, odd ones on the second.
func runOnAlternatingLayouts(t *testing.T, seed uint64, script func(t *testing.T, sim *simulator.Simulation, sleepUntil func(time.Duration))) {
	t.Helper()
	for i := range seedCount(1) {
		layout := layouts[(seed+i)%2]
		t.Run(fmt.Sprint(layout.name, " ", seed+i), func(t *testing.T) {
			t.Parallel()
			layout.run(t, seed+i, func(sim *simulator.Simulation, sleepUntil func(time.Duration)) { script(t, sim, sleepUntil) })
		})
	}
}

// seedCount returns how many seeds a scenario is run with: the minimum, or more if
// SCENARIO_SEEDS asks for more.
func seedCount(minimum int) uint64 {
	asked, _ := strconv.Atoi(os.Getenv("SCENARIO_SEEDS"))
	return uint64(max(minimum, asked))
}

// settingsOfSize returns the default settings with n controllers.
func settingsOfSize(n int) config.Settings {
	s := simulator.DefaultSettings()
	s.Size = n
	return s
}

// settingsWithTeamLimits returns the default settings with CPU limits for both teams that are
// low enough for tests to reach.
func settingsWithTeamLimits() config.Settings {
	s := simulator.DefaultSettings()
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 16, MaxCPUs: 24}, {Name: "blue", GuaranteedCPUs: 16, MaxCPUs: 16}}
	return s
}

// settingsWithFastStore returns the default settings with such high rate limits of the key-value
// store that requests hardly queue. Requests and responses then cross within milliseconds.
func settingsWithFastStore() config.Settings {
	s := simulator.DefaultSettings()
	s.State.RPS, s.State.WriteRPS = 4000, 2000
	return s
}

// startControllers starts the given controllers, except those that are up.
func startControllers(t *testing.T, sim *simulator.Simulation, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		if err := sim.StartController(i); err != nil {
			t.Error(err)
		}
	}
}

// startAll starts all controllers that are down.
func startAll(t *testing.T, sim *simulator.Simulation) {
	t.Helper()
	for i := range sim.Settings.Size {
		startControllers(t, sim, i)
	}
}

// killAll kills all controllers at once, as a power cut does.
func killAll(sim *simulator.Simulation) {
	for i := range sim.Settings.Size {
		sim.KillController(i)
	}
}

// restartLeader kills the leader and starts it again after a downtime. Another controller may be
// elected meanwhile.
func restartLeader(t *testing.T, sim *simulator.Simulation, downtime time.Duration) {
	t.Helper()
	killed := sim.Leader()
	sim.KillController(killed)
	time.Sleep(downtime)
	startControllers(t, sim, killed)
}

// markFaultsOver tells the checker that all faults have ended.
func markFaultsOver(sim *simulator.Simulation) {
	sim.WithChecker(func(c *simulator.Checker) { c.FaultsOver(time.Now()) })
}
