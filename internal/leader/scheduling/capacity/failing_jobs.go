package capacity

import (
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/wire"
)

// repeatedFailures is the number of failed attempts since a job's last success from which on
// machines are requested only to retry it.
const repeatedFailures = 3

// failsRepeatedly reports whether tasks of a job have failed so often since the last success that
// machines are requested only to retry it: for the tasks that a cycle may start, and beside
// machines on which it has not failed yet.
//
// The job may fail wherever it runs, so it must not get machines for all its tasks. But it may also
// have met faulty machines only, and then nothing but a success on another machine shows it. So
// it must always be able to get one.
func failsRepeatedly(job *cluster.Job) bool { return job.TaskFailures >= repeatedFailures }

// machinesToAvoid returns the machines whose resources do not count for a job. They are of no use
// to it, and would be kept for it although it needs others.
func machinesToAvoid(job *cluster.Job) map[wire.MachineID]bool {
	if failsRepeatedly(job) {
		return job.FailedMachines
	}
	return nil
}

// plannedTasks returns for how many of a job's pending tasks capacity is planned.
func plannedTasks(job *cluster.Job) int {
	if failsRepeatedly(job) {
		return job.StartableTasks()
	}
	return job.PendingTasks()
}
