package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// teamUsage returns the limit and the usage of each team. The usage includes orphan tasks,
// which run on machines although this term has no attempt of them there.
func teamUsage(state *cluster.State) map[wire.TeamID]*placement.Team {
	teams := map[wire.TeamID]*placement.Team{}
	for _, team := range state.Settings.Teams {
		teams[team.Name] = &placement.Team{Limit: placement.Resources{CPUs: team.MaxCPUs, GPUs: team.MaxGPUs}}
	}
	addUsage := func(job *cluster.Job, tasks int) {
		if team := teams[job.Spec.Team]; team != nil {
			team.Used = team.Used.Plus(placement.ResourcesOf(&job.Spec).Times(float64(tasks)))
		}
	}
	for _, job := range state.Jobs {
		addUsage(job, job.ActiveTasks)
	}
	for _, machine := range state.Machines {
		for task := range machine.OrphanTasks {
			if job := state.Jobs[task.Job]; job != nil && machine.Attempts[task] == nil {
				addUsage(job, 1)
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

// limitReservationDelay is how long a gang goes without a start before a part of its team's
// limit is reserved for it. Most gangs need no reservation: they start at once, or as soon as
// there are resources.
const limitReservationDelay = 30 * time.Second

// reserveTeamLimits reserves a part of each team's limit for one of its gangs that have waited
// long: the one of the highest priority, and among equals the one accepted first. A gang whose
// start is overdue counts as of the highest priority. Other arrays and gangs up to the priority
// of the gang may not use the reserved part. Services may, even if the gang is overdue.
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

// needsLimitReserved reports whether a job is a gang that has gone without a start for
// limitReservationDelay.
func (b *snapshotBuilder) needsLimitReserved(job *cluster.Job) bool {
	return job.Spec.IsGang() && b.state.SinceLastStart(job, b.now) >= limitReservationDelay
}
