package progress

import "lilaclead/internal/leader/cluster"

// sendStoredLaunches marks launches as stored and has them sent. A gang's launches are sent
// once the last of them is stored. Launches that have become obsolete are ended instead.
func (co *Committer) sendStoredLaunches(launches []*cluster.Attempt) {
	targets := map[*cluster.Machine]bool{}
	for _, a := range launches {
		if !isCurrent(a) {
			continue
		}
		a.MarkStored()
		if co.obsolete(a) {
			// No leader has sent the launch, so there is nothing to stop on the machine.
			co.State.EndAttempt(a, cluster.TaskPending)
			continue
		}
		targets[a.Machine] = true
		if a.Job.Gang != nil && a.Job.GangFullyStored() {
			for _, member := range a.Job.Attempts() {
				targets[member.Machine] = true
			}
		}
	}
	for m := range targets {
		co.Dispatcher.SendDueCommands(m)
	}
}

// obsolete reports whether an attempt must no longer be launched.
func (co *Committer) obsolete(a *cluster.Attempt) bool {
	stopped := a.Stopping || a.Job.Cancelled
	return stopped || !co.acceptsLaunches(a.Machine)
}

// acceptsLaunches reports whether a machine still exists and is neither draining nor being
// scaled in.
func (co *Committer) acceptsLaunches(m *cluster.Machine) bool {
	leaving := m.DrainReason != "" || m.ScalingIn
	return !leaving && co.State.Machines[m.ID] == m
}
