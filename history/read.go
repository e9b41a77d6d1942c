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
	// From and To bound the time of an event: From is inclusive, To is exclusive.
	From, To   time.Time
	Kind       string
	Duty       string
	Controller string
}

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

// matchesText reports whether a text is the wanted one. An empty want matches any text.
func matchesText(want, got string) bool { return want == "" || want == got }

// ErrDamaged is the cause of a DamageError for a file that is truncated, doesn't match its
// checksums or can't be decoded. Reading the file again helps only if a Recorder was still
// writing it.
var ErrDamaged = errors.New("damaged or truncated")

// DamageError reports a file that could be read only in part, or not at all.
type DamageError struct {
	// File is the file's name in its folder.
	File string
	// EventsRead is the number of the file's events that could be read, before any filter.
	EventsRead int
	// Err is the cause: it wraps ErrDamaged, or is the error from reading the file.
	Err error
}

// Error states the file, how many of its events could be read, and the cause.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: %d events read, the rest is lost: %v", e.File, e.EventsRead, e.Err)
}

// Unwrap returns Err.
func (e *DamageError) Unwrap() error { return e.Err }

// Read returns the events in a folder that the filter selects, ordered by time. From damaged
// files it returns the events that can be read, and a DamageError for each of these files.
// The last result is an error if the folder can't be listed, otherwise nil.
func Read(dir string, filter Filter) ([]Event, []*DamageError, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	var events []Event
	var damaged []*DamageError
	for _, entry := range entries {
		name, ok := parseFileName(entry.Name())
		if !ok || !matchesText(filter.Controller, name.controller) || isSealedLog(dir, name) {
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

// isSealedLog reports whether a file is a log whose segment exists as well, with the same
// events. Both exist if the process ended between sealing the log and removing it.
func isSealedLog(dir string, name fileName) bool {
	if name.kind != logKind {
		return false
	}
	_, err := os.Stat(name.segment().pathIn(dir))
	return err == nil
}

// readRecords returns the records of a file. With an error it returns those that could be
// read: before the damage in a log, and in the intact row groups of a segment.
func readRecords(path string, kind fileKind) ([]eventRecord, error) {
	if kind == segmentKind {
		return readSegment(path)
	}
	return readLog(path)
}

// appendMatching appends the events that the filter selects from records.
func appendMatching(events []Event, records []eventRecord, filter Filter) []Event {
	for _, record := range records {
		if event := record.event(); filter.matches(event) {
			events = append(events, event)
		}
	}
	return events
}
