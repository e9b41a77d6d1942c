package wire

// JobKind says how the tasks of a job run.
type JobKind string

// The kinds of jobs that users submit.
const (
	KindArray   JobKind = "sweep"    // a job array of independent tasks
	KindService JobKind = "daemon"   // a service: replicas until cancelled
	KindGang    JobKind = "ensemble" // a gang: all tasks run at the same time, or none
)

// Priority decides which jobs a job may preempt; see Rank.
type Priority string

// The priorities, highest first.
const (
	PriorityProd       Priority = "prod"
	PriorityUrgent     Priority = "urgent"
	PriorityStandard   Priority = "standard"
	PriorityBestEffort Priority = "best_effort"
)

// Rank orders priorities: a job may preempt jobs of a lower rank.
func (p Priority) Rank() int {
	switch p {
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

// Status is the status of a job as users see it.
type Status string

// The statuses of jobs. Only StatusQueued, StatusDone and StatusCancelled are stored.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "running"
	StatusDone      Status = "done"
	StatusCancelled Status = "cancelled"
)

// IsFinal reports whether the status never changes again.
func (s Status) IsFinal() bool { return s == StatusDone || s == StatusCancelled }

// JobSpec is a checked submission. CPUs, GPUs and MemoryGB are what one task needs.
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

// IsService reports whether the job's tasks run until it is cancelled.
func (s *JobSpec) IsService() bool { return s.Kind == KindService }

// IsGang reports whether the job is scheduled as a gang: all of its tasks run at the same
// time, or none does.
func (s *JobSpec) IsGang() bool { return s.Kind == KindGang }

// MinConcurrentTasks returns how many of the job's tasks must be able to run at the same
// time: all tasks of a service or a gang, and one of an array.
func (s *JobSpec) MinConcurrentTasks() int {
	if s.IsService() || s.IsGang() {
		return s.Tasks
	}
	return 1
}

// MaxTasksPerZone returns how many of the job's tasks may be in one zone: half of them,
// rounded up, if the job is spread, else all.
func (s *JobSpec) MaxTasksPerZone() int {
	if s.Spread {
		return (s.Tasks + 1) / 2
	}
	return s.Tasks
}

// JobState is the response to a user's poll. Done and Running are numbers of tasks.
type JobState struct {
	ID      JobID  `cbor:"nameId"`
	Status  Status `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// JobSummary is the response to a submission or a cancellation.
type JobSummary struct {
	ID     JobID  `cbor:"nameId"`
	Status Status `cbor:"status"`
}
