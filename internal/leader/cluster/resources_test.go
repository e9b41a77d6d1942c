package cluster

import (
	"testing"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

func TestFreeResourcesCountAttemptsAndOrphans(t *testing.T) {
	attempted := wire.TaskID{Job: "req-1", Index: 0}
	other := wire.TaskID{Job: "req-1", Index: 1}
	tests := map[string]struct {
		machineType wire.MachineType
		attempts    int
		orphans     []wire.TaskID
		listedExits int
		want        placement.Resources
	}{
		"empty":                            {"k4", 0, nil, 0, placement.Resources{CPUs: 4, MemoryGB: 16}},
		"with attempts":                    {"k4", 2, nil, 0, placement.Resources{CPUs: 2, MemoryGB: 12, Tasks: -2}},
		"type not in the catalog":          {"k9", 0, nil, 0, placement.Resources{}},
		"orphan of a known job":            {"k4", 0, []wire.TaskID{other}, 0, placement.Resources{CPUs: 3, MemoryGB: 14, Tasks: -1}},
		"orphan and attempts":              {"k4", 1, []wire.TaskID{other}, 0, placement.Resources{CPUs: 2, MemoryGB: 12, Tasks: -2}},
		"orphan of a task with an attempt": {"k4", 1, []wire.TaskID{attempted}, 0, placement.Resources{CPUs: 3, MemoryGB: 14, Tasks: -1}},
		"orphan of unknown size":           {"k4", 0, []wire.TaskID{{Job: "req-9", Index: 0}}, 0, noResources},
		"both kinds of orphans":            {"k4", 1, []wire.TaskID{other, {Job: "req-9", Index: 0}}, 0, noResources},
		"exits and attempts":               {"k4", 2, nil, 30, placement.Resources{CPUs: 2, MemoryGB: 12, Tasks: -32}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			s.Catalog.Set([]wire.MachineSpec{{Name: "k2", CPUs: 2, MemoryGB: 8}, {Name: "k4", CPUs: 4, MemoryGB: 16}})
			j := addTestJob(s, wire.KindArray, 4, 4)
			m := s.GetOrAddMachine("n-1")
			m.MachineType = tt.machineType
			for i := range tt.attempts {
				addTestAttempt(j, i, m, 2)
			}
			m.ListedExits = tt.listedExits
			for _, task := range tt.orphans {
				m.OrphanTasks[task] = true
			}
			if got := s.FreeResources(m); got != tt.want {
				t.Errorf("FreeResources = %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestMachineSpecByType(t *testing.T) {
	s := newTestState(t)
	if got := s.MachineSpec("k4"); got != nil {
		t.Errorf("MachineSpec(k4) with an empty catalog = %+v, want nil", got)
	}
	s.Catalog.Set([]wire.MachineSpec{{Name: "k2", DiskGB: 20}, {Name: "k4", DiskGB: 50}})
	if got := s.MachineSpec("k4"); got == nil || got.Name != "k4" {
		t.Errorf("MachineSpec(k4) = %+v, want that type", got)
	}
	if got := s.ImageCacheGB("k4"); got != 50 {
		t.Errorf("ImageCacheGB(k4) = %v, want 50", got)
	}
	if got := s.ImageCacheGB("k9"); got != 0 {
		t.Errorf("ImageCacheGB of a type not in the catalog = %v, want 0", got)
	}
}
