// Package compat tests that different versions of the program, which run side by side during
// an upgrade, can read each other's records and messages.
package compat_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// Another version could not read a record or message whose keys had changed. For every type
// that is stored, sent between nodes or part of the protocol, the bytes in
// testdata/keys.hex must still decode to the whole value that they were encoded from, and
// that value must still be encoded with the same keys and values.
func TestKeysOfEncodedTypesDoNotChange(t *testing.T) {
	data := sampleBytes(t)
	for _, s := range samples() {
		raw, ok := data[s.name]
		if !ok {
			t.Errorf("%s: no bytes in testdata/keys.hex; the sample is now encoded as %x", s.name, wire.Encode(s.value))
			continue
		}
		delete(data, s.name)
		got := reflect.New(reflect.TypeOf(s.value))
		if err := wire.Decode(raw, got.Interface()); err != nil {
			t.Errorf("%s: decoding the bytes in testdata/keys.hex: %v", s.name, err)
			continue
		}
		if !reflect.DeepEqual(got.Elem().Interface(), s.value) {
			t.Errorf("%s: decoding %s\ngot  %+v\nwant %+v", s.name, diagnosis(raw), got.Elem(), s.value)
		}
		encoded := wire.Encode(s.value)
		if !reflect.DeepEqual(decodeGeneric(t, encoded), decodeGeneric(t, raw)) {
			t.Errorf("%s: encoding %+v\ngot  %s\nwant %s", s.name, s.value, diagnosis(encoded), diagnosis(raw))
		}
	}
	for name := range data {
		t.Errorf("%s: bytes without a sample in testdata/keys.hex", name)
	}
}

// Earlier versions, users and agents tell a missing field from null. So the keys that a zero
// value is encoded with, and those that it is encoded without, must stay the same.
func TestKeysOfZeroValuesDoNotChange(t *testing.T) {
	want := map[string]string{}
	text, err := os.ReadFile("testdata/empty.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		name, keys, _ := strings.Cut(strings.TrimSpace(line), ": ")
		want[name] = keys
	}
	seen := map[reflect.Type]bool{}
	for _, s := range samples() {
		typ := reflect.TypeOf(s.value)
		if seen[typ] {
			continue
		}
		seen[typ] = true
		if got := diagnosis(wire.Encode(reflect.Zero(typ).Interface())); got != want[s.name] {
			t.Errorf("%s: encoding a zero value\ngot  %s\nwant %s", s.name, got, want[s.name])
		}
	}
}

// If a field were set in no sample, a change of its key would not show; if two fields of a
// type had equal values in all samples, an exchange of their keys would not.
func TestSamplesSetEveryFieldDistinctly(t *testing.T) {
	byType := map[reflect.Type][]reflect.Value{}
	for _, s := range samples() {
		v := reflect.ValueOf(s.value)
		byType[v.Type()] = append(byType[v.Type()], v)
	}
	for typ, values := range byType {
		fieldByValues := map[string]string{} // field name by the field's values in all samples
		for i := range typ.NumField() {
			field := typ.Field(i)
			if field.Name == "_" {
				continue
			}
			isZero, fieldValues := true, ""
			for _, v := range values {
				isZero = isZero && v.Field(i).IsZero()
				fieldValues += fmt.Sprintf("%v;", v.Field(i))
			}
			if isZero {
				t.Errorf("no sample of %v sets %s", typ, field.Name)
			}
			if other, ok := fieldByValues[fieldValues]; ok {
				t.Errorf("the samples of %v have the same values of %s and %s", typ, field.Name, other)
			}
			fieldByValues[fieldValues] = field.Name
		}
	}
}

// A submission and the stored JobSpec are decoded by different types, which must have the
// same keys.
func TestSubmissionHasKeysOfJobSpec(t *testing.T) {
	raw := sampleBytes(t)["spec"]
	spec, err := wire.DecodeJobSpec(raw)
	if err != nil || !reflect.DeepEqual(spec, fullJobSpec()) {
		t.Errorf("%s: got %+v, %v, want %+v", diagnosis(raw), spec, err, fullJobSpec())
	}
}

// Different versions find each other's records by their keys in the key-value store.
func TestStoreKeysOfRecordsDoNotChange(t *testing.T) {
	for got, want := range map[string]string{
		store.JobKey("req-1"):                  "job/req-1",
		store.ChunkKey("req-1", 2):             "run/req-1/2",
		store.SubchunkKey("req-1", 2, 3):       "run/req-1/2/3",
		store.FinalKey("req-1"):                "past/req-1",
		upgrade.ActiveKey:                      "version/active",
		upgrade.SupportKey("worker-2"):         "version/support/worker-2",
		store.LeaderKey:                        "lead",
		duty.IntentKey(duty.ScaleOut{}.Name()): "intent/renting",
		duty.IntentKey(duty.ScaleIn{}.Name()):  "intent/returning",
		store.MachineSpecsKey:                  "fact/flavors",
		store.SettingsKey:                      "fact/settings",
	} {
		if got != want {
			t.Errorf("got the key %q, want %q", got, want)
		}
	}
}

// These constants are stored and sent as values.
func TestStoredAndSentConstantsDoNotChange(t *testing.T) {
	for _, c := range []struct{ got, want any }{
		{wire.KindArray, wire.JobKind("sweep")}, {wire.KindService, wire.JobKind("daemon")}, {wire.KindGang, wire.JobKind("ensemble")},
		{wire.PriorityProd, wire.Priority("prod")}, {wire.PriorityUrgent, wire.Priority("urgent")}, {wire.PriorityStandard, wire.Priority("standard")}, {wire.PriorityBestEffort, wire.Priority("best_effort")},
		{wire.StatusQueued, wire.Status("queued")}, {wire.StatusRunning, wire.Status("running")}, {wire.StatusDone, wire.Status("done")}, {wire.StatusCancelled, wire.Status("cancelled")},
		{wire.ListedStarting, wire.ListedState("starting")}, {wire.ListedRunning, wire.ListedState("running")}, {wire.ListedFailed, wire.ListedState("failed")},
		{wire.PhaseFetching, wire.TaskPhase("pulling")}, {wire.PhaseRunning, wire.TaskPhase("running")}, {wire.PhaseWaiting, wire.TaskPhase("waiting")}, {wire.PhaseCheckpointing, wire.TaskPhase("saving")},
		{wire.PhaseExited, wire.TaskPhase("exited")},
		{wire.CauseDone, wire.ExitCause("done")}, {wire.CauseStopped, wire.ExitCause("stopped")}, {wire.CauseError, wire.ExitCause("error")}, {wire.CauseFull, wire.ExitCause("full")},
		{wire.CauseBusy, wire.ExitCause("busy")}, {wire.CauseNoSuch, wire.ExitCause("no_such")}, {wire.CauseGangBroken, wire.ExitCause("mates_gone")}, {wire.CauseGangIncomplete, wire.ExitCause("alone")},
		{wire.VerbLaunch, wire.Verb("launch")}, {wire.VerbStop, wire.Verb("halt")}, {wire.VerbForget, wire.Verb("forget")},
	} {
		if c.got != c.want {
			t.Errorf("got the constant %q, want %q", c.got, c.want)
		}
	}
}
