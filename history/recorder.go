package history

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Counts are the numbers of events by what became of them, and of removed files.
type Counts struct {
	// Written is the number of events written to a file.
	Written uint64
	// Dropped is the number of events lost because the buffer was full.
	Dropped uint64
	// Failed is the number of events lost because they couldn't be written.
	Failed uint64
	// Removed is the number of old files removed to keep within the size limit.
	Removed uint64
}

// Recorder writes events to files. Record and Counts may be called from any goroutine
// and never block; the files are touched by Run alone.
type Recorder struct {
	options Options
	events  chan Event

	written, dropped, failed, removed atomic.Uint64

	// log is the open log, nil if there is none. It belongs to Run.
	log *logWriter
}

// NewRecorder returns a Recorder, which writes nothing before Run. The error joins an
// OptionError for each invalid option.
func NewRecorder(options Options) (*Recorder, error) {
	options = options.withDefaults()
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Recorder{options: options, events: make(chan Event, options.Buffer)}, nil
}

// Record hands an event to Run. It drops and counts the event if the buffer is full. A
// nil Recorder records nothing.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.Controller = r.options.Controller
	select {
	case r.events <- e:
	default:
		r.dropped.Add(1)
	}
}

// Counts returns what became of the events so far.
func (r *Recorder) Counts() Counts {
	return Counts{
		Written: r.written.Load(),
		Dropped: r.dropped.Load(),
		Failed:  r.failed.Load(),
		Removed: r.removed.Load(),
	}
}

// Run writes events until the context ends, then those still in the buffer. A disk that
// fails or is full costs events, which are counted; the next ones are tried again.
func (r *Recorder) Run(ctx context.Context) {
	r.sealLeftoverLogs()
	ticker := time.NewTicker(r.options.FlushEvery)
	defer ticker.Stop()
	var pending []eventRecord
	for {
		select {
		case <-ctx.Done():
			r.flush(r.appendBuffered(pending))
			r.closeLog()
			return
		case e := <-r.events:
			pending = append(pending, newEventRecord(e))
			if len(pending) < r.options.Buffer {
				continue
			}
		case <-ticker.C:
		}
		r.flush(pending)
		pending = nil
	}
}

// appendBuffered appends the events in the buffer.
func (r *Recorder) appendBuffered(pending []eventRecord) []eventRecord {
	for {
		select {
		case e := <-r.events:
			pending = append(pending, newEventRecord(e))
		default:
			return pending
		}
	}
}

// flush writes records to the open log, and seals it when it is full.
func (r *Recorder) flush(records []eventRecord) {
	if len(records) == 0 {
		return
	}
	if err := r.writeToLog(records); err != nil {
		r.failed.Add(uint64(len(records)))
		r.closeLog() // the next records go to a new one
		return
	}
	r.written.Add(uint64(len(records)))
	if r.log.events >= r.options.SegmentEvents {
		r.sealOpenLog()
	}
	r.removeBeyondLimit()
}

// writeToLog writes records to the open log, and opens one if there is none.
func (r *Recorder) writeToLog(records []eventRecord) error {
	if r.log == nil {
		log, err := createLog(r.options.Dir, r.nextLogName())
		if err != nil {
			return err
		}
		r.log = log
	}
	return r.log.append(records)
}

// nextLogName returns a name with a number above that of every file.
func (r *Recorder) nextLogName() fileName {
	name := fileName{controller: r.options.Controller, number: 1, kind: logKind}
	if files := r.files(); len(files) > 0 {
		name.number = files[len(files)-1].number + 1
	}
	return name
}

// closeLog closes the open log, if there is one, and leaves it a log.
func (r *Recorder) closeLog() {
	if r.log == nil {
		return
	}
	r.log.close()
	r.log = nil
}

// sealOpenLog makes the open log a segment.
func (r *Recorder) sealOpenLog() {
	name := r.log.name
	r.closeLog()
	_ = sealLog(r.options.Dir, name) // else it stays a log, which is read as well
}

// sealLeftoverLogs seals the logs of earlier processes, and removes the segments that
// they didn't finish writing.
func (r *Recorder) sealLeftoverLogs() {
	for _, name := range r.files() {
		if name.kind == logKind {
			_ = sealLog(r.options.Dir, name) // else it stays a log
		}
	}
	partials, _ := filepath.Glob(filepath.Join(r.options.Dir, filePrefix+r.options.Controller+"-*"+partialSuffix))
	for _, partial := range partials {
		_ = os.Remove(partial) // its log is still there
	}
	r.removeBeyondLimit()
}

// files returns this controller's files, the oldest first.
func (r *Recorder) files() []fileName { return listFiles(r.options.Dir, r.options.Controller) }

// removeBeyondLimit removes the oldest files until the rest is within the size limit.
func (r *Recorder) removeBeyondLimit() {
	files := r.files()
	sizes, total := r.sizes(files)
	for i, name := range files {
		if total <= r.options.LimitBytes {
			return
		}
		if r.log != nil && name == r.log.name {
			r.closeLog() // the next records begin a new one
		}
		if os.Remove(name.in(r.options.Dir)) == nil {
			total -= sizes[i]
			r.removed.Add(1)
		}
	}
}

// sizes returns the size of each file and their sum, in bytes. A file that can't be
// examined counts as empty.
func (r *Recorder) sizes(files []fileName) (sizes []int64, total int64) {
	sizes = make([]int64, len(files))
	for i, name := range files {
		if info, err := os.Stat(name.in(r.options.Dir)); err == nil {
			sizes[i] = info.Size()
			total += sizes[i]
		}
	}
	return sizes, total
}
