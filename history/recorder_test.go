package history

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The files keep within their limit; the newest events are kept.
func TestOldestFilesAreRemovedBeyondLimit(t *testing.T) {
	dir := t.TempDir()
	const limit = 12 << 10
	counts := recordEvents(t, Options{Dir: dir, Controller: "a", SegmentEvents: 100, LimitBytes: limit}, 0, 4000)
	if counts.Written != 4000 || counts.Removed == 0 {
		t.Errorf("counts %+v, want 4000 events written and some files removed", counts)
	}
	var size int64
	entries, _ := os.ReadDir(dir)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil {
			size += info.Size()
		}
	}
	if size > limit {
		t.Errorf("%d bytes in files, want at most %d", size, limit)
	}
	events, damaged, err := Read(dir, Filter{})
	if err != nil || len(damaged) > 0 || len(events) == 0 {
		t.Fatalf("Read = %d events, damaged %v, error %v, want some events", len(events), damaged, err)
	}
	if got, want := events[len(events)-1].At, testEvent(3999).At; !got.Equal(want) {
		t.Errorf("newest event of %v, want %v", got, want)
	}
}

func TestEventsAreCountedWhenNoFolderCanBeMade(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "file")
	writeFile(t, blocked, nil)
	got := recordEvents(t, Options{Dir: filepath.Join(blocked, "dir"), Controller: "a"}, 0, 100)
	if want := (Counts{Failed: 100}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// A disk that hangs costs events, which are counted; Record never blocks.
func TestRecordDoesNotBlockWhenDiskHangs(t *testing.T) {
	dir := t.TempDir()
	r, err := NewRecorder(Options{Dir: dir, Controller: "a", Buffer: 10})
	if err != nil {
		t.Fatal(err)
	}
	pipe := openUnreadPipe(t, dir)
	r.log = &logWriter{name: fileName{controller: "a", number: 1, kind: logKind}, file: pipe}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	defer func() {
		cancel()
		pipe.Close() // ends a write that hangs
		<-done
	}()
	began := time.Now()
	for i := range 5000 {
		e := testEvent(i)
		e.Reason = strings.Repeat(fmt.Sprint(i, " "), 2000)
		r.Record(e)
	}
	if took := time.Since(began); took > 5*time.Second || r.Counts().Dropped == 0 {
		t.Errorf("5,000 events took %v beside a hung disk, counts %+v, want at most 5s and some dropped", took, r.Counts())
	}
}

// openUnreadPipe returns a pipe that nobody reads: writing to it hangs once it is full,
// as on a disk that hangs.
func openUnreadPipe(t *testing.T, dir string) *os.File {
	t.Helper()
	path := filepath.Join(dir, "pipe")
	if err := syscall.Mkfifo(path, 0o644); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

func TestNilRecorderRecordsNothing(_ *testing.T) {
	var none *Recorder
	none.Record(testEvent(1))
}

func TestEveryInvalidOptionIsNamed(t *testing.T) {
	options := Options{Controller: "a/b", LimitBytes: -1}
	_, err := NewRecorder(options)
	for _, option := range []string{"dir", "controller", "limit"} {
		if err == nil || !strings.Contains(err.Error(), option) {
			t.Errorf("NewRecorder(%+v): error %v doesn't name %s", options, err, option)
		}
	}
	if invalid, ok := errors.AsType[*OptionError](err); !ok || invalid.Option != "dir" {
		t.Errorf("NewRecorder(%+v): first typed error %+v, want one for dir", options, invalid)
	}
}

// BenchmarkRecord measures what it costs to record an event while files are written.
func BenchmarkRecord(b *testing.B) {
	r, err := NewRecorder(Options{Dir: b.TempDir(), Controller: "a"})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	recorded := 0
	for b.Loop() {
		recorded++
		r.Record(testEvent(recorded))
	}
	b.ReportMetric(float64(r.Counts().Dropped)/float64(recorded), "dropped/op")
	cancel()
	<-done
}

// BenchmarkEncodeSegment measures how large segments are.
func BenchmarkEncodeSegment(b *testing.B) {
	records := testRecords("", 0, defaultSegmentEvents)
	for b.Loop() {
		content, err := encodeSegment(records)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(content))/float64(len(records)), "bytes/event")
	}
}
