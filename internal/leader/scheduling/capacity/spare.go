package capacity

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
)

// SpareReplicas are the resources that are kept free for the next replicas of services.
type SpareReplicas struct {
	// Count is the number of replicas.
	Count int
	// ReplicaResources are the resources of one replica.
	ReplicaResources placement.Resources
}

// SpareReplicasOf returns the resources to keep free for the next replicas of services. They are
// for minReplicas replicas, or for half of the replicas of the largest service if that is more.
// Each replica has the most CPUs and the most memory of any service's replicas now. Services that
// may use spot machines don't count.
func SpareReplicasOf(state *cluster.State, minReplicas float64) SpareReplicas {
	var largestReplica placement.Resources
	largestService := 0
	for _, job := range state.Jobs {
		if !job.Spec.IsService() || job.Spec.SpotAllowed {
			continue
		}
		largestService = max(largestService, job.Spec.Tasks)
		replica := placement.ResourcesOf(&job.Spec)
		largestReplica = placement.Resources{CPUs: max(largestReplica.CPUs, replica.CPUs), GPUs: 0, MemoryGB: max(largestReplica.MemoryGB, replica.MemoryGB)}
	}
	if largestReplica.CPUs == 0 {
		return SpareReplicas{0, largestReplica}
	}
	return SpareReplicas{max(int(minReplicas), (largestService+1)/2), largestReplica}
}
