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
