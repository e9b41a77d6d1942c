package leader

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// readProgress takes in what is stored of the jobs' progress: chunks first, and then
// the sub-chunks that hold in place of a part of one.
func (t *term) readProgress(progress []wire.Entry) {
	var subChunks []wire.Entry
	for _, e := range progress {
		id, index, ok := store.ParseChunkKey(e.Key)
		if !ok {
			subChunks = append(subChunks, e)
			continue
		}
		t.readChunkEntry(e, id, index)
	}
	for _, e := range subChunks {
		t.readSubChunkEntry(e)
	}
}

// discardLeftover notes what is left from a job that was archived in several steps.
func (t *term) discardLeftover(e wire.Entry) {
	t.writer.addOrphan(wire.Guard{Key: e.Key, Revision: e.Revision})
}

// readChunkEntry takes in the chunk of a job with an index.
func (t *term) readChunkEntry(e wire.Entry, id wire.JobID, index int) {
	j := t.state.jobs[id]
	if j == nil && t.state.quarantined(id) {
		return
	}
	if j == nil || index >= len(j.chunks) {
		t.discardLeftover(e)
		return
	}
	var rec store.ChunkRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		t.quarantine(e.Key, id, err)
		j.chunk(index).revision = e.Revision // it goes with the job's record, once that is cancelled
		return
	}
	t.readChunk(j.chunk(index), e.Revision, &rec)
}

// readSubChunkEntry takes in a sub-chunk, which holds in place of its part of a
// chunk that was read before.
func (t *term) readSubChunkEntry(e wire.Entry) {
	id, index, part, ok := store.ParseSubchunkKey(e.Key)
	j := t.state.jobs[id]
	if ok && j == nil && t.state.quarantined(id) {
		return
	}
	if !ok || j == nil {
		t.discardLeftover(e)
		return
	}
	var rec store.ChunkRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		t.quarantine(e.Key, id, err)
		return
	}
	if !j.canSplitInto(rec.SubchunkTasks) {
		t.discardLeftover(e)
		return
	}
	if j.subchunksPerChunk == 0 {
		j.split(rec.SubchunkTasks)
	}
	if part >= j.subchunksPerChunk || index*j.subchunksPerChunk+part >= len(j.chunks) {
		t.discardLeftover(e)
		return
	}
	t.writer.limitWasLowered() // else there were none
	c := j.chunk(index*j.subchunksPerChunk + part)
	c.reset()
	t.readChunk(c, e.Revision, &rec)
}

// readChunk takes in a record of a chunk.
func (t *term) readChunk(c *chunk, revision wire.Revision, rec *store.ChunkRecord) {
	j := c.job
	c.revision, c.nextAttempt = revision, rec.NextAttempt
	done := make([]bool, len(c.taskStates))
	store.SetFlags(rec.Done, done)
	for i, d := range done {
		if d {
			c.taskStates[i] = taskDone
			j.doneTasks++
		}
	}
	for _, h := range rec.Active {
		if h.Task < 0 || h.Task >= len(c.taskStates) || c.taskStates[h.Task] != taskPending {
			continue
		}
		c.add(&attempt{job: j, chunk: c, index: h.Task, number: h.Attempt, machine: t.state.getOrAddMachine(h.Machine), inherited: true, decidedAt: t.state.termStartedAt})
	}
}
