package progress

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
)

func kibToBytes(kib float64) int { return int(kib * 1024) }

// ValueLimitBytes returns the largest size of a value in bytes: the store's next limit once
// that is known to be in force, the present limit before.
func (w *Writer) ValueLimitBytes() int {
	if w.ValueLimitLowered {
		return kibToBytes(w.limits().Strictest().ValueKB)
	}
	return kibToBytes(w.limits().ValueKB)
}

// SplitOversizedChunks splits all chunks of each job that has a changed chunk above the
// lowered limit on values. It must not be called while a transaction is in flight.
func (w *Writer) SplitOversizedChunks() {
	if !w.ValueLimitLowered {
		return
	}
	limit := w.ValueLimitBytes()
	maxTasks := store.TasksPerChunkForLimit(w.limits().Strictest().ValueKB)
	for c := range w.state.UnsavedChanges.Chunks {
		if !canSplit(c.Job, maxTasks) {
			continue
		}
		if record := c.Record(); record.MaxJSONSize() > limit {
			w.splitChunks(c.Job, maxTasks)
		}
	}
}

// canSplit reports whether a job's chunks have more than maxTasks tasks, are not split yet
// and will be written again.
func canSplit(j *cluster.Job, maxTasks int) bool {
	ending := j.Finished || j.Archiving
	return j.SubchunksPerChunk == 0 && j.TasksPerChunk > maxTasks && !ending
}

// splitChunks splits all chunks of a job into sub-chunks of equal size, of at most maxTasks
// tasks. If a chunk had unsaved changes, its sub-chunks are marked as changed too.
func (w *Writer) splitChunks(j *cluster.Job, maxTasks int) {
	perChunk := subchunksPerChunk(j.TasksPerChunk, maxTasks)
	chunks := j.Chunks
	j.Split(j.TasksPerChunk / perChunk)
	for _, c := range chunks {
		if c == nil {
			continue
		}
		if _, dirty := w.state.UnsavedChanges.Chunks[c]; !dirty {
			continue
		}
		delete(w.state.UnsavedChanges.Chunks, c)
		w.markSubchunksDirty(c, perChunk)
	}
	w.log.Info("job progress split", "job", j.Spec.ID, "tasks_per_chunk", j.TasksPerChunk)
}

// subchunksPerChunk returns the least number of sub-chunks of equal size into which a chunk
// can be split so that none has more than maxTasks tasks.
func subchunksPerChunk(tasksPerChunk, maxTasks int) int {
	n := (tasksPerChunk + maxTasks - 1) / maxTasks
	for tasksPerChunk%n != 0 {
		n++
	}
	return n
}

// markSubchunksDirty marks the sub-chunks of a split chunk as changed since the time when the
// chunk was changed.
func (w *Writer) markSubchunksDirty(c *cluster.Chunk, perChunk int) {
	subchunks := c.Job.Chunks
	first := c.Index * perChunk
	for i := first; i < min(first+perChunk, len(subchunks)); i++ {
		if subchunks[i] != nil {
			w.state.UnsavedChanges.MarkDirty(subchunks[i])
			subchunks[i].DirtySince = c.DirtySince
		}
	}
}
