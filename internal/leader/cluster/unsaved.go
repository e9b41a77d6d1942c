package cluster

import "time"

// unsavedChanges lists what differs from the records in the key-value store. The writer of
// progress records takes from it what to write next.
type unsavedChanges struct {
	Chunks       map[*Chunk]struct{}
	FinishedJobs map[*Job]struct{} // to be archived
}

func newUnsavedChanges() unsavedChanges {
	return unsavedChanges{Chunks: map[*Chunk]struct{}{}, FinishedJobs: map[*Job]struct{}{}}
}

// MarkDirty adds a chunk that must be written. A chunk that is dirty already keeps its
// DirtySince.
func (u *unsavedChanges) MarkDirty(c *Chunk) {
	if !c.Dirty {
		c.DirtySince = time.Now()
	}
	c.Dirty = true
	u.Chunks[c] = struct{}{}
}

func (u *unsavedChanges) markFinished(j *Job) { u.FinishedJobs[j] = struct{}{} }

// MarkIfFinished marks a job as one to be archived if all of its tasks are done, or if it is
// cancelled and no attempt of it may be on a machine.
func (s *State) MarkIfFinished(j *Job) {
	complete := j.DoneTasks == j.Spec.Tasks
	stopped := j.Cancelled && j.ActiveTasks == 0
	if !complete && !stopped {
		return
	}
	j.Finished = true
	s.UnsavedChanges.markFinished(j)
}
