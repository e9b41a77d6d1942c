package progress

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
)

// Reader reads what is stored of the jobs' progress into the state of a new leader.
type Reader struct {
	state       *cluster.State
	writer      *Writer
	undecodable *undecodable.Log
}

// NewReader returns a reader into a state; what jobs have left behind it gives to the
// writer to be deleted.
func NewReader(state *cluster.State, writer *Writer, log *undecodable.Log) *Reader {
	return &Reader{state: state, writer: writer, undecodable: log}
}

// quarantine takes a job out of service of which a record can't be decoded.
func (r *Reader) quarantine(key string, id wire.JobID, err error) {
	r.undecodable.Note(key, err)
	r.state.Quarantine(key, id)
}

// ReadAll takes in what is stored of the jobs' progress: chunks first, and then
// the sub-chunks that hold in place of a part of one.
func (r *Reader) ReadAll(progress []wire.Entry) {
	var subChunks []wire.Entry
	for _, e := range progress {
		id, index, ok := store.ParseChunkKey(e.Key)
		if !ok {
			subChunks = append(subChunks, e)
			continue
		}
		r.readChunkEntry(e, id, index)
	}
	for _, e := range subChunks {
		r.readSubchunkEntry(e)
	}
}

// discardLeftover notes what is left from a job that was archived in several steps.
func (r *Reader) discardLeftover(e wire.Entry) {
	r.writer.AddOrphan(wire.Guard{Key: e.Key, Revision: e.Revision})
}

// readChunkEntry takes in the chunk of a job with an index.
func (r *Reader) readChunkEntry(e wire.Entry, id wire.JobID, index int) {
	j := r.state.Jobs[id]
	if j == nil && r.state.Quarantined(id) {
		return
	}
	if j == nil || index >= len(j.Chunks) {
		r.discardLeftover(e)
		return
	}
	var rec store.ChunkRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		r.quarantine(e.Key, id, err)
		j.Chunk(index).Revision = e.Revision // it goes with the job's record, once that is cancelled
		return
	}
	r.ReadChunk(j.Chunk(index), e.Revision, &rec)
}

// readSubchunkEntry takes in a sub-chunk, which holds in place of its part of a
// chunk that was read before.
func (r *Reader) readSubchunkEntry(e wire.Entry) {
	id, index, part, ok := store.ParseSubchunkKey(e.Key)
	j := r.state.Jobs[id]
	if ok && j == nil && r.state.Quarantined(id) {
		return
	}
	if !ok || j == nil {
		r.discardLeftover(e)
		return
	}
	var rec store.ChunkRecord
	if err := wire.Decode(e.Value, &rec); err != nil {
		r.quarantine(e.Key, id, err)
		return
	}
	if !j.CanSplitInto(rec.SubchunkTasks) {
		r.discardLeftover(e)
		return
	}
	if j.SubchunksPerChunk == 0 {
		j.Split(rec.SubchunkTasks)
	}
	if part >= j.SubchunksPerChunk || index*j.SubchunksPerChunk+part >= len(j.Chunks) {
		r.discardLeftover(e)
		return
	}
	r.writer.limitWasLowered() // else there were none
	c := j.Chunk(index*j.SubchunksPerChunk + part)
	c.Reset()
	r.ReadChunk(c, e.Revision, &rec)
}

// ReadChunk takes in a record of a chunk.
func (r *Reader) ReadChunk(c *cluster.Chunk, revision wire.Revision, rec *store.ChunkRecord) {
	j := c.Job
	c.Revision, c.NextAttempt = revision, rec.NextAttempt
	done := make([]bool, len(c.TaskStates))
	store.SetFlags(rec.Done, done)
	for i, d := range done {
		if d {
			c.TaskStates[i] = cluster.TaskDone
			j.DoneTasks++
		}
	}
	for _, h := range rec.Active {
		if h.Task < 0 || h.Task >= len(c.TaskStates) || c.TaskStates[h.Task] != cluster.TaskPending {
			continue
		}
		c.Add(&cluster.Attempt{Job: j, Chunk: c, Index: h.Task, Number: h.Attempt, Machine: r.state.GetOrAddMachine(h.Machine), Inherited: true, DecidedAt: r.state.TermStartedAt})
	}
}
