package leader

import (
	"context"
	"errors"
	"strings"
	"time"

	"lilaclead/internal/cancels"
	"lilaclead/internal/leader/agents"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/progress"
	"lilaclead/internal/leader/reconcile"
	"lilaclead/internal/store"
	"lilaclead/internal/undecodable"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// records reads the jobs' records for a new leader and follows their changes.
type records struct {
	*core.Loop
	state       *cluster.State
	store       *store.Client
	cancels     *cancels.Log
	versions    *upgrade.Member
	undecodable *undecodable.Log
	progress    *progress.Reader
	dispatcher  *agents.Dispatcher
	reconciler  *reconcile.Reconciler
	intents     *autoscaler.CloudIntents
	// cancellationCursor is how much of the log of cancellations has been applied.
	cancellationCursor uint64
}

// readRecords reads everything from the state service.
func (rd *records) readRecords(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		jobs, rev, err := rd.store.List(ctx, store.Background, store.JobPrefix)
		var runs []wire.Entry
		if err == nil {
			runs, _, err = rd.store.List(ctx, store.Background, store.ProgressPrefix)
		}
		var version upgrade.Version
		if err == nil {
			version, err = rd.readVersion(ctx)
		}
		var earlier autoscaler.EarlierIntents
		if err == nil && rd.intents != nil {
			earlier, err = rd.intents.Load(ctx)
		}
		if err == nil {
			rd.Post(recordsRead{jobs, runs, version, earlier, began})
			rd.watchJobRecords(ctx, rev)
			return
		}
		rd.Log.Info("recovery: state service refuses", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
	}
}

// followFor is how long one watch is open. What it shows is only known to be as
// new as its beginning, and leases are renewed by that.
const followFor = time.Second

// watchJobRecords watches the jobs.
func (rd *records) watchJobRecords(ctx context.Context, rev wire.Revision) {
	for ctx.Err() == nil {
		began := time.Now()
		ch, err := rd.store.Watch(ctx, store.JobPrefix, rev, followFor)
		if errors.Is(err, store.ErrTooOld) {
			rd.End("fell behind the changes")
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
		rd.Post(jobRecordsChanged{ch.Events, began})
	}
}

// applyChanges takes in what has changed among the jobs' records.
func (rd *records) applyChanges(changes []wire.Change) {
	for _, c := range changes {
		if c.Put != "" {
			rd.applyJobRecord(c.Put, c.Value, c.Revision)
			continue
		}
		// The last that comes of a job.
		id := wire.JobID(strings.TrimPrefix(c.Delete, store.JobPrefix))
		delete(rd.state.QuarantinedJobs, id)
		if delete(rd.state.ArchivedJobs, id); rd.state.Jobs[id] != nil {
			rd.state.Jobs[id].RecordDeleted = true
		}
	}
}

// loadRecords builds the term's picture from what was read.
func (rd *records) loadRecords(jobs, runs []wire.Entry) {
	for _, e := range jobs {
		rd.applyJobRecord(e.Key, e.Value, e.Revision)
	}
	rd.progress.ReadAll(runs)
	for _, j := range rd.state.Jobs {
		rd.state.RestoreGang(j)
	}
	rd.state.Recovered = true
	rd.Log.Info("recovered", "jobs", len(rd.state.Jobs), "machines", len(rd.state.Machines), "took", time.Since(rd.state.TermStartedAt))
	for _, j := range rd.state.Jobs {
		if j.Cancelled {
			rd.dispatcher.StopCancelledJob(j)
		}
		rd.state.MarkIfFinished(j)
	}
	for _, rep := range rd.reconciler.EarlyHeartbeats {
		rd.reconciler.Reconcile(rd.state.GetOrAddMachine(rep.Machine), &rep, true, time.Now())
	}
	rd.reconciler.EarlyHeartbeats = nil
	rd.cancellationCursor = 0
	rd.applyCancellations()
	rd.Published.DelegationToken.Store(uint64(rd.Fencing.Token)) // only now cancellations are known
	rd.dispatcher.AnnounceToken()
}

// applyJobRecord takes in a job record that is new or has changed.
func (rd *records) applyJobRecord(key string, v wire.Raw, revision wire.Revision) {
	rec, err := store.DecodeJob(key, v)
	if err != nil {
		rd.undecodable.Note(key, err)
		rd.state.Quarantine(key, wire.JobID(strings.TrimPrefix(key, store.JobPrefix)))
		return
	}
	j := rd.state.Jobs[rec.Spec.ID]
	if j == nil {
		if rd.state.QuarantinedJobs[rec.Spec.ID] {
			rd.End("a job's record can be decoded again: " + string(rec.Spec.ID)) // its progress was not read
			return
		}
		if rd.state.ArchivedJobs[rec.Spec.ID] {
			return // late news of a job that is over
		}
		j = cluster.NewJob(rec, revision)
		rd.state.Jobs[rec.Spec.ID] = j
		rd.state.RequestCycle()
	}
	if revision < j.Revision {
		return
	}
	j.Revision, j.RecordOutdated = revision, j.Cancelled && rec.Status != wire.Cancelled
	rec.LogCancellation(rd.cancels)
	if rec.Status == wire.Cancelled && !j.Cancelled {
		j.Cancelled = true
		j.CancelledAt = time.Now().Add(-rec.SinceCancelled())
		if rd.state.Recovered {
			rd.dispatcher.StopCancelledJob(j)
		}
	}
}

// rereadRetry is the pause before a job's record is read again.
const rereadRetry = 300 * time.Millisecond

// onReread takes in a job's record that was read again.
func (rd *records) onReread(e progress.JobRecordReread) {
	id := e.Job.Spec.ID
	switch {
	case rd.state.Jobs[id] != e.Job: // a watch was faster, and the job is archived
	case e.Err == nil:
		rd.applyJobRecord(store.JobKey(id), e.Entry.Value, e.Entry.Revision)
	case errors.Is(e.Err, store.ErrMissing):
		if e.Job.RecordOutdated { // else it is being archived
			rd.End("a live job's record is gone: " + string(id))
		}
	case e.Job.RecordOutdated:
		time.AfterFunc(rereadRetry, func() { rd.Post(progress.RereadDue{Job: e.Job}) })
	}
}

// readVersion reads the active version for this term. It is read after the lease was
// taken, and only leaders switch, by writes that their token guards: no earlier one can
// switch any more.
func (rd *records) readVersion(ctx context.Context) (upgrade.Version, error) {
	if rd.versions == nil {
		return 0, nil
	}
	v, err := rd.versions.ReadActive(ctx)
	if errors.Is(err, upgrade.ErrTooOld) || errors.Is(err, upgrade.ErrTooNew) || errors.Is(err, upgrade.ErrUndecodable) || errors.Is(err, upgrade.ErrReplaced) {
		rd.Post(resignationDue{err.Error()})
	}
	return v, err
}
