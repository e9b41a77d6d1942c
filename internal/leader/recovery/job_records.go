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
	// watchDuration is how long one watch stays open. Its response proves only that changes up
	// to the start of the watch are known, and the renewal of leases depends on that time.
	watchDuration = time.Second
	// watchRetry is the pause after a failed watch.
	watchRetry = 250 * time.Millisecond
	// rereadRetry is the pause after a failed read of one job's record.
	rereadRetry = 300 * time.Millisecond
)

// watchJobRecords posts the changes of the job records after a revision until the context
// ends. It ends the term if the store no longer has these changes.
func (r *Records) watchJobRecords(ctx context.Context, revision wire.Revision) {
	for ctx.Err() == nil {
		startedAt := time.Now()
		response, err := r.Store.Watch(ctx, store.JobPrefix, revision, watchDuration)
		if errors.Is(err, store.ErrCompacted) {
			r.End("fell behind the changes")
			return
		}
		if err != nil {
			core.Pause(ctx, watchRetry)
			continue
		}
		revision = max(revision, response.Revision)
		r.Post(JobRecordsChanged{Changes: response.Events, StartedAt: startedAt})
	}
}

// ApplyJobRecordChanges updates the model with changes of the job records.
func (r *Records) ApplyJobRecordChanges(changes []wire.WatchEvent) {
	for _, change := range changes {
		if change.PutKey != "" {
			r.applyJobRecord(change.PutKey, change.Value, change.Revision)
			continue
		}
		r.applyDeletion(jobIDOfKey(change.DeletedKey))
	}
}

// applyDeletion handles the deletion of a job's record, which is the last event of the job. It
// removes the entries that are kept to handle late events, and marks a job that is still in the
// model.
func (r *Records) applyDeletion(id wire.JobID) {
	delete(r.State.QuarantinedJobs, id)
	delete(r.State.ArchivedJobs, id)
	if job := r.State.Jobs[id]; job != nil {
		job.RecordDeleted = true
	}
}

// jobIDOfKey returns the ID of the job whose record has the key.
func jobIDOfKey(key string) wire.JobID {
	return wire.JobID(strings.TrimPrefix(key, store.JobPrefix))
}

// applyJobRecord updates the model with a job record that is new or has changed. A job whose
// record can't be decoded is quarantined.
func (r *Records) applyJobRecord(key string, value wire.RawValue, revision wire.Revision) {
	record, err := store.DecodeJob(key, value)
	if err != nil {
		r.UndecodableLog.LogOnce(key, err)
		r.State.Quarantine(key, jobIDOfKey(key))
		return
	}
	job := r.findOrAddJob(record, revision)
	if job == nil || revision < job.Revision {
		return
	}
	cancelled := record.Status == wire.StatusCancelled
	job.Revision = revision
	job.RecordOutdated = job.Cancelled && !cancelled
	record.LogCancellation(r.Cancels)
	if cancelled && !job.Cancelled {
		r.cancelJob(job, time.Now().Add(-record.SinceCancelled()))
	}
}

// findOrAddJob returns the job of a record, and adds it to the model if it is new. It returns
// nil for an archived job, and for a quarantined one, for which it ends the term.
func (r *Records) findOrAddJob(record store.JobRecord, revision wire.Revision) *cluster.Job {
	id := record.Spec.ID
	if job := r.State.Jobs[id]; job != nil {
		return job
	}
	if r.State.QuarantinedJobs[id] {
		// The job's progress was not read when the term began: a new term has to read it.
		r.End("a job's record can be decoded again: " + string(id))
		return nil
	}
	if r.State.ArchivedJobs[id] {
		return nil // a late event of the watch
	}
	job := cluster.NewJob(record, revision)
	r.State.Jobs[id] = job
	r.State.RequestCycle()
	return job
}

// OnJobRecordReread updates the model with a job's record that was read again because a
// transaction failed at the guard on it.
func (r *Records) OnJobRecordReread(event progress.JobRecordReread) {
	id := event.Job.Spec.ID
	switch {
	case r.State.Jobs[id] != event.Job:
		// The job was archived before the record was read.
	case event.Err == nil:
		r.applyJobRecord(store.JobKey(id), event.Entry.Value, event.Entry.Revision)
	case errors.Is(event.Err, store.ErrNotFound):
		if event.Job.RecordOutdated { // otherwise it is being archived
			r.End("a live job's record is gone: " + string(id))
		}
	case event.Job.RecordOutdated:
		time.AfterFunc(rereadRetry, func() { r.Post(progress.RereadDue{Job: event.Job}) })
	}
}
