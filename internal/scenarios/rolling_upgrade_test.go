package scenarios_test

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/peer"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// productionBytes holds records and messages of the production version, encoded and in hex. A
// program built from the commit that deploy/service.toml names (2d2d3f76) wrote them.
var productionBytes = map[string]string{
	"job":       "a46473706563b4666e616d6549646a7265712d303030343132646c616e6565747261696e656f776e657266766973696f6e65736861706565737765657067757267656e637966757267656e746570617274731906406463707573fb4020000000000000656361726473fb3ff00000000000006572616d4762fb40500000000000006662756e646c6566696d672d303767696d6167654762fb4018cccccccccccd646b69747382626738626334647369746561616973616d65506c616365f5656170617274f4677374616e646279f569657870656374656453fb406e0000000000006e736e617073686f74457665727953fb403e00000000000069736e617073686f7453fb40100000000000006464756553fb408c20000000000066737461747573667175657565646261741b000001a229f1287b656368756e6b190100",
	"cancelled": "a56473706563b1666e616d6549646a7265712d303030343133646c616e65646c697665656f776e657266706f7274616c657368617065666461656d6f6e67757267656e63796470726f64657061727473036463707573fb3ff0000000000000656361726473fb00000000000000006572616d4762fb40133333333333336662756e646c6565696d672d6267696d6167654762fb3ff00000000000006973616d65506c616365f4656170617274f5677374616e646279f469657870656374656453fb00000000000000006e736e617073686f74457665727953fb000000000000000069736e617073686f7453fb0000000000000000667374617475736963616e63656c6c65646261741b000001a229f1287b65656e6465641b000001a229f13cc9656368756e6b190100",
	"run":       "a3616e1161648400030918c861728283040c686e2d3030303233318318ff10686e2d303031323030",
	"past":      "a26673746174757364646f6e6564646f6e65190640",
	"lead":      "a2646e6f646568776f726b65722d32656e6f6e636566633066666565",
	"flavors":   "a1646b69747381aa646e616d656267386463707573fb4058000000000000656361726473fb40200000000000006572616d4762fb4088000000000000676c6f63616c4762fb40690000000000006a70756c6c476250657253fb3ff00000000000006472617465fb4028000000000000686c6f775072696365fb401200000000000066726561647953fb40468000000000006573697465738261616162",
	"settings":  "a27473657276696365732e73706172655f756e697473fb4000000000000000696c6f672e6c6576656c656465627567",
	"beat":      "a66466726f6d68776f726b65722d31637365710965746f6b656e1829656c65616473f566736572766573f56568656172731878",
	"ack":       "ad6466726f6d68776f726b65722d32637365710965746f6b656e1829656c65616473f466736572766573f565686561727300666772616e747318296573746f6f641ab2d05e00636167651b0000000df847580068756e70726f76656e1a3b9aca006963616e63656c6c656481a2616a6a7265712d30303034313361611a7735940067766f75636865731b00000004a817c800646b6e65771a1dcd6500",
	"report":    "aa64686f7374686e2d30303032333164616464726f31302e312e302e3233323a39303030636b697462673864736974656161677374616e646279f5657368696674016574616c6c791858656261746f6e1829687761726e696e6753fb402900000000000065706172747382a364706172746c7265712d3030303431322f336374727902667374617475736772756e6e696e67a464706172746c7265712d3030303339382f306374727901667374617475736665786974656465636175736564646f6e65",
}

// mustMatchProduction checks that the bytes which the production version wrote are decoded to the
// wanted value, and that this value is still encoded to the same bytes.
func mustMatchProduction[T any](t *testing.T, name string, want T) {
	t.Helper()
	raw, err := hex.DecodeString(productionBytes[name])
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := wire.Decode(raw, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s of production is decoded as\n%+v, %v, want\n%+v", name, got, err, want)
	}
	if encoded := hex.EncodeToString(wire.Encode(want)); encoded != productionBytes[name] {
		t.Errorf("%s is encoded as\n%s, by production as\n%s", name, encoded, productionBytes[name])
	}
}

// productionSpec returns the specification of the job in productionBytes["job"].
func productionSpec() wire.JobSpec {
	return wire.JobSpec{ID: "req-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityUrgent, Tasks: 1600, CPUs: 8, GPUs: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []wire.MachineType{"g8", "c4"}, Zone: "a", SameZone: true, SpotAllowed: true, ExpectedRunTime: 240, CheckpointInterval: 30, CheckpointTime: 4, Deadline: 900}
}

func TestProductionEncodingIsUnchanged(t *testing.T) {
	t.Parallel()
	mustMatchProduction(t, "job", store.JobRecord{Spec: productionSpec(), Status: wire.StatusQueued, AcceptedAt: 1796000000123, TasksPerChunk: 256})
	mustMatchProduction(t, "cancelled", store.JobRecord{Status: wire.StatusCancelled, AcceptedAt: 1796000000123, CancelledAt: 1796000005321, TasksPerChunk: 256,
		Spec: wire.JobSpec{ID: "req-000413", Class: "live", Team: "portal", Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: 3, CPUs: 1, MemoryGB: 4.8, Image: "img-b", ImageGB: 1, Spread: true}})
	mustMatchProduction(t, "run", store.ChunkRecord{NextAttempt: 17, Done: []int{0, 3, 9, 200}, Active: []store.ActiveAttempt{{Task: 4, Attempt: 12, Machine: "n-000231"}, {Task: 255, Attempt: 16, Machine: "n-001200"}}})
	mustMatchProduction(t, "past", store.FinalRecord{Status: wire.StatusDone, Done: 1600})
	mustMatchProduction(t, "lead", store.LeaseRecord{Node: "worker-2", Nonce: "c0ffee"})
	mustMatchProduction(t, "flavors", wire.MachineSpecs{Types: []wire.MachineSpec{{Name: "g8", CPUs: 96, GPUs: 8, MemoryGB: 768, DiskGB: 200, FetchGBPerSecond: 1, OnDemandPrice: 12, SpotPrice: 4.5, BootTime: 45, Zones: []wire.Zone{"a", "b"}}}})
	mustMatchProduction(t, "beat", peer.Heartbeat{From: "worker-1", Sequence: 9, Token: 41, Leads: true, StateReachable: true, ReachableAgents: 120})
	mustMatchProduction(t, "ack", peer.Heartbeat{From: "worker-2", Sequence: 9, Token: 41, StateReachable: true, Delegation: 41, SinceRenewal: 3 * time.Second, Uptime: time.Minute, InFlightLaunchCancelAge: time.Second,
		Update: cancels.Update{Cancelled: []cancels.Entry{{Job: "req-000413", Age: 2 * time.Second}}, OwnSpan: 20 * time.Second, WatermarkAge: 500 * time.Millisecond}})
	notice := wire.Seconds(12.5)
	mustMatchProduction(t, "report", wire.Heartbeat{Machine: "n-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Epoch: 1, Sequence: 88, Token: 41, SpotNotice: &notice,
		Tasks: []wire.TaskStatus{{Task: "req-000412/3", Attempt: 2, Phase: wire.PhaseRunning}, {Task: "req-000398/0", Attempt: 1, Phase: wire.PhaseExited, Cause: wire.CauseDone}}})
	var settings map[string]any
	raw, _ := hex.DecodeString(productionBytes["settings"])
	if err := wire.Decode(raw, &settings); err != nil || settings["services.spare_units"] != 2.0 || settings["log.level"] != "debug" {
		t.Errorf("settings of production are decoded as %v, %v", settings, err)
	}
}

// The types with which the production version decodes records, as far as its leader and the code
// that answers users need them.
type (
	productionJob struct {
		Spec   productionJobSpec `cbor:"spec"`
		Status string            `cbor:"status"`
		At     int64             `cbor:"at"`
		Ended  int64             `cbor:"ended,omitempty"`
		Chunk  int               `cbor:"chunk,omitempty"`
	}
	productionJobSpec struct {
		ID             string   `cbor:"nameId"`
		Lane           string   `cbor:"lane"`
		Owner          string   `cbor:"owner"`
		Shape          string   `cbor:"shape"`
		Urgency        string   `cbor:"urgency"`
		Parts          int      `cbor:"parts"`
		CPUs           float64  `cbor:"cpus"`
		Cards          float64  `cbor:"cards"`
		RAM            float64  `cbor:"ramGb"`
		Bundle         string   `cbor:"bundle"`
		ImageGB        float64  `cbor:"imageGb"`
		Kits           []string `cbor:"kits,omitempty"`
		Site           string   `cbor:"site,omitempty"`
		SamePlace      bool     `cbor:"samePlace"`
		Apart          bool     `cbor:"apart"`
		Standby        bool     `cbor:"standby"`
		Expected       float64  `cbor:"expectedS"`
		SnapshotEveryS float64  `cbor:"snapshotEveryS"`
		SnapshotS      float64  `cbor:"snapshotS"`
		Due            float64  `cbor:"dueS,omitempty"`
	}
	productionAttempt struct {
		_    struct{} `cbor:",toarray"`
		Task int
		Try  uint64
		On   string
	}
	productionChunk struct {
		Next uint64              `cbor:"n"`
		Done []int               `cbor:"d"`
		Held []productionAttempt `cbor:"r"`
	}
)

// The production version decodes the records that this version writes, as long as the limits of
// the key-value store have not been lowered.
func TestProductionDecodesCurrentRecords(t *testing.T) {
	t.Parallel()
	// Chunks are smaller than in production. The job's record holds their size, as it does in
	// production.
	size := store.TasksPerChunkForLimit(2)
	var j productionJob
	if err := wire.Decode(wire.Encode(store.JobRecord{Spec: productionSpec(), Status: wire.StatusCancelled, AcceptedAt: 5, CancelledAt: 7, TasksPerChunk: size}), &j); err != nil {
		t.Fatal(err)
	}
	want := productionJob{Status: "cancelled", At: 5, Ended: 7, Chunk: size, Spec: productionJobSpec{ID: "req-000412", Lane: "train", Owner: "vision", Shape: "sweep", Urgency: "urgent",
		Parts: 1600, CPUs: 8, Cards: 1, RAM: 64, Bundle: "img-07", ImageGB: 6.2, Kits: []string{"g8", "c4"}, Site: "a", SamePlace: true, Standby: true, Expected: 240,
		SnapshotEveryS: 30, SnapshotS: 4, Due: 900}}
	if !reflect.DeepEqual(j, want) || size < 1 || size > 256 { // production replaces any other size by 256
		t.Errorf("production decodes the job's record as %+v", j)
	}
	var c productionChunk
	if err := wire.Decode(wire.Encode(store.ChunkRecord{NextAttempt: 9, Done: []int{1, 3}, Active: []store.ActiveAttempt{{Task: 4, Attempt: 8, Machine: "n-1"}}}), &c); err != nil ||
		!reflect.DeepEqual(c, productionChunk{Next: 9, Done: []int{1, 3}, Held: []productionAttempt{{Task: 4, Try: 8, On: "n-1"}}}) {
		t.Errorf("production decodes the chunk's record as %+v, %v", c, err)
	}
	// The key of a sub-chunk is not the key of a chunk, and production would treat the record as
	// a leftover. So no sub-chunk is written before the limits are lowered, which a test in
	// internal/leader/subchunks_test.go checks.
	if _, _, ok := store.ParseChunkKey(store.SubchunkKey("req-000412", 3, 1)); ok {
		t.Error("the key of a sub-chunk is parsed as the key of a chunk")
	}
}
