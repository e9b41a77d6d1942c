package capacity

import (
	"testing"

	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

func TestSpareReplicasFollowSettingAndLargestService(t *testing.T) {
	for _, c := range []struct {
		name        string
		services    []wire.JobSpec
		minReplicas float64
		count       int
		cpus        float64
	}{
		{"no services", nil, 2, 0, 0},
		{"as many as set", []wire.JobSpec{schedulingtest.Service("req-1", 2)}, 3, 3, 2},
		{"half of the largest service", []wire.JobSpec{schedulingtest.Service("req-1", 2), schedulingtest.Service("req-2", 9)}, 2, 5, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestPlanner(t)
			spot := schedulingtest.Service("req-8", 50)
			spot.SpotAllowed = true
			for _, spec := range append(c.services, spot, schedulingtest.Array("req-9", 99)) {
				s.AddJob(spec)
			}
			if got := SpareReplicasOf(s.State, c.minReplicas); got.Count != c.count || got.ReplicaResources.CPUs != c.cpus {
				t.Errorf("spare replicas %+v, want %d of %v CPUs", got, c.count, c.cpus)
			}
		})
	}
}
