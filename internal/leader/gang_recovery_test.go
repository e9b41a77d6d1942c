package leader

import (
	"testing"

	"lilaclead/internal/store"
)

func TestGangIsRestoredFromItsRecords(t *testing.T) {
	cases := []struct {
		name     string
		records  []store.ChunkRecord
		wantGang bool
		// wantBroken means that the gang's remaining tasks are stopped, so that it can start
		// again.
		wantBroken bool
	}{
		{"complete", gangChunkRecords(4, 4, 4), true, false},
		{"incomplete", gangChunkRecords(4, 4, 0), true, true},
		{"one has another number", gangChunkRecords(4, 3, 4), true, true},
		{"the last has another number", gangChunkRecords(4, 4, 3), true, true},
		{"no attempts", gangChunkRecords(0, 0, 0), false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, j := newTermFromRecords(t, c.records)
			if (j.Gang != nil) != c.wantGang {
				t.Fatalf("gang: got %+v, want one: %v", j.Gang, c.wantGang)
			}
			if c.wantGang && (j.Gang.AttemptNumber != gangAttemptNumber || !j.Gang.Inherited || j.Gang.HasRun) {
				t.Errorf("gang: got %+v, want number %d, inherited, not known to have run", j.Gang, gangAttemptNumber)
			}
			tm.dispatcher.StopBrokenGangs()
			if c.wantGang && j.Gang.Broken != c.wantBroken {
				t.Errorf("broken: got %v, want %v", j.Gang.Broken, c.wantBroken)
			}
			for _, a := range j.Attempts() {
				if a.Stopping != c.wantBroken || a.MayLaunch() == c.wantBroken {
					t.Errorf("%v: got stopping %v, may launch %v, want %v, %v", a.Task(), a.Stopping, a.MayLaunch(), c.wantBroken, !c.wantBroken)
				}
			}
		})
	}
}

// When one task of a gang is recorded as done, all of them are done, whatever else is
// recorded.
func TestGangRecordedAsDoneInPartIsDone(t *testing.T) {
	cases := []struct {
		name    string
		records []store.ChunkRecord
	}{
		{"the others active", gangChunkRecords(4, 0, 4)},
		{"another active", gangChunkRecords(4, 0, 0)},
		{"no others", gangChunkRecords(0, 0, 0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.records[0].Done = store.PackRanges([]bool{false, true})
			tm, j := newTermFromRecords(t, c.records)
			checkGangDone(t, tm, j)
		})
	}
}
