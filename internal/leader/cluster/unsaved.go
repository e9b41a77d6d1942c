package cluster

import "time"

// unsavedChanges is what differs from the records in the key-value store. The writer of
// progress records takes from it what it writes next.
type unsavedChanges struct {
	Chunks       map[*Chunk]struct{}
	FinishedJobs map[*Job]struct{} // can be archived
}

func newUnsavedChanges() unsavedChanges {
	return unsavedChanges{Chunks: map[*Chunk]struct{}{}, FinishedJobs: map[*Job]struct{}{}}
}

// MarkDirty adds a chunk that must be written.
func (u *unsavedChanges) MarkDirty(c *Chunk) {
	if !c.Dirty {
		c.DirtySince = time.Now()
	}
	c.Dirty = true
	u.Chunks[c] = struct{}{}
}

// markFinished adds a job that can be archived.
func (u *unsavedChanges) markFinished(j *Job) { u.FinishedJobs[j] = struct{}{} }

// MarkIfFinished marks a job as one to be archived if it is complete, or cancelled and
// none of its attempts may be on a machine.
func (s *State) MarkIfFinished(j *Job) {
	complete := j.DoneTasks == j.Spec.Tasks
	stopped := j.Cancelled && j.ActiveTasks == 0
	if !complete && !stopped {
		return
	}
	j.Finished = true
	s.UnsavedChanges.markFinished(j)
}
