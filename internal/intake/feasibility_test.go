package intake

import (
	"bytes"
	"errors"
	"testing"

	"lilaclead/internal/config"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestFeasibilityCheckReturnsReason(t *testing.T) {
	const maxTextBytes = 120
	types := []wire.MachineSpec{{Name: "small", CPUs: 8, MemoryGB: 16, DiskGB: 100, Zones: []wire.Zone{"a"}}}
	valid := wire.JobSpec{ID: "req-1", Class: "batch", Team: "red", Kind: wire.KindArray, Tasks: 10, CPUs: 4, MemoryGB: 8}
	for _, tt := range []struct {
		name   string
		change func(*wire.JobSpec)
		types  []wire.MachineSpec
		want   error
	}{
		{"array larger than the team's limit, one task within it", func(*wire.JobSpec) {}, types, nil},
		{"unknown team", func(s *wire.JobSpec) { s.Team = "blue" }, types, errUnknownTeam},
		{"task over the CPU limit", func(s *wire.JobSpec) { s.CPUs = 20.5 }, types, errOverTeamLimit},
		{"gang over the CPU limit", func(s *wire.JobSpec) { s.Kind = wire.KindGang }, types, errOverTeamLimit},
		{"service over the CPU limit", func(s *wire.JobSpec) { s.Kind = wire.KindService }, types, errOverTeamLimit},
		{"gang at the CPU limit", func(s *wire.JobSpec) { s.Kind, s.Tasks = wire.KindGang, 5 }, types, nil},
		{"task over the GPU limit", func(s *wire.JobSpec) { s.GPUs = 3 }, types, errOverTeamLimit},
		{"record over the store's limit", func(s *wire.JobSpec) {
			for range 64 {
				s.MachineTypes = append(s.MachineTypes, wire.MachineType(bytes.Repeat([]byte{'x'}, maxTextBytes)))
			}
		}, types, errRecordOverLimit},
		{"machine types unknown", func(*wire.JobSpec) {}, nil, errMachineTypesUnknown},
		{"no machine type at all", func(*wire.JobSpec) {}, []wire.MachineSpec{}, errFitsNoMachine},
		{"task larger than every machine", func(s *wire.JobSpec) { s.MemoryGB = 17 }, types, errFitsNoMachine},
		{"no allowed machine type", func(s *wire.JobSpec) { s.MachineTypes = []wire.MachineType{"large"} }, types, errFitsNoMachine},
	} {
		t.Run(tt.name, func(t *testing.T) {
			settings := &config.Settings{Teams: []config.Team{{Name: "red", MaxCPUs: 20, MaxGPUs: 2}}, State: config.StoreLimits{ValueKB: 4}}
			feasibility := feasibility{settings: settings, machineTypes: func() []wire.MachineSpec { return tt.types }}
			spec := valid
			tt.change(&spec)
			if got := feasibility.check(&spec); !errors.Is(got, tt.want) {
				t.Errorf("%+v: got %v, want %v", spec, got, tt.want)
			}
		})
	}
}

func TestShrinkToFitDropsNoMoreThanNeeded(t *testing.T) {
	feasibility := feasibility{settings: &config.Settings{State: config.StoreLimits{ValueKB: 1}}}
	manyTypes := make([]wire.MachineType, 64)
	for i := range manyTypes {
		manyTypes[i] = "a-machine-type-with-a-long-name"
	}
	longName := string(bytes.Repeat([]byte{1}, 120)) // six bytes each in JSON
	for _, tt := range []struct {
		name                 string
		spec                 wire.JobSpec
		mustShrink           bool
		wantTypes, wantNames bool
	}{
		{"small record", wire.JobSpec{Class: "batch", Image: "image", MachineTypes: manyTypes[:1]}, false, true, true},
		{"small record that the store refused", wire.JobSpec{Class: "batch", Image: "image", MachineTypes: manyTypes[:1]}, true, false, true},
		{"too many machine types", wire.JobSpec{Class: "batch", Image: "image", MachineTypes: manyTypes}, false, false, true},
		{"names too long as well", wire.JobSpec{Class: longName, Image: wire.ImageID(longName), MachineTypes: manyTypes}, false, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rec := store.JobRecord{Spec: tt.spec, Status: wire.StatusCancelled}
			feasibility.shrinkToFit(&rec, tt.mustShrink)
			if got := rec.Spec.MachineTypes != nil; got != tt.wantTypes {
				t.Errorf("machine types kept: got %t, want %t", got, tt.wantTypes)
			}
			if got := rec.Spec.Class != "" && rec.Spec.Image != ""; got != tt.wantNames {
				t.Errorf("class and image kept: got %t, want %t", got, tt.wantNames)
			}
			if !feasibility.recordFits(&rec) {
				t.Errorf("the record is still too large: %+v", rec)
			}
		})
	}
}
