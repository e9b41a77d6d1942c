package main

import "time"

// Times of case 1.
const (
	// solverRun is how long a task of the array runs on a machine that works.
	solverRun = 5 * time.Second
	// solverWait is how long the array may take after the faulty machine has gone.
	solverWait = 92 * time.Second
	// solverLimit bounds the wait for the faulty machine to be gone.
	solverLimit = 115 * time.Second
)

// faultyMachine submits a small array to an idle deployment. The first machine that the cloud rents
// out fails every task that it starts; all others work. Without trouble the first one works too.
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
	if !d.users.submit(job, solverRun) {
		record.printf("can't run: the job was not accepted")
		return couldNot
	}
	accepted := time.Now()
	var faultyGone time.Time // when the faulty machine was gone
	for i := 0; time.Since(accepted) < solverLimit; i++ {
		time.Sleep(2 * time.Second)
		if faultyGone.IsZero() && d.cloud.rented() > 0 && len(d.cloud.all()) == 0 {
			faultyGone = time.Now()
		}
		status, state := d.users.poll(i, job.ID)
		record.printf("%3.0f s: answer %d, %s; %d starts, %d of %d tasks completed; machines rented so far %d, there now %d", time.Since(accepted).Seconds(),
			status, state.Status, d.checker.startsOf(job.ID, job.Parts), d.checker.doneOf(job.ID, job.Parts), job.Parts, d.cloud.rented(), len(d.cloud.all()))
		if state.Status == "done" {
			record.printf("held: the array is done after %.0f s", time.Since(accepted).Seconds())
			return held
		}
		if !faultyGone.IsZero() && time.Since(faultyGone) > solverWait {
			record.printf("broken: %.0f s after the faulty machine was returned, the accepted array does not run, and no machine was rented for it",
				time.Since(faultyGone).Seconds())
			return broken
		}
	}
	record.printf("can't run: the array is not done, and a machine was there")
	return couldNot
}
