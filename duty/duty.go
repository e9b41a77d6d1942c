package duty

// Name identifies a duty. It is part of stored keys and of recorded events.
type Name string

// Duty is implemented by a type that stands for a duty, so that a permit for one duty
// can't be used for another.
type Duty interface{ Name() Name }

// nameOf returns the name of a duty given as a type.
func nameOf[D Duty]() Name {
	var duty D
	return duty.Name()
}

// The scheduler's own duties.
type (
	// ScaleOut requests machines from the cloud.
	ScaleOut struct{}
	// ScaleIn returns machines to the cloud.
	ScaleIn struct{}
	// Preemption stops tasks: to make room, to drain a machine, or because no job owns
	// them any more.
	Preemption struct{}
	// Cleanup changes and deletes records.
	Cleanup struct{}
)

// Name returns the name of the duty, which is part of stored keys.
func (ScaleOut) Name() Name { return "renting" }

// Name returns the name of the duty, which is part of stored keys.
func (ScaleIn) Name() Name { return "returning" }

// Name returns the name of the duty.
func (Preemption) Name() Name { return "reclaiming" }

// Name returns the name of the duty.
func (Cleanup) Name() Name { return "cleanup" }
