package intake

import (
	"errors"
	"slices"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// infeasibleError says why a job can never run. A retry would not change it. Its
// text is what the user is told.
type infeasibleError string

// Error returns the reason.
func (e infeasibleError) Error() string { return string(e) }

// The reasons for which a job is infeasible.
const (
	errUnknownTeam     infeasibleError = "unknown team"
	errOverTeamLimit   infeasibleError = "needs more than the team's limit"
	errRecordOverLimit infeasibleError = "too large to be stored"
	errFitsNoMachine   infeasibleError = "a task fits no allowed machine type"
)

// errMachineTypesUnknown is returned while it is not known what the cloud offers. A
// retry may succeed.
var errMachineTypesUnknown = errors.New("machine types not known yet")

// feasibility decides which jobs can run.
type feasibility struct {
	settings *config.Settings
	// machineTypes returns what the cloud offers, nil while that is not known.
	machineTypes func() []wire.MachineSpec
}

// check returns nil if a job can run, an infeasibleError if it never can, and
// errMachineTypesUnknown while that can't be decided.
func (f *feasibility) check(spec *wire.JobSpec) error {
	if err := f.checkTeam(spec); err != nil {
		return err
	}
	if !f.recordFits(worstCaseRecord(spec)) {
		return errRecordOverLimit
	}
	types := f.machineTypes()
	if types == nil {
		return errMachineTypesUnknown
	}
	fits := func(machineType wire.MachineSpec) bool { return machineType.CanRun(spec) }
	if !slices.ContainsFunc(types, fits) {
		return errFitsNoMachine
	}
	return nil
}

// checkTeam checks that the job's team exists and that its limits allow the tasks
// which must run at the same time. A limit of 0 means none.
func (f *feasibility) checkTeam(spec *wire.JobSpec) error {
	team, ok := f.settings.Team(spec.Team)
	if !ok {
		return errUnknownTeam
	}
	exceeds := func(perTask, limit float64) bool {
		return limit > 0 && float64(spec.MinConcurrentTasks())*perTask > limit+wire.AmountTolerance
	}
	if exceeds(spec.CPUs, team.MaxCPUs) || exceeds(spec.GPUs, team.MaxGPUs) {
		return errOverTeamLimit
	}
	return nil
}

// worstCaseRecord returns the largest form that the job's record may take: that of a
// cancelled job.
func worstCaseRecord(spec *wire.JobSpec) *store.JobRecord {
	now := wire.TimestampOf(time.Now())
	return &store.JobRecord{
		Spec:          *spec,
		Status:        wire.StatusCancelled,
		AcceptedAt:    now,
		CancelledAt:   now,
		TasksPerChunk: store.MaxTasksPerChunk,
	}
}

// recordFits reports whether the store takes a job's record, both under its present
// limits and under those that are announced.
func (f *feasibility) recordFits(rec *store.JobRecord) bool {
	return wire.JSONSize(rec) <= int(f.settings.State.Strictest().ValueKB*1024)
}

// shrinkToFit drops what a cancelled job can do without from a record that only just
// fitted before it was cancelled, or that was stored under higher limits. No task of
// the job is placed any more, so it needs no list of machine types.
func (f *feasibility) shrinkToFit(rec *store.JobRecord, mustShrink bool) {
	if !mustShrink && f.recordFits(rec) {
		return
	}
	rec.Spec.MachineTypes = nil
	if !f.recordFits(rec) {
		rec.Spec.Class, rec.Spec.Image = "", "" // names of 120 bytes, each of which may be escaped
	}
}
