package scheduling

import (
	"cmp"
	"slices"

	"lilaclead/internal/leader/cluster"
)

// sortByAcceptance sorts jobs in the order in which they were accepted.
func sortByAcceptance(jobs []*cluster.Job) {
	slices.SortFunc(jobs, func(a, b *cluster.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
}

// sortByID sorts machines by their names.
func sortByID(machines []*cluster.Machine) {
	slices.SortFunc(machines, func(a, b *cluster.Machine) int { return cmp.Compare(a.ID, b.ID) })
}
