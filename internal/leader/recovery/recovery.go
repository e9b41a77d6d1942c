// Package recovery reads the records of jobs and of their progress at the start of a term.
// After that it applies changes of the job records, and cancellations, to the model.
package recovery

import (
	"context"
	"errors"
	"slices"
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

// Records applies the stored records to the model. Run needs a goroutine of its own. The other
// exported methods are only called by the goroutine of the term's loop.
type Records struct {
	*core.Loop
	State          *cluster.State
	Store          *store.Client
	Cancels        *cancels.Log
	UndecodableLog *undecodable.Log
	Progress       *progress.Reader
	Dispatcher     *agents.Dispatcher
	Reconciler     *reconcile.Reconciler
	// Versions negotiates the active version. It is nil if versions are not negotiated.
	Versions *upgrade.Member
	// Intents records the requests to the cloud. It is nil if they are not recorded.
	Intents *autoscaler.CloudIntents

	// cancellationCursor is the position in Cancels up to which cancellations were applied.
	cancellationCursor uint64
}

// recoveryRetry is the pause before all records are read again after an error.
const recoveryRetry = 300 * time.Millisecond

// Run reads all records for a new term, and then watches the job records until the context
// ends.
func (r *Records) Run(ctx context.Context) {
	for ctx.Err() == nil {
		records, err := r.readAll(ctx)
		if err == nil {
			r.Log.Info("records read", "token", r.Lease.Token(), "revision", records.jobsRevision,
				"jobs", len(records.Jobs), "progress_records", len(records.Progress), "duration", time.Since(records.StartedAt))
			r.Post(records)
			r.watchJobRecords(ctx, records.jobsRevision)
			return
		}
		r.Log.Info("recovery read failed", "err", err)
		core.Pause(ctx, recoveryRetry)
	}
}

// readAll reads all records once.
func (r *Records) readAll(ctx context.Context) (RecordsLoaded, error) {
	records := RecordsLoaded{StartedAt: time.Now()}
	var err error
	records.Jobs, records.jobsRevision, err = r.Store.List(ctx, store.ClassBackground, store.JobPrefix)
	if err != nil {
		return records, err
	}
	records.Progress, _, err = r.Store.List(ctx, store.ClassBackground, store.ProgressPrefix)
	if err != nil {
		return records, err
	}
	records.Version, err = r.readVersion(ctx)
	if err != nil {
		return records, err
	}
	if r.Intents != nil {
		records.Intents, err = r.Intents.Load(ctx)
	}
	return records, err
}

// resignationErrors are the errors of reading the active version after which this process must
// not lead.
var resignationErrors = []error{upgrade.ErrProgramTooOld, upgrade.ErrProgramTooNew, upgrade.ErrUndecodable, upgrade.ErrProcessReplaced}

// readVersion reads the active version for this term, and has the term resign if this process
// must not lead with it. No earlier leader can switch the version after this read: only
// leaders switch it, with writes that their token guards, and this node acquired the lease before
// the read.
func (r *Records) readVersion(ctx context.Context) (upgrade.Version, error) {
	if r.Versions == nil {
		return 0, nil
	}
	version, err := r.Versions.ReadActive(ctx)
	if slices.ContainsFunc(resignationErrors, func(target error) bool { return errors.Is(err, target) }) {
		r.Post(ResignationDue{Reason: err.Error()})
	}
	return version, err
}

// LoadRecords builds the term's model from the records, and then starts the work that needs
// the model.
func (r *Records) LoadRecords(jobs, progress []wire.Entry) {
	for _, entry := range jobs {
		r.applyJobRecord(entry.Key, entry.Value, entry.Revision)
	}
	r.Progress.ReadAll(progress)
	for _, job := range r.State.Jobs {
		r.State.RestoreGang(job)
	}
	r.State.RecordsRead = true
	r.Log.Info("records recovered", "jobs", len(r.State.Jobs), "machines", len(r.State.Machines), "duration", time.Since(r.State.TermStartedAt))
	r.stopCancelledAndMarkFinishedJobs()
	r.reconcileEarlyHeartbeats()
	r.cancellationCursor = 0 // earlier calls skipped the jobs that were not in the model yet
	r.ApplyCancellations()
	// Delegation starts only now: delegates must know all cancellations, and those are complete
	// only after ApplyCancellations.
	r.Published.DelegationToken.Store(uint64(r.Fencing.Token))
	r.Dispatcher.AnnounceToken()
}

// stopCancelledAndMarkFinishedJobs stops the cancelled jobs, and marks the jobs that are
// complete or of which nothing remains to be stopped.
func (r *Records) stopCancelledAndMarkFinishedJobs() {
	for _, job := range r.State.Jobs {
		if job.Cancelled {
			r.Dispatcher.StopCancelledJob(job)
		}
		r.State.MarkIfFinished(job)
	}
}

// reconcileEarlyHeartbeats reconciles the heartbeats that arrived before the records were read.
func (r *Records) reconcileEarlyHeartbeats() {
	for _, heartbeat := range r.Reconciler.EarlyHeartbeats {
		machine := r.State.GetOrAddMachine(heartbeat.Machine)
		r.Reconciler.Reconcile(machine, &heartbeat, true, time.Now())
	}
	r.Reconciler.EarlyHeartbeats = nil
}
