package simulator

import (
	"context"
	"time"

	"lilaclead/internal/wire"
)

// execute carries commands out in order; the caller holds the lock.
func (m *worker) execute(orders []wire.Command) {
	for _, o := range orders {
		t, err := wire.ParseTaskID(o.Task)
		if err != nil {
			continue
		}
		x := m.tasks[t]
		listed := x != nil && x.attempt == o.Attempt
		switch o.Verb {
		case wire.VerbLaunch:
			if !listed {
				m.launch(t, o.Attempt, x)
			}
		case wire.VerbStop:
			if listed && x.phase != wire.PhaseExited {
				m.stopTask(t, x, o.GracePeriod)
			}
		case wire.VerbForget:
			if listed && x.phase == wire.PhaseExited {
				delete(m.tasks, t)
			}
		}
	}
}

// stopTask stops an attempt of a task, with a checkpoint if it has the time; the caller
// holds the lock.
func (m *worker) stopTask(t wire.TaskID, x *taskRun, gracePeriod *wire.Seconds) {
	spec := &m.sim.scripts[t.Job].Spec
	if spec.IsGang() {
		m.stopGangTask(t, x, gracePeriod)
		return
	}
	enoughTime := gracePeriod != nil && *gracePeriod >= spec.CheckpointTime
	x.checkpointed = x.phase == wire.PhaseRunning && enoughTime && spec.CheckpointInterval > 0
	if m.startSaving(t, x, gracePeriod) {
		return
	}
	x.cancel()
	m.exitTask(t, x, wire.CauseStopped)
}

// launch starts an attempt of a task, or lists it as refused; call with the lock
// held.
func (m *worker) launch(t wire.TaskID, attempt wire.AttemptNumber, old *taskRun) {
	script := m.sim.scripts[t.Job]
	refuse := func(c wire.ExitCause) {
		m.tasks[t] = &taskRun{attempt: attempt, phase: wire.PhaseExited, cause: c, cancel: func() {}}
		m.requestHeartbeat()
	}
	switch {
	case script == nil || t.Index >= script.Spec.Tasks:
		refuse(wire.CauseNoSuch)
		return
	case old != nil && old.phase != wire.PhaseExited:
		return // busy: the running attempt stays listed
	case m.refusesLaunch():
		refuse(wire.CauseFull)
		return
	}
	free := m.room()
	if script.Spec.CPUs > free.CPUs+wire.AmountTolerance || script.Spec.MemoryGB > free.MemoryGB+wire.AmountTolerance {
		refuse(wire.CauseFull)
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	x := &taskRun{attempt: attempt, phase: wire.PhaseFetching, cancel: cancel}
	m.tasks[t] = x
	m.requestHeartbeat()
	fetch := time.Duration(0)
	if !m.cached[script.Spec.Image] {
		fetch = time.Duration(script.Spec.ImageGB / m.spec.FetchGBPerSecond / m.sim.speedOf(m.id) * float64(time.Second))
	}
	m.sim.spawn(func() {
		m.workFor(ctx, fetch)
		m.awaitUnstalled(ctx)
		m.runTask(ctx, t, x, script)
	})
}

// runTask runs a task that has its image to its end, or has it join its gang.
func (m *worker) runTask(ctx context.Context, t wire.TaskID, x *taskRun, script *JobScript) {
	m.sim.mu.Lock()
	if ctx.Err() != nil || m.tasks[t] != x {
		m.sim.mu.Unlock()
		return
	}
	m.cached[script.Spec.Image] = true
	x.phase = wire.PhaseRunning
	m.sim.checker.TaskStarted(t, Place{m.id, m.machineType, m.zone, m.spot}, time.Now())
	if script.Spec.IsGang() {
		m.joinGang(t, x)
		m.sim.mu.Unlock()
		return
	}
	m.requestHeartbeat()
	fails := m.faulty || script.AlwaysFails
	m.sim.mu.Unlock()
	cause := wire.CauseDone
	switch {
	case fails:
		m.workFor(ctx, timeToFail)
		cause = wire.CauseError
	case script.Spec.IsService():
		<-ctx.Done()
	default:
		m.workFor(ctx, time.Duration(script.runTimeOf(t.Index)*float64(time.Second)))
		m.awaitUnstalled(ctx)
	}
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	if ctx.Err() == nil && m.tasks[t] == x {
		m.exitTask(t, x, cause)
	}
}

// timeToFail is how long a task runs that fails.
const timeToFail = 500 * time.Millisecond

// startSaving lets a task that was told to stop save first, and reports whether it does.
// What saves already goes on with it unless it is told to end at once. Call with
// the lock held.
func (m *worker) startSaving(t wire.TaskID, x *taskRun, gracePeriod *wire.Seconds) bool {
	switch {
	case !m.sim.slowSaves:
		return false
	case x.phase == wire.PhaseCheckpointing:
		return gracePeriod != nil && *gracePeriod > 0
	case !x.checkpointed:
		return false
	}
	x.cancel()
	x.phase = wire.PhaseCheckpointing
	m.requestHeartbeat()
	checkpointTime := m.sim.scripts[t.Job].Spec.CheckpointTime.Duration()
	m.sim.spawn(func() {
		sleep(m.ctx, checkpointTime)
		m.awaitUnstalled(m.ctx)
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		if m.tasks[t] == x && x.phase == wire.PhaseCheckpointing {
			m.exitTask(t, x, wire.CauseStopped)
		}
	})
	return true
}

// exitTask ends a task; the caller holds the lock.
func (m *worker) exitTask(t wire.TaskID, x *taskRun, c wire.ExitCause) {
	if x.phase != wire.PhaseFetching {
		m.sim.checker.TaskLeft(t, m.id, c == wire.CauseDone)
	}
	if c == wire.CauseError {
		m.sim.checker.TaskFailed(t, m.id)
	}
	x.phase, x.cause = wire.PhaseExited, c
	m.sim.onGangTaskLeft(t, x)
	m.requestHeartbeat()
}
