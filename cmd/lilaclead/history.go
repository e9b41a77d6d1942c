package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"lilaclead/history"
)

// historyCmd reads the files of package history.
type historyCmd struct {
	Dir        string `help:"Folder of the files; by default history.dir of the features file." placeholder:"DIR"`
	From       string `help:"Events at or after this time (RFC 3339, as 2026-12-02T10:00:00Z)." placeholder:"TIME"`
	To         string `help:"Events before this time." placeholder:"TIME"`
	Kind       string `help:"Events of this kind, as 'acquired'." placeholder:"KIND"`
	Duty       string `help:"Events about this duty, as 'renting'." placeholder:"DUTY"`
	Controller string `help:"Events of this controller." placeholder:"NAME"`
}

// errDamaged ends the command when some files could not be read in full.
var errDamaged = errors.New("some of the history is damaged")

// Run prints the events, one a line.
func (h historyCmd) Run(c *cli) error {
	filter, err := h.filter()
	if err != nil {
		return err
	}
	dir := h.Dir
	if dir == "" {
		parts, err := c.features()
		if err != nil {
			return err
		}
		dir = parts.HistoryDir
	}
	if dir == "" {
		return errors.New("--dir: missing, and the features file names no history.dir")
	}
	events, damaged, err := history.Read(dir, filter)
	if err != nil {
		return err
	}
	for _, e := range events {
		fmt.Printf("%s %-12s %-16s %-10s token %-8d", e.At.UTC().Format("2006-01-02T15:04:05.000Z"), e.Controller, e.Kind, e.Duty, e.Token)
		if e.Version > 0 {
			fmt.Printf(" version %d", e.Version)
		}
		fmt.Println("", e.Reason)
	}
	for _, d := range damaged {
		fmt.Fprintln(os.Stderr, "lilaclead:", d)
	}
	if len(damaged) > 0 {
		return errDamaged
	}
	return nil
}

// filter reads the flags and names every one that is wrong.
func (h historyCmd) filter() (history.Filter, error) {
	var errs []error
	moment := func(flag, text string) time.Time {
		if text == "" {
			return time.Time{}
		}
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			errs = append(errs, fmt.Errorf("--%s: %q is no time as 2026-12-02T10:00:00Z", flag, text))
		}
		return t
	}
	f := history.Filter{From: moment("from", h.From), To: moment("to", h.To), Kind: h.Kind, Duty: h.Duty, Controller: h.Controller}
	return f, errors.Join(errs...)
}
