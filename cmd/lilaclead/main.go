// Command lilaclead is the controller and the operators' client of its
// administration API.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lilaclead"
	"lilaclead/internal/admin"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// version is the release's name.
const version = "0.1.0"

type cli struct {
	Config   string `help:"Settings file of the platform (TOML)." placeholder:"FILE"`
	Features string `help:"File that turns optional parts on (TOML); by default deploy/features.toml beside the program's folder, if there is one." placeholder:"FILE"`

	Serve    serveCmd    `cmd:"" default:"1" help:"Serve as a controller (the default)."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and print every error with its field."`
	History  historyCmd  `cmd:"" help:"Read what was decided (features history.dir) by time, duty and controller."`
	Versions versionsCmd `cmd:"" help:"Print the active version of the behaviour, and who holds up the next one."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
	Setting  struct {
		Addr string  `help:"Peer address of any controller." required:"" placeholder:"HOST:PORT"`
		List listCmd `cmd:"" help:"List all settings with value, default and allowed range."`
		Get  getCmd  `cmd:"" help:"Print one setting."`
		Set  setCmd  `cmd:"" help:"Change one setting on all controllers."`
	} `cmd:"" name:"settings" help:"Read and change the operators' own settings."`
}

type (
	serveCmd    struct{}
	checkCmd    struct{}
	versionCmd  struct{}
	versionsCmd struct {
		Addr string `help:"Peer address of any controller." required:"" placeholder:"HOST:PORT"`
	}
	listCmd struct{}
	getCmd  struct {
		Name string `arg:""`
	}
	setCmd struct {
		Name  string `arg:""`
		Value string `arg:""`
	}
)

func (c *cli) load() (*lilaclead.Config, error) {
	if c.Config == "" {
		return nil, errors.New("--config FILE is missing")
	}
	return lilaclead.LoadConfig(c.Config)
}

// features are the optional parts that are on. A file that is named must be there.
func (c *cli) features() (lilaclead.Features, error) {
	path := c.Features
	if path == "" {
		program, err := os.Executable()
		if err != nil {
			return lilaclead.Features{}, fmt.Errorf("where this program lies, and so its features file: %w", err)
		}
		path = lilaclead.FeaturesPathBeside(program)
	} else if _, err := os.Stat(path); err != nil {
		return lilaclead.Features{}, fmt.Errorf("features file: %w", err)
	}
	return lilaclead.LoadFeatures(path)
}

// loadAll reads both files and reports what is wrong in either.
func (c *cli) loadAll() (*lilaclead.Config, lilaclead.Features, error) {
	cfg, configErr := c.load()
	parts, featuresErr := c.features()
	return cfg, parts, errors.Join(configErr, featuresErr)
}

func (serveCmd) Run(c *cli) error {
	cfg, parts, err := c.loadAll()
	if err != nil {
		return err
	}
	lilaclead.LimitProcess(cfg)
	n, err := lilaclead.New(cfg, lilaclead.Options{Features: parts})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return n.Run(ctx)
}

func (checkCmd) Run(c *cli) error {
	_, parts, err := c.loadAll()
	if err != nil {
		return err
	}
	fmt.Println("ok")
	fmt.Println("features:", parts)
	return nil
}

// Run prints how far an upgrade is.
func (v versionsCmd) Run() error {
	var s upgrade.Status
	if err := call("GET", v.Addr, "/admin/versions", nil, &s); err != nil {
		return err
	}
	fmt.Printf("active %d, next %d", s.Active, s.Next)
	if s.Held {
		fmt.Printf(", held back at %d by upgrade.max_version", s.Ceiling)
	}
	fmt.Println()
	for _, c := range s.Controllers {
		missing := string(c.Missing)
		if missing == "" {
			missing = "ready"
		}
		fmt.Printf("%-16s understands %d to %d  %s\n", c.Node, c.Min, c.Max, missing)
	}
	return nil
}

func (versionCmd) Run() error {
	fmt.Println("lilaclead", version)
	return nil
}

// settingsPath is where the administration API has the operators' settings.
const settingsPath = "/admin/settings"

// call makes one request of the administration API.
func call(method, addr, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, http.DefaultClient, method, "http://"+addr+path, in, 1<<20)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		var r wire.ErrorBody
		if wire.Decode(raw, &r) != nil {
			r.Error = "unreadable answer"
		}
		if r.Field != "" {
			r.Error = r.Field + ": " + r.Error
		}
		return fmt.Errorf("%s (%d)", r.Error, status)
	}
	return wire.Decode(raw, out)
}

func (listCmd) Run(c *cli) error {
	var l admin.Listing
	if err := call("GET", c.Setting.Addr, settingsPath, nil, &l); err != nil {
		return err
	}
	for _, s := range l.Settings {
		fmt.Printf("%-24s %-8v (default %v; %s) %s\n", s.Name, s.Value, s.Default, s.Allowed, s.About)
	}
	return nil
}

func (g getCmd) Run(c *cli) error {
	var l admin.Listing
	if err := call("GET", c.Setting.Addr, settingsPath, nil, &l); err != nil {
		return err
	}
	for _, s := range l.Settings {
		if s.Name == g.Name {
			fmt.Println(s.Value)
			return nil
		}
	}
	return fmt.Errorf("%s: unknown setting", g.Name)
}

func (s setCmd) Run(c *cli) error {
	var l admin.Listing
	if err := call("GET", c.Setting.Addr, settingsPath, nil, &l); err != nil {
		return err
	}
	var value any = s.Value
	if f, err := strconv.ParseFloat(s.Value, 64); err == nil {
		value = f
	}
	var done struct {
		Version wire.Revision `cbor:"version"`
	}
	if err := call("PUT", c.Setting.Addr, settingsPath, admin.Change{Version: &l.Version, Set: map[string]any{s.Name: value}}, &done); err != nil {
		return err
	}
	fmt.Printf("%s = %v, version %d\n", s.Name, s.Value, done.Version)
	return nil
}

func main() {
	var c cli
	k, err := kong.New(&c, kong.Name("lilaclead"), kong.Description("A cluster scheduler: one controller of a deployment, and its operators' client."), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "lilaclead:", err)
		os.Exit(1)
	}
	ctx, err := k.Parse(os.Args[1:])
	if err == nil {
		err = ctx.Run(&c)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "lilaclead: %v\n", err)
		os.Exit(1)
	}
}
