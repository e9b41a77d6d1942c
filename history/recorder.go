package history

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"
)

// Counts of what became of the events.
type Counts struct {
	Written uint64
	// Dropped: the buffer was full.
	Dropped uint64
	// Failed: they could not be written.
	Failed uint64
	// Removed files, the oldest ones, to keep within the limit.
	Removed uint64
}

// Recorder takes events and writes them. Only Record may be called from anywhere; it
// never waits. Its files are touched by Run alone.
type Recorder struct {
	options Options
	events  chan Event

	written, dropped, failed, removed atomic.Uint64

	// ---- of Run ----
	log *logFile // the open log; nil: none could be opened
}

// NewRecorder makes a recorder that writes once it runs.
func NewRecorder(o Options) (*Recorder, error) {
	o = o.withDefaults()
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return &Recorder{options: o, events: make(chan Event, o.Buffer)}, nil
}

// Record takes an event, or drops and counts it when too many wait already. A nil
// Recorder records nothing.
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

// Counts of what became of the events so far.
func (r *Recorder) Counts() Counts {
	return Counts{r.written.Load(), r.dropped.Load(), r.failed.Load(), r.removed.Load()}
}

// Run writes events until the context ends, and then those that wait. A disk that
// fails, or is full, costs events, which are counted, and is tried again.
func (r *Recorder) Run(ctx context.Context) {
	r.sealLeftOver()
	tick := time.NewTicker(r.options.FlushEvery)
	defer tick.Stop()
	var waiting []row
	for {
		select {
		case <-ctx.Done():
			r.flush(r.drain(waiting))
			r.closeLog()
			return
		case e := <-r.events:
			waiting = append(waiting, rowOf(e))
			if len(waiting) < r.options.Buffer {
				continue
			}
		case <-tick.C:
		}
		r.flush(waiting)
		waiting = nil
	}
}

// drain adds what waits in the buffer.
func (r *Recorder) drain(waiting []row) []row {
	for {
		select {
		case e := <-r.events:
			waiting = append(waiting, rowOf(e))
		default:
			return waiting
		}
	}
}

// flush appends rows to the open log, and seals it when it is full.
func (r *Recorder) flush(rows []row) {
	if len(rows) == 0 {
		return
	}
	if err := r.write(rows); err != nil {
		r.failed.Add(uint64(len(rows)))
		r.closeLog() // the next rows go to a new one
		return
	}
	r.written.Add(uint64(len(rows)))
	if r.log.events >= r.options.SegmentEvents {
		r.seal()
	}
	r.keepWithinLimit()
}

func (r *Recorder) write(rows []row) error {
	if r.log == nil {
		log, err := createLog(r.options.Dir, file{controller: r.options.Controller, number: r.nextNumber()})
		if err != nil {
			return err
		}
		r.log = log
	}
	return r.log.append(rows)
}

// closeLog closes the open log as it is.
func (r *Recorder) closeLog() {
	if r.log != nil {
		r.log.close()
		r.log = nil
	}
}

// seal makes the open log a segment.
func (r *Recorder) seal() {
	sealed := r.log.file
	r.closeLog()
	sealLog(r.options.Dir, sealed) //nolint:errcheck // it stays a log, which is read as well
}

// sealLeftOver seals the logs of earlier processes.
func (r *Recorder) sealLeftOver() {
	for _, f := range r.files() {
		if !f.sealed {
			sealLog(r.options.Dir, f) //nolint:errcheck // it stays a log
		}
	}
	parts, _ := filepath.Glob(filepath.Join(r.options.Dir, filePrefix+r.options.Controller+"-*"+partEnding))
	for _, part := range parts {
		os.Remove(part) //nolint:errcheck // its log is still there
	}
	r.keepWithinLimit()
}

// files of this controller, the oldest first.
func (r *Recorder) files() []file {
	entries, err := os.ReadDir(r.options.Dir)
	if err != nil {
		return nil
	}
	var out []file
	for _, entry := range entries {
		if f, ok := parseFile(entry.Name()); ok && f.controller == r.options.Controller {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b file) int { return cmp.Compare(a.number, b.number) })
	return out
}

// nextNumber is above that of every file.
func (r *Recorder) nextNumber() uint64 {
	files := r.files()
	if len(files) == 0 {
		return 1
	}
	return files[len(files)-1].number + 1
}

// keepWithinLimit removes the oldest files.
func (r *Recorder) keepWithinLimit() {
	files := r.files()
	var total int64
	sizes := make([]int64, len(files))
	for i, f := range files {
		if info, err := os.Stat(filepath.Join(r.options.Dir, f.name())); err == nil {
			sizes[i] = info.Size()
			total += sizes[i]
		}
	}
	for i, f := range files {
		if total <= r.options.LimitBytes {
			return
		}
		if r.log != nil && f == r.log.file {
			r.closeLog() // the next events begin a new one
		}
		if os.Remove(filepath.Join(r.options.Dir, f.name())) == nil {
			total -= sizes[i]
			r.removed.Add(1)
		}
	}
}
