package scheduling

import (
	"cmp"
	"slices"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// addMachines adds the usable machines. A machine is full if its free resources are less than
// smallestTask. Views of full machines are built only on demand, by FullMachines, because in a
// full deployment nearly all machines are full.
func (b *snapshotBuilder) addMachines(waiting []*cluster.Job) {
	for _, job := range waiting {
		b.victimsNeeded = b.victimsNeeded || placement.MayPreempt(&job.Spec) || job.Spec.IsGang()
	}
	smallest := b.smallestTask(waiting)
	var full []*cluster.Machine
	for _, machine := range b.state.Machines {
		switch {
		case !b.scheduler.Usable(machine, b.now):
		case smallest.FitsIn(b.state.FreeResources(machine)):
			b.machines = append(b.machines, machine)
		default:
			full = append(full, machine)
		}
	}
	b.reservedUnits = b.scheduler.PruneReservations(b.now)
	b.snapshot.Machines = b.machineViews(b.machines)
	b.snapshot.FullMachines = func() []placement.Machine { return b.machineViews(full) }
}

// smallestTask returns, for each resource, the smallest amount that a task of any waiting job
// or expected gang needs.
func (b *snapshotBuilder) smallestTask(waiting []*cluster.Job) placement.Resources {
	smallest := placement.ResourcesOf(&waiting[0].Spec)
	for _, job := range waiting {
		smallest = smallest.Min(placement.ResourcesOf(&job.Spec))
	}
	for _, spec := range b.snapshot.ExpectedGangs {
		smallest = smallest.Min(placement.ResourcesOf(spec))
	}
	return smallest
}

// machineViews returns the placement views of machines. It sorts machines in place, by ID.
func (b *snapshotBuilder) machineViews(machines []*cluster.Machine) []placement.Machine {
	slices.SortFunc(machines, func(a, b *cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
	views := make([]placement.Machine, len(machines))
	for i, machine := range machines {
		views[i] = b.machineView(machine)
	}
	return views
}

func (b *snapshotBuilder) machineView(machine *cluster.Machine) placement.Machine {
	view := placement.Machine{
		ID:       machine.ID,
		Type:     machine.MachineType,
		Zone:     machine.Zone,
		Spot:     machine.Spot,
		Total:    b.state.TotalResources(machine),
		Free:     b.state.FreeResources(machine),
		Cordoned: machine.Cordoned,
		Images:   make(map[wire.ImageID]placement.ImageState, len(machine.Images.Images)+len(machine.Attempts)),
	}
	if spec := b.state.MachineSpec(machine.MachineType); spec != nil {
		view.FetchGBPerSecond = spec.FetchGBPerSecond
	}
	var awaited []wire.TaskID
	for _, reservation := range machine.Reservations {
		view.Reservations = append(view.Reservations, reservation.Reservation)
		awaited = append(awaited, reservation.AwaitedTasks...)
	}
	for _, attempt := range machine.Attempts {
		b.addTask(&view, attempt, slices.Contains(awaited, attempt.Task()))
	}
	sortVictims(view.Victims)
	for id := range machine.Images.Images {
		view.Images[id] = placement.ImagePresent
	}
	return view
}

// addTask adds a task to the view of its machine: it counts a service's task, and adds the
// resources that will be free soon, the image that is being fetched and the task as a victim.
// An awaited task is one that a reservation expects to end by itself.
func (b *snapshotBuilder) addTask(view *placement.Machine, attempt *cluster.Attempt, awaited bool) {
	if attempt.Job.Spec.IsService() {
		view.ServiceTasks++
	}
	endsSoon := b.endsSoon(attempt, awaited)
	if endsSoon {
		view.StoppingResources = view.StoppingResources.Plus(attempt.Resources())
	}
	addImageFetch(view, attempt)
	if b.victimsNeeded && !endsSoon && preemptible(attempt) {
		view.Victims = append(view.Victims, b.victim(attempt))
	}
}

// endsSoon reports whether a task's resources are expected to be free soon. That no longer
// holds for a task that has not ended within stopDuration after its stop was requested.
func (b *snapshotBuilder) endsSoon(attempt *cluster.Attempt, awaited bool) bool {
	if !attempt.Stopping {
		return awaited
	}
	return !attempt.Unstored && b.now.Sub(attempt.StopRequestedAt) < b.scheduler.stopDuration(attempt.GracePeriod)
}

// addImageFetch adds the image fetch that a task waits for, if there is one.
func addImageFetch(view *placement.Machine, attempt *cluster.Attempt) {
	spec := &attempt.Job.Spec
	if !attempt.ImageReadyAt.IsZero() || view.Images[spec.Image] != placement.ImageAbsent {
		return
	}
	view.Images[spec.Image] = placement.ImageFetching
	if !attempt.Machine.Images.Has(spec.Image) {
		view.FetchingGB += spec.ImageGB
	}
}

// preemptible reports whether a task can be preempted or awaited.
func preemptible(attempt *cluster.Attempt) bool {
	spec := &attempt.Job.Spec
	productionService := spec.IsService() && spec.Priority == wire.PriorityProd
	return !attempt.Unstored && !attempt.Stopping && !productionService
}

// gangStopCostSeconds is what the preemption of one task costs each task of its gang, in
// addition to the work that is lost.
const gangStopCostSeconds = 5

// victim describes a task that can be preempted or awaited.
func (b *snapshotBuilder) victim(attempt *cluster.Attempt) placement.Victim {
	spec := &attempt.Job.Spec
	lostWorkSeconds, checkpointSeconds := b.preemptionCost(attempt)
	return placement.Victim{
		Task:              attempt.Task(),
		Rank:              spec.Priority.Rank(),
		Resources:         attempt.Resources(),
		LostWorkSeconds:   lostWorkSeconds,
		RemainingSeconds:  attempt.ExpectedRemainingSeconds(b.now),
		CheckpointSeconds: checkpointSeconds,
		BeyondGuarantee:   b.beyondGuarantee(spec.Team),
		Team:              spec.Team,
	}
}

// preemptionCost returns how many seconds of work are lost if a task is preempted, and how
// many seconds the task takes to save its checkpoint.
func (b *snapshotBuilder) preemptionCost(attempt *cluster.Attempt) (lostWorkSeconds, checkpointSeconds float64) {
	spec := &attempt.Job.Spec
	if !attempt.RunningSince.IsZero() {
		checkpointSeconds = float64(spec.CheckpointTime)
		lostWorkSeconds = b.now.Sub(attempt.RunningSince).Seconds()
		if spec.CheckpointInterval > 0 {
			lostWorkSeconds = min(lostWorkSeconds, checkpointSeconds)
		}
	}
	if spec.IsGang() { // all tasks of the gang are stopped
		lostWorkSeconds = (lostWorkSeconds + gangStopCostSeconds) * float64(spec.Tasks)
	}
	return lostWorkSeconds, checkpointSeconds
}

// sortVictims sorts victims by job ID and task index.
func sortVictims(victims []placement.Victim) {
	slices.SortFunc(victims, func(a, b placement.Victim) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Index-b.Task.Index)
	})
}
