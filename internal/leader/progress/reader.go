package progress

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// Reader restores the stored progress of jobs into the state of a new leader.
type Reader struct {
	state       *cluster.State
	writer      *Writer
	undecodable *undecodable.Log
}

// NewReader returns a reader that restores progress into the state. It passes the records
// that archived jobs have left behind to the writer, which deletes them.
func NewReader(state *cluster.State, writer *Writer, log *undecodable.Log) *Reader {
	return &Reader{state: state, writer: writer, undecodable: log}
}

// ReadAll restores the progress of all jobs. It reads the chunks first and then the
// sub-chunks, because each sub-chunk replaces a part of a chunk.
func (r *Reader) ReadAll(progress []wire.Entry) {
	var subchunks []wire.Entry
	for _, e := range progress {
		id, index, ok := store.ParseChunkKey(e.Key)
		if !ok {
			subchunks = append(subchunks, e)
			continue
		}
		r.readChunkEntry(e, id, index)
	}
	for _, e := range subchunks {
		r.readSubchunkEntry(e)
	}
}

// readChunkEntry restores the chunk with the given index of a job. It ignores the chunks of
// a quarantined job that is not in the model.
func (r *Reader) readChunkEntry(e wire.Entry, id wire.JobID, index int) {
	j := r.state.Jobs[id]
	if j == nil && r.state.IsQuarantined(id) {
		return
	}
	if j == nil || index >= len(j.Chunks) {
		r.discard(e)
		return
	}
	var record store.ChunkRecord
	if err := wire.Decode(e.Value, &record); err != nil {
		r.quarantine(e.Key, id, err)
		// With its revision known, the record is deleted together with the job's record once
		// the job is cancelled.
		j.Chunk(index).Revision = e.Revision
		return
	}
	r.ReadChunk(j.Chunk(index), e.Revision, &record)
}

// readSubchunkEntry restores a sub-chunk. Its record replaces what was read before about the
// same tasks from their chunk. The first sub-chunk of a job splits the job's chunks.
func (r *Reader) readSubchunkEntry(e wire.Entry) {
	id, chunk, subchunk, ok := store.ParseSubchunkKey(e.Key)
	j := r.state.Jobs[id]
	if ok && j == nil && r.state.IsQuarantined(id) {
		return
	}
	if !ok || j == nil {
		r.discard(e)
		return
	}
	var record store.ChunkRecord
	if err := wire.Decode(e.Value, &record); err != nil {
		r.quarantine(e.Key, id, err)
		return
	}
	if !j.CanSplitInto(record.SubchunkTasks) {
		r.discard(e)
		return
	}
	if j.SubchunksPerChunk == 0 {
		j.Split(record.SubchunkTasks)
	}
	index := chunk*j.SubchunksPerChunk + subchunk
	if subchunk >= j.SubchunksPerChunk || index >= len(j.Chunks) {
		r.discard(e)
		return
	}
	// Sub-chunks exist only if an earlier leader found that the limit on values was lowered.
	r.writer.ValueLimitLowered = true
	c := j.Chunk(index)
	c.ResetTasks()
	r.ReadChunk(c, e.Revision, &record)
}

// discard has the writer delete a record that belongs to no chunk of a job in the model, such
// as one that an archived job has left behind.
func (r *Reader) discard(e wire.Entry) {
	r.writer.AddOrphan(wire.Guard{Key: e.Key, Revision: e.Revision})
}

// quarantine quarantines a job one of whose records can't be decoded.
func (r *Reader) quarantine(key string, id wire.JobID, err error) {
	r.undecodable.LogOnce(key, err)
	r.state.Quarantine(key, id)
}

// ReadChunk restores a chunk from its record. It ignores active attempts of tasks that the
// chunk does not have or that are not pending.
func (r *Reader) ReadChunk(c *cluster.Chunk, revision wire.Revision, record *store.ChunkRecord) {
	c.Revision, c.NextAttempt = revision, record.NextAttempt
	r.restoreDone(c, record)
	for _, active := range record.Active {
		inChunk := active.Task >= 0 && active.Task < len(c.TaskStates)
		if inChunk && c.TaskStates[active.Task] == cluster.TaskPending {
			c.AddAttempt(r.inheritedAttempt(c, active))
		}
	}
}

// restoreDone marks the tasks as done that are done in the record.
func (r *Reader) restoreDone(c *cluster.Chunk, record *store.ChunkRecord) {
	done := make([]bool, len(c.TaskStates))
	store.SetFlags(record.Done, done)
	for i, d := range done {
		if d {
			c.TaskStates[i] = cluster.TaskDone
			c.Job.DoneTasks++
		}
	}
}

// inheritedAttempt returns an attempt that an earlier leader has stored. That leader may
// also have sent its launch.
func (r *Reader) inheritedAttempt(c *cluster.Chunk, active store.ActiveAttempt) *cluster.Attempt {
	return &cluster.Attempt{
		Job:         c.Job,
		Chunk:       c,
		Index:       active.Task,
		Number:      active.Attempt,
		Machine:     r.state.GetOrAddMachine(active.Machine),
		Inherited:   true,
		ScheduledAt: r.state.TermStartedAt,
	}
}
