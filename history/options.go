package history

import (
	"errors"
	"strings"
	"time"
)

// Options configure a Recorder. Dir and Controller are required; the others have a default,
// which their zero value selects.
type Options struct {
	// Dir is the folder of the files. It is created if it is missing.
	Dir string
	// Controller is the name of the writing controller, in events and in file names.
	Controller string
	// LimitBytes is the maximum total size of this controller's files; 64 MiB by default. The
	// oldest files are removed to keep within it.
	LimitBytes int64
	// Buffer is the maximum number of events that wait to be written; further events are
	// dropped and counted. 1,024 by default.
	Buffer int
	// FlushEvery is the maximum time that an event waits before it is written; one second by
	// default.
	FlushEvery time.Duration
	// SegmentEvents is the number of events at which a log is sealed; 8,192 by default.
	SegmentEvents int
}

// Defaults of Options.
const (
	defaultLimitBytes    = 64 << 20
	defaultBuffer        = 1024
	defaultFlushEvery    = time.Second
	defaultSegmentEvents = 8192
)

func (o Options) withDefaults() Options {
	if o.LimitBytes == 0 {
		o.LimitBytes = defaultLimitBytes
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

// OptionError reports an invalid option of a Recorder.
type OptionError struct {
	// Option names the option: dir, controller, or limit for LimitBytes.
	Option string
	// Problem says what is wrong with its value.
	Problem string
}

// Error states the option's name and the problem.
func (e *OptionError) Error() string { return e.Option + ": " + e.Problem }

// Validate returns nil, or an error that joins an OptionError for each invalid option.
func (o Options) Validate() error {
	var errs []error
	if o.Dir == "" {
		errs = append(errs, &OptionError{Option: "dir", Problem: "missing"})
	}
	if o.Controller == "" || strings.ContainsAny(o.Controller, `/\`) {
		errs = append(errs, &OptionError{Option: "controller", Problem: "must be a name without slashes"})
	}
	if o.LimitBytes < 0 {
		errs = append(errs, &OptionError{Option: "limit", Problem: "must be above 0"})
	}
	return errors.Join(errs...)
}
