package leader

import (
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Progress is stored in chunks of a size that is fixed when a job is accepted,
// by the limit on values of that time. If that limit drops later, a chunk may be
// too large to be written again. Then the job's chunks become several smaller
// ones in memory, which are stored as pieces beside the chunk that they are of:
// the chunk stays and is never written again, each piece that exists holds in
// its place, and each is written by itself. Nothing has to be moved at once, and
// no attempt is without a record at any time. (An earlier version takes pieces
// for what a job has left behind, and drops them: they are written only once the
// service has refused a chunk, after all nodes have this version.)

// valueMost is the size in bytes that a value may have.
func (t *term) valueMost() int {
	if t.lowered {
		return int(t.set.State.Least().ValueKB * 1024)
	}
	return int(t.set.State.ValueKB * 1024)
}

// splitLarge splits the chunks of jobs of which one is to be written that has
// become too large. It is called while nothing is being written.
func (t *term) splitLarge() {
	if !t.lowered {
		return
	}
	most, small := t.valueMost(), store.ChunkFor(t.set.State.Least().ValueKB)
	for c := range t.dirty {
		if j := c.job; j.pieces == 0 && j.per > small && !j.over && !j.archiving {
			if rec := c.record(); rec.JSONSize() > most {
				t.splitChunks(j, small)
			}
		}
	}
}

// splitChunks splits all chunks of a job, so that they fit under the limits to
// come.
func (t *term) splitChunks(j *job, small int) {
	n := (j.per + small - 1) / small
	for j.per%n != 0 {
		n++
	}
	old := j.chunks
	j.split(j.per / n)
	for _, c := range old {
		if c == nil {
			continue
		}
		if _, dirty := t.dirty[c]; dirty {
			delete(t.dirty, c)
			for k := range n {
				if i := c.n*n + k; i < len(j.chunks) && j.chunks[i] != nil {
					t.mark(j.chunks[i])
					j.chunks[i].since = c.since
				}
			}
		}
	}
	t.log().Info("splits progress", "job", j.spec.ID, "tasks", j.per)
}

// split makes chunks of so many tasks of the job's chunks, whose records stay
// below them.
func (j *job) split(size int) {
	old, n := j.chunks, j.per/size
	j.pieces, j.per, j.from = n, size, 0
	j.bases = make([]wire.Revision, len(old))
	j.chunks = make([]*chunk, (j.spec.Tasks+size-1)/size)
	for _, c := range old {
		if c == nil {
			continue
		}
		j.bases[c.n] = c.stamp
		for k := 0; k*size < len(c.state); k++ {
			p := j.chunk(c.n*n + k)
			p.next = c.next
			copy(p.state, c.state[k*size:])
		}
		for i, a := range c.holds {
			p := j.chunk(c.n*n + i/size)
			a.chunk, a.index = p, i%size
			p.holds[a.index] = a
			if a.planned {
				p.plans++
			}
		}
	}
}

// key under which the chunk is stored.
func (c *chunk) key() string {
	if n := c.job.pieces; n > 0 {
		return store.PieceKey(c.job.spec.ID, c.n/n, c.n%n)
	}
	return store.ChunkKey(c.job.spec.ID, c.n)
}

// stored lists all that is stored of the job's progress.
func (j *job) stored() []wire.Guard {
	var out []wire.Guard
	for _, c := range j.chunks {
		if c != nil && c.stamp != 0 {
			out = append(out, wire.Guard{Key: c.key(), Revision: c.stamp})
		}
	}
	for n, stamp := range j.bases {
		if stamp != 0 {
			out = append(out, wire.Guard{Key: store.ChunkKey(j.spec.ID, n), Revision: stamp})
		}
	}
	return out
}

// readRuns takes in what is stored of the jobs' progress: chunks first, and then
// the pieces that hold in place of a part of one.
func (t *term) readRuns(runs []wire.Entry) {
	orphan := func(e wire.Entry) {
		// Left over from a job that was archived in several steps.
		t.fleet.orphans = append(t.fleet.orphans, wire.Guard{Key: e.Key, Revision: e.Revision})
	}
	var pieces []wire.Entry
	for _, e := range runs {
		id, n, ok := store.ParseChunkKey(e.Key)
		if !ok {
			pieces = append(pieces, e)
			continue
		}
		j := t.jobs[id]
		var rec store.ChunkRecord
		if j == nil || n >= len(j.chunks) || wire.Decode(e.Value, &rec) != nil {
			orphan(e)
			continue
		}
		t.readChunk(j.chunk(n), e.Revision, &rec)
	}
	for _, e := range pieces {
		id, n, k, ok := store.ParsePieceKey(e.Key)
		j := t.jobs[id]
		var rec store.ChunkRecord
		if !ok || j == nil || wire.Decode(e.Value, &rec) != nil || rec.Size < 1 ||
			j.pieces == 0 && (rec.Size >= j.per || j.per%rec.Size != 0) || j.pieces > 0 && rec.Size != j.per {
			orphan(e)
			continue
		}
		if j.pieces == 0 {
			j.split(rec.Size)
		}
		if k >= j.pieces || n*j.pieces+k >= len(j.chunks) {
			orphan(e)
			continue
		}
		t.lowered = true // else there were none
		c := j.chunk(n*j.pieces + k)
		for _, a := range c.holds {
			a.release()
		}
		for i, s := range c.state {
			if s == taskDone {
				j.done--
			}
			c.state[i] = taskPending
		}
		t.readChunk(c, e.Revision, &rec)
	}
}

// release takes an attempt off its chunk and machine as if it had never been.
func (a *attempt) release() {
	delete(a.chunk.holds, a.index)
	a.job.held--
	if a.m.tasks[a.task()] == a {
		delete(a.m.tasks, a.task())
		a.m.used = a.m.used.Minus(a.res())
	}
}

// readChunk takes in a record of a chunk.
func (t *term) readChunk(c *chunk, stamp wire.Revision, rec *store.ChunkRecord) {
	j := c.job
	c.stamp, c.next = stamp, rec.Next
	done := make([]bool, len(c.state))
	store.Unpack(rec.Done, done)
	for i, d := range done {
		if d {
			c.state[i] = taskDone
			j.done++
		}
	}
	for _, h := range rec.Held {
		if h.Task < 0 || h.Task >= len(c.state) || c.state[h.Task] != taskPending {
			continue
		}
		c.hold(&attempt{job: j, chunk: c, index: h.Task, try: h.Try, m: t.machine(h.On), inherited: true, at: t.born})
	}
}
