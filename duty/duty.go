package duty

// Name identifies a duty. It is part of the key of the duty's intents, and events carry it.
type Name string

// Duty is implemented by a type for each duty. As permits are generic over that type, the
// compiler rejects a permit for another duty.
type Duty interface{ Name() Name }

// nameOf returns the name of the duty with type D.
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
	// Preemption stops tasks: to free resources for others, to drain a machine, or because
	// no job owns them any more.
	Preemption struct{}
	// Cleanup changes and deletes records in the store.
	Cleanup struct{}
)

// Name returns the name of the duty, which is part of the key of its intents.
func (ScaleOut) Name() Name { return "renting" }

// Name returns the name of the duty, which is part of the key of its intents.
func (ScaleIn) Name() Name { return "returning" }

// Name returns the name of the duty, which is part of recorded events.
func (Preemption) Name() Name { return "reclaiming" }

// Name returns the name of the duty, which is part of recorded events.
func (Cleanup) Name() Name { return "cleanup" }
