package store

import (
	"bytes"
	"encoding/json"
	"flag"
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

// The same cases every time.
func init() { flag.Set("rapid.seed", "20261201") } //nolint:errcheck // rapid defines the flag

// The packed ranges against a plain list of flags.
func TestRangesAgainstFlags(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flags := rapid.SliceOfN(rapid.Bool(), 0, ChunkSize).Draw(t, "flags")
		r := PackRanges(flags)
		back := make([]bool, len(flags))
		SetFlags(r, back)
		n := 0
		for i := range flags {
			if flags[i] != back[i] {
				t.Fatalf("flag %d is lost: %v", i, r)
			}
			if flags[i] {
				n++
			}
		}
		if CountRanges(r) != n {
			t.Fatalf("count %d, want %d", CountRanges(r), n)
		}
	})
}

// Garbage in stored ranges must not reach outside the chunk.
func TestUnpackBounds(t *testing.T) {
	flags := make([]bool, 4)
	SetFlags([]int{-3, 2, 3, 900, 7}, flags)
	if want := [4]bool{true, true, false, true}; [4]bool(flags) != want {
		t.Fatalf("flags %v", flags)
	}
}

// A chunk survives its encoding, and the largest that the value limit allows fits
// it by the size that the service counts, with its tasks in every mix of states.
func TestChunkRecord(t *testing.T) {
	for _, kb := range []float64{1, 4, 16, 32} {
		rapid.Check(t, func(t *rapid.T) {
			size := ChunkTasksFor(kb)
			rec := ChunkRecord{NextAttempt: 1e8, Done: []int{}, Active: []ActiveAttempt{}}
			done := make([]bool, size)
			share := rapid.IntRange(0, 4).Draw(t, "share")
			for i := range size {
				switch what := rapid.IntRange(0, 5).Draw(t, "state"); {
				case what > share:
					rec.Active = append(rec.Active, ActiveAttempt{Task: i, Attempt: 1e8 - 1 - wire.Attempt(i), Machine: "n-000000001231"})
				case what > 0:
					done[i] = true
				}
			}
			rec.Done = PackRanges(done)
			var back ChunkRecord
			if err := wire.Decode(wire.Encode(rec), &back); err != nil || len(back.Active) != len(rec.Active) || len(rec.Active) > 0 && back.Active[0] != rec.Active[0] || back.NextAttempt != rec.NextAttempt {
				t.Fatalf("came back as %v, %v", back, err)
			}
			list := [][]any{}
			for _, h := range rec.Active {
				list = append(list, []any{h.Task, h.Attempt, h.Machine})
			}
			j, _ := json.Marshal(map[string]any{"n": rec.NextAttempt, "d": rec.Done, "r": list})
			spaced := len(j) + bytes.Count(j, []byte(",")) + bytes.Count(j, []byte(":"))
			if spaced > int(kb*1024) || rec.JSONSize() < spaced {
				t.Fatalf("%d bytes, estimated %d, of %g KiB", spaced, rec.JSONSize(), kb)
			}
		})
	}
	if n := ChunkTasksFor(32); n != ChunkSize {
		t.Errorf("%d tasks in a chunk where there is room for all", n)
	}
	if id, n, ok := ParseChunkKey(ChunkKey("req-7", 3)); id != "req-7" || n != 3 || !ok {
		t.Fatalf("key read as %s %d %v", id, n, ok)
	}
}
