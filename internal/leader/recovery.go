package leader

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

// records reads the records of jobs and their progress at the start of a term, and keeps
// the model up to date with the jobs' records and cancellations after that.
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
	intents     *autoscaler.CloudIntents // nil if intents are not recorded
	// cancellationCursor is the position up to which the log of cancellations was applied.
	cancellationCursor uint64
}

// recordsRead is an event: all that the key-value store holds for a new leader was read.
type recordsRead struct {
	jobs, progress []wire.Entry
	jobsRevision   wire.Revision // of the store when the jobs were read
	version        upgrade.Version
	intents        autoscaler.EarlierIntents
	startedAt      time.Time // when the read began
}

// resignationDue is an event: the leadership must be given up.
type resignationDue struct{ reason string }

// recoveryRetry is the pause before records are read again after an error.
const recoveryRetry = 300 * time.Millisecond

// readRecords reads all records for a new term, and then watches those of the jobs until
// the context ends.
func (rd *records) readRecords(ctx context.Context) {
	for ctx.Err() == nil {
		read, err := rd.readAll(ctx)
		if err == nil {
			rd.Post(read)
			rd.watchJobRecords(ctx, read.jobsRevision)
			return
		}
		rd.Log.Info("recovery read failed", "err", err)
		core.Pause(ctx, recoveryRetry)
	}
}

// readAll reads all records once.
func (rd *records) readAll(ctx context.Context) (recordsRead, error) {
	read := recordsRead{startedAt: time.Now()}
	var err error
	read.jobs, read.jobsRevision, err = rd.store.List(ctx, store.Background, store.JobPrefix)
	if err != nil {
		return read, err
	}
	read.progress, _, err = rd.store.List(ctx, store.Background, store.ProgressPrefix)
	if err != nil {
		return read, err
	}
	read.version, err = rd.readVersion(ctx)
	if err != nil {
		return read, err
	}
	if rd.intents != nil {
		read.intents, err = rd.intents.Load(ctx)
	}
	return read, err
}

// versionMismatches are the errors after which this process must not lead.
var versionMismatches = []error{upgrade.ErrTooOld, upgrade.ErrTooNew, upgrade.ErrUndecodable, upgrade.ErrReplaced}

// readVersion reads the active version for this term, and has the term resign if this
// process can't act by it. The version is read after the lease was taken, and only leaders
// switch it, by writes that their token guards: no earlier leader can switch it any more.
func (rd *records) readVersion(ctx context.Context) (upgrade.Version, error) {
	if rd.versions == nil {
		return 0, nil
	}
	version, err := rd.versions.ReadActive(ctx)
	if slices.ContainsFunc(versionMismatches, func(mismatch error) bool { return errors.Is(err, mismatch) }) {
		rd.Post(resignationDue{err.Error()})
	}
	return version, err
}

// loadRecords builds the term's model from the records, and starts the work that waited
// for it.
func (rd *records) loadRecords(jobs, progress []wire.Entry) {
	for _, entry := range jobs {
		rd.applyJobRecord(entry.Key, entry.Value, entry.Revision)
	}
	rd.progress.ReadAll(progress)
	for _, j := range rd.state.Jobs {
		rd.state.RestoreGang(j)
	}
	rd.state.Recovered = true
	rd.Log.Info("records recovered", "jobs", len(rd.state.Jobs), "machines", len(rd.state.Machines), "duration", time.Since(rd.state.TermStartedAt))
	rd.endFinishedJobs()
	rd.reconcileEarlyHeartbeats()
	rd.cancellationCursor = 0
	rd.applyCancellations()
	// Delegates must know the cancellations, which are complete only now.
	rd.Published.DelegationToken.Store(uint64(rd.Fencing.Token))
	rd.dispatcher.AnnounceToken()
}

// endFinishedJobs stops the cancelled jobs, and marks those that are over.
func (rd *records) endFinishedJobs() {
	for _, j := range rd.state.Jobs {
		if j.Cancelled {
			rd.dispatcher.StopCancelledJob(j)
		}
		rd.state.MarkIfFinished(j)
	}
}

// reconcileEarlyHeartbeats reconciles the heartbeats that came before the records.
func (rd *records) reconcileEarlyHeartbeats() {
	for _, heartbeat := range rd.reconciler.EarlyHeartbeats {
		machine := rd.state.GetOrAddMachine(heartbeat.Machine)
		rd.reconciler.Reconcile(machine, &heartbeat, true, time.Now())
	}
	rd.reconciler.EarlyHeartbeats = nil
}
