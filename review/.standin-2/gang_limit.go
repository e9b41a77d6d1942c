package main

import (
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/wire"
)

// aarenfeldSmall are the settings of aarenfeld-meters-next with the teams of aarenfeld-meters,
// whose deployment is small.
var aarenfeldSmall = func() config.Settings {
	s := aarenfeldFleet
	s.Teams = []config.Team{
		{Name: "zaehlerteam", GuaranteedCPUs: 32, MaxCPUs: 88}, {Name: "abrechnung", GuaranteedCPUs: 32, MaxCPUs: 96},
		{Name: "netzbetrieb", GuaranteedCPUs: 32, MaxCPUs: 72},
	}
	return s
}()

// gangOverLimit: replicas of a team hold most of its limit. A gang that does not fit into the rest
// waits, and after it an array of the same team, which does fit, beside a machine that is free.
func gangOverLimit(w *world, trouble bool) {
	w.startAll(20, 35*time.Second)
	replicas := []int{16, 16, 16, 16, 3}
	total := 0
	for n, tasks := range replicas {
		spec := ingest(n + 1)
		spec.Tasks, total = tasks, total+tasks
		w.submit(spec, 0)
	}
	w.await("all replicas run", 40*time.Second, func() bool { return len(w.onMachinesLocked()) == total })
	if trouble {
		w.submit(wire.JobSpec{ID: "req-000010", Class: "grid-balance", Team: "netzbetrieb", Kind: wire.KindGang, Priority: wire.PriorityStandard,
			Tasks: 8, CPUs: 1, MemoryGB: 6.4, Image: "img-grid", ImageGB: 1, SameZone: true, ExpectedRunTime: 50, CheckpointInterval: 20, CheckpointTime: 3}, 0)
	}
	array := billing(11)
	array.Team = "netzbetrieb"
	w.submit(array, 28*time.Second)
	w.awaitStart(array, 90*time.Second)
}

// awaitStart waits until a task of the job is on a machine. It records a broken rule if none is
// within the limit, counted while some machine had room for one.
func (w *world) awaitStart(spec wire.JobSpec, limit time.Duration) {
	var since time.Time
	for {
		w.mu.Lock()
		for _, m := range w.workers {
			for _, r := range m.tasks {
				if r.spec != nil && r.spec.ID == spec.ID {
					w.sayLocked("%s starts on %s after %.1f s", spec.ID, m.id, time.Since(since).Seconds())
					w.mu.Unlock()
					return
				}
			}
		}
		beside, used := w.roomLocked(spec)
		switch {
		case beside == "":
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
			w.sayLocked("%s waits beside %s, which has room; its team uses %g CPUs", spec.ID, beside, used)
		case time.Since(since) > limit:
			w.breakLocked("left_waiting", "%s has waited for %v while a machine that fits had room (now %s) and its team used %g CPUs of its limit", spec.ID, limit, beside, used)
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
	}
}

// roomLocked returns a machine with room for a task of the job, if its team's limit allows one,
// and the CPUs that the team uses.
func (w *world) roomLocked(spec wire.JobSpec) (beside wire.MachineID, used float64) {
	limit := 0.0
	for _, team := range w.settings.Teams {
		if team.Name == spec.Team {
			limit = team.MaxCPUs
		}
	}
	for _, m := range w.workers {
		cpus, memory := 0.0, 0.0
		for _, r := range m.tasks {
			if r.phase == wire.PhaseExited || r.spec == nil {
				continue
			}
			cpus, memory = cpus+r.spec.CPUs, memory+r.spec.MemoryGB
			if r.spec.Team == spec.Team {
				used += r.spec.CPUs
			}
		}
		if m.up && cpus+spec.CPUs <= m.spec.CPUs && memory+spec.MemoryGB <= m.spec.MemoryGB {
			beside = m.id
		}
	}
	if limit > 0 && used+spec.CPUs > limit {
		return "", used
	}
	return beside, used
}
