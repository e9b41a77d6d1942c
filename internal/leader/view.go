package leader

import (
	"context"
	"slices"
	"strings"
	"time"

	"lilaclead/internal/wire"
)

// View is what a leader shows operators.
type View struct {
	Machines         []MachineView `cbor:"machines"`
	Jobs             []JobView     `cbor:"jobs"`
	Deciding         bool          `cbor:"deciding"`
	PendingScaleOuts int           `cbor:"bookings"`
}

// MachineView is one machine.
type MachineView struct {
	Name          wire.MachineID   `cbor:"name"`
	Type          wire.MachineType `cbor:"kit"`
	Zone          wire.Zone        `cbor:"zone"`
	Spot          bool             `cbor:"spot"`
	Booting       bool             `cbor:"booting"`
	Drain         string           `cbor:"drain,omitempty"`
	Tasks         int              `cbor:"tasks"`
	SilentSeconds float64          `cbor:"silent_s"`
	FreeCPUs      float64          `cbor:"free_cpus"`
}

// JobView is one unfinished job.
type JobView struct {
	ID         wire.JobID  `cbor:"id"`
	Class      string      `cbor:"lane"`
	Team       wire.TeamID `cbor:"team"`
	Tasks      int         `cbor:"parts"`
	Done       int         `cbor:"done"`
	Active     int         `cbor:"held"`
	Failures   int         `cbor:"fails"`
	AgeSeconds float64     `cbor:"age_s"`
	Cancelled  bool        `cbor:"cancelled"`
}

// View asks the term's loop for a view; nil if this node does not lead.
func (l *Leader) View(ctx context.Context) *View {
	t := l.term.Load()
	if t == nil {
		return nil
	}
	out := make(chan *View, 1)
	select {
	case t.events <- viewRequested{out}:
	case <-t.done:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case v := <-out:
		return v
	case <-t.done:
	case <-ctx.Done():
	}
	return nil
}

// logStatus logs, every ten seconds, the deployment's machines, jobs and tasks.
func (t *term) logStatus(now time.Time) {
	up, booting, idle, tasks, held, done, waiting := 0, 0, 0, 0, 0, 0, 0
	for _, m := range t.state.machines {
		switch {
		case m.booting:
			booting++
		case len(m.tasks) == 0:
			idle++
			fallthrough
		default:
			up++
		}
	}
	for _, j := range t.state.jobs {
		tasks, held, done = tasks+j.spec.Tasks, held+j.activeTasks, done+j.doneTasks
		if !j.cancelled && j.pending() > 0 {
			waiting++
		}
	}
	if most := t.leader.Workers; up > most {
		t.log().Warn("more machines than the sockets of one controller hold", "machines", up, "hold", most, "fd_limit_needed", t.leader.RequiredFDs(up))
	}
	t.log().Info("status", "token", t.fencing.token, "up", up, "booting", booting, "idle", idle, "jobs", len(t.state.jobs), "jobs_waiting", waiting,
		"tasks_held", held, "tasks_waiting", tasks-held-done, "backlog_s", int(t.scheduler.backlogS), "round", t.state.cycle.lastDuration, "late", time.Since(now))
}

func (t *term) view(now time.Time) *View {
	v := &View{Deciding: t.lease.Deciding(), PendingScaleOuts: len(t.scaler.tracker.PendingScaleOuts())}
	for _, m := range t.state.machines {
		v.Machines = append(v.Machines, MachineView{m.id, m.machineType, m.zone, m.spot, m.booting, string(m.drainReason), len(m.tasks), t.state.sinceLastMessage(m, now).Seconds(), t.state.freeResources(m).CPUs})
	}
	for _, j := range t.state.jobs {
		v.Jobs = append(v.Jobs, JobView{j.spec.ID, j.spec.Class, j.spec.Team, j.spec.Tasks, j.doneTasks, j.activeTasks, j.failures, now.Sub(j.acceptedAt).Seconds(), j.cancelled})
	}
	slices.SortFunc(v.Machines, func(a, b MachineView) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortFunc(v.Jobs, func(a, b JobView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return v
}
