package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"lilaclead/internal/fleet"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// HoldReason is why a plan requests no machines for some or all of a job's pending tasks.
type HoldReason string

// The reasons are values of the label of lilaclead_scale_out_holds.
const (
	// HeldByFailures: tasks of the job have failed repeatedly since the last success.
	HeldByFailures HoldReason = "failures"
	// HeldByQuarantine: a record of the job can't be decoded.
	HeldByQuarantine HoldReason = "quarantined"
	// HeldByTeamLimit: the job's team is at its limit, or unknown.
	HeldByTeamLimit HoldReason = "team limit"
	// HeldByLastAttempt: tasks of the gang's last attempt have not ended yet.
	HeldByLastAttempt HoldReason = "last attempt"
	// HeldByPrice: all machines that may be requested exceed the price limit.
	HeldByPrice HoldReason = "price limit"
	// HeldByOffers: no machine that the job may run on can be requested now.
	HeldByOffers HoldReason = "no offer"
)

// Holds are the jobs that are held, with the reasons.
type Holds map[wire.JobID]HoldReason

// Counts returns the number of jobs by reason.
func (h Holds) Counts() map[string]int {
	counts := map[string]int{}
	for _, reason := range h {
		counts[string(reason)]++
	}
	return counts
}

// String returns the number of jobs by reason, sorted by reason: "failures=1 team limit=2".
func (h Holds) String() string {
	counts := h.Counts()
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s=%d", reason, counts[reason]))
	}
	return strings.Join(parts, " ")
}

// addUnmet adds the jobs with demands that a plan leaves unmet.
func (h Holds) addUnmet(unmet []fleet.UnmetDemand) {
	for _, demand := range unmet {
		switch demand.Reason {
		case fleet.UnmetByPrice:
			h[demand.Job] = HeldByPrice
		case fleet.UnmetByOffers:
			h[demand.Job] = HeldByOffers
		}
	}
}

// hasPendingTasks reports whether a job that has not ended has pending tasks.
func hasPendingTasks(job *cluster.Job) bool {
	return !job.Cancelled && !job.Finished && job.PendingTasks() > 0
}
