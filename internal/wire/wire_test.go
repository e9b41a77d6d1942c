package wire

import "testing"

// Whatever the bytes of a submission are, if it is accepted, its fields are valid.
func FuzzDecodeJobSpec(f *testing.F) {
	f.Add(Encode(map[string]any{"nameId": "req-1", "parts": 3}))
	f.Add([]byte{0xa1, 0x61, 0x61})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		spec, err := DecodeJobSpec(b)
		if err != nil {
			return
		}
		validTasks := spec.Tasks >= 1 && spec.Tasks <= MaxTasks
		if !spec.ID.Valid() || !validTasks || !(spec.CPUs > 0) {
			t.Fatalf("DecodeJobSpec accepted %x as %+v, want an error for invalid fields", b, spec)
		}
	})
}

// Whatever the bytes of a heartbeat are, a task id in it that can be parsed has the one form
// that TaskID.String returns.
func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(Encode(Heartbeat{Machine: "n-1", Tasks: []TaskStatus{{Task: "req-1/0", Attempt: 1, Phase: PhaseExited, Cause: CauseDone}}}))
	f.Add([]byte{0xa1, 0x65, 'p', 'a', 'r', 't', 's', 0x9a, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var heartbeat Heartbeat
		if Decode(b, &heartbeat) != nil {
			return
		}
		for _, status := range heartbeat.Tasks {
			if task, err := ParseTaskID(status.Task); err == nil && task.String() != status.Task {
				t.Fatalf("parsed task id: got %v for %q, want the same text", task, status.Task)
			}
		}
	})
}

func TestParseTaskIDAcceptsOneForm(t *testing.T) {
	cases := []struct {
		name, id string
		want     TaskID // the zero TaskID: an error
	}{
		{"leading zeros in the job", "req-000412/3", TaskID{"req-000412", 3}},
		{"highest index", "req-1/99999", TaskID{"req-1", 99999}},
		{"index over the limit", "req-1/100000", TaskID{}},
		{"negative index", "req-1/-1", TaskID{}},
		{"leading zero in the index", "req-1/03", TaskID{}},
		{"sign in the index", "req-1/+1", TaskID{}},
		{"no index", "req-1", TaskID{}},
		{"no job", "/3", TaskID{}},
		{"another prefix", "job-1/3", TaskID{}},
		{"no digits in the job", "req-/1", TaskID{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := ParseTaskID(tc.id)
			if wantErr := tc.want == (TaskID{}); got != tc.want || (err != nil) != wantErr {
				t.Errorf("ParseTaskID(%q): got %v, error %v; want %v, want an error: %v", tc.id, got, err, tc.want, wantErr)
			}
		})
	}
}

// A null is treated like an omitted field, unknown fields are ignored, and whole numbers are
// accepted as amounts.
func TestDecodeJobSpecTreatsNullAsMissingAndIgnoresUnknownFields(t *testing.T) {
	submission := validSubmission()
	submission["novel"] = []int{1}
	spec, err := DecodeJobSpec(Encode(submission))
	if err != nil || spec.CPUs != 4 || spec.MachineTypes != nil || spec.Deadline != 0 || spec.MaxTasksPerZone() != 1 {
		t.Fatalf("got %+v, %v, want the submitted CPUs, no machine types, no deadline and one task per zone", spec, err)
	}
	for _, field := range []string{"nameId", "lane", "owner", "shape", "urgency", "parts", "cpus", "cards", "ramGb", "bundle", "imageGb", "samePlace", "apart", "standby", "expectedS", "snapshotEveryS", "snapshotS"} {
		for name, change := range map[string]func(map[string]any){
			"null":    func(m map[string]any) { m[field] = nil },
			"omitted": func(m map[string]any) { delete(m, field) },
		} {
			submission := validSubmission()
			change(submission)
			if _, err := DecodeJobSpec(Encode(submission)); err != (FieldError{field, "missing"}) {
				t.Errorf("%s %s: got %v, want the error that it is missing", field, name, err)
			}
		}
	}
}

func TestHeartbeatIsNewerThanComparesEpochFirst(t *testing.T) {
	cases := []struct {
		name     string
		epoch    AgentEpoch
		sequence Sequence
		want     bool
	}{
		{"later epoch, lower sequence", 3, 1, true},
		{"same epoch, higher sequence", 2, 6, true},
		{"same epoch and sequence", 2, 5, false},
		{"same epoch, lower sequence", 2, 4, false},
		{"earlier epoch, higher sequence", 1, 9, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			heartbeat := Heartbeat{Epoch: tc.epoch, Sequence: tc.sequence}
			if got := heartbeat.IsNewerThan(2, 5); got != tc.want {
				t.Errorf("%d/%d newer than 2/5: got %v, want %v", tc.epoch, tc.sequence, got, tc.want)
			}
		})
	}
}

func TestMachineSpecCanRunNeedsAllowedTypeWithCapacity(t *testing.T) {
	spec := JobSpec{CPUs: 4, GPUs: 1, MemoryGB: 8, ImageGB: 10}
	machine := MachineSpec{Name: "g4", CPUs: 4, GPUs: 1, MemoryGB: 8, DiskGB: 10, Zones: []Zone{"a", "b"}}
	cases := []struct {
		name   string
		change func(*JobSpec)
		want   bool
	}{
		{"exactly full", func(*JobSpec) {}, true},
		{"over by rounding", func(s *JobSpec) { s.CPUs += AmountTolerance / 2 }, true},
		{"too many CPUs", func(s *JobSpec) { s.CPUs++ }, false},
		{"too many GPUs", func(s *JobSpec) { s.GPUs++ }, false},
		{"too much memory", func(s *JobSpec) { s.MemoryGB++ }, false},
		{"image too large", func(s *JobSpec) { s.ImageGB++ }, false},
		{"type allowed", func(s *JobSpec) { s.MachineTypes = []MachineType{"c1", "g4"} }, true},
		{"type not allowed", func(s *JobSpec) { s.MachineTypes = []MachineType{"c1"} }, false},
		{"zone offered", func(s *JobSpec) { s.Zone = "b" }, true},
		{"zone not offered", func(s *JobSpec) { s.Zone = "c" }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			changed := spec
			tc.change(&changed)
			if got := machine.CanRun(&changed); got != tc.want {
				t.Errorf("%+v on %+v: got %v, want %v", changed, machine, got, tc.want)
			}
		})
	}
}
