package history

import (
	"context"
	"os"
	"testing"
	"time"
)

var testStart = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// testEvent returns an event whose fields depend on its number i.
func testEvent(i int) Event {
	return Event{
		At:      testStart.Add(time.Duration(i) * time.Second),
		Kind:    []string{"acquired", "act refused"}[i%2],
		Duty:    []string{"renting", "returning", ""}[i%3],
		Token:   uint64(100 + i/10),
		Version: uint64(i % 4),
		Reason:  "because",
	}
}

// testRecords returns the records of a controller's test events from number first to end-1.
func testRecords(controller string, first, end int) []eventRecord {
	var records []eventRecord
	for i := first; i < end; i++ {
		e := testEvent(i)
		e.Controller = controller
		records = append(records, newEventRecord(e))
	}
	return records
}

// recordEvents has a Recorder write the test events from number first to end-1, and returns
// its counts.
func recordEvents(t *testing.T, options Options, first, end int) Counts {
	t.Helper()
	if options.Buffer == 0 {
		options.Buffer = end - first + 1
	}
	options.FlushEvery = time.Millisecond
	r, err := NewRecorder(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		r.Run(ctx)
	}()
	for i := first; i < end; i++ {
		r.Record(testEvent(i))
		if i%50 == 0 {
			time.Sleep(3 * time.Millisecond) // so that the events are written in several frames
		}
	}
	cancel()
	<-runEnded
	return r.Counts()
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatal(err)
	}
}

// readFile returns the content of a file that must exist.
func readFile(t *testing.T, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}
