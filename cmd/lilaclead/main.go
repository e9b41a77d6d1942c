// Command lilaclead is a controller of a deployment, and the operators' client of the
// controllers' administration API.
//
// It prints results to standard output and errors to standard error, and exits with 1
// after an error.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// version is the version of this release.
const version = "0.1.0"

// cli is the command line. Kong derives the commands, the flags and their help from its
// fields.
type cli struct {
	Config   string `help:"Settings file of the platform (TOML)." placeholder:"FILE"`
	Features string `help:"File that turns optional parts on (TOML); by default deploy/features.toml beside the program's folder, if there is one." placeholder:"FILE"`

	Serve    serveCmd    `cmd:"" default:"1" help:"Serve as a controller (the default)."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and print every error with its field."`
	History  historyCmd  `cmd:"" help:"Read what was decided (features history.dir) by time, duty and controller."`
	Versions versionsCmd `cmd:"" help:"Print the active version of the behaviour, and who holds up the next one."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
	Setting  settingsCmd `cmd:"" name:"settings" help:"Read and change the operators' own settings."`
}

// versionCmd prints the version of this release.
type versionCmd struct{}

// Run prints the program's name and version.
func (versionCmd) Run(out *output) error {
	_, err := fmt.Fprintln(out.results, "lilaclead", version)
	return err
}

// output says where commands print their results and errors.
type output struct {
	results io.Writer
	errors  io.Writer
}

// printError prints an error on a line of its own.
func (o *output) printError(err error) { fmt.Fprintln(o.errors, "lilaclead:", err) }

func main() {
	out := &output{results: os.Stdout, errors: os.Stderr}
	if err := run(os.Args[1:], out); err != nil {
		out.printError(err)
		os.Exit(1)
	}
}

// run parses the command line and runs its command.
func run(args []string, out *output) error {
	var c cli
	parser, err := kong.New(&c,
		kong.Name("lilaclead"),
		kong.Description("A cluster scheduler: one controller of a deployment, and its operators' client."),
		kong.UsageOnError(),
		kong.Writers(out.results, out.errors),
	)
	if err != nil {
		return err
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return command.Run(&c, out)
}
