package wire

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
