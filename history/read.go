package history

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Filter says which events are wanted; what is zero or empty is any.
type Filter struct {
	From, To   time.Time
	Kind       string
	Duty       string
	Controller string
}

func (f Filter) wants(e Event) bool {
	return (f.From.IsZero() || !e.At.Before(f.From)) && (f.To.IsZero() || e.At.Before(f.To)) &&
		(f.Kind == "" || f.Kind == e.Kind) && (f.Duty == "" || f.Duty == e.Duty) && (f.Controller == "" || f.Controller == e.Controller)
}

// Damage is a file that could be read in part, or not at all.
type Damage struct {
	File string
	Read int // events that were read of it
	Err  error
}

func (d Damage) String() string {
	return fmt.Sprintf("%s: %d events read, the rest is lost: %v", d.File, d.Read, d.Err)
}

// Read finds the events in a folder that pass the filter, by time. What can be read of
// damaged files is among them; these are named.
func Read(dir string, filter Filter) ([]Event, []Damage, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	var events []Event
	var damaged []Damage
	for _, entry := range entries {
		name, ours := parseFile(entry.Name())
		if !ours || filter.Controller != "" && filter.Controller != name.controller {
			continue
		}
		if !name.sealed && exists(filepath.Join(dir, name.segment().name())) {
			continue // the process ended between sealing it and removing it
		}
		rows, err := readFile(filepath.Join(dir, entry.Name()), name.sealed)
		if err != nil {
			damaged = append(damaged, Damage{entry.Name(), len(rows), err})
		}
		for _, r := range rows {
			if e := r.event(); filter.wants(e) {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events, damaged, nil
}

func readFile(path string, sealed bool) ([]row, error) {
	if sealed {
		return readSegment(path)
	}
	return readLog(path)
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
