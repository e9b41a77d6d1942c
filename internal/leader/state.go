package leader

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// State is what one term of leadership knows of jobs and machines. It is owned by the
// term's loop: it is not safe for concurrent use, starts no I/O and reads nothing but
// the clock.
type State struct {
	settings *config.Settings
	catalog  *MachineCatalog
	// termStartedAt is when the term began, firstToken its fencing token at that time.
	termStartedAt time.Time
	firstToken    wire.FencingToken

	jobs            map[wire.JobID]*job
	archivedJobs    map[wire.JobID]bool // of which late events may still come
	quarantinedJobs map[wire.JobID]bool // of which a record can't be decoded
	cancelledJobs   map[*job]struct{}   // with attempts that may be on machines
	brokenGangs     map[*job]struct{}   // that lost a task which is not yet handled

	machines        map[wire.MachineID]*machine
	removedMachines map[wire.MachineID]time.Time // scaled in, confirmed by the cloud
	zoneDetector    *detector.Zones
	// delegatesRenewedUntil is the latest time at which another node can have renewed
	// leases as a delegate.
	delegatesRenewedUntil time.Time
	storeAvailableSince   time.Time // when the state service was last back

	recovered              bool            // the records have been read
	schedulingEnabled      bool            // the first round of heartbeats is over
	machineListReceived    bool            // a machine list has come in
	machineListRequestedAt time.Time       // when the last one was asked for
	quorumAckedAt          time.Time       // when a quorum first held our token
	activeVersion          upgrade.Version // that the leader acts by

	unsaved unsavedChanges
	cycle   cycleTimer
}

// newState returns an empty state of a term.
func newState(settings *config.Settings, catalog *MachineCatalog, startedAt time.Time, token wire.FencingToken) *State {
	return &State{
		settings:        settings,
		catalog:         catalog,
		termStartedAt:   startedAt,
		firstToken:      token,
		jobs:            map[wire.JobID]*job{},
		archivedJobs:    map[wire.JobID]bool{},
		quarantinedJobs: map[wire.JobID]bool{},
		cancelledJobs:   map[*job]struct{}{},
		brokenGangs:     map[*job]struct{}{},
		machines:        map[wire.MachineID]*machine{},
		removedMachines: map[wire.MachineID]time.Time{},
		zoneDetector:    detector.NewZones(startedAt, settings.Workers.HeartbeatInterval.Duration()),
		unsaved:         newUnsavedChanges(),
	}
}

// unsavedChanges is what differs from the records in the state service.
type unsavedChanges struct {
	chunks       map[*chunk]struct{}
	finishedJobs map[*job]struct{} // can be archived
}

func newUnsavedChanges() unsavedChanges {
	return unsavedChanges{chunks: map[*chunk]struct{}{}, finishedJobs: map[*job]struct{}{}}
}

// markDirty adds a chunk that must be written.
func (u *unsavedChanges) markDirty(c *chunk) {
	if !c.dirty {
		c.dirtySince = time.Now()
	}
	c.dirty = true
	u.chunks[c] = struct{}{}
}

// markFinished adds a job that can be archived.
func (u *unsavedChanges) markFinished(j *job) { u.finishedJobs[j] = struct{}{} }

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
	requested    bool
	lastAt       time.Time
	notBefore    time.Time
	lastDuration time.Duration
}

// due reports whether a requested cycle may begin, or one is due without a request.
func (c *cycleTimer) due(now time.Time, maxInterval time.Duration) bool {
	return c.requested && now.After(c.notBefore) || now.Sub(c.lastAt) >= maxInterval
}

// begin starts a cycle.
func (c *cycleTimer) begin(now time.Time) { c.lastAt, c.requested = now, false }

// requestCycle asks for a scheduling cycle soon.
func (s *State) requestCycle() {
	c := &s.cycle
	if c.requested {
		return
	}
	c.requested = true
	pause := max(minCyclePause, cyclePauseFactor*c.lastDuration)
	c.notBefore = latest(time.Now().Add(cycleGatherTime), c.lastAt.Add(pause))
}

// markIfFinished marks a job that is done, or cancelled with nothing of it left, as
// to be archived.
func (s *State) markIfFinished(j *job) {
	if j.cancelled && j.activeTasks == 0 || j.doneTasks == j.spec.Tasks {
		j.finished = true
		s.unsaved.markFinished(j)
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sinceLastMessage is how long a machine has said nothing to this term.
func (s *State) sinceLastMessage(m *machine, now time.Time) time.Duration {
	return now.Sub(latest(m.lastMessageAt, s.termStartedAt))
}

// heartbeatInterval is how often a worker reports, give or take a quarter.
func (s *State) heartbeatInterval() time.Duration {
	return s.settings.Workers.HeartbeatInterval.Duration()
}

// sinceLastStart is how long the job has started nothing, as far as this term knows.
func (s *State) sinceLastStart(j *job, now time.Time) time.Duration {
	return now.Sub(latest(latest(j.acceptedAt, j.lastStartAt), s.termStartedAt))
}

// startOverdue tells whether an array has waited so long without a start that its
// first task goes before everything but services. Little work left, prices
// and priorities order the rest; under a steady overload they would keep a
// large or cheap job waiting for ever. So it is with one that has begun and of
// which nothing has run for as long: when the cheap machines that it was on had
// been taken and there were no more of them, the rest of it was never run.
func (s *State) startOverdue(j *job, now time.Time) bool {
	return !j.spec.Service() && j.activeTasks == 0 && now.Sub(j.acceptedAt) > startWithin/2 && (j.doneTasks == 0 || now.Sub(latest(j.lastActiveAt, s.termStartedAt)) > startWithin/2)
}
