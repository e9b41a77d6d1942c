package placement

import (
	"testing"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

// The pass is compared with the reference model, step by step. Every launch of the pass
// satisfies the hard constraints when it is made. Each step gains as much as the best step
// that the model finds for the same snapshot. The pass stops only when the model finds no
// further start.
func TestPassGainsAsMuchAsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		model := clone(s)
		pending := make([]int, len(s.Jobs))
		for i := range s.Jobs {
			pending[i] = s.Jobs[i].PendingTasks
		}
		starts := Place(clone(s)).Starts
		for n := 0; n < len(starts); {
			n += checkStep(t, s, model, pending, starts, n)
		}
		for i := range model.Jobs {
			model.Jobs[i].PendingTasks = pending[i]
		}
		if gains, _ := modelPass(model); len(gains) > 0 {
			t.Fatalf("the pass stopped, but the model makes %d more steps", len(gains))
		}
	})
}

// checkStep compares the step that begins with starts[firstStart] with the model's best
// step, applies it to the model's snapshot, and returns its number of starts.
func checkStep(t *rapid.T, s, model *Snapshot, pending []int, starts []Start, firstStart int) int {
	job := starts[firstStart].JobIndex
	j, units := &model.Jobs[job], 1
	if j.Spec.IsGang() {
		units = j.Spec.Tasks
	}
	current := clone(model)
	for i := range current.Jobs {
		current.Jobs[i].PendingTasks = pending[i]
	}
	gains, _ := modelPass(current)
	if j.Spec.IsGang() {
		limit := s.Teams[j.Spec.Team].Limit.CPUs
		if used := model.Teams[j.Spec.Team].Used.CPUs + float64(units)*j.Spec.CPUs; limit > 0 && used > limit {
			t.Fatalf("start %d: the gang's team has a limit of %g CPUs and would use %g", firstStart, limit, used)
		}
	}
	unitUtility := s.Factors.Preferred
	for unit := range units {
		if firstStart+unit >= len(starts) || starts[firstStart+unit].JobIndex != job {
			t.Fatalf("start %d: only %d of %d tasks of a gang start", firstStart, unit, units)
		}
		start := starts[firstStart+unit]
		if !modelAllows(model, start.JobIndex, start.MachineIndex) {
			t.Fatalf("start %d violates a hard constraint: %+v", firstStart+unit, start)
		}
		if model.Machines[start.MachineIndex].Images[j.Spec.Image] != ImagePresent {
			unitUtility = s.Factors.Fallback
		}
		modelLaunch(model, start.JobIndex, start.MachineIndex)
	}
	got := unitUtility * j.Weight * (1 + j.WaitedSeconds/s.Factors.WaitDoublingSeconds)
	if len(gains) == 0 || got < gains[0]-1e-9 {
		t.Fatalf("start %d gains %g per unit, the model's next steps gain %v", firstStart, got, gains)
	}
	if pending[job] -= units; pending[job] < 0 {
		t.Fatalf("job %d has more starts than pending tasks", job)
	}
	return units
}

// A preferred machine is used first. A task that has none left starts on a fallback machine
// at once.
func TestPreferredMachineIsTakenBeforeFallback(t *testing.T) {
	machine := func(id wire.MachineID) Machine {
		return Machine{ID: id, Free: Resources{CPUs: 4, MemoryGB: 16}, Total: Resources{CPUs: 4, MemoryGB: 16}, FetchGBPerSecond: 1}
	}
	withImage := machine("with-image")
	withImage.Images = map[wire.ImageID]ImageState{"i": ImagePresent}
	s := &Snapshot{
		Teams:    map[wire.TeamID]*Team{"t": {}},
		Factors:  testFactors,
		Machines: []Machine{machine("without-image"), withImage},
		Jobs: []Job{{
			Spec:         &wire.JobSpec{Team: "t", Kind: wire.KindArray, Tasks: 2, CPUs: 4, MemoryGB: 4, Image: "i"},
			PendingTasks: 2,
			TasksByZone:  map[wire.Zone]int{},
			Weight:       1,
		}},
	}
	if starts := Place(s).Starts; len(starts) != 2 || starts[0].MachineIndex != 1 || starts[1].MachineIndex != 0 {
		t.Fatalf("starts %+v, want one on machine 1, then one on 0", starts)
	}
}

// A machine on which a task of the job failed is the job's last choice, even if it has the
// image. Without this, a replica is started again and again, as often as four times, on the
// machine where it fails.
func TestMachineThatFailedJobIsLastChoice(t *testing.T) {
	failed := Machine{ID: "failed", Free: Resources{CPUs: 4, MemoryGB: 16}, Total: Resources{CPUs: 4, MemoryGB: 16}, FetchGBPerSecond: 1, ServiceTasks: 1, Images: map[wire.ImageID]ImageState{"i": ImagePresent}}
	other := Machine{ID: "other", Free: Resources{CPUs: 4, MemoryGB: 16}, Total: Resources{CPUs: 4, MemoryGB: 16}, FetchGBPerSecond: 1}
	s := &Snapshot{
		Teams:    map[wire.TeamID]*Team{"t": {}},
		Factors:  testFactors,
		Machines: []Machine{failed, other},
		Jobs: []Job{{
			Spec:          &wire.JobSpec{Team: "t", Kind: wire.KindService, Tasks: 1, CPUs: 4, MemoryGB: 4, Image: "i"},
			PendingTasks:  1,
			TasksByZone:   map[wire.Zone]int{},
			Weight:        1,
			AvoidMachines: map[wire.MachineID]bool{"failed": true},
		}},
	}
	if starts := Place(s).Starts; len(starts) != 1 || starts[0].MachineIndex != 1 {
		t.Fatalf("starts %+v, want one on the other machine", starts)
	}
}
