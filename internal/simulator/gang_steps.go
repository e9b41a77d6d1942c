package simulator

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// stepGangs brings all gangs up to the present time; the caller holds the lock.
func (sim *Simulation) stepGangs(now time.Time) {
	var ids []wire.JobID
	for id := range sim.gangs.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		gang := sim.gangs.jobs[id]
		for _, attempt := range gang.attempts {
			sim.stepGang(sim.scripts[id], gang, attempt, now)
		}
	}
}

// stepGang brings one attempt of a gang up to the present time; the caller holds the lock.
func (sim *Simulation) stepGang(script *JobScript, gang *gangJob, attempt *gangAttempt, now time.Time) {
	sim.advance(attempt, now)
	members := attempt.membersByIndex(script.Spec.Tasks)
	sim.breakOnHungMember(gang, attempt, members, now)
	allToldToStop := attempt.running && len(members) == script.Spec.Tasks && !slices.ContainsFunc(members, func(member *gangMember) bool { return !member.toldToStop })
	if allToldToStop && !attempt.broken() && !attempt.checkpointed && sim.anyCheckpointed(members, now) {
		attempt.checkpointed, gang.checkpointedProgress = true, max(gang.checkpointedProgress, attempt.progress)
		gang.checkpointedStops++
	}
	if !allToldToStop && sim.stopTimedOut(attempt, now) {
		sim.rollBack(gang, attempt, now)
		for _, member := range members {
			member.leavesAt = now
		}
	}
	if attempt.progresses() && attempt.progress >= script.RunTime {
		gang.done = true
		sim.checker.GangDone(script.Spec.ID)
	}
	for _, member := range members {
		if !sim.hangs(member.worker) && attempt.members[member.taskID.Index] == member {
			sim.stepMember(gang, attempt, member, now)
		}
	}
}

// anyCheckpointed reports whether a member whose machine doesn't hang has saved its checkpoint.
func (sim *Simulation) anyCheckpointed(members []*gangMember, now time.Time) bool {
	return slices.ContainsFunc(members, func(member *gangMember) bool { return !sim.hangs(member.worker) && !now.Before(member.savedAt) })
}

// stopTimedOut reports whether more than the peer timeout has passed since a member was first
// told to stop, without a checkpoint.
func (sim *Simulation) stopTimedOut(attempt *gangAttempt, now time.Time) bool {
	return attempt.stopping() && !attempt.checkpointed && now.Sub(attempt.stoppingSince) > sim.Settings.Workers.GangPeerTimeout.Duration()
}

// hangs reports whether a machine hangs; the caller holds the lock.
func (sim *Simulation) hangs(m *worker) bool {
	return sim.machineFaults.hung[m.id] != nil || m.stalled
}

// breakOnHungMember breaks a running attempt if the machine of a member hangs for more than half
// of the peer timeout.
func (sim *Simulation) breakOnHungMember(gang *gangJob, attempt *gangAttempt, members []*gangMember, now time.Time) {
	peerTimeout := sim.Settings.Workers.GangPeerTimeout.Duration()
	for _, member := range members {
		if !sim.hangs(member.worker) {
			member.hungSince = time.Time{}
		} else if member.hungSince.IsZero() {
			member.hungSince = now
		} else if attempt.running && !attempt.checkpointed && now.Sub(member.hungSince) > peerTimeout/2 {
			sim.rollBack(gang, attempt, now)
		}
	}
}

// stepMember ends a task of a gang if it is due to exit.
func (sim *Simulation) stepMember(gang *gangJob, attempt *gangAttempt, member *gangMember, now time.Time) {
	end := func(c wire.ExitCause, saved bool) {
		member.run.checkpointed = saved
		member.run.cancel()
		member.worker.exitTask(member.taskID, member.run, c)
	}
	switch {
	case gang.done && member.run.phase != wire.PhaseWaiting:
		end(wire.CauseDone, false)
	case member.run.phase == wire.PhaseWaiting:
		if now.Sub(member.waitingSince) > sim.Settings.Workers.GangWait.Duration() {
			gang.waitTimeouts++
			end(wire.CauseGangIncomplete, false)
		}
	case attempt.checkpointed:
		if member.toldToStop && !now.Before(member.savedAt) {
			end(wire.CauseStopped, true)
		}
	case attempt.broken():
		if !now.Before(member.leavesAt) {
			end(wire.CauseGangBroken, false)
		}
	case !member.failAt.IsZero() && !now.Before(member.failAt):
		end(wire.CauseError, false)
	}
}
