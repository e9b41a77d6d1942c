package cluster

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// ChunkLayout divides a job's tasks into chunks. The size of the chunks is fixed when the
// job is accepted, by the store's limit on the size of a value at that time. If that limit
// drops later, a chunk may be too large to be written again. Then each chunk of the job is
// split in memory into several smaller ones (Job.Split), which are stored as sub-chunks
// beside the chunk's record. That record stays and is never written again. Each sub-chunk
// is written by itself, and once stored it replaces its part of the chunk's record. So
// records need not all be converted at once, and no attempt is ever without a record.
//
// A version of the program without sub-chunks takes their records for leftovers of an
// archived job and deletes them. Therefore sub-chunks are written only once the store has
// refused a chunk, after all nodes have this version.
type ChunkLayout struct {
	// Chunks are made when they are first used, by Job.Chunk; nil until then.
	Chunks        []*Chunk
	TasksPerChunk int
	// SubchunksPerChunk is the number of sub-chunks that each chunk is split into; 0: the
	// chunks are not split.
	SubchunksPerChunk int
	// baseRevisions are the revisions that the chunks' records had at the split, by chunk.
	baseRevisions []wire.Revision
}

// chunkCount returns how many chunks of tasksPerChunk tasks the given number of tasks needs.
func chunkCount(tasks, tasksPerChunk int) int {
	return (tasks + tasksPerChunk - 1) / tasksPerChunk
}

// Chunk returns the n-th chunk, or sub-chunk once the chunks are split.
func (j *Job) Chunk(n int) *Chunk {
	if j.Chunks[n] == nil {
		tasks := min(j.TasksPerChunk, j.Spec.Tasks-n*j.TasksPerChunk)
		j.Chunks[n] = &Chunk{
			Job:         j,
			Index:       n,
			NextAttempt: 1,
			TaskStates:  make([]TaskState, tasks),
			Attempts:    map[int]*Attempt{},
		}
	}
	return j.Chunks[n]
}

// ForEachPendingTask calls start for up to limit pending tasks, in their order. A task that
// start leaves pending is not visited again.
func (j *Job) ForEachPendingTask(limit int, start func(c *Chunk, index int)) {
	for chunkIndex := j.FirstPendingChunk; chunkIndex < len(j.Chunks); chunkIndex++ {
		c := j.Chunk(chunkIndex)
		for i := c.FirstPendingIndex; i < len(c.TaskStates); i++ {
			if limit == 0 {
				return
			}
			if c.TaskStates[i] == TaskPending {
				start(c, i)
				limit--
			}
			c.FirstPendingIndex = i + 1
		}
		j.FirstPendingChunk = chunkIndex + 1
	}
}

// CanSplitInto reports whether the job's chunks are, or can be, split into sub-chunks of
// the given number of tasks.
func (j *Job) CanSplitInto(size int) bool {
	if j.SubchunksPerChunk > 0 {
		return size == j.TasksPerChunk
	}
	smaller := size >= 1 && size < j.TasksPerChunk
	return smaller && j.TasksPerChunk%size == 0
}

// Split replaces the job's chunks by sub-chunks of the given number of tasks. The chunks'
// records stay in the store.
func (j *Job) Split(size int) {
	old, subchunks := j.Chunks, j.TasksPerChunk/size
	j.ChunkLayout = ChunkLayout{
		Chunks:            make([]*Chunk, chunkCount(j.Spec.Tasks, size)),
		TasksPerChunk:     size,
		SubchunksPerChunk: subchunks,
		baseRevisions:     make([]wire.Revision, len(old)),
	}
	j.FirstPendingChunk = 0
	for _, c := range old {
		if c == nil {
			continue
		}
		j.baseRevisions[c.Index] = c.Revision
		j.splitChunk(c)
	}
}

// splitChunk moves the states and attempts of a chunk to its sub-chunks.
func (j *Job) splitChunk(c *Chunk) {
	size, first := j.TasksPerChunk, c.Index*j.SubchunksPerChunk
	for n := 0; n*size < len(c.TaskStates); n++ {
		sub := j.Chunk(first + n)
		sub.NextAttempt = c.NextAttempt
		copy(sub.TaskStates, c.TaskStates[n*size:])
	}
	for i, a := range c.Attempts {
		sub := j.Chunk(first + i/size)
		a.Chunk, a.Index = sub, i%size
		sub.Attempts[a.Index] = a
		if a.Unstored {
			sub.UnstoredAttempts++
		}
	}
}

// Key returns the key under which the chunk is stored.
func (c *Chunk) Key() string {
	if n := c.Job.SubchunksPerChunk; n > 0 {
		return store.SubchunkKey(c.Job.Spec.ID, c.Index/n, c.Index%n)
	}
	return store.ChunkKey(c.Job.Spec.ID, c.Index)
}

// StoredGuards returns a guard on the known revision of each stored record of the job's
// progress.
func (j *Job) StoredGuards() []wire.Guard {
	var guards []wire.Guard
	for _, c := range j.Chunks {
		if c != nil && c.Revision != 0 {
			guards = append(guards, wire.Guard{Key: c.Key(), Revision: c.Revision})
		}
	}
	for n, revision := range j.baseRevisions {
		if revision != 0 {
			guards = append(guards, wire.Guard{Key: store.ChunkKey(j.Spec.ID, n), Revision: revision})
		}
	}
	return guards
}
