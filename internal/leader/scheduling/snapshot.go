package scheduling

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// snapshot is what a round looks at, with the machines and jobs that its
// indexes stand for.
func (sc *Scheduler) snapshot(waiting []*cluster.Job, now time.Time) (*placement.Snapshot, []*cluster.Machine, []*cluster.Job) {
	settings := sc.tuning.Get()
	b := &snapshotBuilder{sc: sc, now: now, s: &placement.Snapshot{
		Teams:         sc.teamUsage(),
		Factors:       placement.Factors{Preferred: settings.Preferred, Fallback: settings.Fallback, WaitRaiseS: settings.WaitRaiseS},
		Preempt:       true,
		ExpectedGangs: sc.ExpectedGangs(settings.SpareGangs, now),
	}}
	b.s.SpareUnits, b.s.SpareUnit = sc.spareRoom(settings.SpareUnits)
	b.addMachines(waiting)
	b.addJobs(waiting)
	sc.reserveTeamLimits(b.s, b.jobs, now)
	return b.s, b.machines, b.jobs
}

// teamUsage is what each team uses, with all that may be on machines.
func (sc *Scheduler) teamUsage() map[wire.TeamID]*placement.Team {
	teams := map[wire.TeamID]*placement.Team{}
	for _, team := range sc.state.Settings.Teams {
		teams[team.Name] = &placement.Team{Limit: placement.Resources{CPUs: team.CPUsMax, GPUs: team.GPUsMax}}
	}
	use := func(j *cluster.Job, tasks int) {
		if team := teams[j.Spec.Team]; team != nil {
			team.Used = team.Used.Plus(placement.ResourcesOf(&j.Spec).Times(float64(tasks)))
		}
	}
	for _, j := range sc.state.Jobs {
		use(j, j.ActiveTasks)
	}
	for _, m := range sc.state.Machines {
		for task := range m.OrphanTasks {
			if j := sc.state.Jobs[task.Job]; j != nil && m.Tasks[task] == nil {
				use(j, 1)
			}
		}
	}
	return teams
}

// snapshotBuilder gathers what a round looks at.
type snapshotBuilder struct {
	sc            *Scheduler
	now           time.Time
	s             *placement.Snapshot
	machines      []*cluster.Machine
	jobs          []*cluster.Job
	reservedUnits map[wire.JobID]int // for how many units of each job room is being made
	// victims: some job may have tasks stopped or awaited. A gang that does not
	// preempt waits for others to end.
	victims bool
}

// addMachines adds the machines that may take a launch. What has no room for the
// smallest thing that waits is left for later: in a full deployment these are
// nearly all machines.
func (b *snapshotBuilder) addMachines(waiting []*cluster.Job) {
	least := placement.ResourcesOf(&waiting[0].Spec)
	for _, j := range waiting {
		least = least.Min(placement.ResourcesOf(&j.Spec))
		b.victims = b.victims || placement.MayPreempt(&j.Spec) || j.Spec.Gang()
	}
	for _, spec := range b.s.ExpectedGangs { // its room may be smaller than all that waits takes
		least = least.Min(placement.ResourcesOf(spec))
	}
	var full []*cluster.Machine
	for _, m := range b.sc.state.Machines {
		switch {
		case !b.sc.Usable(m, b.now):
		case least.Fits(b.sc.state.FreeResources(m)):
			b.machines = append(b.machines, m)
		default:
			full = append(full, m)
		}
	}
	b.reservedUnits = b.sc.PruneReservations(b.now)
	b.s.Machines = b.views(b.machines)
	b.s.FullMachines = func() []placement.Machine { return b.views(full) }
}

// views puts machines in the order of their names and describes them.
func (b *snapshotBuilder) views(machines []*cluster.Machine) []placement.Machine {
	slices.SortFunc(machines, func(a, b *cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	out := make([]placement.Machine, len(machines))
	for i, m := range machines {
		out[i] = b.machineView(m)
	}
	return out
}

func (b *snapshotBuilder) machineView(m *cluster.Machine) placement.Machine {
	view := placement.Machine{ID: m.ID, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Total: b.sc.state.TotalResources(m), Free: b.sc.state.FreeResources(m), Cordoned: m.Cordoned,
		Images: make(map[wire.ImageID]placement.Image, len(m.Images.Images)+len(m.Tasks))}
	if f := b.sc.state.MachineSpec(m.MachineType); f != nil {
		view.FetchGBPerS = f.FetchGBPerS
	}
	var awaited []wire.Task
	for _, c := range m.Reservations {
		view.Reservations = append(view.Reservations, c.Reservation)
		awaited = append(awaited, c.AwaitedTasks...)
	}
	for _, a := range m.Tasks {
		b.addTask(&view, a, slices.Contains(awaited, a.Task()))
	}
	slices.SortFunc(view.Victims, func(a, b placement.Victim) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Index-b.Task.Index)
	})
	for id := range m.Images.Images {
		view.Images[id] = placement.Present
	}
	return view
}

// addTask adds to a machine's view what an attempt on it means for others.
func (b *snapshotBuilder) addTask(view *placement.Machine, a *cluster.Attempt, awaited bool) {
	spec := &a.Job.Spec
	if spec.Service() {
		view.Services++
	}
	// What was told to stop and does not end is no room to count on.
	ending := awaited
	if a.Stopping {
		ending = !a.Unstored && b.now.Sub(a.StopRequestedAt) < b.sc.stopDuration(a.GracePeriod)
	}
	if ending {
		view.Stopping = view.Stopping.Plus(a.Resources())
	}
	if a.ImageReadyAt.IsZero() && view.Images[spec.Image] == placement.Absent {
		view.Images[spec.Image] = placement.Fetching
		if !a.Machine.Images.Has(spec.Image) {
			view.FetchingGB += spec.ImageGB
		}
	}
	if !b.victims || a.Unstored || a.Stopping || ending || spec.Service() && spec.Priority == wire.PriorityProd {
		return
	}
	view.Victims = append(view.Victims, b.victim(a))
}

// gangStopCostS is what stopping a task of a gang costs each of the others beside
// its work, seconds.
const gangStopCostS = 5

// victim describes a task that could be stopped or awaited.
func (b *snapshotBuilder) victim(a *cluster.Attempt) placement.Victim {
	spec := &a.Job.Spec
	lost, saves := 0.0, 0.0
	if !a.RunningSince.IsZero() {
		saves = float64(spec.CheckpointTime)
		lost = b.now.Sub(a.RunningSince).Seconds()
		if spec.CheckpointInterval > 0 {
			lost = min(lost, saves)
		}
	}
	if spec.Gang() { // it costs all of the gang
		lost = (lost + gangStopCostS) * float64(spec.Tasks)
	}
	return placement.Victim{Task: a.Task(), Rank: spec.Priority.Rank(), Uses: a.Resources(),
		LostS: lost, RemainingS: a.ExpectedRemainingSeconds(b.now), CheckpointS: saves, BeyondGuarantee: b.beyondGuarantee(spec.Team), Team: spec.Team}
}

// beyondGuarantee tells whether a team uses more than its guarantee.
func (b *snapshotBuilder) beyondGuarantee(name wire.TeamID) bool {
	team, _ := b.sc.state.Settings.Team(name)
	usage := b.s.Teams[name]
	return usage != nil && (usage.Used.CPUs > team.CPUs+wire.Eps || usage.Used.GPUs > team.GPUs+wire.Eps)
}

// addJobs adds the jobs that wait, the oldest first.
func (b *snapshotBuilder) addJobs(waiting []*cluster.Job) {
	slices.SortFunc(waiting, func(a, b *cluster.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	guaranteed, zones := b.sc.guaranteed(), b.sc.state.Zones()
	for _, j := range waiting {
		view := b.jobView(j, guaranteed[j.Spec.ID])
		if j.Spec.Spread || j.Spec.SameZone {
			view.TasksByZone = j.ActiveByZone()
			unknown := view.TasksByZone[""]
			if unknown > 0 && j.Spec.SameZone {
				continue // where its tasks are is not known yet
			}
			// Each of these may be in any zone, so it counts in all.
			for _, z := range zones {
				view.TasksByZone[z] += unknown
			}
		}
		b.s.Jobs = append(b.s.Jobs, view)
		b.jobs = append(b.jobs, j)
	}
}

func (b *snapshotBuilder) jobView(j *cluster.Job, guaranteed bool) placement.Job {
	sc, now := b.sc, b.now
	waited := now.Sub(j.AcceptedAt).Seconds()
	view := placement.Job{Spec: &j.Spec, Pending: j.Pending(), TasksByZone: map[wire.Zone]int{}, WaitedS: waited, Avoid: j.FailedMachines,
		Guaranteed: guaranteed, Reservations: b.reservedUnits[j.Spec.ID], PatienceS: sc.PatienceSeconds(j, now), StartsInS: max(0, sc.startObjectiveSeconds(j.Spec.Class)-waited),
		Weight: sc.utilityWeight(j, guaranteed, now), WaitedLong: sc.state.SinceLastStart(j, now) > maxLinger}
	if sc.state.StartOverdue(j, now) {
		view.Weight = starvingWeight
		if !j.Spec.Gang() {
			view.Pending = 1
		}
	}
	if j.Failures > 0 && !j.Spec.Gang() {
		view.Pending = min(view.Pending, max(1, 2-j.ActiveTasks)) // try a suspect job with little
	}
	return view
}

// reserveLimitAfter is how long a gang waits before its part of its team's limit is
// kept for it. Most start at once, or as soon as there is room.
const reserveLimitAfter = 30 * time.Second

// reserveTeamLimits keeps part of each team's limit for the gang of it that comes first
// among those that have waited long. After two minutes even higher priorities,
// but for services, leave it alone.
func (sc *Scheduler) reserveTeamLimits(s *placement.Snapshot, js []*cluster.Job, now time.Time) {
	for _, j := range js { // the oldest first
		team := s.Teams[j.Spec.Team]
		if team == nil || !j.Spec.Gang() || sc.state.SinceLastStart(j, now) < reserveLimitAfter {
			continue
		}
		rank := j.Spec.Priority.Rank()
		if sc.state.StartOverdue(j, now) {
			rank = wire.PriorityProd.Rank()
		}
		if team.ReservedFor == "" || rank > team.ReservedRank {
			team.Reserved, team.ReservedFor, team.ReservedRank = placement.ResourcesOf(&j.Spec).Times(float64(j.Spec.Tasks)), j.Spec.ID, rank
		}
	}
}

// Usable tells whether a machine may take a launch now.
func (sc *Scheduler) Usable(m *cluster.Machine, now time.Time) bool {
	return !m.Booting && !m.FirstHeartbeatAt.IsZero() && m.DrainReason == "" && !m.ScalingIn && m.Token >= sc.state.FirstToken && m.UnansweredProbes == 0 && m.Inbound.Works() && !sc.state.BehindPartition(m, now) && !sc.state.OutboundLost(m, now) &&
		!now.Before(m.RefusedUntil) && now.Sub(m.LastMessageAt) < 2*sc.state.Settings.Workers.HeartbeatInterval.Duration()+time.Second
}

// spareRoom is the room to keep for the next replicas: the largest replica that
// services now have, as often as operators say, and at least for half of the
// largest service.
func (sc *Scheduler) spareRoom(units float64) (int, placement.Resources) {
	var r placement.Resources
	largest := 0
	for _, j := range sc.state.Jobs {
		if j.Spec.Service() && !j.Spec.SpotAllowed {
			largest = max(largest, j.Spec.Tasks)
			o := placement.ResourcesOf(&j.Spec)
			r = placement.Resources{CPUs: max(r.CPUs, o.CPUs), GPUs: 0, MemoryGB: max(r.MemoryGB, o.MemoryGB)}
		}
	}
	if r.CPUs == 0 {
		return 0, r
	}
	return max(int(units), (largest+1)/2), r
}
