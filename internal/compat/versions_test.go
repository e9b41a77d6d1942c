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

// Bytes of both earlier versions are decoded as the values that they stand for, and
// these are encoded again as they were.
func TestEarlierVersionsAreRead(t *testing.T) {
	for _, commit := range []string{productionVersion, gangsVersion} {
		data := readHexFile(t, "testdata/"+commit+".hex")
		for _, name := range slices.Sorted(maps.Keys(valuesWrittenBy(commit))) {
			want, raw := valuesWrittenBy(commit)[name], data[name]
			delete(data, name)
			if got, err := decodeAs(reflect.TypeOf(want), raw); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s of %s: decoding\ngot  %+v, %v\nwant %+v", name, commit, got, err, want)
			}
			if now := wire.Encode(want); !reflect.DeepEqual(decodeGeneric(t, now), decodeGeneric(t, raw)) {
				t.Errorf("%s of %s: encoding\ngot  %s\nwant %s", name, commit, diagnosis(now), diagnosis(raw))
			}
		}
		for name := range data {
			t.Errorf("%s of %s: bytes without a value", name, commit)
		}
	}
}

// What is written now is read by both earlier versions: each of the fields that
// they know is there, and has the value that was written.
func TestEarlierVersionsReadWhatIsWritten(t *testing.T) {
	spec := fullJobSpec()
	spec.Spread = true
	chunk := store.ChunkRecord{NextAttempt: 17, Done: []int{1, 3}, Active: []store.ActiveAttempt{{Task: 4, Attempt: 12, Machine: "n-000231"}}, SubchunkTasks: 64}
	for _, c := range []struct{ now, earlier any }{
		{store.JobRecord{Spec: spec, Status: wire.StatusCancelled, AcceptedAt: 1796000000123, CancelledAt: 1796000005321, TasksPerChunk: 37}, earlierJobRecord{}},
		{chunk, productionChunk{}},
		{chunk, gangsChunk{}},
		{store.FinalRecord{Status: wire.StatusDone, Done: 1600}, earlierFinalRecord{}},
		{store.LeaderRecord{Node: "worker-2", Nonce: "c0ffee"}, earlierLeaderRecord{}},
		{wire.MachineSpecs{Types: []wire.MachineSpec{fullMachineSpec()}}, earlierMachineSpecs{}},
		{fullPeerHeartbeat(), earlierPeerHeartbeat{}},
		{fullWorkerHeartbeat(), earlierWorkerHeartbeat{}},
		{wire.Commands{Token: 23, Epoch: 24, Commands: []wire.Command{fullCommand()}}, earlierCommands{}},
		{wire.Redirect{Leader: "worker-4"}, earlierRedirect{}},
	} {
		raw, typ := wire.Encode(c.now), reflect.TypeOf(c.earlier)
		read, err := decodeAs(typ, raw)
		if err != nil {
			t.Errorf("%v: %v", typ, err)
			continue
		}
		if missing := unsetFields(reflect.ValueOf(read), typ.Name()); len(missing) > 0 {
			t.Errorf("%v: got %s, want also %s", typ, diagnosis(raw), strings.Join(missing, ", "))
		}
		if again := wire.Encode(read); !isSubset(decodeGeneric(t, again), decodeGeneric(t, raw)) {
			t.Errorf("%v: decoded by an earlier version\ngot  %s\nwant %s", typ, diagnosis(again), diagnosis(raw))
		}
	}
	// Other sizes of chunks earlier versions take for 256.
	for _, valueKB := range []float64{0.25, 2, 32} {
		if n := store.ChunkTasksFor(valueKB); n < 1 || n > 256 {
			t.Errorf("%g KiB: got chunks of %d tasks, want 1 to 256", valueKB, n)
		}
	}
}

// Records and messages of a version yet to come, with keys that this one does not
// know, are read by the known ones.
func TestUnknownKeysAreIgnored(t *testing.T) {
	read := func(name string, raw []byte, want any) {
		more := wire.Encode(withUnknownKeys(decodeGeneric(t, raw)))
		if got, err := decodeAs(reflect.TypeOf(want), more); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoding %s\ngot  %+v, %v\nwant %+v", name, diagnosis(more), got, err, want)
		}
	}
	for _, s := range samples() {
		switch s.value.(type) {
		case wire.Entry, wire.EntryPage, wire.Write, wire.Txn, wire.WatchEvent, wire.WatchResponse:
			continue // they carry a record as it is
		}
		if !strings.HasPrefix(s.name, "settings change") { // its map has the settings' own names
			read(s.name, wire.Encode(s.value), s.value)
		}
	}
	for _, commit := range []string{productionVersion, gangsVersion} {
		for name, raw := range readHexFile(t, "testdata/"+commit+".hex") {
			read(name+" of "+commit, raw, valuesWrittenBy(commit)[name])
		}
	}
	v, err := tuning.Override(tuning.Default(), map[string]any{"gangs.spare": 4.0, "gangs.of_tomorrow": "yes"}, false)
	if err != nil || v.SpareGangs != 4 {
		t.Errorf("settings with an unknown name: got %+v, %v, want 4 spare gangs", v, err)
	}
}
