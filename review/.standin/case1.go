package main

import "time"

// Times of case 1.
const (
	// solverRun is how long a task of the array runs on a machine that works.
	solverRun = 5 * time.Second
	// solverWait is how long the array may take after the faulty machine has gone.
	solverWait = 92 * time.Second
	// equalAfter is when an equal job for another machine type is submitted, counted from the same time.
	equalAfter = 60 * time.Second
	// solverLimit bounds the wait for the faulty machine to be gone.
	solverLimit = 115 * time.Second
)

// faultyMachine submits a small array to an idle deployment. The first machine that the cloud rents
// out fails every task that it starts; all others work. Without trouble the first one works too. A
// minute after the faulty machine has gone, a second job is submitted, for another machine type, so that
// its machine is of no use to the array. If it is done, the deployment rents machines and runs jobs.
func faultyMachine(record *recorder, trouble bool) int {
	d, err := newDeployment(record, kowhai())
	if err != nil {
		record.printf("can't run: %v", err)
		return couldNot
	}
	defer d.close()
	if trouble {
		d.cloud.faulty = 1
	}
	if !d.startAll(15 * time.Second) {
		return couldNot
	}
	job := sweep("req-000001", 2, 2, 5.7)
	job.Kits = []string{"kereru"}
	equal := sweep("req-000002", 8, 2, 5.7)
	equal.Kits = []string{"tui"}
	var equalStatus string
	if !d.users.submit(job, solverRun) {
		record.printf("can't run: the job was not accepted")
		return couldNot
	}
	accepted := time.Now()
	var faultyGone time.Time // when the faulty machine was gone
	startsBefore := 0        // starts of the array's tasks by then
	for i := 0; time.Since(accepted) < solverLimit; i++ {
		time.Sleep(2 * time.Second)
		if faultyGone.IsZero() && d.cloud.rented() > 0 && len(d.cloud.all()) == 0 {
			faultyGone, startsBefore = time.Now(), d.checker.startsOf(job.ID, job.Parts)
		}
		status, state := d.users.poll(i, job.ID)
		record.printf("%3.0f s: answer %d, %s; %d starts, %d of %d tasks completed; machines rented so far %d, there now %d", time.Since(accepted).Seconds(),
			status, state.Status, d.checker.startsOf(job.ID, job.Parts), d.checker.doneOf(job.ID, job.Parts), job.Parts, d.cloud.rented(), len(d.cloud.all()))
		if state.Status == "done" {
			record.printf("held: the array is done after %.0f s", time.Since(accepted).Seconds())
			return held
		}
		if !faultyGone.IsZero() && time.Since(faultyGone) > equalAfter && equalStatus != "done" {
			if equalStatus == "" && !d.users.submit(equal, solverRun) {
				record.printf("can't run: the second job was not accepted")
				return couldNot
			}
			_, second := d.users.poll(i, equal.ID)
			equalStatus = second.Status
			record.printf("       the second job is %s", equalStatus)
		}
		if !faultyGone.IsZero() && time.Since(faultyGone) > solverWait {
			switch {
			case d.checker.startsOf(job.ID, job.Parts) > startsBefore:
				record.printf("held: the array was started again")
				return held
			case equalStatus != "done":
				record.printf("can't run: the second job is %q", equalStatus)
				return couldNot
			}
			record.printf("broken: %.0f s after the faulty machine was returned, the accepted array has not been started again; a job submitted a minute after that is done",
				time.Since(faultyGone).Seconds())
			return broken
		}
	}
	record.printf("can't run: the array is not done, and a machine was there")
	return couldNot
}
