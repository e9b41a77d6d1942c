package store

import (
	"testing"

	"lilaclead/internal/wire"
)

func TestHasActiveAttempt(t *testing.T) {
	entry := func(key string, record ChunkRecord) wire.Entry {
		return wire.Entry{Key: key, Value: wire.Encode(record)}
	}
	chunk := entry(ChunkKey("req-1", 0), ChunkRecord{Active: []ActiveAttempt{{Task: 3, Attempt: 7, Machine: "n-1"}, {Task: 12, Attempt: 9, Machine: "n-2"}}})
	subchunk := entry(SubchunkKey("req-1", 0, 1), ChunkRecord{SubchunkTasks: 10, Active: []ActiveAttempt{{Task: 1, Attempt: 8, Machine: "n-3"}}})
	cases := []struct {
		name     string
		progress []wire.Entry
		wanted   ActiveAttempt
		want     bool
	}{
		{"in the chunk", []wire.Entry{chunk}, ActiveAttempt{Task: 3, Attempt: 7, Machine: "n-1"}, true},
		{"another attempt", []wire.Entry{chunk}, ActiveAttempt{Task: 3, Attempt: 6, Machine: "n-1"}, false},
		{"another machine", []wire.Entry{chunk}, ActiveAttempt{Task: 3, Attempt: 7, Machine: "n-2"}, false},
		{"no progress recorded", nil, ActiveAttempt{Task: 3, Attempt: 7, Machine: "n-1"}, false},
		{"in a sub-chunk", []wire.Entry{subchunk, chunk}, ActiveAttempt{Task: 11, Attempt: 8, Machine: "n-3"}, true},
		{"in the chunk, outside the sub-chunk", []wire.Entry{subchunk, chunk}, ActiveAttempt{Task: 3, Attempt: 7, Machine: "n-1"}, true},
		{"in the chunk, replaced by the sub-chunk", []wire.Entry{subchunk, chunk}, ActiveAttempt{Task: 12, Attempt: 9, Machine: "n-2"}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got, err := hasActiveAttempt(tc.progress, tc.wanted); got != tc.want || err != nil {
				t.Errorf("%+v: got %v, %v; want %v", tc.wanted, got, err, tc.want)
			}
		})
	}
	if _, err := hasActiveAttempt([]wire.Entry{{Key: "run/req-1/0", Value: wire.RawValue{0xff}}}, ActiveAttempt{}); err == nil {
		t.Error("undecodable record: no error")
	}
}
