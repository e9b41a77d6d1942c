package wire

import (
	"bytes"
	"encoding/json"
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// The same cases every time.
func init() { flag.Set("rapid.seed", "20261202") } //nolint:errcheck // rapid defines the flag

// The size of a value is never estimated below what its JSON has, however that is
// spaced and escaped, and not much above.
func TestJSONSizeIsNeverBelowActualSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 120, 200)
		types := rapid.SliceOfN(text, 0, 64).Draw(t, "types")
		value := map[string]any{"nameId": text.Draw(t, "id"), "kits": types, "cpus": rapid.Float64Range(0, 1e9).Draw(t, "cpus"),
			"parts": rapid.Uint64().Draw(t, "tasks"), "site": nil, "apart": rapid.Bool().Draw(t, "spread")}
		plain, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		// As escaped as JSON can be by the usual writers.
		escaped := 0
		for _, r := range string(plain) {
			switch {
			case r > 0xFFFF:
				escaped += 12
			case r > '~':
				escaped += 6
			default:
				escaped++
			}
		}
		spaced := escaped + bytes.Count(plain, []byte(",")) + bytes.Count(plain, []byte(":"))
		got := JSONSize(value)
		if got < escaped || got < len(plain) {
			t.Fatalf("%s: got an estimate of %d, want at least %d and %d bytes", plain, got, escaped, len(plain))
		}
		if got > 2*spaced+40 {
			t.Fatalf("%s: got an estimate of %d, want at most %d", plain, got, 2*spaced+40)
		}
	})
}
