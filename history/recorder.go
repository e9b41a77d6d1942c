package history

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Counts are the numbers of events by outcome, and the number of removed files.
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

// Recorder writes events to files. Record and Counts may be called from any goroutine and
// never block. Only Run accesses the files.
type Recorder struct {
	options Options
	events  chan Event

	written, dropped, failed, removed atomic.Uint64

	// log is the open log, nil if there is none. Only Run uses it.
	log *logWriter
}

// NewRecorder returns a Recorder, which writes nothing before Run is called. The error joins
// an OptionError for each invalid option.
func NewRecorder(options Options) (*Recorder, error) {
	options = options.withDefaults()
	if err := options.Validate(); err != nil {
		return nil, err
	}
	return &Recorder{options: options, events: make(chan Event, options.Buffer)}, nil
}

// Record puts an event into the buffer, from which Run writes it. If the buffer is full, the
// event is dropped and counted. A nil Recorder records nothing.
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

// Counts returns the counts since the Recorder was created.
func (r *Recorder) Counts() Counts {
	return Counts{
		Written: r.written.Load(),
		Dropped: r.dropped.Load(),
		Failed:  r.failed.Load(),
		Removed: r.removed.Load(),
	}
}

// Run writes events until the context ends, and then those still in the buffer. If writing
// fails, for example because the disk is full, the affected events are lost and counted. Run
// goes on with the next ones.
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

// appendBuffered empties the buffer and appends its events to the pending records.
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

// flush writes records to the open log, seals the log if it is full, and enforces the size
// limit.
func (r *Recorder) flush(records []eventRecord) {
	if len(records) == 0 {
		return
	}
	if err := r.writeToLog(records); err != nil {
		r.failed.Add(uint64(len(records)))
		r.closeLog() // the next records go to a new log
		return
	}
	r.written.Add(uint64(len(records)))
	if r.log.events >= r.options.SegmentEvents {
		r.sealOpenLog()
	}
	r.enforceSizeLimit()
}

// writeToLog writes records to the open log, and creates one if there is none.
func (r *Recorder) writeToLog(records []eventRecord) error {
	if r.log == nil {
		log, err := createLog(r.options.Dir, r.nextLogName())
		if err != nil {
			return err
		}
		r.log = log
	}
	return r.log.appendFrame(records)
}

// nextLogName returns the name of a log whose number is above those of all existing files.
func (r *Recorder) nextLogName() fileName {
	name := fileName{controller: r.options.Controller, number: 1, kind: logKind}
	if files := r.files(); len(files) > 0 {
		name.number = files[len(files)-1].number + 1
	}
	return name
}

// closeLog closes the open log, if there is one, without sealing it.
func (r *Recorder) closeLog() {
	if r.log == nil {
		return
	}
	r.log.close()
	r.log = nil
}

// sealOpenLog closes the open log and replaces it by a segment.
func (r *Recorder) sealOpenLog() {
	name := r.log.name
	r.closeLog()
	_ = sealLog(r.options.Dir, name) // if this fails, the log remains and is read instead
}

// sealLeftoverLogs seals the logs that earlier processes left, and removes the segments that
// they didn't finish writing.
func (r *Recorder) sealLeftoverLogs() {
	for _, name := range r.files() {
		if name.kind == logKind {
			_ = sealLog(r.options.Dir, name) // if this fails, the log remains and is read instead
		}
	}
	partials, _ := filepath.Glob(filepath.Join(r.options.Dir, filePrefix+r.options.Controller+"-*"+partialSuffix))
	for _, partial := range partials {
		_ = os.Remove(partial) // its log is still there
	}
	r.enforceSizeLimit()
}

// files returns this controller's files, the oldest first.
func (r *Recorder) files() []fileName { return listFiles(r.options.Dir, r.options.Controller) }

// enforceSizeLimit removes the oldest files until the total size is within the limit.
func (r *Recorder) enforceSizeLimit() {
	files := r.files()
	sizes, total := r.sizes(files)
	for i, name := range files {
		if total <= r.options.LimitBytes {
			return
		}
		if r.log != nil && name == r.log.name {
			r.closeLog() // the next records go to a new log
		}
		if os.Remove(name.pathIn(r.options.Dir)) == nil {
			total -= sizes[i]
			r.removed.Add(1)
		}
	}
}

// sizes returns the size of each file and the total, in bytes. A file whose size can't be
// read counts as empty.
func (r *Recorder) sizes(files []fileName) (sizes []int64, total int64) {
	sizes = make([]int64, len(files))
	for i, name := range files {
		if info, err := os.Stat(name.pathIn(r.options.Dir)); err == nil {
			sizes[i] = info.Size()
			total += sizes[i]
		}
	}
	return sizes, total
}
