package history

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Filter selects events. A field that is zero or empty matches any event.
type Filter struct {
	// From and To bound the time: From is inclusive, To is exclusive.
	From, To   time.Time
	Kind       string
	Duty       string
	Controller string
}

// matches reports whether the filter selects an event.
func (f Filter) matches(e Event) bool {
	return f.matchesTime(e.At) &&
		matchesText(f.Kind, e.Kind) &&
		matchesText(f.Duty, e.Duty) &&
		matchesText(f.Controller, e.Controller)
}

func (f Filter) matchesTime(at time.Time) bool {
	if !f.From.IsZero() && at.Before(f.From) {
		return false
	}
	return f.To.IsZero() || at.Before(f.To)
}

// matchesText reports whether a text is the wanted one, or any is wanted.
func matchesText(want, got string) bool { return want == "" || want == got }

// ErrDamaged is the cause of a DamageError for a file that is truncated or whose
// content doesn't match its checksums. Reading the file again helps only if a Recorder
// was still writing it.
var ErrDamaged = errors.New("damaged or truncated")

// DamageError reports a file that could be read only in part, or not at all.
type DamageError struct {
	// File is the file's name in its folder.
	File string
	// EventsRead is how many events could be read.
	EventsRead int
	// Err is ErrDamaged with where the damage is, or the error of opening the file.
	Err error
}

// Error returns the file, how much of it could be read, and why not the rest.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: %d events read, the rest is lost: %v", e.File, e.EventsRead, e.Err)
}

// Unwrap returns the cause.
func (e *DamageError) Unwrap() error { return e.Err }

// Read returns the events in a folder that a filter selects, ordered by time. Of damaged
// files it returns what can be read, and an error for each of these files. The last
// result is not nil if the folder can't be listed.
func Read(dir string, filter Filter) ([]Event, []*DamageError, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	var events []Event
	var damaged []*DamageError
	for _, entry := range entries {
		name, ok := parseFileName(entry.Name())
		if !ok || !matchesText(filter.Controller, name.controller) || sealedAlready(dir, name) {
			continue
		}
		records, err := readRecords(filepath.Join(dir, entry.Name()), name.kind)
		if err != nil {
			damaged = append(damaged, &DamageError{File: entry.Name(), EventsRead: len(records), Err: err})
		}
		events = appendMatching(events, records, filter)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	return events, damaged, nil
}

// sealedAlready reports whether a file is a log whose segment exists: the process ended
// between sealing the log and removing it.
func sealedAlready(dir string, name fileName) bool {
	if name.kind != logKind {
		return false
	}
	_, err := os.Stat(name.segment().in(dir))
	return err == nil
}

// readRecords returns the records of a file; also those before or beside the damage,
// when there is an error.
func readRecords(path string, kind fileKind) ([]eventRecord, error) {
	if kind == segmentKind {
		return readSegment(path)
	}
	return readLog(path)
}

// appendMatching appends the events of records that a filter selects.
func appendMatching(events []Event, records []eventRecord, filter Filter) []Event {
	for _, record := range records {
		if event := record.event(); filter.matches(event) {
			events = append(events, event)
		}
	}
	return events
}
