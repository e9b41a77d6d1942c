package history

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// Read returns every recorded event that the filter selects, from the logs and segments of
// several processes and controllers.
func TestReadReturnsRecordedEvents(t *testing.T) {
	dir := t.TempDir()
	for controllerIndex, controller := range []string{"worker-0", "worker-1"} {
		for process := range 3 {
			options := Options{Dir: dir, Controller: controller, SegmentEvents: 120}
			first := 1000*controllerIndex + 300*process
			if got, want := recordEvents(t, options, first, first+300), (Counts{Written: 300}); got != want {
				t.Errorf("%s, process %d: counts %+v, want %+v", controller, process, got, want)
			}
		}
	}
	var recorded []Event
	for i := range 2000 {
		if i%1000 < 900 {
			e := testEvent(i)
			e.At, e.Controller = e.At.Local(), fmt.Sprint("worker-", i/1000)
			recorded = append(recorded, e)
		}
	}
	segments, _ := filepath.Glob(filepath.Join(dir, "*"+string(segmentKind)))
	if len(segments) < 4 {
		t.Errorf("got %d segments, want 4 or more", len(segments))
	}
	for name, filter := range map[string]Filter{
		"everything":           {},
		"a span of time":       {From: testStart.Add(250 * time.Second), To: testStart.Add(1300 * time.Second)},
		"a kind and a duty":    {Kind: "acquired", Duty: "renting"},
		"a controller":         {Controller: "worker-1"},
		"a missing controller": {Controller: "none"},
	} {
		t.Run(name, func(t *testing.T) {
			got, damaged, err := Read(dir, filter)
			if err != nil || len(damaged) > 0 {
				t.Errorf("Read(%+v): damaged %v, error %v, want none", filter, damaged, err)
			}
			want := slices.DeleteFunc(slices.Clone(recorded), func(e Event) bool { return !filter.matches(e) })
			if !slices.Equal(got, want) {
				t.Errorf("Read(%+v) = %d events, want %d", filter, len(got), len(want))
			}
		})
	}
}

func TestFilterBoundsAreFromInclusiveToExclusive(t *testing.T) {
	filter := Filter{From: testStart, To: testStart.Add(time.Second)}
	for name, c := range map[string]struct {
		at   time.Time
		want bool
	}{
		"before from": {testStart.Add(-time.Microsecond), false},
		"at from":     {testStart, true},
		"between":     {testStart.Add(time.Millisecond), true},
		"at to":       {testStart.Add(time.Second), false},
	} {
		if got := filter.matches(Event{At: c.at}); got != c.want {
			t.Errorf("%s: matches(%v) = %v, want %v", name, c.at, got, c.want)
		}
	}
}

func TestReadOfMissingFolderFails(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "missing")
	if _, _, err := Read(dir, Filter{}); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Read(%s): error %v, want %v", dir, err, fs.ErrNotExist)
	}
}

// A process that ends between sealing a log and removing it leaves both files.
func TestLogBesideItsSegmentIsReadOnce(t *testing.T) {
	dir := t.TempDir()
	log := writeLog(t, dir, "a", 10)
	content := readFile(t, log.pathIn(dir))
	if err := sealLog(dir, log); err != nil {
		t.Fatal(err)
	}
	writeFile(t, log.pathIn(dir), content)
	events, damaged, err := Read(dir, Filter{})
	if err != nil || len(damaged) > 0 || len(events) != 10 {
		t.Errorf("Read = %d events, damaged %v, error %v, want 10 events", len(events), damaged, err)
	}
}

// writeLog writes a controller's first log, with one frame for each number of events.
func writeLog(t *testing.T, dir, controller string, eventsPerFrame ...int) fileName {
	t.Helper()
	name := fileName{controller: controller, number: 1, kind: logKind}
	log, err := createLog(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	first := 0
	for _, events := range eventsPerFrame {
		if err := log.appendFrame(testRecords(controller, first, first+events)); err != nil {
			t.Fatal(err)
		}
		first += events
	}
	log.close()
	return name
}

// Read returns the intact events of a damaged or truncated file, and reports the file. A later
// Recorder of the same controller writes other files.
func TestDamagedFileIsReportedAndItsIntactEventsAreRead(t *testing.T) {
	for name, damage := range map[string]func(content []byte) []byte{
		"truncated":         func(content []byte) []byte { return content[:len(content)*2/3] },
		"one byte inverted": func(content []byte) []byte { content[len(content)/3] ^= 0xFF; return content },
		"overwritten":       func([]byte) []byte { return []byte("x") },
	} {
		for _, kind := range []fileKind{logKind, segmentKind} {
			t.Run(name+string(kind), func(t *testing.T) {
				dir := t.TempDir()
				file := writeLog(t, dir, "a", 60, 40, 50, 50, 50, 50)
				if kind == segmentKind {
					if err := sealLog(dir, file); err != nil {
						t.Fatal(err)
					}
					file = file.segment()
				}
				recordEvents(t, Options{Dir: dir, Controller: "b"}, 300, 400)
				if paths, _ := filepath.Glob(filepath.Join(dir, filePrefix+"a-*")); !slices.Equal(paths, []string{file.pathIn(dir)}) {
					t.Fatalf("files %v, want only %v", paths, file)
				}
				writeFile(t, file.pathIn(dir), damage(readFile(t, file.pathIn(dir))))

				events, damaged, err := Read(dir, Filter{})
				if err != nil || len(damaged) != 1 || !strings.Contains(damaged[0].Error(), file.String()) {
					t.Fatalf("Read: damaged %v, error %v, want %v damaged", damaged, err, file)
				}
				if !errors.Is(damaged[0], ErrDamaged) {
					t.Errorf("cause for %v: got %v, want %v", file, damaged[0], ErrDamaged)
				}
				intact := len(events) - 100
				if intact != damaged[0].EventsRead || intact >= 300 {
					t.Errorf("%d events read of %v, EventsRead is %d, want the same and fewer than 300", intact, file, damaged[0].EventsRead)
				}
				if kind == logKind && name == "truncated" && intact < 50 {
					t.Errorf("%d events read of %v, want at least 50", intact, file)
				}
				if got, want := recordEvents(t, Options{Dir: dir, Controller: "a"}, 400, 500), (Counts{Written: 100}); got.Written != want.Written {
					t.Errorf("a later process: counts %+v, want %+v", got, want)
				}
				if again, _, _ := Read(dir, Filter{}); len(again) != len(events)+100 {
					t.Errorf("%d events read after 100 more were written, want %d", len(again), len(events)+100)
				}
			})
		}
	}
}

// A log that can't be read in full is kept, so that its unreadable part isn't lost as well.
func TestDamagedLogIsNotSealed(t *testing.T) {
	dir := t.TempDir()
	log := writeLog(t, dir, "a", 10, 10)
	content := readFile(t, log.pathIn(dir))
	writeFile(t, log.pathIn(dir), content[:len(content)-1])
	if err := sealLog(dir, log); !errors.Is(err, ErrDamaged) {
		t.Errorf("sealLog(%v) = %v, want %v", log, err, ErrDamaged)
	}
	if _, err := os.Stat(log.pathIn(dir)); err != nil {
		t.Errorf("damaged log: %v, want it kept", err)
	}
	if _, err := os.Stat(log.segment().pathIn(dir)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("segment of a damaged log: %v, want %v", err, fs.ErrNotExist)
	}
}

func TestFileNamesAreParsed(t *testing.T) {
	for text, want := range map[string]fileName{
		"history-a-000000000001.log.zst":   {controller: "a", number: 1, kind: logKind},
		"history-a-000000000012.parquet":   {controller: "a", number: 12, kind: segmentKind},
		"history-a-b-000000000001.log.zst": {controller: "a-b", number: 1, kind: logKind},
	} {
		got, ok := parseFileName(text)
		if !ok || got != want {
			t.Errorf("parseFileName(%q) = %+v, %v, want %+v", text, got, ok, want)
		}
		if got.String() != text {
			t.Errorf("parseFileName(%q).String() = %q", text, got)
		}
	}
	for _, text := range []string{"", "history-a-1", "history-a.parquet", "history-a-x.parquet", "other-a-1.parquet", "history-a-1.parquet.part"} {
		if got, ok := parseFileName(text); ok {
			t.Errorf("parseFileName(%q) = %+v, want none", text, got)
		}
	}
}
