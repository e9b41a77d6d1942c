// Package history keeps an audit trail of what controllers decided: leases acquired and
// lost, actions accepted and refused, versions activated. The trail shows who acted, when,
// and under which fencing token.
//
// A [Recorder] accepts events without ever blocking the caller, and writes them to files
// whose total size is bounded. [Read] selects events by time, kind, duty and controller,
// from the files of any number of controllers.
//
// # Files
//
// Events are first written to a log of compressed frames. Each frame can be read by itself,
// so a process that is killed loses at most the events of the last [Options.FlushEvery]. A
// full log is sealed: it is replaced by a segment, a Parquet file that other tools can read
// as well. Both kinds of files contain checksums. Times are stored in microseconds, and
// sizes are in bytes.
//
// # Errors and retries
//
// Recording never fails for the caller: an event that can't be written is lost and
// counted ([Counts]), and later events are still written if possible. [Options.Validate]
// returns an [OptionError] for each invalid option; retrying with the same options doesn't
// help.
//
// [Read] fails only if the folder itself can't be listed; this may be retried. It reports
// each file that can't be read in full as a [DamageError], beside the events. If the cause
// is [ErrDamaged], the missing events are lost for good, with one exception: the newest log
// of a running Recorder may end in a frame that is still being written. A file that a
// Recorder seals or removes while the folder is read may be reported as missing, and the
// events of a log that is just being sealed may be missing without an error. In these three
// cases read again.
package history

import "time"

// Event is a decision of a controller.
type Event struct {
	// At is the time of the decision; it is stored in whole microseconds.
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
	// Reason explains the decision to operators.
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
