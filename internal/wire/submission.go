package wire

import "fmt"

const (
	// maxTextBytes bounds the length of a text.
	maxTextBytes = 120
	// maxAmount bounds amounts in any unit.
	maxAmount = 1e9
	// maxMachineTypes bounds the machine types that a job names.
	maxMachineTypes = 64
	// shortestDeadline replaces a submitted deadline of 0, since a Deadline of 0 in a
	// JobSpec stands for no deadline.
	shortestDeadline Seconds = 0.001
)

// submission mirrors JobSpec with pointers, to tell a missing field from a zero value.
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

// DecodeJobSpec decodes and checks a submission. The error is a FieldError for the first
// field that is wrong.
func DecodeJobSpec(b []byte) (JobSpec, error) {
	if !IsMap(b) {
		return JobSpec{}, FieldError{"body", "not a CBOR map"}
	}
	var in submission
	if err := Decode(b, &in); err != nil {
		return JobSpec{}, FieldError{"body", "not decodable: " + err.Error()}
	}
	var check fieldChecker
	spec := in.requiredFields(&check)
	check.values(&spec)
	spec.Tasks = check.tasks("parts", in.Tasks)
	if in.MachineTypes != nil {
		spec.MachineTypes = check.machineTypes("kits", *in.MachineTypes)
	}
	if in.Zone != nil {
		spec.Zone = Zone(check.text("site", in.Zone))
	}
	if in.Deadline != nil {
		spec.Deadline = check.deadline("dueS", in.Deadline)
	}
	return spec, check.firstError
}

// requiredFields checks that the required fields are present and in range, and returns them.
// It leaves out the number of tasks, which is checked after fieldChecker.values: the order
// of the checks decides which error is reported.
func (in *submission) requiredFields(check *fieldChecker) JobSpec {
	return JobSpec{
		ID:                 JobID(check.text("nameId", in.ID)),
		Class:              check.text("lane", in.Class),
		Team:               TeamID(check.text("owner", in.Team)),
		Kind:               JobKind(check.text("shape", in.Kind)),
		Priority:           Priority(check.text("urgency", in.Priority)),
		CPUs:               check.positiveAmount("cpus", in.CPUs),
		GPUs:               check.amount("cards", in.GPUs),
		MemoryGB:           check.amount("ramGb", in.MemoryGB),
		Image:              ImageID(check.text("bundle", in.Image)),
		ImageGB:            check.amount("imageGb", in.ImageGB),
		SameZone:           check.flag("samePlace", in.SameZone),
		Spread:             check.flag("apart", in.Spread),
		SpotAllowed:        check.flag("standby", in.SpotAllowed),
		ExpectedRunTime:    Seconds(check.amount("expectedS", in.ExpectedRunTime)),
		CheckpointInterval: Seconds(check.amount("snapshotEveryS", in.CheckpointInterval)),
		CheckpointTime:     Seconds(check.amount("snapshotS", in.CheckpointTime)),
	}
}

// FieldError says which field of a submission or of the settings is wrong, and why.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason, separated by a colon.
func (e FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

// fieldChecker checks the fields of a submission and remembers the first error, which names
// the field as on the wire.
type fieldChecker struct{ firstError error }

func (c *fieldChecker) fail(field, reason string) {
	if c.firstError == nil {
		c.firstError = FieldError{field, reason}
	}
}

func (c *fieldChecker) text(field string, value *string) string {
	if value == nil {
		c.fail(field, "missing")
		return ""
	}
	if *value == "" || len(*value) > maxTextBytes {
		c.fail(field, "must have 1 to 120 bytes")
	}
	return *value
}

func (c *fieldChecker) amount(field string, value *float64) float64 {
	if value == nil {
		c.fail(field, "missing")
		return 0
	}
	inRange := *value >= 0 && *value <= maxAmount // false for NaN
	if !inRange {
		c.fail(field, "out of range")
	}
	return *value
}

func (c *fieldChecker) positiveAmount(field string, value *float64) float64 {
	amount := c.amount(field, value)
	if amount == 0 {
		c.fail(field, "must be above 0")
	}
	return amount
}

func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, "missing")
		return false
	}
	return *value
}

// values checks the fields that have a fixed form or a fixed set of values.
func (c *fieldChecker) values(spec *JobSpec) {
	if !spec.ID.Valid() {
		c.fail("nameId", "not of the form req-000412")
	}
	switch spec.Kind {
	case KindArray, KindService, KindGang:
	default:
		c.fail("shape", "unknown")
	}
	switch spec.Priority {
	case PriorityProd, PriorityUrgent, PriorityStandard, PriorityBestEffort:
	default:
		c.fail("urgency", "unknown")
	}
}

func (c *fieldChecker) tasks(field string, value *int64) int {
	if value == nil {
		c.fail(field, "missing")
		return 0
	}
	if *value < 1 || *value > MaxTasks {
		c.fail(field, "must be 1 to 100000")
		return 0
	}
	return int(*value)
}

func (c *fieldChecker) machineTypes(field string, names []string) []MachineType {
	if len(names) == 0 || len(names) > maxMachineTypes {
		c.fail(field, "must be null or name 1 to 64 types")
	}
	var types []MachineType
	for i := range names {
		types = append(types, MachineType(c.text(field, &names[i])))
	}
	return types
}

func (c *fieldChecker) deadline(field string, value *float64) Seconds {
	deadline := Seconds(c.amount(field, value))
	if deadline == 0 {
		return shortestDeadline
	}
	return deadline
}
