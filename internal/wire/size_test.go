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
func TestJSONSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 120, 200)
		kits := rapid.SliceOfN(text, 0, 64).Draw(t, "kits")
		v := map[string]any{"nameId": text.Draw(t, "id"), "kits": kits, "cpus": rapid.Float64Range(0, 1e9).Draw(t, "cpus"),
			"parts": rapid.Uint64().Draw(t, "parts"), "site": nil, "apart": rapid.Bool().Draw(t, "apart")}
		j, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		// As escaped as JSON can be by the usual writers.
		ascii, plain := 0, 0
		for _, r := range string(j) {
			switch {
			case r > 0xFFFF:
				ascii += 12
			case r > '~':
				ascii += 6
			default:
				ascii++
				plain++
			}
		}
		spaced := ascii + bytes.Count(j, []byte(",")) + bytes.Count(j, []byte(":"))
		got := JSONSize(v)
		if got < ascii || got < len(j) {
			t.Fatalf("estimated %d of %d bytes", got, ascii)
		}
		if got > 2*spaced+40 {
			t.Fatalf("estimated %d where it takes %d", got, spaced)
		}
	})
}
