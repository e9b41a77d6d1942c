package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "20261201") } //nolint:errcheck // rapid defines the flag

// Unpacking must return the flags that were packed, and the count must be that of the flags.
func TestPackRangesKeepsFlags(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flags := rapid.SliceOfN(rapid.Bool(), 0, MaxTasksPerChunk).Draw(t, "flags")
		ranges := PackRanges(flags)
		unpacked := make([]bool, len(flags))
		SetFlags(ranges, unpacked)
		count := 0
		for i := range flags {
			if flags[i] != unpacked[i] {
				t.Fatalf("flag %d: got %v, want %v, by ranges %v", i, unpacked[i], flags[i], ranges)
			}
			if flags[i] {
				count++
			}
		}
		if CountRanges(ranges) != count {
			t.Fatalf("CountRanges: got %d, want %d", CountRanges(ranges), count)
		}
	})
}

// Invalid stored ranges must not cause an access outside the chunk.
func TestSetFlagsIgnoresRangesOutsideFlags(t *testing.T) {
	flags := make([]bool, 4)
	SetFlags([]int{-3, 2, 3, 900, 7}, flags)
	if want := [4]bool{true, true, false, true}; [4]bool(flags) != want {
		t.Fatalf("SetFlags: got flags %v, want %v", flags, want)
	}
}

// A chunk must be unchanged after encoding and decoding. A chunk with the most tasks allowed
// under a value limit must fit the limit, by its size in JSON and in every mix of task states.
func TestLargestChunkFitsValueLimit(t *testing.T) {
	for _, valueKB := range []float64{1, 4, 16, 32} {
		rapid.Check(t, func(t *rapid.T) {
			size := TasksPerChunkForLimit(valueKB)
			record := ChunkRecord{NextAttempt: 1e8, Done: []int{}, Active: []ActiveAttempt{}}
			done := make([]bool, size)
			maxDoneDraw := rapid.IntRange(0, 4).Draw(t, "share")
			for i := range size {
				switch state := rapid.IntRange(0, 5).Draw(t, "state"); {
				case state > maxDoneDraw:
					record.Active = append(record.Active, ActiveAttempt{Task: i, Attempt: 1e8 - 1 - wire.AttemptNumber(i), Machine: "n-000000001231"})
				case state > 0:
					done[i] = true
				}
			}
			record.Done = PackRanges(done)
			var decoded ChunkRecord
			if err := wire.Decode(wire.Encode(record), &decoded); err != nil || !reflect.DeepEqual(decoded, record) {
				t.Fatalf("decoded chunk: got %v, %v, want %v", decoded, err, record)
			}
			attempts := [][]any{}
			for _, attempt := range record.Active {
				attempts = append(attempts, []any{attempt.Task, attempt.Attempt, attempt.Machine})
			}
			encoded, _ := json.Marshal(map[string]any{"n": record.NextAttempt, "d": record.Done, "r": attempts})
			jsonSize := len(encoded) + bytes.Count(encoded, []byte(",")) + bytes.Count(encoded, []byte(":")) // a space after each
			if jsonSize > int(valueKB*1024) || record.MaxJSONSize() < jsonSize {
				t.Fatalf("chunk in JSON: got %d bytes, estimated as %d, want at most the estimate and at most %g KiB", jsonSize, record.MaxJSONSize(), valueKB)
			}
		})
	}
	if n := TasksPerChunkForLimit(32); n != MaxTasksPerChunk {
		t.Errorf("got %d tasks in a chunk at 32 KiB, want %d", n, MaxTasksPerChunk)
	}
}

func TestParseChunkKeyReversesChunkKey(t *testing.T) {
	if id, chunk, ok := ParseChunkKey(ChunkKey("req-7", 3)); id != "req-7" || chunk != 3 || !ok {
		t.Fatalf("ParseChunkKey: got %s %d %v, want req-7 3 true", id, chunk, ok)
	}
	if id, chunk, subchunk, ok := ParseSubchunkKey(SubchunkKey("req-7", 3, 5)); id != "req-7" || chunk != 3 || subchunk != 5 || !ok {
		t.Fatalf("ParseSubchunkKey: got %s %d %d %v, want req-7 3 5 true", id, chunk, subchunk, ok)
	}
}

func TestParseKeyRejectsKeysOfOtherForms(t *testing.T) {
	cases := []struct {
		name, key           string
		isChunk, isSubchunk bool
	}{
		{name: "chunk", key: "run/req-7/3", isChunk: true},
		{name: "subchunk", key: "run/req-7/3/5", isSubchunk: true},
		{name: "no chunk", key: "run/req-7"},
		{name: "empty chunk", key: "run/req-7/"},
		{name: "negative chunk", key: "run/req-7/-1"},
		{name: "negative subchunk", key: "run/req-7/3/-1"},
		{name: "invalid job id", key: "run/job-7/3"},
		{name: "deeper than a subchunk", key: "run/req-7/3/5/1"},
		{name: "empty", key: ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if _, _, got := ParseChunkKey(tc.key); got != tc.isChunk {
				t.Errorf("ParseChunkKey(%q): got ok %v, want %v", tc.key, got, tc.isChunk)
			}
			if _, _, _, got := ParseSubchunkKey(tc.key); got != tc.isSubchunk {
				t.Errorf("ParseSubchunkKey(%q): got ok %v, want %v", tc.key, got, tc.isSubchunk)
			}
		})
	}
}

func TestDecodeJobRejectsRecordNotValidForKey(t *testing.T) {
	record := func(id wire.JobID, tasks int, minVersion uint64) wire.RawValue {
		return wire.Encode(JobRecord{Spec: wire.JobSpec{ID: id, Tasks: tasks}, Status: wire.StatusQueued, MinVersion: minVersion})
	}
	cases := []struct {
		name  string
		value wire.RawValue
		want  error
	}{
		{"job", record("req-1", 1, 0), nil},
		{"largest number of tasks", record("req-1", wire.MaxTasks, MaxSupportedVersion), nil},
		{"record of another job", record("req-2", 1, 0), ErrRecordMismatch},
		{"no tasks", record("req-1", 0, 0), ErrRecordMismatch},
		{"too many tasks", record("req-1", wire.MaxTasks+1, 0), ErrRecordMismatch},
		{"record of a later version", record("req-1", 1, MaxSupportedVersion+1), ErrRecordTooNew},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := DecodeJob("job/req-1", tc.value); !errors.Is(err, tc.want) {
				t.Errorf("DecodeJob: got error %v, want %v", err, tc.want)
			}
		})
	}
	if _, err := DecodeJob("job/req-1", wire.RawValue{0xff}); err == nil {
		t.Error("DecodeJob: got no error for bytes that are no CBOR")
	}
}
