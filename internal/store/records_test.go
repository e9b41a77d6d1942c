package store

import (
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
		r := Ranges(flags)
		back := make([]bool, len(flags))
		Unpack(r, back)
		n := 0
		for i := range flags {
			if flags[i] != back[i] {
				t.Fatalf("flag %d is lost: %v", i, r)
			}
			if flags[i] {
				n++
			}
		}
		if Count(r) != n {
			t.Fatalf("count %d, want %d", Count(r), n)
		}
	})
}

// Garbage in stored ranges must not reach outside the chunk.
func TestUnpackBounds(t *testing.T) {
	flags := make([]bool, 4)
	Unpack([]int{-3, 2, 3, 900, 7}, flags)
	if want := [4]bool{true, true, false, true}; [4]bool(flags) != want {
		t.Fatalf("flags %v", flags)
	}
}

// A chunk survives its encoding, and the fullest one fits the smallest value
// limit by the size that the service counts.
func TestChunkRecord(t *testing.T) {
	rec := ChunkRecord{Next: 1 << 40}
	for i := range ChunkSize {
		rec.Held = append(rec.Held, Held{Task: i, Try: 1<<40 + wire.Attempt(i), On: "n-00000231"})
	}
	for i := 0; i < ChunkSize; i += 2 {
		rec.Done = append(rec.Done, i, i+1)
	}
	var back ChunkRecord
	if err := wire.Decode(wire.Encode(rec), &back); err != nil || len(back.Held) != ChunkSize || back.Held[7] != rec.Held[7] || back.Next != rec.Next {
		t.Fatalf("came back as %v, %v", back.Held[:1], err)
	}
	list := [][]any{}
	for _, h := range rec.Held {
		list = append(list, []any{h.Task, h.Try, h.On})
	}
	j, _ := json.Marshal(map[string]any{"n": rec.Next, "d": rec.Done, "r": list})
	if len(j) > 16<<10 || rec.JSONSize() < len(j) {
		t.Fatalf("%d bytes, estimated %d", len(j), rec.JSONSize())
	}
	if id, n, ok := ParseChunkKey(ChunkKey("req-7", 3)); id != "req-7" || n != 3 || !ok {
		t.Fatalf("key read as %s %d %v", id, n, ok)
	}
}
