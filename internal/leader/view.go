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
	case t.Events <- viewRequested{out}:
	case <-t.Done:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case v := <-out:
		return v
	case <-t.Done:
	case <-ctx.Done():
	}
	return nil
}

// logStatus logs, every ten seconds, the deployment's machines, jobs and tasks.
func (t *term) logStatus(now time.Time) {
	up, booting, idle, tasks, held, done, waiting := 0, 0, 0, 0, 0, 0, 0
	for _, m := range t.state.Machines {
		switch {
		case m.Booting:
			booting++
		case len(m.Tasks) == 0:
			idle++
			fallthrough
		default:
			up++
		}
	}
	for _, j := range t.state.Jobs {
		tasks, held, done = tasks+j.Spec.Tasks, held+j.ActiveTasks, done+j.DoneTasks
		if !j.Cancelled && j.Pending() > 0 {
			waiting++
		}
	}
	if most := t.leader.Workers; up > most {
		t.Log.Warn("more machines than the sockets of one controller hold", "machines", up, "hold", most, "fd_limit_needed", t.leader.RequiredFDs(up))
	}
	t.Log.Info("status", "token", t.Fencing.Token, "up", up, "booting", booting, "idle", idle, "jobs", len(t.state.Jobs), "jobs_waiting", waiting,
		"tasks_held", held, "tasks_waiting", tasks-held-done, "backlog_s", int(t.scheduler.BacklogS), "round", t.state.Cycle.LastDuration, "late", time.Since(now))
}

func (t *term) view(now time.Time) *View {
	v := &View{Deciding: t.Lease.Deciding(), PendingScaleOuts: len(t.scaler.Tracker.PendingScaleOuts())}
	for _, m := range t.state.Machines {
		v.Machines = append(v.Machines, MachineView{m.ID, m.MachineType, m.Zone, m.Spot, m.Booting, string(m.DrainReason), len(m.Tasks), t.state.SinceLastMessage(m, now).Seconds(), t.state.FreeResources(m).CPUs})
	}
	for _, j := range t.state.Jobs {
		v.Jobs = append(v.Jobs, JobView{j.Spec.ID, j.Spec.Class, j.Spec.Team, j.Spec.Tasks, j.DoneTasks, j.ActiveTasks, j.Failures, now.Sub(j.AcceptedAt).Seconds(), j.Cancelled})
	}
	slices.SortFunc(v.Machines, func(a, b MachineView) int { return strings.Compare(string(a.Name), string(b.Name)) })
	slices.SortFunc(v.Jobs, func(a, b JobView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return v
}
