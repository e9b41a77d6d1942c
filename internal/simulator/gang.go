package simulator

import (
	"math"
	"time"

	"lilaclead/internal/wire"
)

// gangTable is the state of all gangs on the workers. The tasks of a gang start together or not
// at all, as the protocol says. The simulation's lock guards it.
type gangTable struct {
	jobs    map[wire.JobID]*gangJob
	speed   map[wire.MachineID]float64 // factor; 1 if missing
	ticking bool                       // the goroutine that steps the gangs runs
}

// gangJob is a gang with its attempts.
type gangJob struct {
	checkpointedProgress float64 // seconds of run time that the last checkpoint holds
	done                 bool
	completeStarts       int // times that it started with all its tasks
	checkpointedStops    int // stops with a checkpoint
	rollbacks            int // times that it returned to its last checkpoint
	waitTimeouts         int // tasks that exited because others didn't join in time
	attempts             map[wire.AttemptNumber]*gangAttempt
}

// gangAttempt is one attempt of a gang.
type gangAttempt struct {
	members       map[int]*gangMember
	running       bool
	countedUntil  time.Time // the time up to which progress is counted
	progress      float64   // seconds of run time
	speed         float64   // that of the slowest machine
	stoppingSince time.Time // when a member was first told to stop
	brokenSince   time.Time // when a member was lost or hung, or a stop timed out
	checkpointed  bool      // stopped with a checkpoint
}

// broken reports whether rollBack has broken the attempt.
func (a *gangAttempt) broken() bool { return !a.brokenSince.IsZero() }

// stopping reports whether a member was told to stop.
func (a *gangAttempt) stopping() bool { return !a.stoppingSince.IsZero() }

// progresses reports whether the attempt runs and is neither stopping nor broken.
func (a *gangAttempt) progresses() bool { return a.running && !a.broken() && !a.stopping() }

// membersByIndex returns the members in the order of their tasks' indexes.
func (a *gangAttempt) membersByIndex(tasks int) []*gangMember {
	var members []*gangMember
	for i := range tasks {
		if member := a.members[i]; member != nil {
			members = append(members, member)
		}
	}
	return members
}

// gangMember is a task of a gang whose image has been fetched.
type gangMember struct {
	worker       *worker
	run          *taskRun
	taskID       wire.TaskID
	waitingSince time.Time // when its image was fetched
	failAt       time.Time // zero: the task doesn't fail
	toldToStop   bool
	savedAt      time.Time // when its checkpoint is complete, if toldToStop
	leavesAt     time.Time // when it notices that the attempt is broken, and exits
	hungSince    time.Time // since when its machine hangs; zero: it doesn't
}

// gangTick is the interval at which the state of gangs is stepped.
const gangTick = 50 * time.Millisecond

// gangOf returns the state of a gang, which it creates if there is none; the caller holds the
// lock.
func (sim *Simulation) gangOf(id wire.JobID) *gangJob {
	if sim.gangs.jobs == nil {
		sim.gangs.jobs = map[wire.JobID]*gangJob{}
	}
	gang := sim.gangs.jobs[id]
	if gang == nil {
		gang = &gangJob{attempts: map[wire.AttemptNumber]*gangAttempt{}}
		sim.gangs.jobs[id] = gang
	}
	if !sim.gangs.ticking {
		sim.gangs.ticking = true
		sim.spawn(func() {
			for sim.ctx.Err() == nil {
				sleep(sim.ctx, gangTick)
				sim.mu.Lock()
				sim.stepGangs(time.Now())
				sim.mu.Unlock()
			}
		})
	}
	return gang
}

// joinGang adds a task whose image has been fetched to its gang, and starts the gang if it is
// complete; the caller holds the lock.
func (m *worker) joinGang(t wire.TaskID, run *taskRun) {
	now := time.Now()
	gang := m.sim.gangOf(t.Job)
	if gang.done {
		m.exitTask(t, run, wire.CauseDone)
		return
	}
	attempt := gang.attempts[run.attempt]
	if attempt == nil {
		attempt = &gangAttempt{members: map[int]*gangMember{}}
		gang.attempts[run.attempt] = attempt
	}
	run.phase = wire.PhaseWaiting
	attempt.members[t.Index] = &gangMember{worker: m, run: run, taskID: t, waitingSince: now}
	m.requestHeartbeat()
	if attempt.running || len(attempt.members) < m.sim.scripts[t.Job].Spec.Tasks {
		return
	}
	m.sim.startGang(t.Job, gang, attempt, now)
}

// startGang starts an attempt with all its members from the gang's last checkpoint; the caller
// holds the lock.
func (sim *Simulation) startGang(id wire.JobID, gang *gangJob, attempt *gangAttempt, now time.Time) {
	attempt.running, attempt.countedUntil, attempt.speed, attempt.progress = true, now, math.Inf(1), gang.checkpointedProgress
	gang.completeStarts++
	sim.checker.GangBegan(id, now)
	for _, member := range attempt.members {
		member.run.phase = wire.PhaseRunning
		attempt.speed = min(attempt.speed, sim.speedOf(member.worker.id))
		if member.worker.faulty || sim.scripts[id].AlwaysFails {
			member.failAt = now.Add(timeToFail)
		}
		member.worker.requestHeartbeat()
	}
}

// onGangTaskLeft records that a task of a gang exited or was removed with its machine; the caller
// holds the lock.
func (sim *Simulation) onGangTaskLeft(t wire.TaskID, run *taskRun) {
	gang := sim.gangs.jobs[t.Job]
	if gang == nil || gang.attempts[run.attempt] == nil {
		return
	}
	attempt := gang.attempts[run.attempt]
	member := attempt.members[t.Index]
	if member == nil || member.run != run {
		return // it hadn't joined, or another run of it has replaced it
	}
	now := time.Now()
	sim.advance(attempt, now)
	delete(attempt.members, t.Index)
	if attempt.running && !attempt.checkpointed && !gang.done {
		sim.rollBack(gang, attempt, now)
	}
}

// advance counts the progress of an attempt up to now. While HangMachines makes the machine of a
// member hang, there is no progress.
func (sim *Simulation) advance(attempt *gangAttempt, now time.Time) {
	if !attempt.progresses() {
		return
	}
	for _, member := range attempt.members {
		if sim.machineFaults.hung[member.worker.id] != nil {
			attempt.countedUntil = now
		}
	}
	attempt.progress += now.Sub(attempt.countedUntil).Seconds() * attempt.speed
	attempt.countedUntil = now
}

// rollBack breaks a running attempt, and returns the gang to its last checkpoint. The members
// notice one after the other, within 0.9 of the peer timeout.
func (sim *Simulation) rollBack(gang *gangJob, attempt *gangAttempt, now time.Time) {
	if attempt.broken() {
		return
	}
	attempt.brokenSince = now
	gang.rollbacks++
	peerTimeout := sim.Settings.Workers.GangPeerTimeout.Duration()
	for index, member := range attempt.members {
		if interval := float64(sim.scripts[member.taskID.Job].Spec.CheckpointInterval); interval > 0 {
			gang.checkpointedProgress = max(gang.checkpointedProgress, math.Floor((attempt.progress+wire.AmountTolerance)/interval)*interval)
		}
		member.leavesAt = now.Add(peerTimeout * time.Duration(1+(index*5+2)%9) / 10)
	}
}

// stopGangTask stops a task of a gang; the caller holds the lock.
func (m *worker) stopGangTask(t wire.TaskID, run *taskRun, gracePeriod *wire.Seconds) {
	now := time.Now()
	spec := &m.sim.scripts[t.Job].Spec
	gang := m.sim.gangOf(t.Job)
	attempt := gang.attempts[run.attempt]
	var member *gangMember
	if attempt != nil {
		member = attempt.members[t.Index]
	}
	grace := wire.Seconds(0)
	if gracePeriod != nil {
		grace = *gracePeriod
	}
	hasRun := member != nil && member.run == run && run.phase != wire.PhaseWaiting && run.phase != wire.PhaseFetching
	canSave := spec.CheckpointInterval > 0 && grace >= spec.CheckpointTime
	switch {
	case !hasRun:
	case run.phase == wire.PhaseCheckpointing && grace > 0:
		return
	case run.phase == wire.PhaseRunning && canSave && !attempt.broken():
		m.sim.advance(attempt, now)
		if !attempt.stopping() {
			attempt.stoppingSince = now
		}
		member.toldToStop, member.savedAt, run.phase = true, now.Add(spec.CheckpointTime.Duration()), wire.PhaseCheckpointing
		m.requestHeartbeat()
		return
	}
	run.cancel()
	m.exitTask(t, run, wire.CauseStopped)
}

// GangState is the state of a gang: the number of its tasks in each phase, the number of events
// so far, and the seconds of run time that its last checkpoint holds.
type GangState struct {
	Fetching, Waiting, Running, Saving     int
	Starts, Saves, Rollbacks, WaitTimeouts int
	SavedSeconds                           float64
	Attempts                               int // attempts that have tasks on machines
	Done                                   bool
}

// GangState returns the state of a gang.
func (sim *Simulation) GangState(id wire.JobID) GangState {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out GangState
	attempts := map[wire.AttemptNumber]bool{}
	for _, m := range sim.machines {
		for t, run := range m.tasks {
			if t.Job != id {
				continue
			}
			switch run.phase {
			case wire.PhaseFetching:
				out.Fetching++
			case wire.PhaseWaiting:
				out.Waiting++
			case wire.PhaseRunning:
				out.Running++
			case wire.PhaseCheckpointing:
				out.Saving++
			case wire.PhaseExited:
				continue
			}
			attempts[run.attempt] = true
		}
	}
	out.Attempts = len(attempts)
	if gang := sim.gangs.jobs[id]; gang != nil {
		out.Starts, out.Saves, out.Rollbacks, out.WaitTimeouts, out.SavedSeconds, out.Done = gang.completeStarts, gang.checkpointedStops, gang.rollbacks, gang.waitTimeouts, gang.checkpointedProgress, gang.done
	}
	return out
}
