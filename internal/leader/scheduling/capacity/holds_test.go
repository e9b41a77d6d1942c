package capacity

import (
	"testing"
	"time"

	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

func TestPlanReportsWhyAJobGetsNoMachines(t *testing.T) {
	unavailable := wire.MachineSpec{Name: "c4", CPUs: 4, MemoryGB: 16, FetchGBPerSecond: 1, OnDemandPrice: 0.02, SpotPrice: 0.02, BootTime: 10}
	expensive := wire.MachineSpec{Name: "x4", CPUs: 4, MemoryGB: 16, FetchGBPerSecond: 1, OnDemandPrice: 2, SpotPrice: 2, BootTime: 10, Zones: []wire.Zone{"a"}}
	for _, c := range []struct {
		name  string
		specs []wire.MachineSpec // in place of those of the cluster
		spec  wire.JobSpec
		want  HoldReason
	}{
		{"machines are requested", nil, schedulingtest.Service("req-1", 2), ""},
		{"no zone has its type", []wire.MachineSpec{unavailable}, schedulingtest.Array("req-1", 1), HeldByOffers},
		{"no zone has the type of a gang", []wire.MachineSpec{unavailable}, schedulingtest.Gang("req-1", 2), HeldByOffers},
		{"too expensive", []wire.MachineSpec{unavailable, expensive}, schedulingtest.Array("req-1", 1), HeldByPrice},
		{"a gang, too expensive", []wire.MachineSpec{unavailable, expensive}, schedulingtest.Gang("req-1", 2), HeldByPrice},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			if c.specs != nil {
				s.State.Catalog.Set(c.specs)
			}
			job := s.AddJobAcceptedAt(c.spec, schedulingtest.Now.Add(-time.Second))
			plan := s.plan(true)
			if hold := plan.Holds[job.Spec.ID]; hold != c.want {
				t.Errorf("held for reason %q with scale-outs %v, want %q", hold, plan.ScaleOuts, c.want)
			}
			if requested := len(plan.ScaleOuts) > 0; requested != (c.want == "") {
				t.Errorf("scale-outs %v while held for reason %q", plan.ScaleOuts, c.want)
			}
		})
	}
}

func TestHoldsAreCountedByReason(t *testing.T) {
	holds := Holds{"req-1": HeldByTeamLimit, "req-2": HeldByFailures, "req-3": HeldByTeamLimit}
	if got, want := holds.String(), "failures=1 team limit=2"; got != want {
		t.Errorf("holds %q, want %q", got, want)
	}
	if got := (Holds{}).String(); got != "" {
		t.Errorf("no holds: %q, want an empty text", got)
	}
}
