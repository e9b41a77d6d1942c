package leader

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Progress is stored in chunks of a size that is fixed when a job is accepted,
// by the limit on values of that time. If that limit drops later, a chunk may be
// too large to be written again. Then the job's chunks become several smaller
// ones in memory, which are stored as sub-chunks beside the chunk that they are of:
// the chunk stays and is never written again, each sub-chunk that exists holds in
// its place, and each is written by itself. Nothing has to be moved at once, and
// no attempt is without a record at any time. (An earlier version takes sub-chunks
// for what a job has left behind, and drops them: they are written only once the
// service has refused a chunk, after all nodes have this version.)

// valueLimit is the size in bytes that a value may have.
func (w *writer) valueLimit() int {
	if w.limitLowered {
		return int(w.limits().Least().ValueKB * 1024)
	}
	return int(w.limits().ValueKB * 1024)
}

// splitLarge splits the chunks of jobs of which one is to be written that has
// become too large. It is called while nothing is being written.
func (w *writer) splitLarge() {
	if !w.limitLowered {
		return
	}
	most, small := w.valueLimit(), store.ChunkTasksFor(w.limits().Least().ValueKB)
	for c := range w.state.unsaved.chunks {
		if j := c.job; j.subchunksPerChunk == 0 && j.tasksPerChunk > small && !j.finished && !j.archiving {
			if rec := c.record(); rec.JSONSize() > most {
				w.splitChunks(j, small)
			}
		}
	}
}

// splitChunks splits all chunks of a job, so that they fit under the limits to
// come.
func (w *writer) splitChunks(j *job, small int) {
	n := (j.tasksPerChunk + small - 1) / small
	for j.tasksPerChunk%n != 0 {
		n++
	}
	old := j.chunks
	j.split(j.tasksPerChunk / n)
	for _, c := range old {
		if c == nil {
			continue
		}
		if _, dirty := w.state.unsaved.chunks[c]; dirty {
			delete(w.state.unsaved.chunks, c)
			for k := range n {
				if i := c.index*n + k; i < len(j.chunks) && j.chunks[i] != nil {
					w.state.unsaved.markDirty(j.chunks[i])
					j.chunks[i].dirtySince = c.dirtySince
				}
			}
		}
	}
	w.log.Info("splits progress", "job", j.spec.ID, "tasks", j.tasksPerChunk)
}

// split makes chunks of so many tasks of the job's chunks, whose records stay
// below them.
func (j *job) split(size int) {
	old, n := j.chunks, j.tasksPerChunk/size
	j.subchunksPerChunk, j.tasksPerChunk, j.firstPendingChunk = n, size, 0
	j.baseRevisions = make([]wire.Revision, len(old))
	j.chunks = make([]*chunk, (j.spec.Tasks+size-1)/size)
	for _, c := range old {
		if c == nil {
			continue
		}
		j.baseRevisions[c.index] = c.revision
		for k := 0; k*size < len(c.taskStates); k++ {
			p := j.chunk(c.index*n + k)
			p.nextAttempt = c.nextAttempt
			copy(p.taskStates, c.taskStates[k*size:])
		}
		for i, a := range c.attempts {
			p := j.chunk(c.index*n + i/size)
			a.chunk, a.index = p, i%size
			p.attempts[a.index] = a
			if a.unstored {
				p.unstoredAttempts++
			}
		}
	}
}

// key under which the chunk is stored.
func (c *chunk) key() string {
	if n := c.job.subchunksPerChunk; n > 0 {
		return store.SubchunkKey(c.job.spec.ID, c.index/n, c.index%n)
	}
	return store.ChunkKey(c.job.spec.ID, c.index)
}

// storedGuards lists all that is stored of the job's progress.
func (j *job) storedGuards() []wire.Guard {
	var out []wire.Guard
	for _, c := range j.chunks {
		if c != nil && c.revision != 0 {
			out = append(out, wire.Guard{Key: c.key(), Revision: c.revision})
		}
	}
	for n, revision := range j.baseRevisions {
		if revision != 0 {
			out = append(out, wire.Guard{Key: store.ChunkKey(j.spec.ID, n), Revision: revision})
		}
	}
	return out
}

// canSplitInto tells whether the job's chunks are, or can be, split into sub-chunks of
// so many tasks.
func (j *job) canSplitInto(size int) bool {
	if j.subchunksPerChunk > 0 {
		return size == j.tasksPerChunk
	}
	return size >= 1 && size < j.tasksPerChunk && j.tasksPerChunk%size == 0
}
