package simulator

import (
	"context"
	"time"

	"lilaclead/internal/wire"
)

// execute carries commands out in order; call with the lock held.
func (m *worker) execute(orders []wire.Command) {
	for _, o := range orders {
		t, err := wire.ParseTask(o.Task)
		if err != nil {
			continue
		}
		x := m.tasks[t]
		switch o.Verb {
		case wire.Launch:
			if x != nil && x.attempt == o.Attempt {
				continue
			}
			m.launch(t, o.Attempt, x)
		case wire.Halt:
			if x == nil || x.attempt != o.Attempt || x.phase == wire.PhaseExited {
				continue
			}
			if m.sim.scripts[t.Job].Spec.Gang() {
				m.haltGang(t, x, o.GracePeriod)
				continue
			}
			x.saved = x.phase == wire.PhaseRunning && o.GracePeriod != nil && *o.GracePeriod >= m.sim.scripts[t.Job].Spec.CheckpointTime && m.sim.scripts[t.Job].Spec.CheckpointInterval > 0
			if m.startSaving(t, x, o.GracePeriod) {
				continue
			}
			x.cancel()
			m.exit(t, x, wire.CauseStopped)
		case wire.Forget:
			if x != nil && x.attempt == o.Attempt && x.phase == wire.PhaseExited {
				delete(m.tasks, t)
			}
		}
	}
}

func (m *worker) launch(t wire.Task, try wire.Attempt, old *taskRun) {
	ctx, cancel := context.WithCancel(m.ctx)
	x := &taskRun{attempt: try, phase: wire.PhaseFetching, cancel: cancel}
	refuse := func(c wire.ExitCause) {
		x.phase, x.cause = wire.PhaseExited, c
		m.tasks[t] = x
		m.changed()
	}
	truth := m.sim.scripts[t.Job]
	switch {
	case truth == nil || t.Index >= truth.Spec.Tasks:
		refuse(wire.CauseNoSuch)
		return
	case old != nil && old.phase != wire.PhaseExited:
		return // busy: the running attempt stays listed
	}
	if m.refusesLaunch() {
		refuse(wire.CauseFull)
		return
	}
	cpus, ram := m.spec.CPUs, m.spec.MemoryGB
	for o, r := range m.tasks {
		if r.phase != wire.PhaseExited {
			cpus -= m.sim.scripts[o.Job].Spec.CPUs
			ram -= m.sim.scripts[o.Job].Spec.MemoryGB
		}
	}
	if truth.Spec.CPUs > cpus+wire.Eps || truth.Spec.MemoryGB > ram+wire.Eps {
		refuse(wire.CauseFull)
		return
	}
	m.tasks[t] = x
	m.changed()
	fetch := time.Duration(0)
	if !m.cached[truth.Spec.Image] {
		fetch = time.Duration(truth.Spec.ImageGB / m.spec.FetchGBPerS / m.sim.speedOf(m.id) * float64(time.Second))
	}
	m.sim.spawn(func() {
		m.workFor(ctx, fetch)
		m.awaitUnstalled(ctx)
		m.sim.mu.Lock()
		if ctx.Err() != nil || m.tasks[t] != x {
			m.sim.mu.Unlock()
			return
		}
		m.cached[truth.Spec.Image] = true
		x.phase = wire.PhaseRunning
		if truth.Spec.Gang() {
			m.sim.checker.TaskStarted(t, Place{m.id, m.machineType, m.zone, m.spot}, time.Now())
			m.join(t, x)
			m.sim.mu.Unlock()
			return
		}
		m.sim.checker.TaskStarted(t, Place{m.id, m.machineType, m.zone, m.spot}, time.Now())
		m.changed()
		sick := m.faulty || truth.AlwaysFails
		m.sim.mu.Unlock()
		switch {
		case sick:
			m.workFor(ctx, 500*time.Millisecond)
		case truth.Spec.Service():
			<-ctx.Done()
		default:
			m.workFor(ctx, time.Duration(truth.runTimeOf(t.Index)*float64(time.Second)))
			m.awaitUnstalled(ctx)
		}
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		if ctx.Err() != nil || m.tasks[t] != x {
			return
		}
		if sick {
			m.exit(t, x, wire.CauseError)
		} else {
			m.exit(t, x, wire.CauseDone)
		}
	})
}

// startSaving lets a task that was told to stop save first, and tells whether it does.
// What saves already goes on with it unless it is told to end at once. Call with
// the lock held.
func (m *worker) startSaving(t wire.Task, x *taskRun, windDown *wire.Seconds) bool {
	switch {
	case !m.sim.slowSaves:
		return false
	case x.phase == wire.PhaseSaving:
		return windDown != nil && *windDown > 0
	case !x.saved:
		return false
	}
	x.cancel()
	x.phase = wire.PhaseSaving
	m.changed()
	m.sim.spawn(func() {
		sleep(m.ctx, m.sim.scripts[t.Job].Spec.CheckpointTime.Duration())
		m.awaitUnstalled(m.ctx)
		m.sim.mu.Lock()
		defer m.sim.mu.Unlock()
		if m.tasks[t] == x && x.phase == wire.PhaseSaving {
			m.exit(t, x, wire.CauseStopped)
		}
	})
	return true
}

// exit ends a task; call with the lock held.
func (m *worker) exit(t wire.Task, x *taskRun, c wire.ExitCause) {
	if x.phase != wire.PhaseFetching {
		m.sim.checker.TaskLeft(t, m.id, c == wire.CauseDone)
	}
	if c == wire.CauseError {
		m.sim.checker.TaskFailed(t, m.id)
	}
	x.phase, x.cause = wire.PhaseExited, c
	m.sim.gangTaskGone(t, x)
	m.changed()
}
