// Command simulator is a small deployment on the loopback network to try lilaclead
// against: a key-value store, a cloud with its machines' agents, and users who submit
// jobs, with a checker of the protocol's rules. It writes a settings file for each of
// three controllers, which are started by hand.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

var cli struct {
	Dir string        `arg:"" help:"Folder for the settings files." type:"existingdir"`
	For time.Duration `help:"How long to run." default:"10m"`
}

// submitInterval is the time between two jobs.
const submitInterval = 5 * time.Second

// serviceCancelAfter is when the user of a service cancels it.
const serviceCancelAfter = 40 * time.Second

// run writes the settings files and submits jobs until the context ends.
func run(ctx context.Context) error {
	settings := simulator.DefaultSettings()
	sim := simulator.New(ctx, settings, uint64(time.Now().UnixNano()), nil, simulator.Loopback)
	for i := range settings.Size {
		if err := writeConfig(sim, i); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(submitInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		submitDemoJob(sim, n)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		printProgress(sim, n+1)
	}
}

// writeConfig writes the settings file of the i-th controller, with loopback addresses.
func writeConfig(sim *simulator.Simulation, i int) error {
	c := sim.Config(i)
	c.UserAddr = simulator.LoopbackAddr(c.UserAddr)
	c.PeerAddr = simulator.LoopbackAddr(c.PeerAddr)
	c.Endpoints.State = simulator.LoopbackAddr(c.Endpoints.State)
	c.Endpoints.Cloud = simulator.LoopbackAddr(c.Endpoints.Cloud)
	for k := range c.Peers {
		c.Peers[k].Addr = simulator.LoopbackAddr(c.Peers[k].Addr)
	}
	text, err := toml.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode the settings of controller %d: %w", i, err)
	}
	path := filepath.Join(cli.Dir, fmt.Sprintf("node-%d.toml", i))
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	fmt.Println("wrote", path)
	return nil
}

// submitDemoJob submits the n-th job: every fourth is a service that its user cancels,
// the others are arrays.
func submitDemoJob(sim *simulator.Simulation, n int) {
	spec := wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "demo", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard,
		Tasks: 1 + n%6, CPUs: 2, MemoryGB: 4, Image: "img-a", ImageGB: 1, SpotAllowed: true, ExpectedRunTime: 8,
	}
	cancelAfter := time.Duration(0)
	if n%4 == 3 {
		spec.Kind, spec.Priority, spec.Team = wire.KindService, wire.PriorityProd, "blue"
		spec.SpotAllowed, spec.ExpectedRunTime = false, 0
		cancelAfter = serviceCancelAfter
	}
	sim.Submit(simulator.JobScript{RunTime: 8, Spec: spec}, cancelAfter)
}

// printProgress prints how many jobs have ended, and the rules that were broken.
func printProgress(sim *simulator.Simulation, submitted int) {
	sim.WithChecker(func(c *simulator.Checker) {
		done, cancelled := c.Finished()
		fmt.Printf("%d jobs submitted, %d done, %d cancelled; %d broken rules %v\n", submitted, done, cancelled, len(c.Violations), c.Violations)
	})
}

func main() {
	kong.Parse(&cli, kong.Name("simulator"), kong.Description("Fakes of the state service, the cloud, workers and users, on the loopback network."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, cli.For)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "simulator:", err)
		os.Exit(1)
	}
}
