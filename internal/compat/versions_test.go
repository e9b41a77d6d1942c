package compat_test

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// The bytes that both earlier versions wrote must decode to the values that they stand for.
// Encoding these values again must give the same keys and contents.
func TestBytesOfEarlierVersionsAreReadAndWrittenUnchanged(t *testing.T) {
	for _, commit := range []string{productionVersion, gangsVersion} {
		data := readHexFile(t, "testdata/"+commit+".hex")
		for _, name := range slices.Sorted(maps.Keys(valuesWrittenBy(commit))) {
			want, raw := valuesWrittenBy(commit)[name], data[name]
			delete(data, name)
			if got, err := decodeAs(reflect.TypeOf(want), raw); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s of %s: decoding\ngot  %+v, %v\nwant %+v", name, commit, got, err, want)
			}
			if encoded := wire.Encode(want); !reflect.DeepEqual(decodeGeneric(t, encoded), decodeGeneric(t, raw)) {
				t.Errorf("%s of %s: encoding\ngot  %s\nwant %s", name, commit, diagnosis(encoded), diagnosis(raw))
			}
		}
		for name := range data {
			t.Errorf("%s of %s: bytes without a value", name, commit)
		}
	}
}

// Both earlier versions must be able to read what this version writes: each field that they
// know must be there and have the value that was written.
func TestEarlierVersionsReadWhatIsWritten(t *testing.T) {
	spec := fullJobSpec()
	spec.Spread = true
	chunk := store.ChunkRecord{NextAttempt: 17, Done: []int{1, 3}, Active: []store.ActiveAttempt{{Task: 4, Attempt: 12, Machine: "n-000231"}}, SubchunkTasks: 64}
	for _, c := range []struct{ written, earlier any }{
		{store.JobRecord{Spec: spec, Status: wire.StatusCancelled, AcceptedAt: 1796000000123, CancelledAt: 1796000005321, TasksPerChunk: 37}, earlierJobRecord{}},
		{chunk, productionChunk{}},
		{chunk, gangsChunk{}},
		{store.FinalRecord{Status: wire.StatusDone, Done: 1600}, earlierFinalRecord{}},
		{store.LeaseRecord{Node: "worker-2", Nonce: "c0ffee"}, earlierLeaseRecord{}},
		{wire.MachineSpecs{Types: []wire.MachineSpec{fullMachineSpec()}}, earlierMachineSpecs{}},
		{fullPeerHeartbeat(), earlierPeerHeartbeat{}},
		{fullAgentHeartbeat(), earlierAgentHeartbeat{}},
		{wire.Commands{Token: 23, Epoch: 24, Commands: []wire.Command{fullCommand()}}, earlierCommands{}},
		{wire.Redirect{Leader: "worker-4"}, earlierRedirect{}},
	} {
		raw, typ := wire.Encode(c.written), reflect.TypeOf(c.earlier)
		decoded, err := decodeAs(typ, raw)
		if err != nil {
			t.Errorf("%v: decoding by an earlier version: %v", typ, err)
			continue
		}
		if missing := unsetFields(reflect.ValueOf(decoded), typ.Name()); len(missing) > 0 {
			t.Errorf("%v: got %s, want also %s", typ, diagnosis(raw), strings.Join(missing, ", "))
		}
		if encoded := wire.Encode(decoded); !isSubset(decodeGeneric(t, encoded), decodeGeneric(t, raw)) {
			t.Errorf("%v: decoded by an earlier version\ngot  %s\nwant %s", typ, diagnosis(encoded), diagnosis(raw))
		}
	}
	// Earlier versions treat a chunk size outside 1 to 256 tasks as 256.
	for _, valueKB := range []float64{0.25, 2, 32} {
		if n := store.TasksPerChunkForLimit(valueKB); n < 1 || n > 256 {
			t.Errorf("%g KiB: got chunks of %d tasks, want 1 to 256", valueKB, n)
		}
	}
}

// A later version may add keys to records and messages. This version must decode the keys
// that it knows and ignore the others.
func TestUnknownKeysAreIgnored(t *testing.T) {
	checkDecodes := func(name string, raw []byte, want any) {
		extended := wire.Encode(withUnknownKeys(decodeGeneric(t, raw)))
		if got, err := decodeAs(reflect.TypeOf(want), extended); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoding %s\ngot  %+v, %v\nwant %+v", name, diagnosis(extended), got, err, want)
		}
	}
	for _, s := range samples() {
		switch s.value.(type) {
		case wire.Entry, wire.EntryPage, wire.Write, wire.Txn, wire.WatchEvent, wire.WatchResponse:
			continue // an added key would change the record that they carry
		}
		if !strings.HasPrefix(s.name, "settings change") { // an added key would be a setting
			checkDecodes(s.name, wire.Encode(s.value), s.value)
		}
	}
	for _, commit := range []string{productionVersion, gangsVersion} {
		for name, raw := range readHexFile(t, "testdata/"+commit+".hex") {
			checkDecodes(name+" of "+commit, raw, valuesWrittenBy(commit)[name])
		}
	}
	values, err := tuning.Override(tuning.Default(), map[string]any{"gangs.spare": 4.0, "gangs.of_tomorrow": "yes"}, false)
	if err != nil || values.SpareGangs != 4 {
		t.Errorf("settings with an unknown name: got %+v, %v, want 4 spare gangs", values, err)
	}
}
