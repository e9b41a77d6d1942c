package placement

import (
	"lilaclead/internal/utility"
)

// Weights in the score of a machine among those of its class.
const (
	costPerFetchSecond     = 0.25 // for each second that fetching the image takes
	maxFetchSeconds        = 16   // longer fetches cost no more than this
	fetchInProgressCost    = 0.1  // the image is being fetched already
	spotBonus              = 0.5
	serviceColocationBonus = 1 // services share machines
)

// lastResortCost exceeds every other difference of scores, so that machines of last resort
// come after all others.
const lastResortCost = 100

// score rates a machine for a unit of the job among the machines of one class; higher is
// better. A fetch in progress is better than a new one, a spot machine better than an
// on-demand one, and for a service a machine with other services better than one without.
// The last term prefers the machine with the smallest share of its CPUs left free.
func score(j *Job, m *Machine, unit Resources) float64 {
	score := 0.0
	switch m.Images[j.Spec.Image] {
	case ImageAbsent:
		score -= min(maxFetchSeconds, m.fetchSeconds(j)) * costPerFetchSecond
	case ImageFetching:
		score -= fetchInProgressCost
	}
	if m.Spot {
		score += spotBonus
	}
	if j.Spec.IsService() && m.ServiceTasks > 0 {
		score += serviceColocationBonus
	}
	remaining := m.Free.Minus(unit)
	score -= remaining.CPUs / max(1, m.Total.CPUs)
	return score
}

func classOf(j *Job, m *Machine) utility.Class {
	if m.Images[j.Spec.Image] == ImagePresent {
		return withImage
	}
	return withoutImage
}

// isLastResort reports whether the job takes the machine only if no other fits, whatever
// images it has.
func isLastResort(j *Job, m *Machine, usesHeadroom bool) bool {
	cordoned := m.Cordoned && !j.Spec.IsService()
	return cordoned || j.AvoidMachines[m.ID] || usesHeadroom
}
