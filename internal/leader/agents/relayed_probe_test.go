package agents

import (
	"encoding/hex"
	"reflect"
	"testing"

	"lilaclead/internal/wire"
)

// relayedProbeData is an encoded relayed probe, in the form that controllers have sent since
// commit 2d2d3f7.
const relayedProbeData = "a264616464726f31302e312e302e3233323a39303030666f7264657273a3656261746f6e18296573686966740266" +
	"6f726465727380"

// The controllers that send and relay a probe may run different versions, so its encoding
// must not change.
func TestRelayedProbeKeepsItsEncoding(t *testing.T) {
	raw, err := hex.DecodeString(relayedProbeData)
	if err != nil {
		t.Fatal(err)
	}
	want := relayedProbe{Addr: "10.1.0.232:9000", Commands: wire.Commands{Token: 41, Epoch: 2, Commands: []wire.Command{}}}
	var got relayedProbe
	if err := wire.Decode(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded probe: got %+v, error %v, want %+v", got, err, want)
	}
	if encoded := hex.EncodeToString(wire.Encode(want)); encoded != relayedProbeData {
		t.Errorf("encoded probe: got\n%s, want\n%s", encoded, relayedProbeData)
	}
}
