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

// Everything that was recorded is read again, by any filter, through logs and segments
// of several processes.
func TestReadReturnsWhatWasRecorded(t *testing.T) {
	dir := t.TempDir()
	for k, controller := range []string{"worker-0", "worker-1"} {
		for process := range 3 {
			options := Options{Dir: dir, Controller: controller, SegmentEvents: 120}
			first := 1000*k + 300*process
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
	content := readFile(t, log.in(dir))
	if err := sealLog(dir, log); err != nil {
		t.Fatal(err)
	}
	writeFile(t, log.in(dir), content)
	events, damaged, err := Read(dir, Filter{})
	if err != nil || len(damaged) > 0 || len(events) != 10 {
		t.Errorf("Read = %d events, damaged %v, error %v, want 10 events", len(events), damaged, err)
	}
}

// writeLog writes a controller's first log, of frames with so many events each.
func writeLog(t *testing.T, dir, controller string, frames ...int) fileName {
	t.Helper()
	name := fileName{controller: controller, number: 1, kind: logKind}
	log, err := createLog(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	first := 0
	for _, events := range frames {
		if err := log.append(testRecords(controller, first, first+events)); err != nil {
			t.Fatal(err)
		}
		first += events
	}
	log.close()
	return name
}

// Of a damaged or truncated file what is intact is read, and the file is named. A
// Recorder that finds it goes on beside it.
func TestDamagedFileIsNamedAndReadAsFarAsIntact(t *testing.T) {
	for name, damage := range map[string]func(content []byte) []byte{
		"truncated": func(content []byte) []byte { return content[:len(content)*2/3] },
		"a byte":    func(content []byte) []byte { content[len(content)/3] ^= 0xFF; return content },
		"emptied":   func([]byte) []byte { return []byte("x") },
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
				if paths, _ := filepath.Glob(filepath.Join(dir, filePrefix+"a-*")); !slices.Equal(paths, []string{file.in(dir)}) {
					t.Fatalf("files %v, want %v alone", paths, file)
				}
				writeFile(t, file.in(dir), damage(readFile(t, file.in(dir))))

				events, damaged, err := Read(dir, Filter{})
				if err != nil || len(damaged) != 1 || !strings.Contains(damaged[0].Error(), file.String()) {
					t.Fatalf("Read: damaged %v, error %v, want %v damaged", damaged, err, file)
				}
				if !errors.Is(damaged[0], ErrDamaged) {
					t.Errorf("damage of %v is %v, want %v", file, damaged[0], ErrDamaged)
				}
				intact := len(events) - 100
				if intact != damaged[0].EventsRead || intact >= 300 {
					t.Errorf("%d events read of %v, said %d, want fewer than 300", intact, file, damaged[0].EventsRead)
				}
				if kind == logKind && name == "truncated" && intact < 50 {
					t.Errorf("%d events read of %v, want at least the first frame's", intact, file)
				}
				if got, want := recordEvents(t, Options{Dir: dir, Controller: "a"}, 400, 500), (Counts{Written: 100}); got.Written != want.Written {
					t.Errorf("a later process: counts %+v, want %+v", got, want)
				}
				if again, _, _ := Read(dir, Filter{}); len(again) != len(events)+100 {
					t.Errorf("%d events after 100 more, want %d", len(again), len(events)+100)
				}
			})
		}
	}
}

// A log that can't be read in full must not lose what a reader might still get.
func TestDamagedLogIsNotSealed(t *testing.T) {
	dir := t.TempDir()
	log := writeLog(t, dir, "a", 10, 10)
	content := readFile(t, log.in(dir))
	writeFile(t, log.in(dir), content[:len(content)-1])
	if err := sealLog(dir, log); !errors.Is(err, ErrDamaged) {
		t.Errorf("sealLog(%v) = %v, want %v", log, err, ErrDamaged)
	}
	if _, err := os.Stat(log.in(dir)); err != nil {
		t.Errorf("the damaged log is lost: %v", err)
	}
	if _, err := os.Stat(log.segment().in(dir)); !errors.Is(err, fs.ErrNotExist) {
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
