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
func (t *term) valueLimit() int {
	if t.valueLimitLowered {
		return int(t.settings.State.Least().ValueKB * 1024)
	}
	return int(t.settings.State.ValueKB * 1024)
}

// splitLarge splits the chunks of jobs of which one is to be written that has
// become too large. It is called while nothing is being written.
func (t *term) splitLarge() {
	if !t.valueLimitLowered {
		return
	}
	most, small := t.valueLimit(), store.ChunkFor(t.settings.State.Least().ValueKB)
	for c := range t.pendingWrites {
		if j := c.job; j.subChunks == 0 && j.chunkTasks > small && !j.finished && !j.archiving {
			if rec := c.record(); rec.JSONSize() > most {
				t.splitChunks(j, small)
			}
		}
	}
}

// splitChunks splits all chunks of a job, so that they fit under the limits to
// come.
func (t *term) splitChunks(j *job, small int) {
	n := (j.chunkTasks + small - 1) / small
	for j.chunkTasks%n != 0 {
		n++
	}
	old := j.chunks
	j.split(j.chunkTasks / n)
	for _, c := range old {
		if c == nil {
			continue
		}
		if _, dirty := t.pendingWrites[c]; dirty {
			delete(t.pendingWrites, c)
			for k := range n {
				if i := c.index*n + k; i < len(j.chunks) && j.chunks[i] != nil {
					t.markPending(j.chunks[i])
					j.chunks[i].changedAt = c.changedAt
				}
			}
		}
	}
	t.log().Info("splits progress", "job", j.spec.ID, "tasks", j.chunkTasks)
}

// split makes chunks of so many tasks of the job's chunks, whose records stay
// below them.
func (j *job) split(size int) {
	old, n := j.chunks, j.chunkTasks/size
	j.subChunks, j.chunkTasks, j.firstPendingChunk = n, size, 0
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
			if a.planned {
				p.unstored++
			}
		}
	}
}

// key under which the chunk is stored.
func (c *chunk) key() string {
	if n := c.job.subChunks; n > 0 {
		return store.PieceKey(c.job.spec.ID, c.index/n, c.index%n)
	}
	return store.ChunkKey(c.job.spec.ID, c.index)
}

// stored lists all that is stored of the job's progress.
func (j *job) stored() []wire.Guard {
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

// readProgress takes in what is stored of the jobs' progress: chunks first, and then
// the sub-chunks that hold in place of a part of one.
func (t *term) readProgress(progress []wire.Entry) {
	orphan := func(e wire.Entry) {
		// Left over from a job that was archived in several steps.
		t.orphanedRecords = append(t.orphanedRecords, wire.Guard{Key: e.Key, Revision: e.Revision})
	}
	var subChunks []wire.Entry
	for _, e := range progress {
		id, n, ok := store.ParseChunkKey(e.Key)
		if !ok {
			subChunks = append(subChunks, e)
			continue
		}
		j := t.jobs[id]
		if j == nil && t.isAside(id) {
			continue
		}
		if j == nil || n >= len(j.chunks) {
			orphan(e)
			continue
		}
		var rec store.ChunkRecord
		if err := wire.Decode(e.Value, &rec); err != nil {
			t.setAside(e.Key, id, err)
			j.chunk(n).revision = e.Revision // it goes with the job's record, once that is cancelled
			continue
		}
		t.readChunk(j.chunk(n), e.Revision, &rec)
	}
	for _, e := range subChunks {
		id, n, k, ok := store.ParsePieceKey(e.Key)
		j := t.jobs[id]
		if ok && j == nil && t.isAside(id) {
			continue
		}
		var rec store.ChunkRecord
		if ok && j != nil {
			if err := wire.Decode(e.Value, &rec); err != nil {
				t.setAside(e.Key, id, err)
				continue
			}
		}
		if !ok || j == nil || rec.Size < 1 ||
			j.subChunks == 0 && (rec.Size >= j.chunkTasks || j.chunkTasks%rec.Size != 0) || j.subChunks > 0 && rec.Size != j.chunkTasks {
			orphan(e)
			continue
		}
		if j.subChunks == 0 {
			j.split(rec.Size)
		}
		if k >= j.subChunks || n*j.subChunks+k >= len(j.chunks) {
			orphan(e)
			continue
		}
		t.valueLimitLowered = true // else there were none
		c := j.chunk(n*j.subChunks + k)
		for _, a := range c.attempts {
			a.release()
		}
		for i, s := range c.taskStates {
			if s == taskDone {
				j.done--
			}
			c.taskStates[i] = taskPending
		}
		t.readChunk(c, e.Revision, &rec)
	}
}

// release takes an attempt off its chunk and machine as if it had never been.
func (a *attempt) release() {
	delete(a.chunk.attempts, a.index)
	a.job.held--
	if a.machine.tasks[a.task()] == a {
		delete(a.machine.tasks, a.task())
		a.machine.used = a.machine.used.Minus(a.res())
	}
}

// readChunk takes in a record of a chunk.
func (t *term) readChunk(c *chunk, revision wire.Revision, rec *store.ChunkRecord) {
	j := c.job
	c.revision, c.nextAttempt = revision, rec.Next
	done := make([]bool, len(c.taskStates))
	store.Unpack(rec.Done, done)
	for i, d := range done {
		if d {
			c.taskStates[i] = taskDone
			j.done++
		}
	}
	for _, h := range rec.Held {
		if h.Task < 0 || h.Task >= len(c.taskStates) || c.taskStates[h.Task] != taskPending {
			continue
		}
		c.hold(&attempt{job: j, chunk: c, index: h.Task, number: h.Try, machine: t.machine(h.On), inherited: true, decidedAt: t.startedAt})
	}
}
