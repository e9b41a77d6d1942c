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
	// TermStartedAt is when the term began, firstToken its fencing token at that time.
	TermStartedAt time.Time
	FirstToken    wire.FencingToken

	Jobs            map[wire.JobID]*Job
	ArchivedJobs    map[wire.JobID]bool // of which late events may still come
	QuarantinedJobs map[wire.JobID]bool // of which a record can't be decoded
	CancelledJobs   map[*Job]struct{}   // with attempts that may be on machines
	BrokenGangs     map[*Job]struct{}   // that lost a task which is not yet handled

	Machines        map[wire.MachineID]*Machine
	RemovedMachines map[wire.MachineID]time.Time // scaled in, confirmed by the cloud
	ZoneDetector    *detector.Zones
	// DelegatesRenewedUntil is the latest time at which another node can have renewed
	// leases as a delegate.
	DelegatesRenewedUntil time.Time
	StoreAvailableSince   time.Time // when the state service was last back

	// Delegation bounds for how long leases may be renewed on a leader's behalf.
	Delegation delegation.Bounds

	Recovered              bool            // the records have been read
	SchedulingEnabled      bool            // the first round of heartbeats is over
	MachineListReceived    bool            // a machine list has come in
	MachineListRequestedAt time.Time       // when the last one was asked for
	QuorumAckedAt          time.Time       // when a quorum first held our token
	ActiveVersion          upgrade.Version // that the leader acts by

	Unsaved unsavedChanges
	Cycle   cycleTimer
}

// NewState returns an empty state of a term.
func NewState(settings *config.Settings, catalog *MachineCatalog, startedAt time.Time, token wire.FencingToken) *State {
	return &State{
		Settings:        settings,
		Catalog:         catalog,
		TermStartedAt:   startedAt,
		FirstToken:      token,
		Jobs:            map[wire.JobID]*Job{},
		ArchivedJobs:    map[wire.JobID]bool{},
		QuarantinedJobs: map[wire.JobID]bool{},
		CancelledJobs:   map[*Job]struct{}{},
		BrokenGangs:     map[*Job]struct{}{},
		Machines:        map[wire.MachineID]*Machine{},
		RemovedMachines: map[wire.MachineID]time.Time{},
		ZoneDetector:    detector.NewZones(startedAt, settings.Workers.HeartbeatInterval.Duration()),
		Unsaved:         newUnsavedChanges(),
	}
}

// unsavedChanges is what differs from the records in the state service.
type unsavedChanges struct {
	Chunks       map[*Chunk]struct{}
	FinishedJobs map[*Job]struct{} // can be archived
}

func newUnsavedChanges() unsavedChanges {
	return unsavedChanges{Chunks: map[*Chunk]struct{}{}, FinishedJobs: map[*Job]struct{}{}}
}

// MarkDirty adds a chunk that must be written.
func (u *unsavedChanges) MarkDirty(c *Chunk) {
	if !c.Dirty {
		c.DirtySince = time.Now()
	}
	c.Dirty = true
	u.Chunks[c] = struct{}{}
}

// markFinished adds a job that can be archived.
func (u *unsavedChanges) markFinished(j *Job) { u.FinishedJobs[j] = struct{}{} }

const (
	// minCyclePause is the least time between two requested scheduling cycles.
	minCyclePause = 100 * time.Millisecond
	// cyclePauseFactor: at most a fifth of the time goes to cycles, however large
	// they are.
	cyclePauseFactor = 4
	// cycleGatherTime is how long further events are gathered before a requested cycle.
	cycleGatherTime = 10 * time.Millisecond
)

// cycleTimer says when the next scheduling cycle is due.
type cycleTimer struct {
	Requested    bool
	LastAt       time.Time
	notBefore    time.Time
	LastDuration time.Duration
}

// Due reports whether a requested cycle may begin, or one is due without a request.
func (c *cycleTimer) Due(now time.Time, maxInterval time.Duration) bool {
	return c.Requested && now.After(c.notBefore) || now.Sub(c.LastAt) >= maxInterval
}

// Begin starts a cycle.
func (c *cycleTimer) Begin(now time.Time) { c.LastAt, c.Requested = now, false }

// RequestCycle asks for a scheduling cycle soon.
func (s *State) RequestCycle() {
	c := &s.Cycle
	if c.Requested {
		return
	}
	c.Requested = true
	pause := max(minCyclePause, cyclePauseFactor*c.LastDuration)
	c.notBefore = Latest(time.Now().Add(cycleGatherTime), c.LastAt.Add(pause))
}

// MarkIfFinished marks a job that is done, or cancelled with nothing of it left, as
// to be archived.
func (s *State) MarkIfFinished(j *Job) {
	if j.Cancelled && j.ActiveTasks == 0 || j.DoneTasks == j.Spec.Tasks {
		j.Finished = true
		s.Unsaved.markFinished(j)
	}
}

// Latest returns the later of two times.
func Latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// SinceLastMessage is how long a machine has said nothing to this term.
func (s *State) SinceLastMessage(m *Machine, now time.Time) time.Duration {
	return now.Sub(Latest(m.LastMessageAt, s.TermStartedAt))
}

// HeartbeatInterval is how often a worker reports, give or take a quarter.
func (s *State) HeartbeatInterval() time.Duration {
	return s.Settings.Workers.HeartbeatInterval.Duration()
}

// SinceLastStart is how long the job has started nothing, as far as this term knows.
func (s *State) SinceLastStart(j *Job, now time.Time) time.Duration {
	return now.Sub(Latest(Latest(j.AcceptedAt, j.LastStartAt), s.TermStartedAt))
}

// StartOverdue tells whether an array has waited so long without a start that its
// first task goes before everything but services. Little work left, prices
// and priorities order the rest; under a steady overload they would keep a
// large or cheap job waiting for ever. So it is with one that has begun and of
// which nothing has run for as long: when the cheap machines that it was on had
// been taken and there were no more of them, the rest of it was never run.
func (s *State) StartOverdue(j *Job, now time.Time) bool {
	return !j.Spec.Service() && j.ActiveTasks == 0 && now.Sub(j.AcceptedAt) > startWithin/2 && (j.DoneTasks == 0 || now.Sub(Latest(j.lastActiveAt, s.TermStartedAt)) > startWithin/2)
}
