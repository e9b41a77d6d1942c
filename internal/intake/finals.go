package intake

import (
	"sync"

	"lilaclead/internal/wire"
)

// maxFinalStates bounds one of the two generations of final states, and the
// counts of tasks: some 100 bytes each.
const maxFinalStates = 8192

// finalStates remembers final states, which never change; two generations bound
// its size.
type finalStates struct {
	sync.Mutex
	young, old map[wire.JobID]wire.JobState
}

func (f *finalStates) get(id wire.JobID) (wire.JobState, bool) {
	f.Lock()
	defer f.Unlock()
	s, ok := f.young[id]
	if !ok {
		s, ok = f.old[id]
	}
	return s, ok
}

// put remembers a state if it is final.
func (f *finalStates) put(s wire.JobState) {
	if !s.Status.Final() {
		return
	}
	f.Lock()
	defer f.Unlock()
	if f.young == nil || len(f.young) >= maxFinalStates {
		f.young, f.old = map[wire.JobID]wire.JobState{}, f.young
	}
	f.young[s.ID] = s
}
