package wire

import (
	"bytes"
	"encoding/json"
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes every run test the same cases.
func init() { flag.Set("rapid.seed", "20261202") } //nolint:errcheck // rapid defines the flag

// An estimate below the actual size would let the key-value store refuse a record that
// passed the check of its size. An estimate far above would reject records that fit.
func TestMaxJSONSizeIsNeverBelowAndNotFarAboveActualSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 120, 200)
		types := rapid.SliceOfN(text, 0, 64).Draw(t, "types")
		value := map[string]any{"nameId": text.Draw(t, "id"), "kits": types, "cpus": rapid.Float64Range(0, 1e9).Draw(t, "cpus"),
			"parts": rapid.Uint64().Draw(t, "tasks"), "site": nil, "apart": rapid.Bool().Draw(t, "spread")}
		plain, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		// The length of the JSON with every character escaped that the usual encoders escape.
		escapedLen := 0
		for _, r := range string(plain) {
			switch {
			case r > 0xFFFF:
				escapedLen += 12
			case r > '~':
				escapedLen += 6
			default:
				escapedLen++
			}
		}
		spacedLen := escapedLen + bytes.Count(plain, []byte(",")) + bytes.Count(plain, []byte(":"))
		got := MaxJSONSize(value)
		if got < escapedLen || got < len(plain) {
			t.Fatalf("%s: got an estimate of %d, want at least %d and %d bytes", plain, got, escapedLen, len(plain))
		}
		if got > 2*spacedLen+40 {
			t.Fatalf("%s: got an estimate of %d, want at most %d", plain, got, 2*spacedLen+40)
		}
	})
}
