package recovery

import (
	"context"
	"errors"
	"strings"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// watchDuration is how long one watch is open. Its answer proves only what was known
	// when it began, and leases are renewed by that.
	watchDuration = time.Second
	// watchRetry is the pause after a watch that failed.
	watchRetry = 250 * time.Millisecond
	// rereadRetry is the pause before a job's record is read again.
	rereadRetry = 300 * time.Millisecond
)

// watchJobRecords posts the changes of the jobs' records from a revision on, until the
// context ends.
func (r *Records) watchJobRecords(ctx context.Context, revision wire.Revision) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		answer, err := r.Store.Watch(ctx, store.JobPrefix, revision, watchDuration)
		if errors.Is(err, store.ErrCompacted) {
			r.End("fell behind the changes")
			return
		}
		if err != nil {
			core.Pause(ctx, watchRetry)
			continue
		}
		revision = max(revision, answer.Revision)
		r.Post(JobRecordsChanged{Changes: answer.Events, StartedAt: startedAt})
	}
}

// ApplyChanges updates the model with changes of the jobs' records.
func (r *Records) ApplyChanges(changes []wire.WatchEvent) {
	for _, change := range changes {
		if change.PutKey != "" {
			r.applyJobRecord(change.PutKey, change.Value, change.Revision)
			continue
		}
		r.applyDeletion(jobIDOfKey(change.DeletedKey))
	}
}

// applyDeletion forgets what is kept of a job for late events: the deletion of its record
// is the last one.
func (r *Records) applyDeletion(id wire.JobID) {
	delete(r.State.QuarantinedJobs, id)
	delete(r.State.ArchivedJobs, id)
	if j := r.State.Jobs[id]; j != nil {
		j.RecordDeleted = true
	}
}

// jobIDOfKey returns the ID of the job that a record's key names.
func jobIDOfKey(key string) wire.JobID {
	return wire.JobID(strings.TrimPrefix(key, store.JobPrefix))
}

// applyJobRecord updates the model with a job record that is new or has changed.
func (r *Records) applyJobRecord(key string, value wire.RawValue, revision wire.Revision) {
	record, err := store.DecodeJob(key, value)
	if err != nil {
		r.Undecodable.LogOnce(key, err)
		r.State.Quarantine(key, jobIDOfKey(key))
		return
	}
	j := r.findOrAddJob(record, revision)
	if j == nil || revision < j.Revision {
		return
	}
	cancelled := record.Status == wire.StatusCancelled
	j.Revision = revision
	j.RecordOutdated = j.Cancelled && !cancelled
	record.LogCancellation(r.Cancels)
	if cancelled && !j.Cancelled {
		r.cancelJob(j, time.Now().Add(-record.SinceCancelled()))
	}
}

// findOrAddJob returns the job of a record, which it adds to the model if it is new. It
// returns nil for a job that is archived, and if the term must end.
func (r *Records) findOrAddJob(record store.JobRecord, revision wire.Revision) *cluster.Job {
	id := record.Spec.ID
	if j := r.State.Jobs[id]; j != nil {
		return j
	}
	if r.State.QuarantinedJobs[id] {
		// Its progress was not read when the term began.
		r.End("a job's record can be decoded again: " + string(id))
		return nil
	}
	if r.State.ArchivedJobs[id] {
		return nil // a late event
	}
	j := cluster.NewJob(record, revision)
	r.State.Jobs[id] = j
	r.State.RequestCycle()
	return j
}

// OnReread updates the model with a job's record that was read again after a transaction
// failed at the guard on it.
func (r *Records) OnReread(e progress.JobRecordReread) {
	id := e.Job.Spec.ID
	switch {
	case r.State.Jobs[id] != e.Job:
		// The watch was faster, and the job is archived.
	case e.Err == nil:
		r.applyJobRecord(store.JobKey(id), e.Entry.Value, e.Entry.Revision)
	case errors.Is(e.Err, store.ErrNotFound):
		if e.Job.RecordOutdated { // otherwise it is being archived
			r.End("a live job's record is gone: " + string(id))
		}
	case e.Job.RecordOutdated:
		time.AfterFunc(rereadRetry, func() { r.Post(progress.RereadDue{Job: e.Job}) })
	}
}
