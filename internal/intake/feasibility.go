package intake

import (
	"errors"
	"slices"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// infeasibleError says why a job can never run, which a retry would not change. Its text
// is sent to the user.
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

// errMachineTypesUnknown is returned while the machine types that the cloud offers are not
// known. A retry may succeed.
var errMachineTypesUnknown = errors.New("machine types not known yet")

// feasibility decides which jobs can run.
type feasibility struct {
	settings *config.Settings
	// machineTypes returns the machine types that the cloud offers, or nil while they are
	// not known.
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

// checkTeam checks that the job's team exists, and that the team's limits allow the tasks
// that must run at the same time. A limit of 0 means no limit.
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

// worstCaseRecord returns the largest form that the job's record may take: the record of
// the cancelled job.
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

// recordFits reports whether a job's record is small enough for the store, both under its
// present limits and under those that are announced.
func (f *feasibility) recordFits(rec *store.JobRecord) bool {
	return wire.MaxJSONSize(rec) <= int(f.settings.State.Strictest().ValueKB*1024)
}

// shrinkToFit drops fields that a cancelled job doesn't need, if its record is too large
// for the store or mustShrink is set. A record that barely fits as queued may be too large
// as cancelled, and it may have been stored under a higher limit. No task of a cancelled
// job is placed any more, so its list of machine types is dropped
// first.
func (f *feasibility) shrinkToFit(rec *store.JobRecord, mustShrink bool) {
	if !mustShrink && f.recordFits(rec) {
		return
	}
	rec.Spec.MachineTypes = nil
	if !f.recordFits(rec) {
		rec.Spec.Class, rec.Spec.Image = "", "" // up to 120 bytes each, and each byte may be escaped
	}
}
