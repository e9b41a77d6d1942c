package history

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// event number i.
func event(i int) Event {
	return Event{At: start.Add(time.Duration(i) * time.Second), Kind: []string{"acquired", "act refused"}[i%2], Duty: []string{"renting", "returning", ""}[i%3], Token: uint64(100 + i/10), Version: uint64(i % 4), Why: "because"}
}

// record runs a recorder over so many events.
func record(t *testing.T, o Options, from, to int) Counts {
	t.Helper()
	if o.Buffer == 0 {
		o.Buffer = to - from + 1
	}
	o.FlushEvery = time.Millisecond
	r, err := NewRecorder(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	for i := from; i < to; i++ {
		r.Record(event(i))
		if i%50 == 0 {
			time.Sleep(3 * time.Millisecond) // several frames
		}
	}
	cancel()
	<-done
	return r.Counts()
}

// Everything that was recorded is read again, by any filter, through logs and segments
// of several processes.
func TestRecordAndRead(t *testing.T) {
	dir := t.TempDir()
	for k, controller := range []string{"worker-0", "worker-1"} {
		for process := range 3 {
			c := record(t, Options{Dir: dir, Controller: controller, SegmentEvents: 120}, 1000*k+300*process, 1000*k+300*(process+1))
			if c != (Counts{Written: 300}) {
				t.Errorf("%s: %+v", controller, c)
			}
		}
	}
	var want []Event
	for i := range 2000 {
		if i%1000 < 900 {
			e := event(i)
			e.At, e.Controller = e.At.Local(), fmt.Sprint("worker-", i/1000)
			want = append(want, e)
		}
	}
	segments, _ := filepath.Glob(filepath.Join(dir, "*"+segmentEnding))
	if len(segments) < 4 {
		t.Errorf("%d segments", len(segments))
	}
	for _, f := range []Filter{{}, {From: start.Add(250 * time.Second), To: start.Add(1300 * time.Second)}, {Kind: "acquired", Duty: "renting"}, {Controller: "worker-1"}, {Controller: "none"}} {
		got, damaged, err := Read(dir, f)
		if err != nil || len(damaged) > 0 {
			t.Errorf("%+v: %v, %v", f, damaged, err)
		}
		if expect := slices.DeleteFunc(slices.Clone(want), func(e Event) bool { return !f.wants(e) }); !slices.Equal(got, expect) {
			t.Errorf("%+v: %d events, not %d", f, len(got), len(expect))
		}
	}
}

// writeFrames writes a controller's first file, of frames with so many events each.
func writeFrames(t *testing.T, dir, controller string, sealed bool, frames ...int) {
	t.Helper()
	log, err := createLog(dir, file{controller: controller, number: 1})
	if err != nil {
		t.Fatal(err)
	}
	first := 0
	for _, events := range frames {
		var rows []row
		for i := first; i < first+events; i++ {
			e := event(i)
			e.Controller = controller
			rows = append(rows, rowOf(e))
		}
		if err := log.append(rows); err != nil {
			t.Fatal(err)
		}
		first += events
	}
	log.close()
	if !sealed {
		return
	}
	if err := sealLog(dir, log.file); err != nil {
		t.Fatal(err)
	}
}

// A damaged or truncated file: what can be read of it is, and it is named. A recorder
// that finds it goes on beside it.
func TestDamagedFiles(t *testing.T) {
	damage := map[string]func(raw []byte) []byte{
		"truncated": func(raw []byte) []byte { return raw[:len(raw)*2/3] },
		"a byte":    func(raw []byte) []byte { raw[len(raw)/3] ^= 0xFF; return raw },
		"emptied":   func([]byte) []byte { return []byte("x") },
	}
	for name, how := range damage {
		for _, sealed := range []bool{false, true} {
			dir := t.TempDir()
			writeFrames(t, dir, "a", sealed, 60, 40, 50, 50, 50, 50)
			record(t, Options{Dir: dir, Controller: "b"}, 300, 400)
			path, _ := filepath.Glob(filepath.Join(dir, filePrefix+"a-*"))
			raw, err := os.ReadFile(path[0])
			if err != nil || len(path) != 1 {
				t.Fatal(path, err)
			}
			if err := os.WriteFile(path[0], how(raw), 0o644); err != nil {
				t.Fatal(err)
			}
			events, damaged, err := Read(dir, Filter{})
			if err != nil || len(damaged) != 1 || !strings.Contains(damaged[0].String(), filepath.Base(path[0])) {
				t.Errorf("%s, sealed %v: %v, %v", name, sealed, damaged, err)
				continue
			}
			if n := len(events) - 100; n != damaged[0].Read || n >= 300 || !sealed && name == "truncated" && n < 50 {
				t.Errorf("%s, sealed %v: %d events read, said %d", name, sealed, n, damaged[0].Read)
			}
			if c := record(t, Options{Dir: dir, Controller: "a"}, 400, 500); c.Written != 100 {
				t.Errorf("%s, sealed %v: a later process: %+v", name, sealed, c)
			}
			if again, _, _ := Read(dir, Filter{}); len(again) != len(events)+100 {
				t.Errorf("%s, sealed %v: %d events, then %d", name, sealed, len(events), len(again))
			}
		}
	}
}

// Wherever a byte of a segment is wrong, what is read of it is right, or it is not
// read and that is said.
func TestEveryDamagedByte(t *testing.T) {
	path := filepath.Join(t.TempDir(), "segment")
	var rows []row
	for i := range 40 {
		rows = append(rows, rowOf(event(i)))
	}
	raw, err := packSegment(rows)
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		damaged := slices.Clone(raw)
		damaged[i] ^= 0xFF
		if err := os.WriteFile(path, damaged, 0o644); err != nil {
			t.Fatal(err)
		}
		if got, err := readSegment(path); !slices.Equal(got, rows) && (err == nil || len(got) > 0) {
			t.Errorf("byte %d of %d: %d rows, %v", i, len(raw), len(got), err)
		}
	}
}

// segmentRows returns the rows of so many events.
func segmentRows(events int) []row {
	rows := make([]row, events)
	for i := range rows {
		rows[i] = rowOf(event(i))
		rows[i].Controller = "a"
	}
	return rows
}

// A segment that was written before segments had checksums of their bytes is read whole.
func TestSegmentWithoutChecksumsIsRead(t *testing.T) {
	const path = "testdata/history-a-000000000001.parquet"
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := findChecksums(raw); !errors.Is(err, errNoChecksums) {
		t.Errorf("findChecksums(%s) = %v, want %v", path, err, errNoChecksums)
	}
	want := segmentRows(2100)
	got, err := readSegment(path)
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("readSegment(%s) = %d rows, %v, want %d as written", path, len(got), err, len(want))
	}
}

// A reader that doesn't know the checksums finds the rows and their own checksums, as
// the earlier versions of this package do.
func TestSegmentIsPlainParquet(t *testing.T) {
	want := segmentRows(2*groupRows + 52)
	raw, err := packSegment(want)
	if err != nil {
		t.Fatal(err)
	}
	f, err := parquet.OpenFile(bytes.NewReader(raw), int64(len(raw)))
	if err != nil {
		t.Fatal(err)
	}
	var got []row
	for i, group := range f.RowGroups() {
		rows, err := readGroup(group)
		if err != nil {
			t.Fatalf("row group %d: %v", i, err)
		}
		wantSum, _ := f.Lookup(groupSum(i))
		if sum, err := sumOf(rows); err != nil || sum != wantSum {
			t.Errorf("checksum of row group %d = %s, %v, want %s", i, sum, err, wantSum)
		}
		got = append(got, rows...)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %d rows, want %d as written", len(got), len(want))
	}
}

// Whatever part of a segment is overwritten, the row groups outside it are read, unless
// it reaches into the checksums or the footer, without which nothing is.
func TestDamagedGroupsAreSkipped(t *testing.T) {
	want := segmentRows(3 * groupRows)
	raw, err := packSegment(want)
	if err != nil {
		t.Fatal(err)
	}
	checksums, err := findChecksums(raw)
	if err != nil || len(checksums.groups) != 3 {
		t.Fatalf("findChecksums = %+v, %v, want 3 row groups", checksums, err)
	}
	block := bytes.Index(raw, []byte(checksumMarker))
	path := filepath.Join(t.TempDir(), "segment")
	const window = 64
	for at := 0; at+window <= len(raw); at += window / 2 {
		damaged := slices.Clone(raw)
		for i := range window {
			damaged[at+i] ^= 0xA5
		}
		if err := os.WriteFile(path, damaged, 0o644); err != nil {
			t.Fatal(err)
		}
		var wantRead []row
		for i := range checksums.groups {
			touched := at < int(checksums.groups[i].end) && at+window > int(checksums.groupStart(i))
			if !touched && at >= len("PAR1") && at+window <= block {
				wantRead = append(wantRead, want[i*groupRows:(i+1)*groupRows]...)
			}
		}
		got, err := readSegment(path)
		if !slices.Equal(got, wantRead) {
			t.Errorf("bytes %d to %d of %d damaged: got %d rows, want %d", at, at+window, len(raw), len(got), len(wantRead))
		}
		if (err == nil) != (len(wantRead) == len(want)) || err != nil && !errors.Is(err, errDamaged) {
			t.Errorf("bytes %d to %d of %d damaged: got error %v with %d of %d rows", at, at+window, len(raw), err, len(got), len(want))
		}
	}
}

// The files keep within their limit; the newest events are kept.
func TestLimit(t *testing.T) {
	dir := t.TempDir()
	const limit = 12 << 10
	c := record(t, Options{Dir: dir, Controller: "a", SegmentEvents: 100, LimitBytes: limit}, 0, 4000)
	if c.Written != 4000 || c.Removed == 0 {
		t.Errorf("%+v", c)
	}
	var size int64
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			size += info.Size()
		}
	}
	events, damaged, err := Read(dir, Filter{})
	if err != nil || len(damaged) > 0 || size > limit || len(events) == 0 || !events[len(events)-1].At.Equal(event(3999).At) {
		t.Errorf("%d bytes, %d events, %v, %v", size, len(events), damaged, err)
	}
}

// A disk that can't be written, and one that hangs, cost events, which are counted;
// who records never waits.
func TestFailingDisk(t *testing.T) {
	blocked := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(blocked, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	if c := record(t, Options{Dir: filepath.Join(blocked, "dir"), Controller: "a"}, 0, 100); c != (Counts{Failed: 100}) {
		t.Errorf("no folder can be made: %+v", c)
	}
	dir := t.TempDir()
	// Opening a pipe that nobody reads waits, as a hung disk does.
	if err := syscall.Mkfifo(filepath.Join(dir, "pipe"), 0o644); err != nil {
		t.Fatal(err)
	}
	r, err := NewRecorder(Options{Dir: dir, Controller: "a", Buffer: 10})
	if err != nil {
		t.Fatal(err)
	}
	r.log = &logFile{file: file{controller: "a", number: 1}, f: openPipe(t, filepath.Join(dir, "pipe"))}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.Run(ctx)
	began := time.Now()
	for i := range 5000 {
		e := event(i)
		e.Why = strings.Repeat(fmt.Sprint(i, " "), 2000)
		r.Record(e)
	}
	if took := time.Since(began); took > 5*time.Second || r.Counts().Dropped == 0 {
		t.Errorf("5,000 events took %v beside a hung disk, %+v", took, r.Counts())
	}
	var none *Recorder
	none.Record(event(1))
}

// openPipe opens both ends of a pipe and reads nothing, so that writing hangs once it is
// full.
func openPipe(t *testing.T, path string) *os.File {
	t.Helper()
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// What is wrong with the options is named, all of it.
func TestOptions(t *testing.T) {
	_, err := NewRecorder(Options{Controller: "a/b", LimitBytes: -1})
	for _, field := range []string{"dir", "controller", "limit"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v does not name %s", err, field)
		}
	}
}

// What it costs to record an event, with the files being written beside.
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
	i := 0
	for b.Loop() {
		i++
		r.Record(event(i))
	}
	c := r.Counts()
	b.ReportMetric(float64(c.Dropped)/float64(i), "dropped/op")
	cancel()
	<-done
}

// How large the files are.
func BenchmarkSegment(b *testing.B) {
	var rows []row
	for i := range defaultSegmentEvents {
		rows = append(rows, rowOf(event(i)))
	}
	for b.Loop() {
		packed, err := packSegment(rows)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(packed))/float64(len(rows)), "bytes/event")
	}
}
