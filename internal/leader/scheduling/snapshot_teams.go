package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// teamUsage returns what each team uses, with everything that may be on machines.
func teamUsage(state *cluster.State) map[wire.TeamID]*placement.Team {
	teams := map[wire.TeamID]*placement.Team{}
	for _, team := range state.Settings.Teams {
		teams[team.Name] = &placement.Team{Limit: placement.Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}}
	}
	use := func(job *cluster.Job, tasks int) {
		if team := teams[job.Spec.Team]; team != nil {
			team.Used = team.Used.Plus(placement.ResourcesOf(&job.Spec).Times(float64(tasks)))
		}
	}
	for _, job := range state.Jobs {
		use(job, job.ActiveTasks)
	}
	for _, machine := range state.Machines {
		for task := range machine.OrphanTasks {
			if job := state.Jobs[task.Job]; job != nil && machine.Tasks[task] == nil {
				use(job, 1)
			}
		}
	}
	return teams
}

// beyondGuarantee reports whether a team uses more than its guaranteed quota.
func (b *snapshotBuilder) beyondGuarantee(name wire.TeamID) bool {
	team, _ := b.state.Settings.Team(name)
	usage := b.snapshot.Teams[name]
	return usage != nil && (usage.Used.CPUs > team.GuaranteedCPUs+wire.AmountTolerance || usage.Used.GPUs > team.GuaranteedGPUs+wire.AmountTolerance)
}

// reserveLimitAfter is how long a gang waits before a part of its team's limit is reserved
// for it. Most gangs start at once, or as soon as there are resources.
const reserveLimitAfter = 30 * time.Second

// reserveTeamLimits reserves a part of each team's limit for one gang: the first by
// priority among those that have waited long. Once a gang's start is overdue even higher
// priorities, except services, leave that part alone.
func (b *snapshotBuilder) reserveTeamLimits() {
	for _, job := range b.jobs { // in the order in which they were accepted
		team := b.snapshot.Teams[job.Spec.Team]
		if team == nil || !b.needsLimitReserved(job) {
			continue
		}
		rank := job.Spec.Priority.Rank()
		if b.state.StartOverdue(job, b.now) {
			rank = wire.PriorityProd.Rank()
		}
		if team.ReservedFor == "" || rank > team.ReservedRank {
			team.Reserved = placement.ResourcesOf(&job.Spec).Times(float64(job.Spec.Tasks))
			team.ReservedFor, team.ReservedRank = job.Spec.ID, rank
		}
	}
}

// needsLimitReserved reports whether a job is a gang that has waited long.
func (b *snapshotBuilder) needsLimitReserved(job *cluster.Job) bool {
	return job.Spec.IsGang() && b.state.SinceLastStart(job, b.now) >= reserveLimitAfter
}
