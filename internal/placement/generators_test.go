package placement

import (
	"fmt"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

// drawSnapshot draws a small cluster with pending jobs, some of which have reservations.
func drawSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{
		Teams: map[wire.TeamID]*Team{
			"red":  {Limit: Resources{CPUs: float64(rapid.IntRange(0, 24).Draw(t, "limit"))}},
			"blue": {},
		},
		Factors: UtilityFactors{Preferred: 1, Fallback: 0.5, WaitDoublingSeconds: 60},
	}
	for i := range rapid.IntRange(0, 6).Draw(t, "machines") {
		s.Machines = append(s.Machines, drawMachine(t, i))
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "jobs") {
		s.Jobs = append(s.Jobs, drawJob(t, i))
	}
	for i := range s.Machines {
		if rapid.IntRange(0, 3).Draw(t, "reserved") == 0 {
			drawReservation(t, s, &s.Machines[i])
		}
	}
	return s
}

func drawMachine(t *rapid.T, i int) Machine {
	cpus := float64(rapid.SampledFrom([]int{4, 16}).Draw(t, "machine's cpus"))
	used := float64(rapid.IntRange(0, 4).Draw(t, "used"))
	return Machine{
		ID:               wire.MachineID(fmt.Sprint("n-", i)),
		Type:             wire.MachineType(fmt.Sprint("c", cpus)),
		Zone:             rapid.SampledFrom([]wire.Zone{"a", "b"}).Draw(t, "machine's zone"),
		Spot:             rapid.Bool().Draw(t, "spot"),
		Total:            Resources{CPUs: cpus, MemoryGB: cpus * 4},
		Free:             Resources{CPUs: cpus - used, MemoryGB: cpus*4 - used},
		FetchGBPerSecond: 1,
		Images:           map[wire.ImageID]ImageState{wire.ImageID(fmt.Sprint("img-", i%2)): ImageState(rapid.IntRange(0, 2).Draw(t, "image"))},
	}
}

func drawJob(t *rapid.T, i int) Job {
	tasks := rapid.IntRange(1, 7).Draw(t, "tasks")
	spec := &wire.JobSpec{
		ID:          wire.JobID(fmt.Sprint("req-", i)),
		Team:        rapid.SampledFrom([]wire.TeamID{"red", "blue"}).Draw(t, "team"),
		Kind:        rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindService, wire.KindGang}).Draw(t, "kind"),
		Priority:    rapid.SampledFrom([]wire.Priority{wire.PriorityStandard, wire.PriorityUrgent}).Draw(t, "priority"),
		Tasks:       tasks,
		CPUs:        float64(rapid.IntRange(1, 5).Draw(t, "cpus")),
		MemoryGB:    float64(rapid.IntRange(1, 9).Draw(t, "memory")),
		Image:       wire.ImageID(fmt.Sprint("img-", i%3)),
		ImageGB:     1,
		Spread:      rapid.Bool().Draw(t, "spread"),
		SameZone:    rapid.IntRange(0, 3).Draw(t, "same zone") == 0,
		SpotAllowed: rapid.Bool().Draw(t, "spot allowed"),
	}
	if rapid.IntRange(0, 3).Draw(t, "in a zone") == 0 {
		spec.Zone = "a"
	}
	if rapid.IntRange(0, 3).Draw(t, "of a type") == 0 {
		spec.MachineTypes = []wire.MachineType{"c16"}
	}
	running := map[wire.Zone]int{}
	if !spec.SameZone && tasks > 1 && !spec.IsGang() {
		running["b"] = rapid.IntRange(0, 1).Draw(t, "running")
	}
	return Job{
		Spec:          spec,
		PendingTasks:  tasks - running["b"],
		TasksByZone:   running,
		WaitedSeconds: float64(rapid.IntRange(0, 90).Draw(t, "waited")),
		Weight:        1 + 0.137*float64(i), // differs by job, so that their order is determined
	}
}

func drawReservation(t *rapid.T, s *Snapshot, m *Machine) {
	r := Reservation{
		Job:       wire.JobID(fmt.Sprint("req-", rapid.IntRange(0, 5).Draw(t, "reserved for"))),
		Rank:      rapid.IntRange(1, 2).Draw(t, "rank"),
		Resources: Resources{CPUs: float64(rapid.IntRange(1, 5).Draw(t, "reserved cpus")), MemoryGB: 2},
	}
	for i := range s.Jobs {
		if spec := s.Jobs[i].Spec; spec.ID == r.Job {
			r.Rank, r.Resources = spec.Priority.Rank(), ResourcesOf(spec)
		}
	}
	m.Reservations = []Reservation{r}
	m.StoppingResources = Resources{CPUs: float64(rapid.IntRange(0, 3).Draw(t, "stopping")), MemoryGB: 2}
}

// drawCrowdedSnapshot draws machines with tasks that could be preempted, and pending gangs,
// arrays and services.
func drawCrowdedSnapshot(t *rapid.T) *Snapshot {
	s := drawSnapshot(t)
	s.AllowPreemption = true
	for i := range s.Machines {
		m := &s.Machines[i]
		m.Reservations, m.StoppingResources = nil, Resources{}
		drawVictims(t, m, wire.JobID(fmt.Sprint("req-9", i)))
	}
	for i := range s.Jobs {
		j := &s.Jobs[i]
		if rapid.IntRange(0, 2).Draw(t, "gang") > 0 {
			spec := j.Spec
			spec.Kind, spec.Tasks = wire.KindGang, rapid.IntRange(1, 4).Draw(t, "gang's tasks")
			spec.MachineTypes, spec.Zone, spec.SpotAllowed = nil, "", true
			j.PendingTasks, j.TasksByZone = spec.Tasks, map[wire.Zone]int{}
		}
		j.PreemptionDelaySeconds = float64(rapid.IntRange(0, 30).Draw(t, "preemption delay"))
	}
	return s
}

// drawVictims adds up to four tasks of a job to a machine, until one doesn't fit.
func drawVictims(t *rapid.T, m *Machine, job wire.JobID) {
	for index := range rapid.IntRange(0, 4).Draw(t, "victims") {
		v := Victim{
			Task:             wire.TaskID{Job: job, Index: index},
			Rank:             rapid.IntRange(0, 2).Draw(t, "victim's rank"),
			Team:             "blue",
			Resources:        Resources{CPUs: float64(rapid.IntRange(1, 4).Draw(t, "victim's cpus")), MemoryGB: 2},
			LostWorkSeconds:  float64(rapid.IntRange(0, 60).Draw(t, "lost")),
			RemainingSeconds: float64(rapid.IntRange(1, 60).Draw(t, "remaining")),
		}
		if !v.Resources.FitsIn(m.Free) {
			return
		}
		m.Free = m.Free.Minus(v.Resources)
		m.Victims = append(m.Victims, v)
	}
}

// gangCouldFit reports whether all units of a gang would fit once every task has ended that
// it may preempt or await. If the gang must be in one zone, one zone has to hold all units.
func gangCouldFit(s *Snapshot, j *Job) bool {
	team := s.Teams[j.Spec.Team]
	if team.Limit.CPUs > 0 && team.Used.CPUs+j.Spec.CPUs*float64(j.Spec.Tasks) > team.Limit.CPUs+wire.AmountTolerance {
		return false
	}
	unitsIn := map[wire.Zone]int{}
	for i := range s.Machines {
		m := &s.Machines[i]
		if MachineAllowed(j.Spec, m) {
			unitsIn[m.Zone] += ResourcesOf(j.Spec).UnitsIn(possibleRoom(j, m))
		}
	}
	total := 0
	for _, units := range unitsIn {
		units = min(units, j.Spec.MaxTasksPerZone())
		if total += units; j.Spec.SameZone && units >= j.Spec.Tasks {
			return true
		}
	}
	return !j.Spec.SameZone && total >= j.Spec.Tasks
}

// possibleRoom returns the unreserved resources of a machine once every task has ended that the job may
// preempt or await.
func possibleRoom(j *Job, m *Machine) Resources {
	available := m.Free.Plus(m.StoppingResources)
	for _, r := range m.Reservations {
		available = available.Minus(r.Resources)
	}
	urgent := j.Spec.Priority.Rank() >= wire.PriorityUrgent.Rank()
	for _, v := range m.Victims {
		awaited := v.RemainingSeconds <= j.PreemptionDelaySeconds && j.PreemptionDelaySeconds > 0
		if awaited || urgent && v.Rank < j.Spec.Priority.Rank() {
			available = available.Plus(v.Resources)
		}
	}
	return available
}
