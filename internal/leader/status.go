package leader

import "time"

// clusterCounts are numbers of machines, jobs and tasks by state.
type clusterCounts struct {
	up, booting, idle   int // machines; idle ones are up and have no task
	pendingJobs         int // jobs with tasks that wait to be started
	tasks, active, done int // all tasks, and those that are active and done
	listedExits         int // exited tasks in the machines' last heartbeats
	mostListedExits     int // of one machine
}

func (t *term) countCluster() clusterCounts {
	var counts clusterCounts
	for _, m := range t.state.Machines {
		if m.Booting {
			counts.booting++
			continue
		}
		counts.up++
		counts.listedExits += m.ListedExits
		counts.mostListedExits = max(counts.mostListedExits, m.ListedExits)
		if len(m.Attempts) == 0 {
			counts.idle++
		}
	}
	for _, j := range t.state.Jobs {
		counts.tasks += j.Spec.Tasks
		counts.active += j.ActiveTasks
		counts.done += j.DoneTasks
		if !j.Cancelled && j.PendingTasks() > 0 {
			counts.pendingJobs++
		}
	}
	return counts
}

// logStatus logs the numbers of machines, jobs and tasks, and the delay of the loop since
// the tick that was due at dueAt.
func (t *term) logStatus(dueAt time.Time) {
	counts := t.countCluster()
	if limit := t.leader.MaxAgents; counts.up > limit {
		t.Log.Warn("machine limit exceeded", "machines", counts.up, "limit", limit, "fd_limit_needed", t.leader.RequiredFDs(counts.up))
	}
	t.Log.Info("status",
		"token", t.Fencing.Token,
		"up", counts.up,
		"booting", counts.booting,
		"idle", counts.idle,
		"jobs", len(t.state.Jobs),
		"jobs_pending", counts.pendingJobs,
		"tasks_active", counts.active,
		"tasks_pending", counts.tasks-counts.active-counts.done,
		"exits_listed", counts.listedExits,
		"exits_listed_most", counts.mostListedExits,
		"backlog_s", int(t.scheduler.BacklogSeconds),
		"scale_out_holds", t.scheduler.Holds.String(),
		"cycle_duration", t.state.CycleTimer.LastDuration,
		"tick_delay", time.Since(dueAt))
}
