package agents

import (
	"encoding/hex"
	"reflect"
	"testing"

	"lilaclead/internal/wire"
)

// relayedProbeData is what one node asks another to pass on to a worker, as it has
// been written since commit 2d2d3f7.
const relayedProbeData = "a264616464726f31302e312e302e3233323a39303030666f7264657273a3656261746f6e18296573686966740266" +
	"6f726465727380"

// A probe that goes through another node, possibly of another version, keeps
// its keys.
func TestRelayedProbeKeepsItsKeys(t *testing.T) {
	raw, err := hex.DecodeString(relayedProbeData)
	if err != nil {
		t.Fatal(err)
	}
	want := relayedProbe{Addr: "10.1.0.232:9000", Commands: wire.Commands{Token: 41, Epoch: 2, Commands: []wire.Command{}}}
	var got relayedProbe
	if err := wire.Decode(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the probe is read as %+v, %v, not as %+v", got, err, want)
	}
	if now := hex.EncodeToString(wire.Encode(want)); now != relayedProbeData {
		t.Errorf("the probe is written as\n%s, not as\n%s", now, relayedProbeData)
	}
}
