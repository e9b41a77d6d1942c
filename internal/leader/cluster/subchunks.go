package cluster

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

// Split makes chunks of so many tasks of the job's chunks, whose records stay
// below them.
func (j *Job) Split(size int) {
	old, n := j.Chunks, j.TasksPerChunk/size
	j.SubchunksPerChunk, j.TasksPerChunk, j.FirstPendingChunk = n, size, 0
	j.baseRevisions = make([]wire.Revision, len(old))
	j.Chunks = make([]*Chunk, (j.Spec.Tasks+size-1)/size)
	for _, c := range old {
		if c == nil {
			continue
		}
		j.baseRevisions[c.Index] = c.Revision
		for k := 0; k*size < len(c.TaskStates); k++ {
			p := j.Chunk(c.Index*n + k)
			p.NextAttempt = c.NextAttempt
			copy(p.TaskStates, c.TaskStates[k*size:])
		}
		for i, a := range c.Attempts {
			p := j.Chunk(c.Index*n + i/size)
			a.Chunk, a.Index = p, i%size
			p.Attempts[a.Index] = a
			if a.Unstored {
				p.UnstoredAttempts++
			}
		}
	}
}

// Key under which the chunk is stored.
func (c *Chunk) Key() string {
	if n := c.Job.SubchunksPerChunk; n > 0 {
		return store.SubchunkKey(c.Job.Spec.ID, c.Index/n, c.Index%n)
	}
	return store.ChunkKey(c.Job.Spec.ID, c.Index)
}

// StoredGuards lists all that is stored of the job's progress.
func (j *Job) StoredGuards() []wire.Guard {
	var out []wire.Guard
	for _, c := range j.Chunks {
		if c != nil && c.Revision != 0 {
			out = append(out, wire.Guard{Key: c.Key(), Revision: c.Revision})
		}
	}
	for n, revision := range j.baseRevisions {
		if revision != 0 {
			out = append(out, wire.Guard{Key: store.ChunkKey(j.Spec.ID, n), Revision: revision})
		}
	}
	return out
}

// CanSplitInto tells whether the job's chunks are, or can be, split into sub-chunks of
// so many tasks.
func (j *Job) CanSplitInto(size int) bool {
	if j.SubchunksPerChunk > 0 {
		return size == j.TasksPerChunk
	}
	return size >= 1 && size < j.TasksPerChunk && j.TasksPerChunk%size == 0
}
