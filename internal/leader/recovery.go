package leader

import (
	"context"
	"errors"
	"strings"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// readRecords reads everything from the state service.
func (t *term) readRecords(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		jobs, rev, err := t.leader.Store.List(ctx, store.Background, store.JobPrefix)
		var runs []wire.Entry
		if err == nil {
			runs, _, err = t.leader.Store.List(ctx, store.Background, store.ProgressPrefix)
		}
		var version upgrade.Version
		if err == nil {
			version, err = t.readVersion(ctx)
		}
		var earlier earlierIntents
		if err == nil && t.intents != nil {
			earlier, err = t.intents.load(ctx)
		}
		if err == nil {
			t.post(func() {
				t.loadRecords(jobs, runs)
				t.version = version
				t.adoptIntents(earlier)
				t.leader.Cancels.RecordRead(began)
			})
			t.watchJobRecords(ctx, rev)
			return
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

// watchJobRecords watches the jobs.
func (t *term) watchJobRecords(ctx context.Context, rev wire.Revision) {
	for ctx.Err() == nil {
		began := time.Now()
		ch, err := t.leader.Store.Watch(ctx, store.JobPrefix, rev, followFor)
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
			t.leader.Cancels.RecordRead(began)
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
		delete(t.state.quarantinedJobs, id)
		if delete(t.state.archivedJobs, id); t.state.jobs[id] != nil {
			t.state.jobs[id].recordDeleted = true
		}
	}
}

// loadRecords builds the term's picture from what was read.
func (t *term) loadRecords(jobs, runs []wire.Entry) {
	for _, e := range jobs {
		t.applyJobRecord(e.Key, e.Value, e.Revision)
	}
	t.readProgress(runs)
	for _, j := range t.state.jobs {
		t.state.restoreGang(j)
	}
	t.recovered = true
	t.log().Info("recovered", "jobs", len(t.state.jobs), "machines", len(t.state.machines), "took", time.Since(t.state.termStartedAt))
	for _, j := range t.state.jobs {
		if j.cancelled {
			t.stopCancelledJob(j)
		}
		t.state.markIfFinished(j)
	}
	for _, rep := range t.earlyHeartbeats {
		t.reconcile(t.state.getOrAddMachine(rep.Machine), &rep, true, time.Now())
	}
	t.earlyHeartbeats = nil
	t.cancellationCursor = 0
	t.applyCancellations()
	t.delegationToken.Store(uint64(t.token)) // only now cancellations are known
	t.announceToken()
}

// applyJobRecord takes in a job record that is new or has changed.
func (t *term) applyJobRecord(key string, v wire.Raw, revision wire.Revision) {
	rec, err := store.DecodeJob(key, v)
	if err != nil {
		t.quarantine(key, wire.JobID(strings.TrimPrefix(key, store.JobPrefix)), err)
		return
	}
	j := t.state.jobs[rec.Spec.ID]
	if j == nil {
		if t.state.quarantinedJobs[rec.Spec.ID] {
			t.end("a job's record can be decoded again: " + string(rec.Spec.ID)) // its progress was not read
			return
		}
		if t.state.archivedJobs[rec.Spec.ID] {
			return // late news of a job that is over
		}
		j = newJob(rec, revision)
		t.state.jobs[rec.Spec.ID] = j
		t.state.requestCycle()
	}
	if revision < j.revision {
		return
	}
	j.revision, j.recordOutdated = revision, j.cancelled && rec.Status != wire.Cancelled
	rec.LogCancellation(t.leader.Cancels)
	if rec.Status == wire.Cancelled && !j.cancelled {
		j.cancelled = true
		j.cancelledAt = time.Now().Add(-rec.SinceCancelled())
		if t.recovered {
			t.stopCancelledJob(j)
		}
	}
}
