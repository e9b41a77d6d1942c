package leader

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// readProgress takes in what is stored of the jobs' progress: chunks first, and then
// the sub-chunks that hold in place of a part of one.
func (rd *records) readProgress(progress []wire.Entry) {
	var subChunks []wire.Entry
	for _, e := range progress {
		id, index, ok := store.ParseChunkKey(e.Key)
		if !ok {
			subChunks = append(subChunks, e)
			continue
		}
		rd.readChunkEntry(e, id, index)
	}
	for _, e := range subChunks {
		rd.readSubChunkEntry(e)
	}
}

// discardLeftover notes what is left from a job that was archived in several steps.
func (rd *records) discardLeftover(e wire.Entry) {
	rd.writer.addOrphan(wire.Guard{Key: e.Key, Revision: e.Revision})
}

// readChunkEntry takes in the chunk of a job with an index.
func (rd *records) readChunkEntry(e wire.Entry, id wire.JobID, index int) {
	j := rd.state.jobs[id]
	if j == nil && rd.state.quarantined(id) {
		return
	}
	if j == nil || index >= len(j.chunks) {
		rd.discardLeftover(e)
		return
	}
	var rec store.ChunkRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		rd.quarantine(e.Key, id, err)
		j.chunk(index).revision = e.Revision // it goes with the job's record, once that is cancelled
		return
	}
	rd.readChunk(j.chunk(index), e.Revision, &rec)
}

// readSubChunkEntry takes in a sub-chunk, which holds in place of its part of a
// chunk that was read before.
func (rd *records) readSubChunkEntry(e wire.Entry) {
	id, index, part, ok := store.ParseSubchunkKey(e.Key)
	j := rd.state.jobs[id]
	if ok && j == nil && rd.state.quarantined(id) {
		return
	}
	if !ok || j == nil {
		rd.discardLeftover(e)
		return
	}
	var rec store.ChunkRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		rd.quarantine(e.Key, id, err)
		return
	}
	if !j.canSplitInto(rec.SubchunkTasks) {
		rd.discardLeftover(e)
		return
	}
	if j.subchunksPerChunk == 0 {
		j.split(rec.SubchunkTasks)
	}
	if part >= j.subchunksPerChunk || index*j.subchunksPerChunk+part >= len(j.chunks) {
		rd.discardLeftover(e)
		return
	}
	rd.writer.limitWasLowered() // else there were none
	c := j.chunk(index*j.subchunksPerChunk + part)
	c.reset()
	rd.readChunk(c, e.Revision, &rec)
}

// readChunk takes in a record of a chunk.
func (rd *records) readChunk(c *chunk, revision wire.Revision, rec *store.ChunkRecord) {
	j := c.job
	c.revision, c.nextAttempt = revision, rec.NextAttempt
	done := make([]bool, len(c.taskStates))
	store.SetFlags(rec.Done, done)
	for i, d := range done {
		if d {
			c.taskStates[i] = TaskDone
			j.doneTasks++
		}
	}
	for _, h := range rec.Active {
		if h.Task < 0 || h.Task >= len(c.taskStates) || c.taskStates[h.Task] != TaskPending {
			continue
		}
		c.add(&attempt{job: j, chunk: c, index: h.Task, number: h.Attempt, machine: rd.state.getOrAddMachine(h.Machine), inherited: true, decidedAt: rd.state.termStartedAt})
	}
}
