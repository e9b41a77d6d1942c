// Package compat tests that versions of the program which run side by side read
// each other's records and messages.
package compat_test

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"lilaclead/duty"
	"lilaclead/internal/admin"
	"lilaclead/internal/cancels"
	"lilaclead/internal/leader"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// sample is a value whose bytes stand in testdata/keys.hex under its name.
type sample struct {
	name  string
	value any
}

// samples holds at least one value of every type that is stored or sent. All
// samples of a type together set each of its fields, and no two fields alike, so
// that a changed, dropped or exchanged key shows.
func samples() []sample {
	return []sample{
		{"job", store.JobRecord{Spec: fullSpec(), Status: wire.Cancelled, AcceptedAt: 1796000000123, CancelledAt: 1796000005321, Chunk: 37}},
		{"chunk", store.ChunkRecord{NextAttempt: 17, Done: []int{0, 3}, Active: []store.ActiveAttempt{{Task: 4, Attempt: 12, Machine: "n-000231"}}, SubchunkTasks: 64}},
		{"held", store.ActiveAttempt{Task: 5, Attempt: 13, Machine: "n-000232"}},
		{"past", store.FinalRecord{Status: wire.Done, Done: 1600}},
		{"bookings", duty.IntentRecord[autoscaler.ScaleOutIntent]{Token: 43, At: 1796000000124, Open: []autoscaler.ScaleOutIntent{{Request: wire.ScaleOutRequest{Name: "b-43-1", Type: "g8", Zone: "a", Spot: true, Count: 9}, Since: 1796000000125}}}},
		{"booking, recorded", autoscaler.ScaleOutIntent{Request: wire.ScaleOutRequest{Name: "b-43-2", Type: "g8", Zone: "b", Spot: true, Count: 8}, Since: 1796000000126}},
		{"returns", duty.IntentRecord[wire.MachineID]{Token: 44, At: 1796000000127, Open: []wire.MachineID{"n-000231", "n-000232"}}},
		{"active version", upgrade.ActiveRecord{Version: 2, By: "worker-2", At: 1796000000128}},
		{"support", upgrade.SupportRecord{Min: 1, Max: 2, Incarnation: "c0ffee", At: 1796000000129}},
		{"job, later", store.JobRecord{Spec: fullSpec(), Status: wire.Queued, AcceptedAt: 1796000000130, MinVersion: 2}},
		{"upgrade status", upgrade.Status{Active: 1, Next: 2, Ceiling: 3, Held: true, Controllers: []upgrade.ControllerStatus{fullControllerStatus()}}},
		{"upgrade status, controller", fullControllerStatus()},
		{"lead", store.LeaderRecord{Node: "worker-2", Nonce: "c0ffee"}},

		{"beat", fullBeat()},
		{"beat, leads", peer.Heartbeat{From: "worker-3", Seq: 10, Token: 43, Leads: true, ReachableWorkers: 122}},
		{"beat, version", peer.Heartbeat{From: "worker-4", Seq: 11, Token: 44, Incarnation: "c0ffee", ActiveVersion: 2}},
		{"word", fullWord()},
		{"cancellation", cancels.Entry{Job: "req-000414", Age: 3 * time.Second}},

		{"reason", wire.ErrorBody{Error: "missing", Field: "owner"}},
		{"flavor", fullFlavor()},
		{"flavors", wire.MachineSpecs{Types: []wire.MachineSpec{fullFlavor()}}},
		{"booking", wire.ScaleOutRequest{Name: "b-1", Type: "g8", Zone: "a", Spot: true, Count: 9}},
		{"hosts", wire.MachineNames{Machines: []wire.MachineID{"n-1", "n-2"}}},
		{"host", fullHost()},
		{"host page", wire.MachinePage{Machines: []wire.ListedMachine{fullHost()}, Truncated: true}},

		{"entry", wire.Entry{Key: "job/req-1", Value: wire.Raw{0x18, 0x63}, Revision: 7, Grant: 8}},
		{"entry page", wire.EntryPage{Entries: []wire.Entry{{Key: "past/req-2", Value: wire.Raw{0x18, 0x64}, Revision: 9, Grant: 10}}, Truncated: true, Revision: 11}},
		{"guard", wire.Guard{Key: "lead", Revision: 12}},
		{"write", wire.Write{Put: "run/req-3/0", Value: wire.Raw{0x18, 0x65}, Grant: 13, Delete: "run/req-4/0"}},
		{"txn", wire.Txn{Guards: []wire.Guard{{Key: "lead", Revision: 14}}, Writes: []wire.Write{{Put: "run/req-5/0", Value: wire.Raw{0x18, 0x66}, Grant: 15, Delete: "run/req-6/0"}}}},
		{"txn result", wire.TxnResult{Revision: 16, Failed: []string{"lead"}}},
		{"grant ask", wire.GrantRequest{TTLMillis: 9000}},
		{"grant result", wire.GrantResult{Grant: 17}},
		{"change", wire.Change{Put: "job/req-7", Delete: "job/req-8", Value: wire.Raw{0x18, 0x67}, Revision: 18}},
		{"changes", wire.Changes{Revision: 19, Events: []wire.Change{{Put: "job/req-9", Delete: "job/req-10", Value: wire.Raw{0x18, 0x68}, Revision: 20}}}},

		{"spec", fullSpec()},
		{"spec, flags", wire.JobSpec{ID: "req-000416", SameZone: true, Spread: true}},
		{"job state", wire.JobState{ID: "req-000417", Status: wire.Running, Done: 21, Running: 22}},
		{"job brief", wire.JobSummary{ID: "req-000418", Status: wire.Queued}},

		{"part state", fullPartState()},
		{"report", fullReport()},
		{"order", fullOrder()},
		{"orders", wire.Commands{Token: 23, Epoch: 24, Commands: []wire.Command{fullOrder()}}},
		{"elsewhere", wire.Redirect{ReportsTo: "worker-4"}},

		{"setting", admin.Setting{Name: "log.level", Value: "debug", Default: "info", Allowed: "words", About: "about"}},
		{"settings listing", admin.Listing{Version: 25, Settings: []admin.Setting{{Name: "gangs.spare", Value: 2.5, Default: 1.5, Allowed: "0 to 100", About: "room"}}}},
		{"settings change", admin.Change{Version: pointer(wire.Revision(26)), Set: map[string]any{"gangs.spare": 3.5}}},
		{"node view", fullNodeView()},
		{"node view, leads", admin.View{Node: "worker-6", Token: 46, Leads: true, Term: &leader.View{}}},
		{"leader view", fullLeaderView()},
		{"machine view", fullMachineView()},
		{"machine view, spot", leader.MachineView{Name: "n-6", Spot: true}},
		{"job view", fullJobView()},
	}
}

func pointer[T any](v T) *T { return &v }

func fullSpec() wire.JobSpec {
	return wire.JobSpec{ID: "req-000412", Class: "train", Team: "vision", Kind: wire.KindGang, Priority: wire.PriorityUrgent, Tasks: 1600, CPUs: 8, GPUs: 1.5, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []wire.MachineType{"g8"}, Zone: "a", SameZone: true, SpotAllowed: true, ExpectedRunTime: 240, CheckpointInterval: 30, CheckpointTime: 4, Deadline: 900}
}

func fullWord() cancels.Update {
	return cancels.Update{Cancelled: []cancels.Entry{{Job: "req-000413", Age: 2 * time.Second}}, OwnSpan: 20 * time.Second, WatermarkAge: 500 * time.Millisecond}
}

func fullBeat() peer.Heartbeat {
	return peer.Heartbeat{From: "worker-2", Seq: 9, Token: 41, Leads: true, StateReachable: true, ReachableWorkers: 120, Delegation: 42, SinceRenewal: 3 * time.Second, Uptime: time.Minute,
		UnconfirmedFor: time.Second, Update: fullWord()}
}

func fullControllerStatus() upgrade.ControllerStatus {
	return upgrade.ControllerStatus{Node: "worker-2", Min: 1, Max: 2, Incarnation: "c0ffee", PublishedAt: 1796000000131, Missing: upgrade.NotInContact}
}

func fullFlavor() wire.MachineSpec {
	return wire.MachineSpec{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, DiskGB: 200, FetchGBPerS: 1, OnDemandPrice: 12, SpotPrice: 4.5, BootTime: 45, Zones: []wire.Zone{"a"}}
}

func fullHost() wire.ListedMachine {
	return wire.ListedMachine{Name: "n-3", Addr: "10.1.0.3:9000", Type: "g8", Zone: "b", Spot: true, State: wire.ListedRunning, Age: 33}
}

func fullPartState() wire.TaskState {
	return wire.TaskState{Task: "req-000419/0", Attempt: 27, Phase: wire.PhaseExited, Cause: wire.CauseGangBroken, Saved: true}
}

func fullReport() wire.Heartbeat {
	return wire.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 2, Sequence: 88, Token: 41,
		SpotNotice: pointer(wire.Seconds(12.5)), Tasks: []wire.TaskState{fullPartState()}}
}

func fullOrder() wire.Command {
	return wire.Command{Verb: wire.Stop, Task: "req-000420/1", Attempt: 28, GracePeriod: pointer(wire.Seconds(2.5))}
}

func fullNodeView() admin.View {
	view := fullLeaderView()
	return admin.View{Node: "worker-1", Token: 45, Leader: "worker-5", Leads: true, Serves: true, Term: &view}
}

func fullLeaderView() leader.View {
	return leader.View{Machines: []leader.MachineView{fullMachineView()}, Jobs: []leader.JobView{fullJobView()}, Deciding: true, PendingScaleOuts: 29}
}

func fullMachineView() leader.MachineView {
	return leader.MachineView{Name: "n-5", Type: "g8", Zone: "a", Spot: true, Booting: true, Drain: "notice", Tasks: 30, SilentSeconds: 1.25, FreeCPUs: 3.75}
}

func fullJobView() leader.JobView {
	return leader.JobView{ID: "req-000421", Class: "train", Team: "vision", Tasks: 31, Done: 32, Active: 33, Failures: 34, AgeSeconds: 35.5, Cancelled: true}
}

// keyData reads the bytes of the samples by their names.
func keyData(t *testing.T) map[string][]byte {
	t.Helper()
	return hexData(t, "testdata/keys.hex")
}

// hexData reads a file of named bytes.
func hexData(t *testing.T, path string) map[string][]byte {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	data := map[string][]byte{}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		name, digits, ok := strings.Cut(lines.Text(), ": ")
		if !ok {
			continue
		}
		raw, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(name, err)
		}
		data[name] = raw
	}
	return data
}

// generic reads a value by the keys that its bytes have.
func generic(t *testing.T, raw []byte) any {
	t.Helper()
	var v any
	if err := wire.Decode(raw, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

func diagnosis(raw []byte) string {
	text, err := cbor.Diagnose(raw)
	if err != nil {
		return err.Error()
	}
	return text
}

// Every type that is stored, sent between nodes, or of the protocol keeps its
// keys: bytes that were written once are read as the whole value that they were
// written from, and that value is written with the same keys and values.
func TestNoKeyChanges(t *testing.T) {
	data := keyData(t)
	for _, s := range samples() {
		raw, ok := data[s.name]
		if !ok {
			t.Errorf("no bytes of %q in testdata/keys.hex; today it is written as %x", s.name, wire.Encode(s.value))
			continue
		}
		delete(data, s.name)
		got := reflect.New(reflect.TypeOf(s.value))
		if err := wire.Decode(raw, got.Interface()); err != nil {
			t.Errorf("%s: %v", s.name, err)
			continue
		}
		if !reflect.DeepEqual(got.Elem().Interface(), s.value) {
			t.Errorf("%s: %s\nis read as  %+v\nand not as %+v", s.name, diagnosis(raw), got.Elem(), s.value)
		}
		written := wire.Encode(s.value)
		if !reflect.DeepEqual(generic(t, written), generic(t, raw)) {
			t.Errorf("%s: is written as %s\nand not as    %s", s.name, diagnosis(written), diagnosis(raw))
		}
	}
	for name := range data {
		t.Errorf("bytes of %q are no longer read by any test", name)
	}
}

// A key that is left out of an empty value, or not, stays so: old nodes, users and
// workers tell a missing field from null.
func TestNoKeyOfEmptyValuesChanges(t *testing.T) {
	want := map[string]string{}
	f, err := os.ReadFile("testdata/empty.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(f)) {
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
			t.Errorf("%s: empty it is written as\n%s, not as\n%s", s.name, got, want[s.name])
		}
	}
}

// The samples set every field of their types, and no two fields of a type alike.
func TestSamplesSetEveryField(t *testing.T) {
	byType := map[reflect.Type][]reflect.Value{}
	for _, s := range samples() {
		v := reflect.ValueOf(s.value)
		byType[v.Type()] = append(byType[v.Type()], v)
	}
	for typ, values := range byType {
		pattern := map[string]string{} // of a field's values in all samples, and its name
		for i := range typ.NumField() {
			field := typ.Field(i)
			if field.Name == "_" {
				continue
			}
			zero, all := true, ""
			for _, v := range values {
				zero = zero && v.Field(i).IsZero()
				all += fmt.Sprintf("%v;", v.Field(i))
			}
			if zero {
				t.Errorf("no sample of %v sets %s", typ, field.Name)
			}
			if other, ok := pattern[all]; ok {
				t.Errorf("the samples of %v set %s and %s alike", typ, field.Name, other)
			}
			pattern[all] = field.Name
		}
	}
}

// unexported are the tags of the structs that no sample can be made of here: of
// unexported types and of structs without a name.
var unexported = []string{
	"nameId lane owner shape urgency parts cpus cards ramGb bundle imageGb kits site samePlace apart standby expectedS snapshotEveryS snapshotS dueS", // a submission
	"at controller kind duty token version why", // an event of the history, which only its own package reads
	"addr orders", // what a node asks another to pass on to a worker
	"version",     // the answer to a change of settings
	"version",     // the same, as the command line reads it
	"ready",       // the answer of a node that is ready
}

// simulators are packages that play the outside world in tests: they send what the
// protocol says and store nothing that the program reads.
var simulators = []string{"simulator", "scenarios"}

// buildOutput is the folder of what is built, by .gitignore no part of the sources.
// A build of the version in production leaves that version's sources there.
const buildOutput = "target"

// A type with keys, anywhere in the program, has a sample.
func TestEveryTypeHasASample(t *testing.T) {
	sampled := map[string]bool{}
	for _, s := range samples() {
		name, _, _ := strings.Cut(reflect.TypeOf(s.value).String(), "[") // of a generic type, without its parameters
		sampled[name] = true
	}
	var others []string
	for _, found := range taggedStructs(t, "../..") {
		if ast.IsExported(found.name) {
			if !sampled[found.pkg+"."+found.name] {
				t.Errorf("%s.%s has keys (%s) and no sample", found.pkg, found.name, found.keys)
			}
			continue
		}
		others = append(others, found.keys)
	}
	slices.Sort(others)
	want := slices.Clone(unexported)
	slices.Sort(want)
	if !slices.Equal(others, want) {
		t.Errorf("unexported structs have the keys\n%s\nnot\n%s", strings.Join(others, "\n"), strings.Join(want, "\n"))
	}
}

type taggedStruct struct{ pkg, name, keys string }

// taggedStructs lists the structs with cbor or json tags in the program's sources.
func taggedStructs(t *testing.T, root string) []taggedStruct {
	t.Helper()
	var out []taggedStruct
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (slices.Contains(simulators, entry.Name()) || entry.Name() == buildOutput || strings.HasPrefix(entry.Name(), ".") && entry.Name() != "..") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		names := map[*ast.StructType]string{}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if typ, ok := spec.Type.(*ast.StructType); ok {
					names[typ] = spec.Name.Name
				}
			}
			if typ, ok := n.(*ast.StructType); ok {
				if keys := tagKeys(typ); len(keys) > 0 {
					out = append(out, taggedStruct{file.Name.Name, names[typ], strings.Join(keys, " ")})
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(out) < len(samples())/2 {
		t.Fatalf("only %d structs with keys found", len(out))
	}
	return out
}

func tagKeys(typ *ast.StructType) []string {
	var keys []string
	for _, field := range typ.Fields.List {
		if field.Tag == nil {
			continue
		}
		text, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			continue
		}
		for _, kind := range []string{"cbor", "json"} {
			if tag, ok := reflect.StructTag(text).Lookup(kind); ok {
				name, options, _ := strings.Cut(tag, ",")
				if name == "" {
					name = "," + options
				}
				keys = append(keys, name)
			}
		}
	}
	return keys
}

// A submission is read by the keys of a stored specification, each of which users
// send.
func TestSubmissionsKeys(t *testing.T) {
	raw := keyData(t)["spec"]
	spec, err := wire.DecodeJobSpec(raw)
	if err != nil || !reflect.DeepEqual(spec, fullSpec()) {
		t.Errorf("%s is read as %+v, %v", diagnosis(raw), spec, err)
	}
}

// Operators' settings are stored under their names.
func TestSettingsKeepTheirNames(t *testing.T) {
	stored := map[string]any{"utility.preferred": 1.5, "utility.fallback": 0.25, "utility.wait_raise_s": 61.0, "round.period_s": 2.0, "services.spare_units": 3.0,
		"gangs.spare": 4.0, "fleet.keep_boots": 0.75, "fleet.stretch_share": 0.7, "fleet.dear_limit": 2.25, "upgrade.max_version": 12.0, "log.level": "debug"}
	want := tuning.Values{Preferred: 1.5, Fallback: 0.25, WaitRaiseS: 61, RoundS: 2, SpareUnits: 3, SpareGangs: 4, IdleBoots: 0.75, LogLevel: "debug", PriceLimit: 2.25, StretchShare: 0.7, MaxVersion: 12}
	raw, err := hex.DecodeString(settingsData)
	if err != nil {
		t.Fatal(err)
	}
	var read map[string]any
	if err := wire.Decode(raw, &read); err != nil || !reflect.DeepEqual(read, stored) {
		t.Errorf("the settings are read as %v, %v", read, err)
	}
	if got, err := tuning.Apply(tuning.Default(), read, true); err != nil || got != want {
		t.Errorf("the settings are taken as %+v, %v, not %+v", got, err, want)
	}
	if len(tuning.Fields) != len(stored) || reflect.TypeFor[tuning.Values]().NumField() != len(stored) {
		t.Errorf("%d settings, of which %d are tested", len(tuning.Fields), len(stored))
	}
}

// What records lie under in the state service.
func TestStoredUnderTheSameKeys(t *testing.T) {
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
			t.Errorf("stored under %q, not %q", got, want)
		}
	}
}

// Words that are stored and sent as values.
func TestNoWordChanges(t *testing.T) {
	for _, c := range []struct{ got, want any }{
		{wire.KindArray, wire.JobKind("sweep")}, {wire.KindService, wire.JobKind("daemon")}, {wire.KindGang, wire.JobKind("ensemble")},
		{wire.PriorityProd, wire.Priority("prod")}, {wire.PriorityUrgent, wire.Priority("urgent")}, {wire.PriorityStandard, wire.Priority("standard")}, {wire.PriorityBestEffort, wire.Priority("best_effort")},
		{wire.Queued, wire.Status("queued")}, {wire.Running, wire.Status("running")}, {wire.Done, wire.Status("done")}, {wire.Cancelled, wire.Status("cancelled")},
		{wire.ListedStarting, wire.ListedState("starting")}, {wire.ListedRunning, wire.ListedState("running")}, {wire.ListedFailed, wire.ListedState("failed")},
		{wire.PhaseFetching, wire.TaskPhase("pulling")}, {wire.PhaseRunning, wire.TaskPhase("running")}, {wire.PhaseWaiting, wire.TaskPhase("waiting")}, {wire.PhaseSaving, wire.TaskPhase("saving")},
		{wire.PhaseExited, wire.TaskPhase("exited")},
		{wire.CauseDone, wire.ExitCause("done")}, {wire.CauseStopped, wire.ExitCause("stopped")}, {wire.CauseError, wire.ExitCause("error")}, {wire.CauseFull, wire.ExitCause("full")},
		{wire.CauseBusy, wire.ExitCause("busy")}, {wire.CauseNoSuch, wire.ExitCause("no_such")}, {wire.CauseGangBroken, wire.ExitCause("mates_gone")}, {wire.CauseGangIncomplete, wire.ExitCause("alone")},
		{wire.Launch, wire.Verb("launch")}, {wire.Stop, wire.Verb("halt")}, {wire.Forget, wire.Verb("forget")},
	} {
		if c.got != c.want {
			t.Errorf("%q was %q", c.got, c.want)
		}
	}
}

// settingsData is what is stored under fact/settings.
const settingsData = "ab73757067726164652e6d61785f76657273696f6efb40280000000000006b67616e67732e7370617265fb401000000000000073666c6565742e737472657463685f7368617265fb3fe666666666666670666c6565742e646561725f6c696d6974fb4002000000000000696c6f672e6c6576656c656465627567717574696c6974792e707265666572726564fb3ff8000000000000707574696c6974792e66616c6c6261636bfb3fd00000000000006e726f756e642e706572696f645f73fb40000000000000007473657276696365732e73706172655f756e697473fb400800000000000070666c6565742e6b6565705f626f6f7473fb3fe8000000000000747574696c6974792e776169745f72616973655f73fb404e800000000000"
