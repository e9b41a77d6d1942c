// Package history keeps an audit trail of what controllers decided: leases acquired and
// lost, actions accepted and refused, versions activated. It answers afterwards who
// acted, when, and under which fencing token.
//
// A [Recorder] takes events without ever blocking the caller, and writes them to files
// whose total size is bounded. [Read] finds them again by time, kind, duty and
// controller, in the files of any number of controllers.
//
// # Files
//
// Events go to a log of compressed frames first, each readable by itself, so that a
// process that is killed loses at most [Options.FlushEvery] of them. A full log is
// sealed as a segment: a Parquet file, which other tools can read as well. Both kinds
// carry checksums. Times are stored in microseconds, sizes are in bytes.
//
// # Errors and retries
//
// Recording never fails for the caller: an event that can't be written is lost and
// counted ([Counts]), and the next one is tried again. [Options.Validate] returns an
// [OptionError] for each invalid option; trying again with the same options doesn't help.
//
// [Read] fails only if the folder itself can't be listed, which may be tried again. Each
// file that can't be read in full is reported as a [DamageError] beside the events. Its
// lost events stay lost when the cause is [ErrDamaged], except that the newest log of a
// running Recorder may end in a frame that is still being written. A file that a
// Recorder seals or removes while the folder is read may be reported as missing, and the
// events of a log that is just being sealed may be missing without an error. Reading
// again settles these cases.
package history

import "time"

// Event is a decision of a controller.
type Event struct {
	At time.Time
	// Controller is set by the Recorder.
	Controller string
	// Kind says what happened, for example "acquired" or "act refused".
	Kind string
	// Duty is the duty that the event is about; empty if there is none.
	Duty string
	// Token is the fencing token under which the decision was made; 0 if there is none.
	Token uint64
	// Version is the behaviour version (package upgrade) that the event is about; 0 if
	// there is none.
	Version uint64
	// Reason explains the decision to a person.
	Reason string
}

// eventRecord is the stored form of an Event, in logs and in segments.
type eventRecord struct {
	At         int64  `cbor:"at" parquet:"at,delta"` // microseconds since 1970
	Controller string `cbor:"controller" parquet:"controller,dict"`
	Kind       string `cbor:"kind" parquet:"kind,dict"`
	Duty       string `cbor:"duty" parquet:"duty,dict"`
	Token      uint64 `cbor:"token" parquet:"token,delta"`
	Version    uint64 `cbor:"version" parquet:"version"`
	Reason     string `cbor:"why" parquet:"why,dict"`
}

func newEventRecord(e Event) eventRecord {
	return eventRecord{
		At:         e.At.UnixMicro(),
		Controller: e.Controller,
		Kind:       e.Kind,
		Duty:       e.Duty,
		Token:      e.Token,
		Version:    e.Version,
		Reason:     e.Reason,
	}
}

func (r eventRecord) event() Event {
	return Event{
		At:         time.UnixMicro(r.At),
		Controller: r.Controller,
		Kind:       r.Kind,
		Duty:       r.Duty,
		Token:      r.Token,
		Version:    r.Version,
		Reason:     r.Reason,
	}
}
