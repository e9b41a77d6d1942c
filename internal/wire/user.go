package wire

import "math"

// Shape of a job.
type Shape string

// The shapes that users submit.
const (
	Sweep    Shape = "sweep"    // an array of independent tasks
	Daemon   Shape = "daemon"   // a service: replicas until cancelled
	Ensemble Shape = "ensemble" // a gang: all tasks run at the same time, or none
)

// Urgency is a job's priority.
type Urgency string

// The priorities, highest first.
const (
	Prod       Urgency = "prod"
	Urgent     Urgency = "urgent"
	Standard   Urgency = "standard"
	BestEffort Urgency = "best_effort"
)

// Rank orders priorities; the higher rank may preempt the lower.
func (u Urgency) Rank() int {
	switch u {
	case Prod:
		return 3
	case Urgent:
		return 2
	case Standard:
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

// Spec is what a user submitted, checked.
type Spec struct {
	ID             JobID   `cbor:"nameId"`
	Lane           string  `cbor:"lane"`
	Owner          TeamID  `cbor:"owner"`
	Shape          Shape   `cbor:"shape"`
	Urgency        Urgency `cbor:"urgency"`
	Parts          int     `cbor:"parts"`
	CPUs           float64 `cbor:"cpus"`
	Cards          float64 `cbor:"cards"`
	RAM            float64 `cbor:"ramGb"`
	Bundle         ImageID `cbor:"bundle"`
	ImageGB        float64 `cbor:"imageGb"`
	Kits           []Kit   `cbor:"kits,omitempty"`
	Site           Zone    `cbor:"site,omitempty"`
	SamePlace      bool    `cbor:"samePlace"`
	Apart          bool    `cbor:"apart"`
	Standby        bool    `cbor:"standby"`
	Expected       Seconds `cbor:"expectedS"`
	SnapshotEveryS Seconds `cbor:"snapshotEveryS"`
	SnapshotS      Seconds `cbor:"snapshotS"`
	Due            Seconds `cbor:"dueS,omitempty"` // 0: no deadline
}

// Service tells whether the job's tasks run until it is cancelled.
func (s *Spec) Service() bool { return s.Shape == Daemon }

// Gang tells whether all of the job's tasks run at the same time or none does.
func (s *Spec) Gang() bool { return s.Shape == Ensemble }

// Together is how many of the job's tasks must be able to run at the same time:
// all of a service or a gang.
func (s *Spec) Together() int {
	if s.Service() || s.Gang() {
		return s.Parts
	}
	return 1
}

// ZoneCap is how many of the job's tasks may be in one zone.
func (s *Spec) ZoneCap() int {
	if s.Apart {
		return (s.Parts + 1) / 2
	}
	return s.Parts
}

// submission mirrors Spec with pointers, so that a missing field shows.
type submission struct {
	ID             *string   `cbor:"nameId"`
	Lane           *string   `cbor:"lane"`
	Owner          *string   `cbor:"owner"`
	Shape          *string   `cbor:"shape"`
	Urgency        *string   `cbor:"urgency"`
	Parts          *int64    `cbor:"parts"`
	CPUs           *float64  `cbor:"cpus"`
	Cards          *float64  `cbor:"cards"`
	RAM            *float64  `cbor:"ramGb"`
	Bundle         *string   `cbor:"bundle"`
	ImageGB        *float64  `cbor:"imageGb"`
	Kits           *[]string `cbor:"kits"`
	Site           *string   `cbor:"site"`
	SamePlace      *bool     `cbor:"samePlace"`
	Apart          *bool     `cbor:"apart"`
	Standby        *bool     `cbor:"standby"`
	Expected       *float64  `cbor:"expectedS"`
	SnapshotEveryS *float64  `cbor:"snapshotEveryS"`
	SnapshotS      *float64  `cbor:"snapshotS"`
	Due            *float64  `cbor:"dueS"`
}

const maxText = 120

// DecodeSpec reads and checks a submission. The error is a FieldError where
// a field is to blame.
func DecodeSpec(b []byte) (Spec, error) {
	if !IsMap(b) {
		return Spec{}, FieldError{"body", "not a CBOR map"}
	}
	var in submission
	if err := Decode(b, &in); err != nil {
		return Spec{}, FieldError{"body", "not decodable: " + err.Error()}
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
	s := Spec{
		ID:             JobID(text("nameId", in.ID)),
		Lane:           text("lane", in.Lane),
		Owner:          TeamID(text("owner", in.Owner)),
		Shape:          Shape(text("shape", in.Shape)),
		Urgency:        Urgency(text("urgency", in.Urgency)),
		CPUs:           amount("cpus", in.CPUs, true),
		Cards:          amount("cards", in.Cards, false),
		RAM:            amount("ramGb", in.RAM, false),
		Bundle:         ImageID(text("bundle", in.Bundle)),
		ImageGB:        amount("imageGb", in.ImageGB, false),
		SamePlace:      flag("samePlace", in.SamePlace),
		Apart:          flag("apart", in.Apart),
		Standby:        flag("standby", in.Standby),
		Expected:       Seconds(amount("expectedS", in.Expected, false)),
		SnapshotEveryS: Seconds(amount("snapshotEveryS", in.SnapshotEveryS, false)),
		SnapshotS:      Seconds(amount("snapshotS", in.SnapshotS, false)),
	}
	if !s.ID.Valid() {
		fail("nameId", "not of the form req-000412")
	}
	if s.Shape != Sweep && s.Shape != Daemon && s.Shape != Ensemble {
		fail("shape", "unknown")
	}
	switch s.Urgency {
	case Prod, Urgent, Standard, BestEffort:
	default:
		fail("urgency", "unknown")
	}
	switch {
	case in.Parts == nil:
		fail("parts", "missing")
	case *in.Parts < 1 || *in.Parts > MaxParts:
		fail("parts", "must be 1 to 100000")
	default:
		s.Parts = int(*in.Parts)
	}
	if in.Kits != nil {
		if len(*in.Kits) == 0 || len(*in.Kits) > 64 {
			fail("kits", "must be null or name 1 to 64 types")
		}
		for _, k := range *in.Kits {
			s.Kits = append(s.Kits, Kit(text("kits", &k)))
		}
	}
	if in.Site != nil {
		s.Site = Zone(text("site", in.Site))
	}
	if in.Due != nil {
		s.Due = Seconds(amount("dueS", in.Due, false))
		if s.Due == 0 {
			s.Due = 0.001 // a deadline of zero is a deadline, not its absence
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

// JobBrief is the answer to a submission or a cancellation.
type JobBrief struct {
	ID     JobID  `cbor:"nameId"`
	Status Status `cbor:"status"`
}
