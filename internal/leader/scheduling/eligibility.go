package scheduling

import (
	"time"

	"lilaclead/internal/leader/cluster"
)

// Eligibility decides which jobs and machines take part in a scheduling cycle.
type Eligibility struct {
	state *cluster.State
}

// Schedulable reports whether tasks of a job can be placed now. A gang can be placed only
// after all tasks of its last attempt have ended.
func (e *Eligibility) Schedulable(job *cluster.Job, now time.Time) bool {
	blockedByLastAttempt := job.Spec.IsGang() && job.ActiveTasks > 0
	return e.startable(job) && startDue(job, now) && !blockedByLastAttempt
}

// startable reports whether a job is unfinished and the current content of its stored record
// is known.
func (e *Eligibility) startable(job *cluster.Job) bool {
	ended := job.Cancelled || job.Finished || job.Archiving
	return !ended && !job.RecordOutdated && !e.state.IsQuarantined(job.Spec.ID)
}

// startDue reports whether a job has pending tasks and its start delay, if any, is over.
func startDue(job *cluster.Job, now time.Time) bool {
	return job.PendingTasks() > 0 && !now.Before(job.StartNotBefore)
}

// Usable reports whether tasks may start on a machine now.
func (e *Eligibility) Usable(machine *cluster.Machine, now time.Time) bool {
	return inService(machine) && e.reachable(machine, now) && e.accepting(machine, now)
}

// inService reports whether a machine has sent a heartbeat and is neither draining nor scaling
// in.
func inService(machine *cluster.Machine) bool {
	started := !machine.Booting && !machine.FirstHeartbeatAt.IsZero()
	return started && machine.DrainReason == "" && !machine.ScalingIn
}

// reachable reports whether messages pass between a machine and this term's leader, as far
// as is known.
func (e *Eligibility) reachable(machine *cluster.Machine, now time.Time) bool {
	followsTerm := machine.Token >= e.state.FirstToken
	inboundWorks := machine.UnansweredCommands == 0 && machine.Inbound.Works()
	return followsTerm && inboundWorks && !e.state.UnseenSincePartition(machine, now) && !e.state.OutboundConnectivityLost(machine, now)
}

// accepting reports whether a machine sent a message recently, and its start delay after a
// refused task is over.
func (e *Eligibility) accepting(machine *cluster.Machine, now time.Time) bool {
	maxSilence := 2*e.state.HeartbeatInterval() + time.Second
	return !now.Before(machine.StartNotBefore) && now.Sub(machine.LastMessageAt) < maxSilence
}
