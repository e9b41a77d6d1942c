package valuation

import (
	"cmp"
	"slices"

	"lilaclead/internal/leader/cluster"
)

// SortByAcceptance sorts jobs in the order in which they were accepted.
func SortByAcceptance(jobs []*cluster.Job) {
	slices.SortFunc(jobs, func(a, b *cluster.Job) int {
		return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
}
