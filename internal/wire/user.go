package wire

import "math"

// JobKind says how the tasks of a job run.
type JobKind string

// The kinds that users submit.
const (
	KindArray   JobKind = "sweep"    // an array of independent tasks
	KindService JobKind = "daemon"   // a service: replicas until cancelled
	KindGang    JobKind = "ensemble" // a gang: all tasks run at the same time, or none
)

// Priority is a job's priority.
type Priority string

// The priorities, highest first.
const (
	PriorityProd       Priority = "prod"
	PriorityUrgent     Priority = "urgent"
	PriorityStandard   Priority = "standard"
	PriorityBestEffort Priority = "best_effort"
)

// Rank orders priorities; the higher rank may preempt the lower.
func (u Priority) Rank() int {
	switch u {
	case PriorityProd:
		return 3
	case PriorityUrgent:
		return 2
	case PriorityStandard:
		return 1
	default:
		return 0
	}
}

// Status of a job as users see it.
type Status string

// The statuses. Stored are only queued, done and cancelled.
const (
	Queued    Status = "queued"
	Running   Status = "running"
	Done      Status = "done"
	Cancelled Status = "cancelled"
)

// Final tells whether the status never changes again.
func (s Status) Final() bool { return s == Done || s == Cancelled }

// JobSpec is what a user submitted, checked.
type JobSpec struct {
	ID                 JobID         `cbor:"nameId"`
	Class              string        `cbor:"lane"`
	Team               TeamID        `cbor:"owner"`
	Kind               JobKind       `cbor:"shape"`
	Priority           Priority      `cbor:"urgency"`
	Tasks              int           `cbor:"parts"`
	CPUs               float64       `cbor:"cpus"`
	GPUs               float64       `cbor:"cards"`
	MemoryGB           float64       `cbor:"ramGb"`
	Image              ImageID       `cbor:"bundle"`
	ImageGB            float64       `cbor:"imageGb"`
	MachineTypes       []MachineType `cbor:"kits,omitempty"`
	Zone               Zone          `cbor:"site,omitempty"`
	SameZone           bool          `cbor:"samePlace"`
	Spread             bool          `cbor:"apart"`
	SpotAllowed        bool          `cbor:"standby"`
	ExpectedRunTime    Seconds       `cbor:"expectedS"`
	CheckpointInterval Seconds       `cbor:"snapshotEveryS"`
	CheckpointTime     Seconds       `cbor:"snapshotS"`
	Deadline           Seconds       `cbor:"dueS,omitempty"` // 0: no deadline
}

// Service tells whether the job's tasks run until it is cancelled.
func (s *JobSpec) Service() bool { return s.Kind == KindService }

// Gang tells whether all of the job's tasks run at the same time or none does.
func (s *JobSpec) Gang() bool { return s.Kind == KindGang }

// MinTogether is how many of the job's tasks must be able to run at the same time:
// all of a service or a gang.
func (s *JobSpec) MinTogether() int {
	if s.Service() || s.Gang() {
		return s.Tasks
	}
	return 1
}

// ZoneCap is how many of the job's tasks may be in one zone.
func (s *JobSpec) ZoneCap() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// submission mirrors Spec with pointers, so that a missing field shows.
type submission struct {
	ID                 *string   `cbor:"nameId"`
	Class              *string   `cbor:"lane"`
	Team               *string   `cbor:"owner"`
	Kind               *string   `cbor:"shape"`
	Priority           *string   `cbor:"urgency"`
	Tasks              *int64    `cbor:"parts"`
	CPUs               *float64  `cbor:"cpus"`
	GPUs               *float64  `cbor:"cards"`
	MemoryGB           *float64  `cbor:"ramGb"`
	Image              *string   `cbor:"bundle"`
	ImageGB            *float64  `cbor:"imageGb"`
	MachineTypes       *[]string `cbor:"kits"`
	Zone               *string   `cbor:"site"`
	SameZone           *bool     `cbor:"samePlace"`
	Spread             *bool     `cbor:"apart"`
	SpotAllowed        *bool     `cbor:"standby"`
	ExpectedRunTime    *float64  `cbor:"expectedS"`
	CheckpointInterval *float64  `cbor:"snapshotEveryS"`
	CheckpointTime     *float64  `cbor:"snapshotS"`
	Deadline           *float64  `cbor:"dueS"`
}

const maxText = 120

// DecodeJobSpec reads and checks a submission. The error is a FieldError where
// a field is to blame.
func DecodeJobSpec(b []byte) (JobSpec, error) {
	if !IsMap(b) {
		return JobSpec{}, FieldError{"body", "not a CBOR map"}
	}
	var in submission
	if err := Decode(b, &in); err != nil {
		return JobSpec{}, FieldError{"body", "not decodable: " + err.Error()}
	}
	var bad error
	fail := func(field, reason string) {
		if bad == nil {
			bad = FieldError{field, reason}
		}
	}
	text := func(field string, p *string) string {
		switch {
		case p == nil:
			fail(field, "missing")
			return ""
		case *p == "" || len(*p) > maxText:
			fail(field, "must have 1 to 120 bytes")
		}
		return *p
	}
	amount := func(field string, p *float64, positive bool) float64 {
		switch {
		case p == nil:
			fail(field, "missing")
			return 0
		case math.IsNaN(*p) || math.IsInf(*p, 0) || *p < 0 || *p > 1e9:
			fail(field, "out of range")
		case positive && *p == 0:
			fail(field, "must be above 0")
		}
		return *p
	}
	flag := func(field string, p *bool) bool {
		if p == nil {
			fail(field, "missing")
			return false
		}
		return *p
	}
	s := JobSpec{
		ID:                 JobID(text("nameId", in.ID)),
		Class:              text("lane", in.Class),
		Team:               TeamID(text("owner", in.Team)),
		Kind:               JobKind(text("shape", in.Kind)),
		Priority:           Priority(text("urgency", in.Priority)),
		CPUs:               amount("cpus", in.CPUs, true),
		GPUs:               amount("cards", in.GPUs, false),
		MemoryGB:           amount("ramGb", in.MemoryGB, false),
		Image:              ImageID(text("bundle", in.Image)),
		ImageGB:            amount("imageGb", in.ImageGB, false),
		SameZone:           flag("samePlace", in.SameZone),
		Spread:             flag("apart", in.Spread),
		SpotAllowed:        flag("standby", in.SpotAllowed),
		ExpectedRunTime:    Seconds(amount("expectedS", in.ExpectedRunTime, false)),
		CheckpointInterval: Seconds(amount("snapshotEveryS", in.CheckpointInterval, false)),
		CheckpointTime:     Seconds(amount("snapshotS", in.CheckpointTime, false)),
	}
	if !s.ID.Valid() {
		fail("nameId", "not of the form req-000412")
	}
	if s.Kind != KindArray && s.Kind != KindService && s.Kind != KindGang {
		fail("shape", "unknown")
	}
	switch s.Priority {
	case PriorityProd, PriorityUrgent, PriorityStandard, PriorityBestEffort:
	default:
		fail("urgency", "unknown")
	}
	switch {
	case in.Tasks == nil:
		fail("parts", "missing")
	case *in.Tasks < 1 || *in.Tasks > MaxTasks:
		fail("parts", "must be 1 to 100000")
	default:
		s.Tasks = int(*in.Tasks)
	}
	if in.MachineTypes != nil {
		if len(*in.MachineTypes) == 0 || len(*in.MachineTypes) > 64 {
			fail("kits", "must be null or name 1 to 64 types")
		}
		for _, k := range *in.MachineTypes {
			s.MachineTypes = append(s.MachineTypes, MachineType(text("kits", &k)))
		}
	}
	if in.Zone != nil {
		s.Zone = Zone(text("site", in.Zone))
	}
	if in.Deadline != nil {
		s.Deadline = Seconds(amount("dueS", in.Deadline, false))
		if s.Deadline == 0 {
			s.Deadline = 0.001 // a deadline of zero is a deadline, not its absence
		}
	}
	return s, bad
}

// JobState is the answer to users.
type JobState struct {
	ID      JobID  `cbor:"nameId"`
	Status  Status `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// JobSummary is the answer to a submission or a cancellation.
type JobSummary struct {
	ID     JobID  `cbor:"nameId"`
	Status Status `cbor:"status"`
}
