package compat_test

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// What earlier versions wrote stands in testdata, in a file that is named after the
// commit whose own code wrote it: records as they lay in the simulated state
// service, under their keys, and messages as they were encoded.
//
// 2d2d3f7 is the version that deploy/service.toml names as production, the last
// one before gangs: jobs with chunks of 256 tasks, and a service.
//
// 78c1803 is the first complete version with gangs. Its records were read after the
// limits of the state service had dropped: gangs, one of them in two chunks, and a
// job with a chunk of 256 tasks of which pieces had been written.
const (
	production = "2d2d3f7"
	firstGangs = "78c1803"
)

// placed is a run of tasks of a chunk that one machine holds. Their attempts have
// consecutive numbers, or all the same in a gang.
type placed struct {
	task  int
	try   wire.Attempt
	count int
	on    wire.MachineID
}

func held(step wire.Attempt, runs ...placed) []store.ActiveAttempt {
	var out []store.ActiveAttempt
	for _, r := range runs {
		for i := range r.count {
			out = append(out, store.ActiveAttempt{Task: r.task + i, Attempt: r.try + step*wire.Attempt(i), Machine: r.on})
		}
	}
	return out
}

func smallArray(id wire.JobID, expected wire.Seconds) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "solve", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard, Tasks: 260, CPUs: 0.5, MemoryGB: 1.5, Image: "img-a", ImageGB: 1,
		MachineTypes: []wire.MachineType{"c4", "c16"}, SpotAllowed: true, ExpectedRunTime: expected, CheckpointInterval: 30, CheckpointTime: 4, Deadline: 900}
}

func smallGang(id wire.JobID, tasks int, cpus, ram float64, oneZone bool) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "clash", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityUrgent, Tasks: tasks, CPUs: cpus, MemoryGB: ram, Image: "img-g", ImageGB: 1,
		SameZone: oneZone, ExpectedRunTime: 100, CheckpointInterval: 20, CheckpointTime: 2}
}

func storedFlavors() wire.MachineSpecs {
	return wire.MachineSpecs{Types: []wire.MachineSpec{
		{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 20, FetchGBPerS: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootTime: 10, Zones: []wire.Zone{"a", "b"}},
		{Name: "c16", CPUs: 16, MemoryGB: 64, DiskGB: 20, FetchGBPerS: 1, OnDemandPrice: 1.1, SpotPrice: 0.4, BootTime: 10, Zones: []wire.Zone{"a", "b"}},
	}}
}

func sentReport(tasks ...wire.TaskState) wire.Heartbeat {
	return wire.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 1, Sequence: 88, Token: 41,
		SpotNotice: pointer(wire.Seconds(12.5)), Tasks: tasks}
}

// messagesOfBoth are the messages that both versions wrote.
func messagesOfBoth() map[string]any {
	return map[string]any{
		"message beat": peer.Heartbeat{From: "worker-1", Seq: 9, Token: 41, Leads: true, StateReachable: true, ReachableWorkers: 120},
		"message ack": peer.Heartbeat{From: "worker-2", Seq: 9, Token: 41, StateReachable: true, Delegation: 41, SinceRenewal: 3 * time.Second, Uptime: time.Minute, UnconfirmedFor: time.Second,
			Update: cancels.Update{Cancelled: []cancels.Entry{{Job: "req-000413", Age: 2 * time.Second}}, OwnSpan: 20 * time.Second, WatermarkAge: 500 * time.Millisecond}},
		"message report": sentReport(wire.TaskState{Task: "req-000412/3", Attempt: 2, Phase: wire.PhaseRunning},
			wire.TaskState{Task: "req-000398/0", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseDone, Saved: true}),
		"message orders": wire.Commands{Token: 41, Epoch: 1, Commands: []wire.Command{{Verb: wire.Launch, Task: "req-000412/3", Attempt: 2},
			{Verb: wire.Stop, Task: "req-000398/0", Attempt: 1, GracePeriod: pointer(wire.Seconds(6))}}},
	}
}

// written are the values that the bytes of a version stand for.
func written(commit string) map[string]any {
	values := messagesOfBoth()
	switch commit {
	case production:
		maps.Copy(values, map[string]any{
			"fact/flavors":   storedFlavors(),
			"job/req-000001": store.JobRecord{Spec: smallArray("req-000001", 60), Status: wire.Queued, AcceptedAt: 946684802001, Chunk: 256},
			"job/req-000002": store.JobRecord{Status: wire.Queued, AcceptedAt: 946684802001, Chunk: 256, Spec: wire.JobSpec{ID: "req-000002", Class: "portal", Team: "blue",
				Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: 3, CPUs: 1, MemoryGB: 3, Image: "img-b", ImageGB: 1, Spread: true}},
			"lead":            store.LeaderRecord{Node: "worker-1", Nonce: "OA5NX7QCZ6OJIQ3476RZVCWUEP"},
			"past/req-000003": store.FinalRecord{Status: wire.Done, Done: 4},
			"past/req-000004": store.FinalRecord{Status: wire.Cancelled},
			"run/req-000001/0": store.ChunkRecord{NextAttempt: 39, Active: held(1, placed{0, 1, 4, "n-000004"}, placed{4, 5, 8, "n-000001"}, placed{12, 13, 8, "n-000002"},
				placed{20, 21, 2, "n-000000"}, placed{22, 23, 8, "n-000005"}, placed{30, 31, 4, "n-000004"}, placed{34, 35, 2, "n-000000"}, placed{36, 37, 2, "n-000003"})},
			"run/req-000002/0": store.ChunkRecord{NextAttempt: 4, Active: held(1, placed{0, 1, 2, "n-000003"}, placed{2, 3, 1, "n-000000"})},
		})
	case firstGangs:
		maps.Copy(values, map[string]any{
			"message gang report": sentReport(wire.TaskState{Task: "req-000412/3", Attempt: 2, Phase: wire.PhaseWaiting},
				wire.TaskState{Task: "req-000398/0", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseGangBroken},
				wire.TaskState{Task: "req-000399/0", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseGangIncomplete}),
			"fact/flavors":    storedFlavors(),
			"job/req-000005":  store.JobRecord{Spec: smallGang("req-000005", 3, 2, 6, true), Status: wire.Queued, AcceptedAt: 946684802001, Chunk: 256},
			"job/req-000007":  store.JobRecord{Spec: smallArray("req-000007", 500), Status: wire.Queued, AcceptedAt: 946684802001, Chunk: 256},
			"job/req-000008":  store.JobRecord{Spec: smallGang("req-000008", 60, 0.25, 0.5, false), Status: wire.Queued, AcceptedAt: 946684877001, Chunk: 56},
			"lead":            store.LeaderRecord{Node: "worker-1", Nonce: "E4Z65TAKY2EZZ3AI6ABR77BQ7P"},
			"past/req-000004": store.FinalRecord{Status: wire.Cancelled},
			"past/req-000006": store.FinalRecord{Status: wire.Done, Done: 60},
			// A chunk of 256 tasks, and a piece that holds in its place for 32.
			"run/req-000007/0": store.ChunkRecord{NextAttempt: 80, Active: held(1, placed{0, 1, 6, "n-000013"}, placed{6, 7, 1, "n-000015"}, placed{7, 8, 4, "n-000016"},
				placed{11, 12, 8, "n-000012"}, placed{19, 20, 28, "n-000016"}, placed{47, 48, 31, "n-000015"}, placed{78, 79, 1, "n-000017"})},
			"run/req-000007/0/1": store.ChunkRecord{NextAttempt: 111, SubchunkTasks: 32, Active: held(1, placed{0, 33, 15, "n-000016"}, placed{15, 48, 17, "n-000015"})},
			// Pieces of a job with completed tasks.
			"run/req-000001/0/7": store.ChunkRecord{NextAttempt: 257, Done: []int{0, 32}, Active: []store.ActiveAttempt{}, SubchunkTasks: 32},
			"run/req-000001/1/0": store.ChunkRecord{NextAttempt: 5, Done: []int{0, 2}, Active: held(1, placed{2, 3, 2, "n-000013"}), SubchunkTasks: 32},
			// A gang in one chunk, and one in two.
			"run/req-000005/0": store.ChunkRecord{NextAttempt: 2, Active: held(0, placed{0, 1, 3, "n-000006"})},
			"run/req-000008/0": store.ChunkRecord{NextAttempt: 2, Active: held(0, placed{0, 1, 4, "n-000006"}, placed{4, 1, 8, "n-000003"}, placed{12, 1, 4, "n-000007"},
				placed{16, 1, 12, "n-000005"}, placed{28, 1, 16, "n-000000"}, placed{44, 1, 12, "n-000001"})},
			"run/req-000008/1": store.ChunkRecord{NextAttempt: 2, Active: held(0, placed{0, 1, 4, "n-000001"})},
			"run/req-000002/0": store.ChunkRecord{NextAttempt: 4, Active: held(1, placed{0, 1, 2, "n-000007"}, placed{2, 3, 1, "n-000006"})},
		})
	}
	return values
}

// Bytes of both earlier versions are read as the whole values that they stand for,
// and these are written again as they were.
func TestEarlierVersionsAreRead(t *testing.T) {
	for _, commit := range []string{production, firstGangs} {
		data := hexData(t, "testdata/"+commit+".hex")
		for _, name := range slices.Sorted(maps.Keys(written(commit))) {
			want, raw := written(commit)[name], data[name]
			delete(data, name)
			if got, err := decodeAs(reflect.TypeOf(want), raw); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s of %s is read as\n%+v, %v, not as\n%+v", name, commit, got, err, want)
			}
			if now := wire.Encode(want); !reflect.DeepEqual(generic(t, now), generic(t, raw)) {
				t.Errorf("%s is now written as\n%s, by %s as\n%s", name, diagnosis(now), commit, diagnosis(raw))
			}
		}
		for name := range data {
			t.Errorf("%s of %s is not read", name, commit)
		}
	}
}

func decodeAs(typ reflect.Type, raw []byte) (any, error) {
	v := reflect.New(typ)
	err := wire.Decode(raw, v.Interface())
	return v.Elem().Interface(), err
}

// The fields by which 2d2d3f7 and 78c1803 read. What differs says so.
type (
	earlierJob struct {
		Spec   earlierSpec `cbor:"spec"`
		Status string      `cbor:"status"`
		At     int64       `cbor:"at"`
		Ended  int64       `cbor:"ended,omitempty"`
		Chunk  int         `cbor:"chunk,omitempty"`
	}
	earlierSpec struct {
		ID             string   `cbor:"nameId"`
		Class          string   `cbor:"lane"`
		Team           string   `cbor:"owner"`
		Shape          string   `cbor:"shape"`
		Priority       string   `cbor:"urgency"`
		Tasks          int      `cbor:"parts"`
		CPUs           float64  `cbor:"cpus"`
		Cards          float64  `cbor:"cards"`
		RAM            float64  `cbor:"ramGb"`
		Image          string   `cbor:"bundle"`
		ImageGB        float64  `cbor:"imageGb"`
		Types          []string `cbor:"kits,omitempty"`
		Zone           string   `cbor:"site,omitempty"`
		OneZone        bool     `cbor:"samePlace"`
		Spread         bool     `cbor:"apart"`
		Spot           bool     `cbor:"standby"`
		Expected       float64  `cbor:"expectedS"`
		SnapshotEveryS float64  `cbor:"snapshotEveryS"`
		SnapshotS      float64  `cbor:"snapshotS"`
		Deadline       float64  `cbor:"dueS,omitempty"`
	}
	earlierHeld struct {
		_       struct{} `cbor:",toarray"`
		Task    int
		Attempt uint64
		On      string
	}
	productionChunk struct {
		Next uint64        `cbor:"n"`
		Done []int         `cbor:"d"`
		Held []earlierHeld `cbor:"r"`
	}
	firstGangsChunk struct {
		Next uint64        `cbor:"n"`
		Done []int         `cbor:"d"`
		Held []earlierHeld `cbor:"r"`
		Size int           `cbor:"s,omitempty"` // not known to 2d2d3f7
	}
	earlierPast struct {
		Status string `cbor:"status"`
		Done   int    `cbor:"done"`
	}
	earlierLead struct {
		Node  string `cbor:"node"`
		Nonce string `cbor:"nonce"`
	}
	earlierFlavor struct {
		Name       string   `cbor:"name"`
		CPUs       float64  `cbor:"cpus"`
		Cards      float64  `cbor:"cards"`
		RAM        float64  `cbor:"ramGb"`
		LocalGB    float64  `cbor:"localGb"`
		PullGBPerS float64  `cbor:"pullGbPerS"`
		Rate       float64  `cbor:"rate"`
		LowPrice   float64  `cbor:"lowPrice"`
		ReadyS     float64  `cbor:"readyS"`
		Zones      []string `cbor:"sites"`
	}
	earlierFlavors struct {
		Flavors []earlierFlavor `cbor:"kits"`
	}
	earlierBeat struct {
		From      string                `cbor:"from"`
		Seq       uint64                `cbor:"seq"`
		Token     uint64                `cbor:"token"`
		Leads     bool                  `cbor:"leads"`
		Serves    bool                  `cbor:"serves"`
		Hears     int                   `cbor:"hears"`
		Grants    uint64                `cbor:"grants,omitempty"`
		Stood     int64                 `cbor:"stood,omitempty"`
		Age       int64                 `cbor:"age,omitempty"`
		Unproven  int64                 `cbor:"unproven,omitempty"`
		Cancelled []earlierCancellation `cbor:"cancelled,omitempty"`
		Vouches   int64                 `cbor:"vouches,omitempty"`
		Knew      int64                 `cbor:"knew,omitempty"`
	}
	earlierCancellation struct {
		Job string `cbor:"j"`
		Age int64  `cbor:"a"`
	}
	// earlierReport is relayed from node to node as it comes from a worker.
	earlierReport struct {
		Host     string        `cbor:"host"`
		Addr     string        `cbor:"addr"`
		Type     string        `cbor:"kit"`
		Zone     string        `cbor:"site"`
		Spot     bool          `cbor:"standby"`
		Session  uint64        `cbor:"shift"`
		Sequence uint64        `cbor:"tally"`
		Token    uint64        `cbor:"baton"`
		WarningS *float64      `cbor:"warningS"`
		Tasks    []earlierTask `cbor:"parts"`
	}
	earlierTask struct {
		Task    string `cbor:"part"`
		Attempt uint64 `cbor:"try"`
		Phase   string `cbor:"status"`
		Cause   string `cbor:"cause,omitempty"`
		Saved   bool   `cbor:"saved,omitempty"`
	}
	// earlierOrders are the answer to a relayed report, and what a relayed question
	// carries.
	earlierOrders struct {
		Token   uint64         `cbor:"baton"`
		Session uint64         `cbor:"shift,omitempty"`
		Orders  []earlierOrder `cbor:"orders"`
	}
	earlierOrder struct {
		Verb     string   `cbor:"verb"`
		Task     string   `cbor:"part"`
		Attempt  uint64   `cbor:"try"`
		WindDown *float64 `cbor:"windDownS,omitempty"`
	}
	earlierRedirect struct {
		ReportsTo string `cbor:"reportsTo,omitempty"`
	}
)

// What is written now is read by both earlier versions: each of the fields that
// they know is there, and has the value that was written.
func TestEarlierVersionsReadWhatIsWritten(t *testing.T) {
	spec := fullSpec()
	spec.Spread = true
	chunk := store.ChunkRecord{NextAttempt: 17, Done: []int{1, 3}, Active: []store.ActiveAttempt{{Task: 4, Attempt: 12, Machine: "n-000231"}}, SubchunkTasks: 64}
	for _, c := range []struct{ now, earlier any }{
		{store.JobRecord{Spec: spec, Status: wire.Cancelled, AcceptedAt: 1796000000123, CancelledAt: 1796000005321, Chunk: 37}, earlierJob{}},
		{chunk, productionChunk{}},
		{chunk, firstGangsChunk{}},
		{store.FinalRecord{Status: wire.Done, Done: 1600}, earlierPast{}},
		{store.LeaderRecord{Node: "worker-2", Nonce: "c0ffee"}, earlierLead{}},
		{wire.MachineSpecs{Types: []wire.MachineSpec{fullFlavor()}}, earlierFlavors{}},
		{fullBeat(), earlierBeat{}},
		{fullReport(), earlierReport{}},
		{wire.Commands{Token: 23, Epoch: 24, Commands: []wire.Command{fullOrder()}}, earlierOrders{}},
		{wire.Redirect{ReportsTo: "worker-4"}, earlierRedirect{}},
	} {
		raw, typ := wire.Encode(c.now), reflect.TypeOf(c.earlier)
		read, err := decodeAs(typ, raw)
		if err != nil {
			t.Errorf("%v: %v", typ, err)
			continue
		}
		if missing := unset(reflect.ValueOf(read), typ.Name()); len(missing) > 0 {
			t.Errorf("earlier versions miss %s in %s", strings.Join(missing, ", "), diagnosis(raw))
		}
		if again := wire.Encode(read); !within(generic(t, again), generic(t, raw)) {
			t.Errorf("earlier versions read\n%s where is written\n%s", diagnosis(again), diagnosis(raw))
		}
	}
	// Other sizes of chunks earlier versions take for 256.
	for _, valueKB := range []float64{0.25, 2, 32} {
		if n := store.ChunkTasksFor(valueKB); n < 1 || n > 256 {
			t.Errorf("chunks of %d tasks at %g KiB", n, valueKB)
		}
	}
}

// unset lists the fields that have not been read.
func unset(v reflect.Value, path string) []string {
	switch v.Kind() {
	case reflect.Struct:
		var out []string
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				out = append(out, unset(v.Field(i), path+"."+f.Name)...)
			}
		}
		return out
	case reflect.Slice:
		if v.Len() > 0 {
			return unset(v.Index(0), path+"[0]")
		}
	}
	if v.IsZero() {
		return []string{path}
	}
	return nil
}

// within tells whether all of a stands in b, which may have more keys.
func within(a, b any) bool {
	switch x := a.(type) {
	case map[any]any:
		y, ok := b.(map[any]any)
		for k, v := range x {
			ok = ok && within(v, y[k])
		}
		return ok
	case []any:
		y, ok := b.([]any)
		if !ok || len(x) != len(y) {
			return false
		}
		for i := range x {
			if !within(x[i], y[i]) {
				return false
			}
		}
		return true
	default:
		return reflect.DeepEqual(a, b)
	}
}

// Records and messages of a version yet to come, with keys that this one does not
// know, are read by the known ones.
func TestUnknownKeysAreIgnored(t *testing.T) {
	read := func(name string, raw []byte, want any) {
		more := wire.Encode(withMoreKeys(generic(t, raw)))
		if got, err := decodeAs(reflect.TypeOf(want), more); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %s\nis read as  %+v, %v\nand not as %+v", name, diagnosis(more), got, err, want)
		}
	}
	for _, s := range samples() {
		switch s.value.(type) {
		case wire.Entry, wire.EntryPage, wire.Write, wire.Txn, wire.Change, wire.Changes:
			continue // they carry a record as it is
		}
		if !strings.HasPrefix(s.name, "settings change") { // its map has the settings' own names
			read(s.name, wire.Encode(s.value), s.value)
		}
	}
	for _, commit := range []string{production, firstGangs} {
		for name, raw := range hexData(t, "testdata/"+commit+".hex") {
			read(name+" of "+commit, raw, written(commit)[name])
		}
	}
	v, err := tuning.Apply(tuning.Default(), map[string]any{"gangs.spare": 4.0, "gangs.of_tomorrow": "yes"}, false)
	if err != nil || v.SpareGangs != 4 {
		t.Errorf("settings with an unknown name are taken as %+v, %v", v, err)
	}
}

// withMoreKeys adds keys to all maps of a value.
func withMoreKeys(v any) any {
	switch x := v.(type) {
	case map[any]any:
		out := map[any]any{"aa_new": map[any]any{"n": []any{1, "two"}}, "zz_new": nil}
		for k, e := range x {
			out[k] = withMoreKeys(e)
		}
		return out
	case []any:
		out := make([]any, len(x))
		for i := range x {
			out[i] = withMoreKeys(x[i])
		}
		return out
	default:
		return v
	}
}
