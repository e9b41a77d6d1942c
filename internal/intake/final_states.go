package intake

import (
	"sync"

	"lilaclead/internal/wire"
)

// maxStatesPerGeneration bounds each of the two generations of final states. A state takes
// some 100 bytes.
const maxStatesPerGeneration = 8192

// finalStates remembers the final states of jobs, which never change. Its size is bounded
// by keeping them in two generations: when the young generation is full, it becomes the
// old one, and the former old one is dropped. It is safe for concurrent use.
type finalStates struct {
	mu         sync.Mutex
	young, old map[wire.JobID]wire.JobState
}

// get returns the final state of a job, if it is remembered.
func (f *finalStates) get(id wire.JobID) (wire.JobState, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, ok := f.young[id]
	if !ok {
		state, ok = f.old[id]
	}
	return state, ok
}

// put remembers a state if it is final.
func (f *finalStates) put(state wire.JobState) {
	if !state.Status.IsFinal() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.young == nil || len(f.young) >= maxStatesPerGeneration {
		f.young, f.old = map[wire.JobID]wire.JobState{}, f.young
	}
	f.young[state.ID] = state
}
