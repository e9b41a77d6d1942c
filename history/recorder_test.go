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

// The total size of the files stays within the limit, and the newest events are kept.
func TestOldestFilesAreRemovedBeyondSizeLimit(t *testing.T) {
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

func TestEventsAreCountedAsFailedIfFolderCantBeCreated(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	writeFile(t, file, nil)
	got := recordEvents(t, Options{Dir: filepath.Join(file, "dir"), Controller: "a"}, 0, 100)
	if want := (Counts{Failed: 100}); got != want {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}

// While a write hangs, Record doesn't block: events beyond the buffer are dropped and counted.
func TestRecordDoesNotBlockWhenDiskHangs(t *testing.T) {
	dir := t.TempDir()
	r, err := NewRecorder(Options{Dir: dir, Controller: "a", Buffer: 10})
	if err != nil {
		t.Fatal(err)
	}
	pipe := openUnreadPipe(t, dir)
	r.log = &logWriter{name: fileName{controller: "a", number: 1, kind: logKind}, file: pipe}
	ctx, cancel := context.WithCancel(t.Context())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		r.Run(ctx)
	}()
	defer func() {
		cancel()
		pipe.Close() // ends the hanging write
		<-runEnded
	}()
	start := time.Now()
	for i := range 5000 {
		e := testEvent(i)
		e.Reason = strings.Repeat(fmt.Sprint(i, " "), 2000)
		r.Record(e)
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second || r.Counts().Dropped == 0 {
		t.Errorf("5,000 events took %v while a write hung, counts %+v, want at most 5s and some dropped", elapsed, r.Counts())
	}
}

// openUnreadPipe returns a pipe without a reader. Once it is full, writing to it hangs, as on a
// hanging disk.
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
	var recorder *Recorder
	recorder.Record(testEvent(1))
}

func TestEveryInvalidOptionIsReported(t *testing.T) {
	options := Options{Controller: "a/b", LimitBytes: -1}
	_, err := NewRecorder(options)
	for _, option := range []string{"dir", "controller", "limit"} {
		if err == nil || !strings.Contains(err.Error(), option) {
			t.Errorf("NewRecorder(%+v): error %v doesn't contain %s", options, err, option)
		}
	}
	if invalid, ok := errors.AsType[*OptionError](err); !ok || invalid.Option != "dir" {
		t.Errorf("NewRecorder(%+v): first OptionError %+v, want one for dir", options, invalid)
	}
}

// BenchmarkRecord measures the time to record an event while Run writes files, and the share of
// dropped events.
func BenchmarkRecord(b *testing.B) {
	r, err := NewRecorder(Options{Dir: b.TempDir(), Controller: "a"})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		r.Run(ctx)
	}()
	recorded := 0
	for b.Loop() {
		recorded++
		r.Record(testEvent(recorded))
	}
	b.ReportMetric(float64(r.Counts().Dropped)/float64(recorded), "dropped/op")
	cancel()
	<-runEnded
}

// BenchmarkEncodeSegment measures the time to encode a segment, and its size per event.
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
