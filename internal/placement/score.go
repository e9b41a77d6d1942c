package placement

import (
	"lilaclead/internal/utility"
)

// Weights of a machine's score, among machines of one class.
const (
	fetchSecondCost = 0.25 // a second of fetching the image
	maxFetchSeconds = 16   // beyond which a longer fetch costs no more
	fetchingCost    = 0.1  // a fetch that is under way
	spotBonus       = 0.5
	servicesBonus   = 1 // replicas go together
)

// lastResortCost keeps machines of last resort behind all others.
const lastResortCost = 100

// score orders the machines of one class for a unit of the job: a fetch that is under
// way before a new one, spot before ordinary where both are allowed, services together,
// and then the machine that is left fullest.
func score(j *Job, m *Machine, unit Resources) float64 {
	score := 0.0
	switch m.Images[j.Spec.Image] {
	case ImageAbsent:
		score -= min(maxFetchSeconds, m.fetchSeconds(j)) * fetchSecondCost
	case ImageFetching:
		score -= fetchingCost
	}
	if m.Spot {
		score += spotBonus
	}
	if j.Spec.IsService() && m.ServiceTasks > 0 {
		score += servicesBonus
	}
	left := m.Free.Minus(unit)
	score -= left.CPUs / max(1, m.Total.CPUs)
	return score
}

// classOf returns the class of a machine for the job.
func classOf(j *Job, m *Machine) utility.Class {
	if m.Images[j.Spec.Image] == ImagePresent {
		return withImage
	}
	return withoutImage
}

// isLastResort reports whether the machine is the job's last choice, whatever images it
// has.
func isLastResort(j *Job, m *Machine, usesHeadroom bool) bool {
	cordoned := m.Cordoned && !j.Spec.IsService()
	return cordoned || j.AvoidMachines[m.ID] || usesHeadroom
}
