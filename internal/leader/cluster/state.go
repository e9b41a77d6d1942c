package cluster

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/delegation"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// State is what one term of leadership knows of jobs and machines. It is owned by the
// term's loop: it is not safe for concurrent use, starts no I/O and reads nothing but
// the clock.
type State struct {
	Settings *config.Settings
	Catalog  *MachineCatalog
	// TermStartedAt is when the term began, FirstToken its fencing token at that time.
	// The token may be raised within the term.
	TermStartedAt time.Time
	FirstToken    wire.FencingToken

	JobTable
	MachineTable
	TermReadiness
	LeaseRenewal

	// ActiveVersion is the version whose behaviour the leader follows.
	ActiveVersion upgrade.Version

	UnsavedChanges unsavedChanges
	CycleTimer     cycleTimer
}

// JobTable indexes the jobs of a term. Recovery and the watch on job records add jobs;
// the committer of progress records removes them once they are archived.
type JobTable struct {
	Jobs map[wire.JobID]*Job
	// ArchivedJobs are the jobs that were archived in this term. Late events of the watch on
	// their records may still arrive.
	ArchivedJobs map[wire.JobID]bool
	// QuarantinedJobs are jobs with a record that can't be decoded, see Quarantine.
	QuarantinedJobs map[wire.JobID]bool
	// CancelledJobs are cancelled jobs with attempts that may be on machines.
	CancelledJobs map[*Job]struct{}
	// BrokenGangs are the gangs that have lost a task and are still to be handled as broken.
	// EndAttempt and RestoreGang add to it, and the dispatcher of commands empties it.
	BrokenGangs map[*Job]struct{}
}

// MachineTable indexes the machines of a term. Machines are added when a scale-out is
// requested, or when a record, a heartbeat or the cloud's machine list first names them,
// and removed when the cloud has confirmed their scale-in.
type MachineTable struct {
	Machines map[wire.MachineID]*Machine
	// RemovedMachines are the machines whose scale-in the cloud has confirmed, with the time
	// of their removal. The machine list lags, and may show them for a while.
	RemovedMachines map[wire.MachineID]time.Time
	ZoneDetector    *detector.Zones
}

// TermReadiness records which steps of the start of a term are complete. The term's loop, the
// recovery of records and the inventory of machine lists write it. Each item is set once,
// except MachineListRequestedAt.
type TermReadiness struct {
	// QuorumAckedAt is when a quorum first acknowledged this term's fencing token.
	QuorumAckedAt time.Time
	// RecordsRead is set when the stored records have been read.
	RecordsRead bool
	// SchedulingEnabled is set when the first round of heartbeats is over.
	SchedulingEnabled bool
	// MachineListReceived is set when a machine list has been received, and
	// MachineListRequestedAt is when the last one received was requested.
	MachineListReceived    bool
	MachineListRequestedAt time.Time
}

// LeaseRenewal is what the term knows of two things that bear on machines' leases: renewals
// by other nodes than this leader, and outages of the key-value store. The term's loop and
// the liveness monitor write it.
type LeaseRenewal struct {
	// Delegation bounds for how long leases may be renewed on a leader's behalf.
	Delegation delegation.Bounds
	// DelegatesRenewedUntil is the latest time at which another node can have renewed
	// leases as a delegate.
	DelegatesRenewedUntil time.Time
	// StoreAvailableSince is when the key-value store was last reachable again after an
	// outage; zero: there was none in this term.
	StoreAvailableSince time.Time
}

// NewState returns the empty state of a term.
func NewState(settings *config.Settings, catalog *MachineCatalog, startedAt time.Time, token wire.FencingToken) *State {
	return &State{
		Settings:      settings,
		Catalog:       catalog,
		TermStartedAt: startedAt,
		FirstToken:    token,
		JobTable: JobTable{
			Jobs:            map[wire.JobID]*Job{},
			ArchivedJobs:    map[wire.JobID]bool{},
			QuarantinedJobs: map[wire.JobID]bool{},
			CancelledJobs:   map[*Job]struct{}{},
			BrokenGangs:     map[*Job]struct{}{},
		},
		MachineTable: MachineTable{
			Machines:        map[wire.MachineID]*Machine{},
			RemovedMachines: map[wire.MachineID]time.Time{},
			ZoneDetector:    detector.NewZones(startedAt, settings.Workers.HeartbeatInterval.Duration()),
		},
		UnsavedChanges: newUnsavedChanges(),
	}
}

// HeartbeatInterval returns the nominal time between two heartbeats of an agent. The actual
// time varies by up to a quarter of it.
func (s *State) HeartbeatInterval() time.Duration {
	return s.Settings.Workers.HeartbeatInterval.Duration()
}

// LaterOf returns the later of two times.
func LaterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
