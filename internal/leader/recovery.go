package leader

import (
	"context"
	"errors"
	"strings"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// recover reads everything from the state service.
func (t *term) recover(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		jobs, rev, err := t.l.Store.List(ctx, store.Background, store.JobPrefix)
		if err == nil {
			var runs []wire.Entry
			if runs, _, err = t.l.Store.List(ctx, store.Background, store.RunPrefix); err == nil {
				t.post(func() {
					t.loadRecords(jobs, runs)
					t.l.Cancels.RecordRead(began)
				})
				t.follow(ctx, rev)
				return
			}
		}
		t.log().Info("recovery: state service refuses", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// followFor is how long one watch is open. What it shows is only known to be as
// new as its beginning, and leases are renewed by that.
const followFor = time.Second

// follow watches the jobs.
func (t *term) follow(ctx context.Context, rev wire.Revision) {
	for ctx.Err() == nil {
		began := time.Now()
		ch, err := t.l.Store.Watch(ctx, store.JobPrefix, rev, followFor)
		if errors.Is(err, store.ErrTooOld) {
			t.end("fell behind the changes")
			return
		}
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(250 * time.Millisecond):
			}
			continue
		}
		if ch.Revision > rev {
			rev = ch.Revision
		}
		t.post(func() {
			t.applyChanges(ch.Events)
			t.l.Cancels.RecordRead(began)
		})
	}
}

// applyChanges takes in what has changed among the jobs' records.
func (t *term) applyChanges(changes []wire.Change) {
	for _, c := range changes {
		if c.Put != "" {
			t.applyJobRecord(c.Put, c.Value, c.Revision)
			continue
		}
		// The last that comes of a job.
		id := wire.JobID(strings.TrimPrefix(c.Delete, store.JobPrefix))
		delete(t.undecodable, id)
		if delete(t.archived, id); t.jobs[id] != nil {
			t.jobs[id].recordGone = true
		}
	}
}

// loadRecords builds the term's picture from what was read.
func (t *term) loadRecords(jobs, runs []wire.Entry) {
	for _, e := range jobs {
		t.applyJobRecord(e.Key, e.Value, e.Revision)
	}
	t.readProgress(runs)
	for _, j := range t.jobs {
		t.readGang(j)
	}
	t.recovered = true
	t.log().Info("recovered", "jobs", len(t.jobs), "machines", len(t.machines), "took", time.Since(t.startedAt))
	for _, j := range t.jobs {
		if j.cancelled {
			t.haltCancelled(j)
		}
		t.checkFinished(j)
	}
	for _, rep := range t.earlyReports {
		t.apply(t.machine(rep.Machine), &rep, true, time.Now())
	}
	t.earlyReports = nil
	t.cancelCursor = 0
	t.applyCancellations()
	t.delegationToken.Store(uint64(t.token)) // only now cancellations are known
	t.showToken()
}

// applyJobRecord takes in a job record that is new or has changed.
func (t *term) applyJobRecord(key string, v wire.Raw, revision wire.Revision) {
	rec, err := store.DecodeJob(key, v)
	if err != nil {
		t.setAside(key, wire.JobID(strings.TrimPrefix(key, store.JobPrefix)), err)
		return
	}
	j := t.jobs[rec.Spec.ID]
	if j == nil {
		if t.undecodable[rec.Spec.ID] {
			t.end("a job's record can be decoded again: " + string(rec.Spec.ID)) // its progress was not read
			return
		}
		if t.archived[rec.Spec.ID] {
			return // late news of a job that is over
		}
		j = newJob(rec, revision)
		t.jobs[rec.Spec.ID] = j
		t.requestRound()
	}
	if revision < j.revision {
		return
	}
	j.revision, j.stale = revision, j.cancelled && rec.Status != wire.Cancelled
	rec.LogCancellation(t.l.Cancels)
	if rec.Status == wire.Cancelled && !j.cancelled {
		j.cancelled = true
		j.cancelledAt = time.Now().Add(-rec.Cancelled())
		if t.recovered {
			t.haltCancelled(j)
		}
	}
}

// checkFinished notes that a job can be archived.
func (t *term) checkFinished(j *job) {
	if j.cancelled && j.held == 0 || j.done == j.spec.Tasks {
		j.finished = true
		t.finishedJobs[j] = struct{}{}
	}
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
		id, n, k, ok := store.ParseSubchunkKey(e.Key)
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
		if !ok || j == nil || rec.SubchunkTasks < 1 ||
			j.subChunks == 0 && (rec.SubchunkTasks >= j.chunkTasks || j.chunkTasks%rec.SubchunkTasks != 0) || j.subChunks > 0 && rec.SubchunkTasks != j.chunkTasks {
			orphan(e)
			continue
		}
		if j.subChunks == 0 {
			j.split(rec.SubchunkTasks)
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

// readChunk takes in a record of a chunk.
func (t *term) readChunk(c *chunk, revision wire.Revision, rec *store.ChunkRecord) {
	j := c.job
	c.revision, c.nextAttempt = revision, rec.Next
	done := make([]bool, len(c.taskStates))
	store.SetFlags(rec.Done, done)
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
		c.hold(&attempt{job: j, chunk: c, index: h.Task, number: h.Attempt, machine: t.machine(h.Machine), inherited: true, decidedAt: t.startedAt})
	}
}
