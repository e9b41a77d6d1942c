package wire

import (
	"testing"
)

func FuzzDecodeSpec(f *testing.F) {
	f.Add(Encode(map[string]any{"nameId": "req-1", "parts": 3}))
	f.Add([]byte{0xa1, 0x61, 0x61})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeJobSpec(b)
		if err == nil && (!s.ID.Valid() || s.Tasks < 1 || s.Tasks > MaxTasks || !(s.CPUs > 0)) {
			t.Fatalf("accepted %+v", s)
		}
	})
}

func FuzzDecodeReport(f *testing.F) {
	f.Add(Encode(Heartbeat{Machine: "n-1", Tasks: []TaskState{{Task: "req-1/0", Attempt: 1, Phase: PhaseExited, Cause: CauseDone}}}))
	f.Add([]byte{0xa1, 0x65, 'p', 'a', 'r', 't', 's', 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Heartbeat
		if Decode(b, &r) != nil {
			return
		}
		for _, p := range r.Tasks {
			if task, err := ParseTask(p.Task); err == nil && task.String() != p.Task {
				t.Fatalf("%q reads as %v", p.Task, task)
			}
		}
	})
}

func TestTaskIDs(t *testing.T) {
	for s, ok := range map[string]bool{"req-000412/3": true, "req-1/99999": true, "req-1/100000": false, "req-1/-1": false, "req-1/03": false,
		"req-1": false, "/3": false, "job-1/3": false, "req-/1": false, "req-1/+1": false} {
		if _, err := ParseTask(s); (err == nil) != ok {
			t.Errorf("%q: %v", s, err)
		}
	}
}

// Nulls equal omission, unknown fields are ignored, and whole numbers pass
// as amounts.
func TestNullsAndUnknownFields(t *testing.T) {
	m := map[string]any{"nameId": "req-1", "lane": "l", "owner": "o", "shape": "sweep", "urgency": "prod", "parts": 2, "cpus": 4, "cards": 0, "ramGb": 1.5,
		"bundle": "b", "imageGb": 0.5, "kits": nil, "site": nil, "samePlace": false, "apart": true, "standby": false, "expectedS": 1, "snapshotEveryS": 0,
		"snapshotS": 0, "novel": []int{1}}
	s, err := DecodeJobSpec(Encode(m))
	if err != nil || s.CPUs != 4 || s.MachineTypes != nil || s.Deadline != 0 || s.ZoneCap() != 1 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, k := range []string{"nameId", "lane", "owner", "shape", "urgency", "parts", "cpus", "cards", "ramGb", "bundle", "imageGb", "samePlace", "apart", "standby", "expectedS", "snapshotEveryS", "snapshotS"} {
		v := m[k]
		m[k] = nil
		if _, err := DecodeJobSpec(Encode(m)); err == nil {
			t.Errorf("accepted without %s", k)
		}
		m[k] = v
	}
}
