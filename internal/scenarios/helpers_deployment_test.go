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

// start makes real nodes for the stand-ins' world.
func startController(cfg *config.Config, nw netio.Net) (func(context.Context) error, error) {
	var out io.Writer = io.Discard
	if os.Getenv("WORLD_LOG") != "" {
		out = os.Stderr
	}
	n, err := lilaclead.New(cfg, lilaclead.Options{Net: nw, Log: out})
	if err != nil {
		return nil, err
	}
	return n.Run, nil
}

// layout plays a day on a layout of zones and controllers.
type scenarioRunner = func(*testing.T, uint64, func(*simulator.World, func(time.Duration)))

// play runs a world in virtual time: all nodes up, some jobs, and then what
// the test does to it; at the end every rule must have held.
func runScenario(t *testing.T, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	runWithSettings(t, simulator.DefaultSettings(), seed, script)
}

// playBoth is play on the usual layout, and on the one where a zone has machines
// and no controller.
func runOnBothLayouts(t *testing.T, seed uint64, script func(t *testing.T, w *simulator.World, at func(time.Duration))) {
	t.Helper()
	for name, run := range map[string]func(*testing.T, uint64, func(*simulator.World, func(time.Duration))){"usual layout": runScenario, "odd layout": runOnUnevenLayout} {
		t.Run(name, func(t *testing.T) {
			run(t, seed, func(w *simulator.World, at func(time.Duration)) { script(t, w, at) })
		})
	}
}

// playAs is play with settings of the test's own.
func runWithSettings(t *testing.T, set config.Settings, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	runWithControllersIn(t, set, set.Zones, seed, script)
}

// Three zones with machines; of three controllers two are in the first and one
// is in the second.
var unevenZones = []wire.Zone{"a", "b", "a"}

// playOdd plays a day on that layout.
func runOnUnevenLayout(t *testing.T, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	runWithControllersIn(t, simulator.GasSettings(), unevenZones, seed, script)
}

// playIn is playAs with controllers in some zones only.
func runWithControllersIn(t *testing.T, set config.Settings, zones []wire.Zone, seed uint64, script func(w *simulator.World, at func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := simulator.NewWorld(ctx, set, seed, startController, nil)
		w.Nodes(zones...)
		begin := time.Now()
		for i := range set.Size {
			if err := w.Up(i); err != nil {
				t.Fatal(err)
			}
		}
		script(w, func(d time.Duration) { time.Sleep(time.Until(begin.Add(d))) })
		w.AskAll()
		w.Checked(func(c *simulator.Checker) {
			c.End(time.Now())
			if late, slow := c.LateStarts(), c.LateDone(); late+slow > 0 {
				t.Logf("%d starts after a confirmed cancellation, %d polls not told done in time", late, slow)
			}
			for _, b := range c.Breaks {
				t.Errorf("%6.1f s %s: %s", b.At.Sub(begin).Seconds(), b.Rule, b.What)
			}
		})
		cancel()
		w.Close()
	})
}

// meet plays a meeting of troubles on the usual layout or, by turns of the seed, on
// the one where a zone has machines and no controller.
func runOnAlternatingLayouts(t *testing.T, seed uint64, script func(t *testing.T, w *simulator.World, at func(time.Duration))) {
	t.Helper()
	for i := range seeds() {
		name, run := "usual layout", runScenario
		if (seed+i)%2 == 1 {
			name, run = "odd layout", runOnUnevenLayout
		}
		t.Run(fmt.Sprint(name, " ", seed+i), func(t *testing.T) {
			run(t, seed+i, func(w *simulator.World, at func(time.Duration)) { script(t, w, at) })
		})
	}
}

// meetSeeds is how many seeds each meeting is played with; WORLD_SEEDS asks for
// more of them.
func seedCount(n int) uint64 {
	most, _ := strconv.Atoi(os.Getenv("WORLD_SEEDS"))
	return uint64(max(n, most))
}

// seeds is how many seeds each meeting is played with: one, or more on demand.
func seeds() uint64 {
	n, _ := strconv.ParseUint(os.Getenv("MEET_SEEDS"), 10, 64)
	return max(1, n)
}

// sized is the default deployment with another number of controllers.
func settingsOfSize(n int) config.Settings {
	s := simulator.DefaultSettings()
	s.Size = n
	return s
}

// limited is a deployment whose teams both have a limit that tests can reach.
func settingsWithTeamLimits() config.Settings {
	s := simulator.DefaultSettings()
	s.Teams = []config.Team{{Name: "red", CPUs: 16, CPUsMax: 24}, {Name: "blue", CPUs: 16, CPUsMax: 16}}
	return s
}

// roomy is the default deployment with a state service so fast that questions
// wait for hardly anything, and answers cross within milliseconds.
func settingsWithFastStateService() config.Settings {
	s := simulator.DefaultSettings()
	s.State.RPS, s.State.WriteRPS = 4000, 2000
	return s
}

// up starts nodes.
func startControllers(t *testing.T, w *simulator.World, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		if err := w.Up(i); err != nil {
			t.Error(err)
		}
	}
}
