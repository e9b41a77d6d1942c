package main

import (
	"errors"
	"fmt"
	"time"

	"lilaclead/history"
)

// historyCmd prints the events that package history has recorded.
type historyCmd struct {
	Dir        string `help:"Folder of the files; by default history.dir of the features file." placeholder:"DIR"`
	From       string `help:"Events at or after this time (RFC 3339, as 2026-12-02T10:00:00Z)." placeholder:"TIME"`
	To         string `help:"Events before this time." placeholder:"TIME"`
	Kind       string `help:"Events of this kind, as 'acquired'." placeholder:"KIND"`
	Duty       string `help:"Events about this duty, as 'renting'." placeholder:"DUTY"`
	Controller string `help:"Events of this controller." placeholder:"NAME"`
}

var (
	// errNoHistoryDir reports that neither --dir nor the features file names the folder to
	// read.
	errNoHistoryDir = errors.New("--dir: missing, and the features file names no history.dir")
	// errDamagedHistory reports that some files couldn't be read in full.
	errDamagedHistory = errors.New("some of the history is damaged")
)

// Run prints the events, one per line. If some files are damaged, it also prints an error for
// each of them, and fails after all readable events are printed.
func (cmd historyCmd) Run(c *cli, out *output) error {
	filter, err := cmd.filter()
	if err != nil {
		return err
	}
	dir, err := cmd.folder(c)
	if err != nil {
		return err
	}
	events, damaged, err := history.Read(dir, filter)
	if err != nil {
		return err
	}
	for _, e := range events {
		printEvent(out, e)
	}
	for _, file := range damaged {
		out.printError(file)
	}
	if len(damaged) > 0 {
		return errDamagedHistory
	}
	return nil
}

// folder returns the folder from the command line, or else from the features file.
func (cmd historyCmd) folder(c *cli) (string, error) {
	if cmd.Dir != "" {
		return cmd.Dir, nil
	}
	features, err := c.loadFeatures()
	if err != nil {
		return "", err
	}
	if features.HistoryDir == "" {
		return "", errNoHistoryDir
	}
	return features.HistoryDir, nil
}

// eventTimeFormat is RFC 3339 with milliseconds.
const eventTimeFormat = "2006-01-02T15:04:05.000Z"

func printEvent(out *output, e history.Event) {
	fmt.Fprintf(out.results, "%s %-12s %-16s %-10s token %-8d", e.At.UTC().Format(eventTimeFormat), e.Controller, e.Kind, e.Duty, e.Token)
	if e.Version > 0 {
		fmt.Fprintf(out.results, " version %d", e.Version)
	}
	fmt.Fprintln(out.results, "", e.Reason)
}

// filter returns the filter that the flags describe. The error names every invalid flag.
func (cmd historyCmd) filter() (history.Filter, error) {
	from, fromErr := parseTime("from", cmd.From)
	to, toErr := parseTime("to", cmd.To)
	filter := history.Filter{From: from, To: to, Kind: cmd.Kind, Duty: cmd.Duty, Controller: cmd.Controller}
	return filter, errors.Join(fromErr, toErr)
}

// parseTime returns the time that a flag gives, the zero time if it isn't set.
func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	parsed, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("--%s: %q is not a time such as 2026-12-02T10:00:00Z", flag, text)
	}
	return parsed, nil
}
