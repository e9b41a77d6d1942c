// Command simulator is a small deployment on the loopback network to try
// lilaclead against: a key-value store, a cloud with its workers, and users
// who submit jobs, with a checker for the protocol's rules. It writes a
// settings file for each of three controllers, which are started by hand.
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

func run(ctx context.Context) error {
	set := simulator.DefaultSettings()
	sim := simulator.New(ctx, set, uint64(time.Now().UnixNano()), nil, simulator.Loopback)
	for i := range set.Size {
		c := sim.Config(i)
		c.UserAddr, c.PeerAddr = simulator.LoopbackAddr(c.UserAddr), simulator.LoopbackAddr(c.PeerAddr)
		c.Endpoints.State, c.Endpoints.Cloud = simulator.LoopbackAddr(c.Endpoints.State), simulator.LoopbackAddr(c.Endpoints.Cloud)
		for k := range c.Peers {
			c.Peers[k].Addr = simulator.LoopbackAddr(c.Peers[k].Addr)
		}
		b, err := toml.Marshal(c)
		if err != nil {
			return err
		}
		path := filepath.Join(cli.Dir, fmt.Sprintf("node-%d.toml", i))
		if err := os.WriteFile(path, b, 0o644); err != nil {
			return err
		}
		fmt.Println("wrote", path)
	}
	tick := time.NewTicker(5 * time.Second)
	defer tick.Stop()
	for n := 0; ; n++ {
		t := simulator.JobScript{RunTime: 8, Spec: wire.JobSpec{ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "demo", Team: "red", Kind: wire.KindArray,
			Priority: wire.PriorityStandard, Tasks: 1 + n%6, CPUs: 2, MemoryGB: 4, Image: "img-a", ImageGB: 1, SpotAllowed: true, ExpectedRunTime: 8}}
		if n%4 == 3 {
			t.Spec.Kind, t.Spec.Priority, t.Spec.Team, t.Spec.SpotAllowed, t.Spec.ExpectedRunTime = wire.KindService, wire.PriorityProd, "blue", false, 0
			sim.Submit(t, 40*time.Second)
		} else {
			sim.Submit(t, 0)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		sim.WithChecker(func(c *simulator.Checker) {
			done, cancelled := c.Finished()
			fmt.Printf("%d jobs submitted, %d done, %d cancelled; %d broken rules %v\n", n+1, done, cancelled, len(c.Violations), c.Violations)
		})
	}
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
