package leader

import (
	"cmp"
	"slices"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// snapshot is what a round looks at, with the machines and jobs that its
// indexes stand for.
func (sc *scheduler) snapshot(waiting []*job, now time.Time) (*placement.Snapshot, []*machine, []*job) {
	settings := sc.tuning.Get()
	b := &snapshotBuilder{sc: sc, now: now, s: &placement.Snapshot{
		Teams:         sc.teamUsage(),
		Factors:       placement.Factors{Preferred: settings.Preferred, Fallback: settings.Fallback, WaitRaiseS: settings.WaitRaiseS},
		Preempt:       true,
		ExpectedGangs: sc.expectedGangs(settings.SpareGangs, now),
	}}
	b.s.SpareUnits, b.s.SpareUnit = sc.spareRoom(settings.SpareUnits)
	b.addMachines(waiting)
	b.addJobs(waiting)
	sc.reserveTeamLimits(b.s, b.jobs, now)
	return b.s, b.machines, b.jobs
}

// teamUsage is what each team uses, with all that may be on machines.
func (sc *scheduler) teamUsage() map[wire.TeamID]*placement.Team {
	teams := map[wire.TeamID]*placement.Team{}
	for _, team := range sc.state.settings.Teams {
		teams[team.Name] = &placement.Team{Limit: placement.Resources{CPUs: team.CPUsMax, GPUs: team.GPUsMax}}
	}
	use := func(j *job, tasks int) {
		if team := teams[j.spec.Team]; team != nil {
			team.Used = team.Used.Plus(placement.ResourcesOf(&j.spec).Times(float64(tasks)))
		}
	}
	for _, j := range sc.state.jobs {
		use(j, j.activeTasks)
	}
	for _, m := range sc.state.machines {
		for task := range m.orphanTasks {
			if j := sc.state.jobs[task.Job]; j != nil && m.tasks[task] == nil {
				use(j, 1)
			}
		}
	}
	return teams
}

// snapshotBuilder gathers what a round looks at.
type snapshotBuilder struct {
	sc            *scheduler
	now           time.Time
	s             *placement.Snapshot
	machines      []*machine
	jobs          []*job
	reservedUnits map[wire.JobID]int // for how many units of each job room is being made
	// victims: some job may have tasks stopped or awaited. A gang that does not
	// preempt waits for others to end.
	victims bool
}

// addMachines adds the machines that may take a launch. What has no room for the
// smallest thing that waits is left for later: in a full deployment these are
// nearly all machines.
func (b *snapshotBuilder) addMachines(waiting []*job) {
	least := placement.ResourcesOf(&waiting[0].spec)
	for _, j := range waiting {
		least = least.Min(placement.ResourcesOf(&j.spec))
		b.victims = b.victims || placement.MayPreempt(&j.spec) || j.spec.Gang()
	}
	for _, spec := range b.s.ExpectedGangs { // its room may be smaller than all that waits takes
		least = least.Min(placement.ResourcesOf(spec))
	}
	var full []*machine
	for _, m := range b.sc.state.machines {
		switch {
		case !b.sc.usable(m, b.now):
		case least.Fits(b.sc.state.freeResources(m)):
			b.machines = append(b.machines, m)
		default:
			full = append(full, m)
		}
	}
	b.reservedUnits = b.sc.pruneReservations(b.now)
	b.s.Machines = b.views(b.machines)
	b.s.FullMachines = func() []placement.Machine { return b.views(full) }
}

// views puts machines in the order of their names and describes them.
func (b *snapshotBuilder) views(machines []*machine) []placement.Machine {
	slices.SortFunc(machines, func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	out := make([]placement.Machine, len(machines))
	for i, m := range machines {
		out[i] = b.machineView(m)
	}
	return out
}

func (b *snapshotBuilder) machineView(m *machine) placement.Machine {
	view := placement.Machine{ID: m.id, Type: m.machineType, Zone: m.zone, Spot: m.spot, Total: b.sc.state.totalResources(m), Free: b.sc.state.freeResources(m), Cordoned: m.cordoned,
		Images: make(map[wire.ImageID]placement.Image, len(m.images.images)+len(m.tasks))}
	if f := b.sc.state.machineSpec(m.machineType); f != nil {
		view.FetchGBPerS = f.FetchGBPerS
	}
	var awaited []wire.Task
	for _, c := range m.reservations {
		view.Reservations = append(view.Reservations, c.Reservation)
		awaited = append(awaited, c.awaitedTasks...)
	}
	for _, a := range m.tasks {
		b.addTask(&view, a, slices.Contains(awaited, a.task()))
	}
	slices.SortFunc(view.Victims, func(a, b placement.Victim) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Index-b.Task.Index)
	})
	for id := range m.images.images {
		view.Images[id] = placement.Present
	}
	return view
}

// addTask adds to a machine's view what an attempt on it means for others.
func (b *snapshotBuilder) addTask(view *placement.Machine, a *attempt, awaited bool) {
	spec := &a.job.spec
	if spec.Service() {
		view.Services++
	}
	// What was told to stop and does not end is no room to count on.
	ending := awaited
	if a.stopping {
		ending = !a.unstored && b.now.Sub(a.stopRequestedAt) < b.sc.stopDuration(a.gracePeriod)
	}
	if ending {
		view.Stopping = view.Stopping.Plus(a.resources())
	}
	if a.imageReadyAt.IsZero() && view.Images[spec.Image] == placement.Absent {
		view.Images[spec.Image] = placement.Fetching
		if !a.machine.images.has(spec.Image) {
			view.FetchingGB += spec.ImageGB
		}
	}
	if !b.victims || a.unstored || a.stopping || ending || spec.Service() && spec.Priority == wire.PriorityProd {
		return
	}
	view.Victims = append(view.Victims, b.victim(a))
}

// gangStopCostS is what stopping a task of a gang costs each of the others beside
// its work, seconds.
const gangStopCostS = 5

// victim describes a task that could be stopped or awaited.
func (b *snapshotBuilder) victim(a *attempt) placement.Victim {
	spec := &a.job.spec
	lost, saves := 0.0, 0.0
	if !a.runningSince.IsZero() {
		saves = float64(spec.CheckpointTime)
		lost = b.now.Sub(a.runningSince).Seconds()
		if spec.CheckpointInterval > 0 {
			lost = min(lost, saves)
		}
	}
	if spec.Gang() { // it costs all of the gang
		lost = (lost + gangStopCostS) * float64(spec.Tasks)
	}
	return placement.Victim{Task: a.task(), Rank: spec.Priority.Rank(), Uses: a.resources(),
		LostS: lost, RemainingS: a.expectedRemainingSeconds(b.now), CheckpointS: saves, BeyondGuarantee: b.beyondGuarantee(spec.Team), Team: spec.Team}
}

// beyondGuarantee tells whether a team uses more than its guarantee.
func (b *snapshotBuilder) beyondGuarantee(name wire.TeamID) bool {
	team, _ := b.sc.state.settings.Team(name)
	usage := b.s.Teams[name]
	return usage != nil && (usage.Used.CPUs > team.CPUs+wire.Eps || usage.Used.GPUs > team.GPUs+wire.Eps)
}

// addJobs adds the jobs that wait, the oldest first.
func (b *snapshotBuilder) addJobs(waiting []*job) {
	slices.SortFunc(waiting, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	guaranteed, zones := b.sc.guaranteed(), b.sc.state.zones()
	for _, j := range waiting {
		view := b.jobView(j, guaranteed[j.spec.ID])
		if j.spec.Spread || j.spec.SameZone {
			view.TasksByZone = j.activeByZone()
			unknown := view.TasksByZone[""]
			if unknown > 0 && j.spec.SameZone {
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

func (b *snapshotBuilder) jobView(j *job, guaranteed bool) placement.Job {
	sc, now := b.sc, b.now
	waited := now.Sub(j.acceptedAt).Seconds()
	view := placement.Job{Spec: &j.spec, Pending: j.pending(), TasksByZone: map[wire.Zone]int{}, WaitedS: waited, Avoid: j.failedMachines,
		Guaranteed: guaranteed, Reservations: b.reservedUnits[j.spec.ID], PatienceS: sc.patienceSeconds(j, now), StartsInS: max(0, sc.startObjectiveSeconds(j.spec.Class)-waited),
		Weight: sc.utilityWeight(j, guaranteed, now), WaitedLong: sc.state.sinceLastStart(j, now) > maxLinger}
	if sc.state.startOverdue(j, now) {
		view.Weight = starvingWeight
		if !j.spec.Gang() {
			view.Pending = 1
		}
	}
	if j.failures > 0 && !j.spec.Gang() {
		view.Pending = min(view.Pending, max(1, 2-j.activeTasks)) // try a suspect job with little
	}
	return view
}

// reserveLimitAfter is how long a gang waits before its part of its team's limit is
// kept for it. Most start at once, or as soon as there is room.
const reserveLimitAfter = 30 * time.Second

// reserveTeamLimits keeps part of each team's limit for the gang of it that comes first
// among those that have waited long. After two minutes even higher priorities,
// but for services, leave it alone.
func (sc *scheduler) reserveTeamLimits(s *placement.Snapshot, js []*job, now time.Time) {
	for _, j := range js { // the oldest first
		team := s.Teams[j.spec.Team]
		if team == nil || !j.spec.Gang() || sc.state.sinceLastStart(j, now) < reserveLimitAfter {
			continue
		}
		rank := j.spec.Priority.Rank()
		if sc.state.startOverdue(j, now) {
			rank = wire.PriorityProd.Rank()
		}
		if team.ReservedFor == "" || rank > team.ReservedRank {
			team.Reserved, team.ReservedFor, team.ReservedRank = placement.ResourcesOf(&j.spec).Times(float64(j.spec.Tasks)), j.spec.ID, rank
		}
	}
}

// usable tells whether a machine may take a launch now.
func (sc *scheduler) usable(m *machine, now time.Time) bool {
	return !m.booting && !m.firstHeartbeatAt.IsZero() && m.drainReason == "" && !m.scalingIn && m.token >= sc.state.firstToken && m.unansweredProbes == 0 && m.inbound.Works() && !sc.state.behindPartition(m, now) && !sc.state.outboundLost(m, now) &&
		!now.Before(m.refusedUntil) && now.Sub(m.lastMessageAt) < 2*sc.state.settings.Workers.HeartbeatInterval.Duration()+time.Second
}

// spareRoom is the room to keep for the next replicas: the largest replica that
// services now have, as often as operators say, and at least for half of the
// largest service.
func (sc *scheduler) spareRoom(units float64) (int, placement.Resources) {
	var r placement.Resources
	largest := 0
	for _, j := range sc.state.jobs {
		if j.spec.Service() && !j.spec.SpotAllowed {
			largest = max(largest, j.spec.Tasks)
			o := placement.ResourcesOf(&j.spec)
			r = placement.Resources{CPUs: max(r.CPUs, o.CPUs), GPUs: 0, MemoryGB: max(r.MemoryGB, o.MemoryGB)}
		}
	}
	if r.CPUs == 0 {
		return 0, r
	}
	return max(int(units), (largest+1)/2), r
}
