package leader

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/demand"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// A zone that the settings don't name counts like the others once machines are offered there
// or a message has arrived from there. A service that is spread may have replicas in it.
func TestServiceSpreadsToZonesOutsideTheSettings(t *testing.T) {
	tm := newSizedTerm(t, 30)
	tm.state.Settings.Zones = []wire.Zone{"b"}
	tm.state.ZoneDetector.RecordMessage("d", false, time.Now())
	spec := wire.JobSpec{ID: "req-9", Team: "red", Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: 5, CPUs: 1, Spread: true}
	tm.state.Jobs[spec.ID] = newJob(spec, 9)
	if got, want := fmt.Sprint(tm.state.Zones()), "[b a c d]"; got != want {
		t.Errorf("zones: got %s, want %s", got, want)
	}
	for _, d := range tm.scheduler.Demands(time.Now(), 0.6, 2) {
		if d.Spec.ID == spec.ID && (d.ZoneCapacityLeft["a"] != 3 || d.ZoneCapacityLeft["d"] != 3) {
			t.Errorf("capacity left in zones a and d: got %v, want 3 in each", d.ZoneCapacityLeft)
		}
	}
}

// A class whose objective lets it wait for cheap machines may use expensive ones if it has
// waited for two minutes and only they can keep it from being late. Without this, the
// backlog grows to 16 minutes with 24 spot machines of 40. A short burst of jobs, which
// looks the same at first, gets no expensive machines, nor does a job that will be late
// whatever is scaled out.
func TestPriceLimitRisesForJobsThatWaitedTooLong(t *testing.T) {
	tm := newSizedTerm(t, 30)
	tm.state.Settings.Objectives = []config.Objective{{Kind: "finished", Class: "recon", Within: 300, Share: 0.9}}
	now := time.Now()
	cases := []struct {
		name                      string
		ageSeconds, expectedDelay float64
		want                      float64
	}{
		{"new, short delay", 10, 60, 1},
		{"new, long delay", 10, 900, 1},
		{"waited, in time at the normal price", 130, 90, 1},
		{"waited, late at the normal price", 130, 200, demand.LatePriceLimitFactor},
		{"waited longer, late at the normal price", 200, 90, demand.LatePriceLimitFactor},
		{"late in any case", 290, 90, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := wire.JobSpec{ID: "req-9", Class: "recon", Team: "red", Kind: wire.KindArray, Tasks: 5, CPUs: 2, SpotAllowed: true, ExpectedRunTime: 20}
			acceptedAt := now.Add(-time.Duration(c.ageSeconds) * time.Second)
			j := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(acceptedAt)}, 9)
			if got := tm.scheduler.PriceLimitFactor(j, c.expectedDelay, now); got != c.want {
				t.Errorf("price limit factor at an age of %g s with an expected delay of %g s: got %g, want %g", c.ageSeconds, c.expectedDelay, got, c.want)
			}
		})
	}
}
