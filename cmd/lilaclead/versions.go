package main

import (
	"fmt"
	"net/http"

	"lilaclead/upgrade"
)

// versionsCmd prints the progress of an upgrade.
type versionsCmd struct {
	Addr string `help:"Peer address of any controller." required:"" placeholder:"HOST:PORT"`
}

// Run prints the active version, and for each controller why it isn't ready for the next one.
func (cmd versionsCmd) Run(out *output) error {
	var status upgrade.Status
	if err := callAdmin(http.MethodGet, cmd.Addr, versionsPath, nil, &status); err != nil {
		return err
	}
	fmt.Fprintf(out.results, "active %d, next %d", status.Active, status.Next)
	if status.LimitedByOperators {
		fmt.Fprintf(out.results, ", held back at %d by upgrade.max_version", status.MaxVersion)
	}
	fmt.Fprintln(out.results)
	for _, controller := range status.Controllers {
		readiness := string(controller.Blocker)
		if readiness == "" {
			readiness = "ready"
		}
		fmt.Fprintf(out.results, "%-16s understands %d to %d  %s\n", controller.Node, controller.Min, controller.Max, readiness)
	}
	return nil
}
