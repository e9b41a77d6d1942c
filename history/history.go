// Package history keeps what was decided: leases that were taken and lost, acts that
// were accepted and refused, versions that were switched. Recorder takes events
// without ever delaying who decides, and keeps them in files with a limit on their size;
// Read finds them again by time, kind, duty and controller.
//
// What was recorded last lies in a log of compressed frames, each readable by itself,
// so that a process that is killed loses a second of it. A full log is sealed as a
// compressed columnar segment.
package history

import (
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Event is something that was decided by a controller.
type Event struct {
	At         time.Time
	Controller string
	// Kind says what happened, as "acquired" or "act refused".
	Kind string
	// Duty that it is about; empty: none.
	Duty string
	// Token under which it was decided; 0: none.
	Token uint64
	// Version that it is about; 0: none.
	Version uint64
	Why     string
}

// row is an event as it is stored, in logs and in segments.
type row struct {
	At         int64  `cbor:"at" parquet:"at,delta"` // microseconds since 1970
	Controller string `cbor:"controller" parquet:"controller,dict"`
	Kind       string `cbor:"kind" parquet:"kind,dict"`
	Duty       string `cbor:"duty" parquet:"duty,dict"`
	Token      uint64 `cbor:"token" parquet:"token,delta"`
	Version    uint64 `cbor:"version" parquet:"version"`
	Why        string `cbor:"why" parquet:"why,dict"`
}

func rowOf(e Event) row {
	return row{e.At.UnixMicro(), e.Controller, e.Kind, e.Duty, e.Token, e.Version, e.Why}
}

func (r row) event() Event {
	return Event{time.UnixMicro(r.At), r.Controller, r.Kind, r.Duty, r.Token, r.Version, r.Why}
}

// Files of a controller: history-<controller>-<number>, with these endings.
const (
	filePrefix    = "history-"
	logEnding     = ".log.zst"
	segmentEnding = ".parquet"
	partEnding    = ".part" // of a segment that is still being written
)

// file names a log or a segment.
type file struct {
	controller string
	number     uint64
	sealed     bool
}

func (f file) name() string {
	ending := logEnding
	if f.sealed {
		ending = segmentEnding
	}
	return fmt.Sprintf("%s%s-%012d%s", filePrefix, f.controller, f.number, ending)
}

// segment is what a log becomes.
func (f file) segment() file {
	f.sealed = true
	return f
}

// parseFile reads a file's name; false: it is none of ours.
func parseFile(path string) (file, bool) {
	name := filepath.Base(path)
	f := file{sealed: strings.HasSuffix(name, segmentEnding)}
	if !f.sealed && !strings.HasSuffix(name, logEnding) {
		return file{}, false
	}
	name = strings.TrimSuffix(strings.TrimSuffix(name, segmentEnding), logEnding)
	name, ours := strings.CutPrefix(name, filePrefix)
	at := strings.LastIndexByte(name, '-')
	if !ours || at < 0 {
		return file{}, false
	}
	number, err := strconv.ParseUint(name[at+1:], 10, 64)
	f.controller, f.number = name[:at], number
	return f, err == nil
}

// Options of a Recorder. Dir and Controller are needed.
type Options struct {
	Dir        string
	Controller string
	// LimitBytes is how much this controller's files may take.
	LimitBytes int64
	// Buffer is how many events may wait to be written; what comes beyond is dropped
	// and counted.
	Buffer int
	// FlushEvery is how long an event waits to be written at most.
	FlushEvery time.Duration
	// SegmentEvents is with how many events a log is sealed.
	SegmentEvents int
}

// Defaults of what is not given.
const (
	defaultLimit         = 64 << 20
	defaultBuffer        = 1024
	defaultFlushEvery    = time.Second
	defaultSegmentEvents = 8192
)

func (o Options) withDefaults() Options {
	if o.LimitBytes == 0 {
		o.LimitBytes = defaultLimit
	}
	if o.Buffer == 0 {
		o.Buffer = defaultBuffer
	}
	if o.FlushEvery == 0 {
		o.FlushEvery = defaultFlushEvery
	}
	if o.SegmentEvents == 0 {
		o.SegmentEvents = defaultSegmentEvents
	}
	return o
}

// Validate names everything that is wrong.
func (o Options) Validate() error {
	var errs []error
	if o.Dir == "" {
		errs = append(errs, errors.New("dir: missing"))
	}
	if o.Controller == "" || strings.ContainsAny(o.Controller, "/\\") {
		errs = append(errs, errors.New("controller: must be a name without slashes"))
	}
	if o.LimitBytes < 0 {
		errs = append(errs, errors.New("limit: must be above 0"))
	}
	return errors.Join(errs...)
}
