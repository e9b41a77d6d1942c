package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// View is a leader's view of the cluster, for operators.
type View struct {
	Machines         []MachineView `cbor:"machines"`
	Jobs             []JobView     `cbor:"jobs"`
	Deciding         bool          `cbor:"deciding"`
	PendingScaleOuts int           `cbor:"bookings"`
}

// MachineView is the state of one machine as the leader knows it.
type MachineView struct {
	Name                wire.MachineID   `cbor:"name"`
	Type                wire.MachineType `cbor:"kit"`
	Zone                wire.Zone        `cbor:"zone"`
	Spot                bool             `cbor:"spot"`
	Booting             bool             `cbor:"booting"`
	Drain               string           `cbor:"drain,omitempty"`
	Tasks               int              `cbor:"tasks"`
	SecondsSinceMessage float64          `cbor:"silent_s"`
	FreeCPUs            float64          `cbor:"free_cpus"`
}

// JobView is the state of one unfinished job as the leader knows it.
type JobView struct {
	ID           wire.JobID  `cbor:"id"`
	Class        string      `cbor:"lane"`
	Team         wire.TeamID `cbor:"team"`
	Tasks        int         `cbor:"parts"`
	DoneTasks    int         `cbor:"done"`
	ActiveTasks  int         `cbor:"held"`
	TaskFailures int         `cbor:"fails"`
	AgeSeconds   float64     `cbor:"age_s"`
	Cancelled    bool        `cbor:"cancelled"`
	// FailedMachines is the number of machines on which tasks of the job have failed since the
	// last success, and RetryInSeconds is how long no task of it is started after the last failure.
	FailedMachines int     `cbor:"failed_machines,omitempty"`
	RetryInSeconds float64 `cbor:"retry_in_s,omitempty"`
	// ScaleOutHold is why no machines are requested for some or all of its pending tasks; empty:
	// for all that are wanted now.
	ScaleOutHold string `cbor:"scale_out_hold,omitempty"`
}

// viewRequested is an event: an operator requests the view.
type viewRequested struct{ response chan<- *View }

// View returns the current term's view of the cluster, nil if this node does not lead.
func (l *Leader) View(ctx context.Context) *View {
	t := l.term.Load()
	if t == nil {
		return nil
	}
	response := make(chan *View, 1)
	select {
	case t.Events <- viewRequested{response}:
	case <-t.Done:
		return nil
	case <-ctx.Done():
		return nil
	}
	select {
	case v := <-response:
		return v
	case <-t.Done:
	case <-ctx.Done():
	}
	return nil
}

// view returns the view of the model, with the machines sorted by name and the jobs by ID.
func (t *term) view(now time.Time) *View {
	v := &View{Deciding: t.Lease.Deciding(), PendingScaleOuts: len(t.scaler.Tracker.PendingScaleOuts())}
	for _, m := range t.state.Machines {
		v.Machines = append(v.Machines, t.machineView(m, now))
	}
	for _, j := range t.state.Jobs {
		v.Jobs = append(v.Jobs, t.jobView(j, now))
	}
	slices.SortFunc(v.Machines, func(a, b MachineView) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(v.Jobs, func(a, b JobView) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

func (t *term) machineView(m *cluster.Machine, now time.Time) MachineView {
	return MachineView{
		Name:                m.ID,
		Type:                m.MachineType,
		Zone:                m.Zone,
		Spot:                m.Spot,
		Booting:             m.Booting,
		Drain:               string(m.DrainReason),
		Tasks:               len(m.Attempts),
		SecondsSinceMessage: t.state.SinceLastMessage(m, now).Seconds(),
		FreeCPUs:            t.state.FreeResources(m).CPUs,
	}
}

func (t *term) jobView(j *cluster.Job, now time.Time) JobView {
	return JobView{
		ID:           j.Spec.ID,
		Class:        j.Spec.Class,
		Team:         j.Spec.Team,
		Tasks:        j.Spec.Tasks,
		DoneTasks:    j.DoneTasks,
		ActiveTasks:  j.ActiveTasks,
		TaskFailures: j.TaskFailures,
		AgeSeconds:   now.Sub(j.AcceptedAt).Seconds(),
		Cancelled:    j.Cancelled,

		FailedMachines: len(j.FailedMachines),
		RetryInSeconds: max(0, j.StartNotBefore.Sub(now).Seconds()),
		ScaleOutHold:   string(t.scheduler.Holds[j.Spec.ID]),
	}
}
