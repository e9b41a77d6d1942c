package simulator

import (
	"context"
	"time"

	"lilaclead/internal/wire"
)

// execute executes commands in order; the caller holds the lock.
func (m *worker) execute(commands []wire.Command) {
	for _, command := range commands {
		t, err := wire.ParseTaskID(command.Task)
		if err != nil {
			continue
		}
		run := m.tasks[t]
		listed := run != nil && run.attempt == command.Attempt
		switch command.Verb {
		case wire.VerbLaunch:
			if !listed {
				m.launch(t, command.Attempt, run)
			}
		case wire.VerbStop:
			if listed && run.phase != wire.PhaseExited {
				m.stopTask(t, run, command.GracePeriod)
			}
		case wire.VerbForget:
			if listed && run.phase == wire.PhaseExited {
				delete(m.tasks, t)
			}
		}
	}
}

// stopTask stops an attempt of a task, with a checkpoint if the grace period suffices; the
// caller holds the lock.
func (m *worker) stopTask(t wire.TaskID, run *taskRun, gracePeriod *wire.Seconds) {
	spec := &m.sim.scripts[t.Job].Spec
	if spec.IsGang() {
		m.stopGangTask(t, run, gracePeriod)
		return
	}
	enoughTime := gracePeriod != nil && *gracePeriod >= spec.CheckpointTime
	run.checkpointed = run.phase == wire.PhaseRunning && enoughTime && spec.CheckpointInterval > 0
	if m.startSaving(t, run, gracePeriod) {
		return
	}
	run.cancel()
	m.exitTask(t, run, wire.CauseStopped)
}

// launch starts an attempt of a task, or lists the attempt as refused; the caller holds the
// lock.
func (m *worker) launch(t wire.TaskID, attempt wire.AttemptNumber, previous *taskRun) {
	script := m.sim.scripts[t.Job]
	refuse := func(cause wire.ExitCause) {
		m.tasks[t] = &taskRun{attempt: attempt, phase: wire.PhaseExited, cause: cause, cancel: func() {}}
		m.requestHeartbeat()
	}
	switch {
	case script == nil || t.Index >= script.Spec.Tasks:
		refuse(wire.CauseNoSuch)
		return
	case previous != nil && previous.phase != wire.PhaseExited:
		return // the attempt that runs stays listed
	}
	if cause, refused := m.refusesLaunch(); refused {
		refuse(cause)
		return
	}
	free := m.capacity()
	if script.Spec.CPUs > free.CPUs+wire.AmountTolerance || script.Spec.MemoryGB > free.MemoryGB+wire.AmountTolerance {
		refuse(wire.CauseFull)
		return
	}
	ctx, cancel := context.WithCancel(m.ctx)
	run := &taskRun{attempt: attempt, phase: wire.PhaseFetching, cancel: cancel}
	m.tasks[t] = run
	m.requestHeartbeat()
	fetch := time.Duration(0)
	if !m.cachedImages[script.Spec.Image] {
		fetch = time.Duration(script.Spec.ImageGB / m.spec.FetchGBPerSecond / m.sim.speedOf(m.id) * float64(time.Second))
	}
	m.sim.spawn(func() {
		m.workFor(ctx, fetch)
		m.awaitUnstalled(ctx)
		m.runTask(ctx, t, run, script)
	})
}

// runTask runs a task whose image has been fetched until its end, or has it join its gang.
func (m *worker) runTask(ctx context.Context, t wire.TaskID, run *taskRun, script *JobScript) {
	m.sim.mu.Lock()
	if ctx.Err() != nil || m.tasks[t] != run {
		m.sim.mu.Unlock()
		return
	}
	m.cachedImages[script.Spec.Image] = true
	run.phase = wire.PhaseRunning
	m.sim.checker.TaskStarted(t, Place{m.id, m.machineType, m.zone, m.spot}, time.Now())
	if script.Spec.IsGang() {
		m.joinGang(t, run)
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
	if ctx.Err() == nil && m.tasks[t] == run {
		m.exitTask(t, run, cause)
	}
}

// timeToFail is how long a failing task runs.
const timeToFail = 500 * time.Millisecond

// startSaving makes a task that is told to stop save a checkpoint first, and reports whether it
// does. A task that is saving already continues, unless it has no grace period. The caller holds
// the lock.
func (m *worker) startSaving(t wire.TaskID, run *taskRun, gracePeriod *wire.Seconds) bool {
	switch {
	case !m.sim.slowSaves:
		return false
	case run.phase == wire.PhaseCheckpointing:
		return gracePeriod != nil && *gracePeriod > 0
	case !run.checkpointed:
		return false
	}
	run.cancel()
	run.phase = wire.PhaseCheckpointing
	m.requestHeartbeat()
	checkpointTime := m.sim.scripts[t.Job].Spec.CheckpointTime.Duration()
	m.sim.spawn(func() {
		sleep(m.ctx, checkpointTime)
		m.awaitUnstalled(m.ctx)
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		if m.tasks[t] == run && run.phase == wire.PhaseCheckpointing {
			m.exitTask(t, run, wire.CauseStopped)
		}
	})
	return true
}

// exitTask ends a task with a cause; the caller holds the lock.
func (m *worker) exitTask(t wire.TaskID, run *taskRun, cause wire.ExitCause) {
	if run.phase != wire.PhaseFetching {
		m.sim.checker.TaskLeft(t, m.id, cause == wire.CauseDone)
	}
	if cause == wire.CauseError {
		m.sim.checker.TaskFailed(t, m.id)
	}
	run.phase, run.cause = wire.PhaseExited, cause
	m.sim.onGangTaskLeft(t, run)
	m.requestHeartbeat()
}
