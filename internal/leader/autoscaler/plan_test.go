package autoscaler

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

func TestPlanRequestsMachinesOnceTheClusterIsKnown(t *testing.T) {
	cases := []struct {
		name   string
		change func(term *testTerm)
		want   bool
	}{
		{"everything is known", func(*testTerm) {}, true},
		{"records are not read", func(term *testTerm) { term.state.RecordsRead = false }, false},
		{"first heartbeats are missing", func(term *testTerm) { term.state.SchedulingEnabled = false }, false},
		{"no machine list", func(term *testTerm) { term.state.MachineListReceived = false }, false},
		{"no machine types", func(term *testTerm) { term.catalog.Set(nil) }, false},
		{"the cloud is unavailable", func(term *testTerm) {
			request := term.Tracker.StartScaleOut(fleet.ScaleOut{Type: "c16", Zone: "b", Count: 1}, time.Now())
			term.Tracker.FinishScaleOut(request, scaling.Answer{Err: cloud.ErrUnavailable}, time.Now())
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTerm(t, termOptions{}, func(term *testTerm) {
				term.loadIntents()
				job := cluster.NewJob(store.JobRecord{Spec: wire.JobSpec{ID: "req-1", Team: "red", Kind: wire.KindArray, Tasks: 3, CPUs: 4, MemoryGB: 4, ExpectedRunTime: 60}, AcceptedAt: wire.TimestampOf(time.Now())}, 1)
				term.state.Jobs[job.Spec.ID] = job
				term.state.RecordsRead, term.state.SchedulingEnabled, term.state.MachineListReceived = true, true, true
				specs, err := term.Cloud.MachineSpecs(term.Context())
				if err != nil {
					t.Fatal(err)
				}
				term.catalog.Set(specs)
				time.Sleep(term.state.Settings.Cloud.ListLag.Duration() + 2*time.Second)
				c.change(term)
				term.PlanFleet(time.Now())
				if got := len(term.Tracker.PendingScaleOuts()) > 0; got != c.want {
					t.Errorf("%s: scale-out requested: %v, want %v", c.name, got, c.want)
				}
				term.run(3 * time.Second)
				if got := len(term.sim.ScaleOutNames()) > 0; got != c.want {
					t.Errorf("%s: scale-out executed: %v, want %v", c.name, got, c.want)
				}
			})
		})
	}
}

func TestLargeScaleOutIsRequestedInBatches(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		term.requestMachinesInBatches(fleet.ScaleOut{Type: "c4", Zone: "a", Count: 2*scaling.MaxScaleOut + 7})
		var counts []int
		for _, request := range term.Intents.unrecordedScaleOuts {
			counts = append(counts, request.Count)
		}
		if want := []int{scaling.MaxScaleOut, scaling.MaxScaleOut, 7}; !slices.Equal(counts, want) {
			t.Errorf("requests of %v machines, want %v", counts, want)
		}
	})
}
