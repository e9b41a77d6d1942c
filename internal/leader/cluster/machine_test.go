package cluster

import (
	"maps"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

func TestGetOrAddMachineReturnsOneEntryForAnID(t *testing.T) {
	s := newTestState(t)
	before := time.Now()
	m := s.GetOrAddMachine("n-1")
	if s.GetOrAddMachine("n-1") != m || s.Machines["n-1"] != m || len(s.Machines) != 1 {
		t.Errorf("machines = %v, want one entry", s.Machines)
	}
	for what, at := range map[string]time.Time{"last used": m.LastUsedAt, "requested": m.RequestedAt, "listed": m.ListedAt} {
		if at.Before(before) {
			t.Errorf("%s at %v, want the time at which it became known", what, at)
		}
	}
}

func TestLifecycleOfAMachine(t *testing.T) {
	tests := map[string]struct {
		booting     bool
		drain       DrainState
		want        MachineLifecycle
		wantStaying bool
	}{
		"up":                    {false, DrainState{}, MachineUp, true},
		"cordoned":              {false, DrainState{Cordoned: true}, MachineUp, true},
		"booting":               {true, DrainState{}, MachineBooting, true},
		"booting, drained":      {true, DrainState{DrainReason: DrainBootTimeout}, MachineDraining, false},
		"drained":               {false, DrainState{DrainReason: DrainSlow}, MachineDraining, false},
		"drained and scaled in": {false, DrainState{DrainReason: DrainIdle, ScalingIn: true}, MachineReleasing, false},
		"booting and scaled in": {true, DrainState{ScalingIn: true}, MachineReleasing, false},
		"scaled in":             {false, DrainState{ScalingIn: true}, MachineReleasing, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := newTestState(t).GetOrAddMachine("n-1")
			m.Booting, m.DrainState = tt.booting, tt.drain
			if got := m.Lifecycle(); got != tt.want {
				t.Errorf("Lifecycle with booting %v, %+v = %q, want %q", tt.booting, tt.drain, got, tt.want)
			}
			if got := m.staying(); got != tt.wantStaying {
				t.Errorf("staying with %+v = %v, want %v", tt.drain, got, tt.wantStaying)
			}
		})
	}
}

func TestLifecycleCountsCountsEachMachineOnce(t *testing.T) {
	s := newTestState(t)
	prepare := map[wire.MachineID]func(m *Machine){
		"up":                    func(*Machine) {},
		"booting":               func(m *Machine) { m.Booting = true },
		"booting, drained":      func(m *Machine) { m.Booting, m.DrainReason = true, DrainBootTimeout },
		"drained":               func(m *Machine) { m.DrainReason = DrainSlow },
		"drained and scaled in": func(m *Machine) { m.DrainReason, m.ScalingIn = DrainIdle, true },
		"booting and scaled in": func(m *Machine) { m.Booting, m.ScalingIn = true, true },
		"scaled in":             func(m *Machine) { m.ScalingIn = true },
	}
	if got, want := s.LifecycleCounts(), map[string]int{"up": 0, "booting": 0, "draining": 0, "releasing": 0}; !maps.Equal(got, want) {
		t.Errorf("counts without machines = %v, want %v", got, want)
	}
	for id, prepareMachine := range prepare {
		prepareMachine(s.GetOrAddMachine(id))
	}
	if got, want := s.LifecycleCounts(), map[string]int{"up": 1, "booting": 1, "draining": 2, "releasing": 3}; !maps.Equal(got, want) {
		t.Errorf("counts = %v, want %v", got, want)
	}
}

func TestHoldsReplicasCountsServicesOnly(t *testing.T) {
	tests := map[string]struct {
		kinds []wire.JobKind
		want  bool
	}{
		"empty":                {nil, false},
		"arrays":               {[]wire.JobKind{wire.KindArray, wire.KindArray}, false},
		"gang":                 {[]wire.JobKind{wire.KindGang}, false},
		"service among others": {[]wire.JobKind{wire.KindArray, wire.KindService, wire.KindGang}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestState(t)
			m := s.GetOrAddMachine("n-1")
			for i, kind := range tt.kinds {
				j := addTestJob(s, kind, 1, 1)
				j.Spec.ID = wire.JobID(rune('a' + i))
				addTestAttempt(j, 0, m, 1)
			}
			if got := s.HoldsReplicas(m); got != tt.want {
				t.Errorf("HoldsReplicas with %v = %v, want %v", tt.kinds, got, tt.want)
			}
		})
	}
}

func TestZonesOfSettingsComeFirst(t *testing.T) {
	s := newTestState(t)
	s.Settings.Zones = []wire.Zone{"b", "a"}
	s.Catalog.Set([]wire.MachineSpec{{Name: "k4", Zones: []wire.Zone{"d", "a"}}, {Name: "k8", Zones: []wire.Zone{"c", "d"}}})
	s.ZoneDetector.RecordMessage("e", true, time.Now())
	s.ZoneDetector.RecordMessage("", true, time.Now())
	if got, want := s.Zones(), []wire.Zone{"b", "a", "c", "d", "e"}; !slices.Equal(got, want) {
		t.Errorf("zones = %v, want %v", got, want)
	}
	if got, want := s.Settings.Zones, []wire.Zone{"b", "a"}; !slices.Equal(got, want) {
		t.Errorf("zones of the settings became %v, want %v", got, want)
	}
}
