package cluster

import (
	"testing"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestQuarantinedUntilTheJobIsCancelled(t *testing.T) {
	tests := map[string]struct {
		quarantine, known, cancelled bool
		want                         bool
	}{
		"another job":           {false, true, false, false},
		"record of the job":     {true, true, false, true},
		"job that is not known": {true, false, false, true},
		"cancelled":             {true, true, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			if tt.known {
				addTestJob(s, wire.KindArray, 1, 1).Cancelled = tt.cancelled
			}
			if tt.quarantine {
				s.Quarantine(store.JobKey("req-1"), "req-1")
			}
			if got := s.IsQuarantined("req-1"); got != tt.want {
				t.Errorf("IsQuarantined = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestQuarantineOutdatesOnlyTheRecordThatCannotBeDecoded(t *testing.T) {
	tests := map[string]struct {
		key  string
		want bool
	}{
		"the job's own record": {store.JobKey("req-1"), true},
		"a chunk's record":     {store.ChunkKey("req-1", 0), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			j := addTestJob(s, wire.KindArray, 1, 1)
			s.Quarantine(tt.key, j.Spec.ID)
			if !s.IsQuarantined(j.Spec.ID) || j.RecordOutdated != tt.want {
				t.Errorf("after Quarantine(%q): quarantined %v, record outdated %v, want true and %v", tt.key, s.IsQuarantined(j.Spec.ID), j.RecordOutdated, tt.want)
			}
		})
	}
}
