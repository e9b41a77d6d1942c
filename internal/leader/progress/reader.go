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

// NewReader returns a reader into a state. It passes the records that archived jobs have
// left to the writer, which deletes them.
func NewReader(state *cluster.State, writer *Writer, log *undecodable.Log) *Reader {
	return &Reader{state: state, writer: writer, undecodable: log}
}

// ReadAll restores the progress of all jobs: chunks first, and then the sub-chunks, each
// of which replaces a part of one.
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

// readChunkEntry restores the chunk of a job with an index.
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
		// It is deleted with the job's record, once the job is cancelled.
		j.Chunk(index).Revision = e.Revision
		return
	}
	r.ReadChunk(j.Chunk(index), e.Revision, &record)
}

// readSubchunkEntry restores a sub-chunk, which replaces its part of a chunk that was read
// before.
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
	// Sub-chunks are written only under a lowered limit.
	r.writer.ValueLimitLowered = true
	c := j.Chunk(index)
	c.Reset()
	r.ReadChunk(c, e.Revision, &record)
}

// discard has a record deleted that is left from an archived job.
func (r *Reader) discard(e wire.Entry) {
	r.writer.AddOrphan(wire.Guard{Key: e.Key, Revision: e.Revision})
}

// quarantine quarantines a job with a record that can't be decoded.
func (r *Reader) quarantine(key string, id wire.JobID, err error) {
	r.undecodable.LogOnce(key, err)
	r.state.Quarantine(key, id)
}

// ReadChunk restores a chunk from its record.
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

// restoreDone marks the tasks that a record has as done.
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

// inheritedAttempt returns an attempt that an earlier leader has stored and may have sent.
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
