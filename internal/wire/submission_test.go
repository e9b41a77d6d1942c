package wire

import (
	"errors"
	"maps"
	"math"
	"strings"
	"testing"
)

// validSubmission returns a valid submission, keyed by the names on the wire.
func validSubmission() map[string]any {
	return map[string]any{"nameId": "req-1", "lane": "l", "owner": "o", "shape": "sweep", "urgency": "prod", "parts": 2, "cpus": 4, "cards": 0, "ramGb": 1.5,
		"bundle": "b", "imageGb": 0.5, "kits": nil, "site": nil, "samePlace": false, "apart": true, "standby": false, "expectedS": 1, "snapshotEveryS": 0,
		"snapshotS": 0}
}

// The error is about the first wrong field, in the order in which the fields are checked.
// Users and their scripts read its field and reason, so both must stay as they are.
func TestDecodeJobSpecRejectsInvalidField(t *testing.T) {
	const missing = "missing"
	tooLong := strings.Repeat("x", 121)
	machineTypes := func(n int) []string { return strings.Split(strings.Repeat("t,", n-1)+"t", ",") }
	cases := []struct {
		name   string
		change map[string]any
		want   FieldError
	}{
		{"no job id", map[string]any{"nameId": nil}, FieldError{"nameId", missing}},
		{"no class", map[string]any{"lane": nil}, FieldError{"lane", missing}},
		{"no team", map[string]any{"owner": nil}, FieldError{"owner", missing}},
		{"no kind", map[string]any{"shape": nil}, FieldError{"shape", missing}},
		{"no priority", map[string]any{"urgency": nil}, FieldError{"urgency", missing}},
		{"no tasks", map[string]any{"parts": nil}, FieldError{"parts", missing}},
		{"no CPUs", map[string]any{"cpus": nil}, FieldError{"cpus", missing}},
		{"no GPUs", map[string]any{"cards": nil}, FieldError{"cards", missing}},
		{"no memory", map[string]any{"ramGb": nil}, FieldError{"ramGb", missing}},
		{"no image", map[string]any{"bundle": nil}, FieldError{"bundle", missing}},
		{"no image size", map[string]any{"imageGb": nil}, FieldError{"imageGb", missing}},
		{"no same zone", map[string]any{"samePlace": nil}, FieldError{"samePlace", missing}},
		{"no spread", map[string]any{"apart": nil}, FieldError{"apart", missing}},
		{"no spot", map[string]any{"standby": nil}, FieldError{"standby", missing}},
		{"no expected run time", map[string]any{"expectedS": nil}, FieldError{"expectedS", missing}},
		{"no checkpoint interval", map[string]any{"snapshotEveryS": nil}, FieldError{"snapshotEveryS", missing}},
		{"no checkpoint time", map[string]any{"snapshotS": nil}, FieldError{"snapshotS", missing}},

		{"empty job id", map[string]any{"nameId": ""}, FieldError{"nameId", "must have 1 to 120 bytes"}},
		{"long job id", map[string]any{"nameId": tooLong}, FieldError{"nameId", "must have 1 to 120 bytes"}},
		{"malformed job id", map[string]any{"nameId": "job-1"}, FieldError{"nameId", "not of the form req-000412"}},
		{"empty class", map[string]any{"lane": ""}, FieldError{"lane", "must have 1 to 120 bytes"}},
		{"long class", map[string]any{"lane": tooLong}, FieldError{"lane", "must have 1 to 120 bytes"}},
		{"long team", map[string]any{"owner": tooLong}, FieldError{"owner", "must have 1 to 120 bytes"}},
		{"empty kind", map[string]any{"shape": ""}, FieldError{"shape", "must have 1 to 120 bytes"}},
		{"unknown kind", map[string]any{"shape": "array"}, FieldError{"shape", "unknown"}},
		{"unknown priority", map[string]any{"urgency": "low"}, FieldError{"urgency", "unknown"}},
		{"empty image", map[string]any{"bundle": ""}, FieldError{"bundle", "must have 1 to 120 bytes"}},
		{"tasks of 0", map[string]any{"parts": 0}, FieldError{"parts", "must be 1 to 100000"}},
		{"too many tasks", map[string]any{"parts": 100001}, FieldError{"parts", "must be 1 to 100000"}},
		{"CPUs of 0", map[string]any{"cpus": 0}, FieldError{"cpus", "must be above 0"}},
		{"CPUs below 0", map[string]any{"cpus": -1}, FieldError{"cpus", "out of range"}},
		{"GPUs below 0", map[string]any{"cards": -0.5}, FieldError{"cards", "out of range"}},
		{"memory over the limit", map[string]any{"ramGb": 1e9 + 1}, FieldError{"ramGb", "out of range"}},
		{"image size that is no number", map[string]any{"imageGb": math.NaN()}, FieldError{"imageGb", "out of range"}},
		{"infinite run time", map[string]any{"expectedS": math.Inf(1)}, FieldError{"expectedS", "out of range"}},
		{"checkpoint interval below 0", map[string]any{"snapshotEveryS": -1}, FieldError{"snapshotEveryS", "out of range"}},
		{"checkpoint time below 0", map[string]any{"snapshotS": -1}, FieldError{"snapshotS", "out of range"}},
		{"deadline below 0", map[string]any{"dueS": -1}, FieldError{"dueS", "out of range"}},
		{"empty zone", map[string]any{"site": ""}, FieldError{"site", "must have 1 to 120 bytes"}},
		{"empty list of machine types", map[string]any{"kits": []string{}}, FieldError{"kits", "must be null or name 1 to 64 types"}},
		{"too many machine types", map[string]any{"kits": machineTypes(65)}, FieldError{"kits", "must be null or name 1 to 64 types"}},
		{"empty machine type", map[string]any{"kits": []string{"t", ""}}, FieldError{"kits", "must have 1 to 120 bytes"}},

		// The first checks are that the required fields other than tasks are present and in
		// range, in the order of the cases above. The next check the values of job id, kind and
		// priority, and the last check tasks, machine types, zone and deadline.
		{"missing class before missing team", map[string]any{"owner": nil, "lane": nil}, FieldError{"lane", missing}},
		{"missing checkpoint time before malformed job id", map[string]any{"nameId": "job-1", "snapshotS": nil}, FieldError{"snapshotS", missing}},
		{"image size before flags", map[string]any{"samePlace": nil, "imageGb": -1}, FieldError{"imageGb", "out of range"}},
		{"flags before run time", map[string]any{"standby": nil, "expectedS": -1}, FieldError{"standby", missing}},
		{"malformed job id before unknown kind", map[string]any{"nameId": "job-1", "shape": "array"}, FieldError{"nameId", "not of the form req-000412"}},
		{"unknown kind before unknown priority", map[string]any{"urgency": "low", "shape": "array"}, FieldError{"shape", "unknown"}},
		{"unknown priority before tasks", map[string]any{"urgency": "low", "parts": 0}, FieldError{"urgency", "unknown"}},
		{"tasks before machine types", map[string]any{"kits": []string{}, "parts": nil}, FieldError{"parts", missing}},
		{"number of machine types before their names", map[string]any{"kits": append(machineTypes(64), "")}, FieldError{"kits", "must be null or name 1 to 64 types"}},
		{"machine types before zone", map[string]any{"kits": []string{""}, "site": ""}, FieldError{"kits", "must have 1 to 120 bytes"}},
		{"zone before deadline", map[string]any{"site": "", "dueS": -1}, FieldError{"site", "must have 1 to 120 bytes"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			submission := validSubmission()
			maps.Copy(submission, tc.change)
			_, err := DecodeJobSpec(Encode(submission))
			if err != tc.want {
				t.Errorf("%v: got %v, want %v", tc.change, err, tc.want)
			}
		})
	}
}

// A body that can't be decoded has no wrong field, so the error names the body.
func TestDecodeJobSpecRejectsUndecodableBody(t *testing.T) {
	cases := []struct {
		name         string
		body         []byte
		reasonPrefix string
	}{
		{"empty", nil, "not a CBOR map"},
		{"array", Encode([]int{1}), "not a CBOR map"},
		{"cut short", Encode(validSubmission())[:20], "not decodable: "},
		{"text for a number", Encode(map[string]any{"parts": "two"}), "not decodable: "},
		{"bytes after the map", append(Encode(validSubmission()), 0), "not decodable: "},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := DecodeJobSpec(tc.body)
			var fieldError FieldError
			if !errors.As(err, &fieldError) || fieldError.Field != "body" || !strings.HasPrefix(fieldError.Reason, tc.reasonPrefix) {
				t.Errorf("got %v, want field body with a reason that starts with %q", err, tc.reasonPrefix)
			}
		})
	}
}

func TestDecodeJobSpecAcceptsValuesAtTheirLimits(t *testing.T) {
	submission := validSubmission()
	maps.Copy(submission, map[string]any{"nameId": "req-" + strings.Repeat("1", 32), "lane": strings.Repeat("x", 120), "shape": "ensemble", "urgency": "best_effort",
		"parts": 100000, "cpus": 1e9, "kits": strings.Split(strings.Repeat("t,", 63)+"t", ","), "site": "a", "dueS": 0})
	spec, err := DecodeJobSpec(Encode(submission))
	if err != nil {
		t.Fatalf("got %v, want no error", err)
	}
	if spec.Tasks != MaxTasks || spec.CPUs != 1e9 || len(spec.MachineTypes) != 64 || spec.Zone != "a" || !spec.IsGang() {
		t.Errorf("got %+v, want the submitted values", spec)
	}
	if spec.Deadline != 0.001 {
		t.Errorf("deadline of zero: got %v, want 0.001, since 0 stands for none", spec.Deadline)
	}
}
