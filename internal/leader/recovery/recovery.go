// Package recovery reads the records of jobs and their progress at the start of a term,
// and keeps the model up to date with the jobs' records and cancellations after that.
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

// Records applies the stored records to the model. Run belongs to a goroutine of its own,
// the other methods to that of the term's loop.
type Records struct {
	*core.Loop
	State       *cluster.State
	Store       *store.Client
	Cancels     *cancels.Log
	Undecodable *undecodable.Log
	Progress    *progress.Reader
	Dispatcher  *agents.Dispatcher
	Reconciler  *reconcile.Reconciler
	// Versions negotiates the active version. It is nil if that is off.
	Versions *upgrade.Member
	// Intents are what is asked of the cloud. It is nil if they are not recorded.
	Intents *autoscaler.CloudIntents

	// cancellationCursor is the position up to which the log of cancellations was applied.
	cancellationCursor uint64
}

// recoveryRetry is the pause before records are read again after an error.
const recoveryRetry = 300 * time.Millisecond

// Run reads all records for a new term, and then watches those of the jobs until
// the context ends.
func (r *Records) Run(ctx context.Context) {
	for ctx.Err() == nil {
		read, err := r.readAll(ctx)
		if err == nil {
			r.Post(read)
			r.watchJobRecords(ctx, read.jobsRevision)
			return
		}
		r.Log.Info("recovery read failed", "err", err)
		core.Pause(ctx, recoveryRetry)
	}
}

// readAll reads all records once.
func (r *Records) readAll(ctx context.Context) (RecordsRead, error) {
	read := RecordsRead{StartedAt: time.Now()}
	var err error
	read.Jobs, read.jobsRevision, err = r.Store.List(ctx, store.ClassBackground, store.JobPrefix)
	if err != nil {
		return read, err
	}
	read.Progress, _, err = r.Store.List(ctx, store.ClassBackground, store.ProgressPrefix)
	if err != nil {
		return read, err
	}
	read.Version, err = r.readVersion(ctx)
	if err != nil {
		return read, err
	}
	if r.Intents != nil {
		read.Intents, err = r.Intents.Load(ctx)
	}
	return read, err
}

// versionMismatches are the errors after which this process must not lead.
var versionMismatches = []error{upgrade.ErrProgramTooOld, upgrade.ErrProgramTooNew, upgrade.ErrUndecodable, upgrade.ErrProcessReplaced}

// readVersion reads the active version for this term, and has the term resign if this
// process can't act by it. The version is read after the lease was taken, and only leaders
// switch it, by writes that their token guards: no earlier leader can switch it any more.
func (r *Records) readVersion(ctx context.Context) (upgrade.Version, error) {
	if r.Versions == nil {
		return 0, nil
	}
	version, err := r.Versions.ReadActive(ctx)
	if slices.ContainsFunc(versionMismatches, func(mismatch error) bool { return errors.Is(err, mismatch) }) {
		r.Post(ResignationDue{Reason: err.Error()})
	}
	return version, err
}

// LoadRecords builds the term's model from the records, and starts the work that waited
// for it.
func (r *Records) LoadRecords(jobs, progress []wire.Entry) {
	for _, entry := range jobs {
		r.applyJobRecord(entry.Key, entry.Value, entry.Revision)
	}
	r.Progress.ReadAll(progress)
	for _, j := range r.State.Jobs {
		r.State.RestoreGang(j)
	}
	r.State.RecordsRead = true
	r.Log.Info("records recovered", "jobs", len(r.State.Jobs), "machines", len(r.State.Machines), "duration", time.Since(r.State.TermStartedAt))
	r.endFinishedJobs()
	r.reconcileEarlyHeartbeats()
	r.cancellationCursor = 0
	r.ApplyCancellations()
	// Delegates must know the cancellations, which are complete only now.
	r.Published.DelegationToken.Store(uint64(r.Fencing.Token))
	r.Dispatcher.AnnounceToken()
}

// endFinishedJobs stops the cancelled jobs, and marks those that are over.
func (r *Records) endFinishedJobs() {
	for _, j := range r.State.Jobs {
		if j.Cancelled {
			r.Dispatcher.StopCancelledJob(j)
		}
		r.State.MarkIfFinished(j)
	}
}

// reconcileEarlyHeartbeats reconciles the heartbeats that came before the records.
func (r *Records) reconcileEarlyHeartbeats() {
	for _, heartbeat := range r.Reconciler.EarlyHeartbeats {
		machine := r.State.GetOrAddMachine(heartbeat.Machine)
		r.Reconciler.Reconcile(machine, &heartbeat, true, time.Now())
	}
	r.Reconciler.EarlyHeartbeats = nil
}
