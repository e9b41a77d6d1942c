package intake

import (
	"errors"
	"slices"
	"time"

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

// checkFeasible returns nil if a job can run, an infeasibleError if it never can, and
// errMachineTypesUnknown while that can't be decided.
func (in *Intake) checkFeasible(spec *wire.JobSpec) error {
	if err := in.checkTeam(spec); err != nil {
		return err
	}
	if !in.recordFits(worstCaseRecord(spec)) {
		return errRecordOverLimit
	}
	types := in.machineTypes()
	if types == nil {
		return errMachineTypesUnknown
	}
	fits := func(machineType wire.MachineSpec) bool { return machineType.Fits(spec) }
	if !slices.ContainsFunc(types, fits) {
		return errFitsNoMachine
	}
	return nil
}

// checkTeam checks that the job's team exists and that its limits allow the tasks
// which must run at the same time. A limit of 0 means none.
func (in *Intake) checkTeam(spec *wire.JobSpec) error {
	team, ok := in.settings.Team(spec.Team)
	if !ok {
		return errUnknownTeam
	}
	exceeds := func(perTask, limit float64) bool {
		return limit > 0 && float64(spec.MinTogether())*perTask > limit+wire.Eps
	}
	if exceeds(spec.CPUs, team.CPUsMax) || exceeds(spec.GPUs, team.GPUsMax) {
		return errOverTeamLimit
	}
	return nil
}

// worstCaseRecord returns the largest form that the job's record may take: that of a
// cancelled job.
func worstCaseRecord(spec *wire.JobSpec) *store.JobRecord {
	now := wire.TimestampOf(time.Now())
	return &store.JobRecord{
		Spec:        *spec,
		Status:      wire.Cancelled,
		AcceptedAt:  now,
		CancelledAt: now,
		Chunk:       store.ChunkSize,
	}
}

// recordFits reports whether the store takes a job's record, both under its present
// limits and under those that are announced.
func (in *Intake) recordFits(rec *store.JobRecord) bool {
	return wire.JSONSize(rec) <= int(in.settings.State.Least().ValueKB*1024)
}
