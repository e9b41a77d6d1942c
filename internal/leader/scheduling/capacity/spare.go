package capacity

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
)

// SpareReplicas are the resources that are kept free for the next replicas of services.
type SpareReplicas struct {
	// Count is the number of replicas.
	Count int
	// Takes are the resources of one replica.
	Takes placement.Resources
}

// SpareReplicasOf returns the spare resources: the largest replica that services have now,
// as many times as operators have set, and at least for half of the largest service.
func SpareReplicasOf(state *cluster.State, minUnits float64) SpareReplicas {
	var takes placement.Resources
	largestService := 0
	for _, job := range state.Jobs {
		if !job.Spec.IsService() || job.Spec.SpotAllowed {
			continue
		}
		largestService = max(largestService, job.Spec.Tasks)
		replica := placement.ResourcesOf(&job.Spec)
		takes = placement.Resources{CPUs: max(takes.CPUs, replica.CPUs), GPUs: 0, MemoryGB: max(takes.MemoryGB, replica.MemoryGB)}
	}
	if takes.CPUs == 0 {
		return SpareReplicas{0, takes}
	}
	return SpareReplicas{max(int(minUnits), (largestService+1)/2), takes}
}
