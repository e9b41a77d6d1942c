// Command simulator simulates the environment of a small deployment on the loopback network, in
// which lilaclead can be tried out: a key-value store, a cloud with its machines' agents, and
// users who submit jobs. A checker detects violations of the protocol's rules. The command
// writes a settings file for each of three controllers, which are started by hand.
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

// submitInterval is the time between the submissions of two jobs.
const submitInterval = 5 * time.Second

// serviceCancelAfter is the time from the submission of a service until its user cancels it.
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
	for number := 0; ; number++ {
		submitDemoJob(sim, number)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		printProgress(sim, number+1)
	}
}

// writeConfig writes the settings file of a controller, with loopback addresses.
func writeConfig(sim *simulator.Simulation, controller int) error {
	cfg := sim.Config(controller)
	cfg.UserAddr = simulator.LoopbackAddr(cfg.UserAddr)
	cfg.PeerAddr = simulator.LoopbackAddr(cfg.PeerAddr)
	cfg.Endpoints.State = simulator.LoopbackAddr(cfg.Endpoints.State)
	cfg.Endpoints.Cloud = simulator.LoopbackAddr(cfg.Endpoints.Cloud)
	for i := range cfg.Peers {
		cfg.Peers[i].Addr = simulator.LoopbackAddr(cfg.Peers[i].Addr)
	}
	text, err := toml.Marshal(cfg)
	if err != nil {
		return fmt.Errorf("encode the settings of controller %d: %w", controller, err)
	}
	path := filepath.Join(cli.Dir, fmt.Sprintf("node-%d.toml", controller))
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	fmt.Println("wrote", path)
	return nil
}

// submitDemoJob submits the job with the given number. Every fourth job is a service that its
// user cancels; the others are arrays.
func submitDemoJob(sim *simulator.Simulation, number int) {
	spec := wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", number)), Class: "demo", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard,
		Tasks: 1 + number%6, CPUs: 2, MemoryGB: 4, Image: "img-a", ImageGB: 1, SpotAllowed: true, ExpectedRunTime: 8,
	}
	cancelAfter := time.Duration(0)
	if number%4 == 3 {
		spec.Kind, spec.Priority, spec.Team = wire.KindService, wire.PriorityProd, "blue"
		spec.SpotAllowed, spec.ExpectedRunTime = false, 0
		cancelAfter = serviceCancelAfter
	}
	sim.Submit(simulator.JobScript{RunTime: 8, Spec: spec}, cancelAfter)
}

// printProgress prints how many jobs were submitted and have ended, and the violations of the
// protocol's rules.
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
