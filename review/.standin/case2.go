package main

import (
	"fmt"
	"time"
)

// Times of case 2, counted from the acceptance of the array.
const (
	// smallTaskRun is how long a task of the array runs: longer than two leases.
	smallTaskRun = 36 * time.Second
	// smallTaskWait is when the array must be done.
	smallTaskWait = 85 * time.Second
)

// manySmallTasks submits an array of many small tasks, all of which fit on the one machine that
// there is, beside a service. Without trouble the array has a tenth of the tasks.
func manySmallTasks(record *recorder, trouble bool) int {
	s := kowhai()
	s.types, s.capacity = s.types[2:], 1 // one moa
	d, err := newDeployment(record, s)
	if err != nil {
		record.printf("can't run: %v", err)
		return couldNot
	}
	defer d.close()
	d.checker.quiet = true
	if !d.startAll(15 * time.Second) {
		return couldNot
	}
	portal := sweep("req-000001", 1, 1, 3.2)
	portal.Lane, portal.Shape, portal.Urgency, portal.Standby, portal.ExpectedS = "portal-web", "daemon", "prod", false, 0
	portal.Kits = []string{"moa"}
	array := sweep("req-000002", 240, 0.025, 0.2)
	array.Kits, array.Standby, array.ExpectedS = []string{"moa"}, false, smallTaskRun.Seconds()
	if trouble {
		array.Parts = 2400
	}
	if !d.users.submit(portal, 0) || !d.users.submit(array, smallTaskRun) {
		record.printf("can't run: a job was not accepted")
		return couldNot
	}
	accepted := time.Now()
	var state jobState
	for i := 0; time.Since(accepted) < smallTaskWait && state.Status != "done"; i++ {
		time.Sleep(5 * time.Second)
		_, state = d.users.poll(i, array.ID)
		for _, w := range d.cloud.all() {
			record.printf("%3.0f s: array %s, %d tasks completed, %d starts, portal started %d times; %s", time.Since(accepted).Seconds(), state.Status,
				d.checker.doneOf(array.ID, array.Parts), d.checker.startsOf(array.ID, array.Parts), d.checker.startsOf(portal.ID, 1), w.summary())
		}
	}
	machines := d.cloud.all()
	for i, n := range d.nodes {
		if !d.running(i) {
			record.printf("controller %s has ended", n.name)
		}
	}
	switch {
	case state.Status == "done":
		record.printf("held: the array is done after %.0f s", time.Since(accepted).Seconds())
		return held
	case len(machines) == 0 || machines[0].answered() == 0:
		record.printf("can't run: there was no machine")
		return couldNot
	default:
		record.printf("broken: the accepted array of %d tasks of %.0f s is not done after %.0f s; its machine has room for all of them",
			array.Parts, smallTaskRun.Seconds(), time.Since(accepted).Seconds())
		return broken
	}
}

// summary says how the reports of a machine were answered, and what the lease's end has cost.
func (w *worker) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("machine %s: %d tasks, answers to reports %v, largest report %d bytes in CBOR and %d in JSON, session %d, %d tasks killed by its lease",
		w.name, len(w.tasks), w.reports, w.largestCBOR, w.largest, w.shift, w.lost)
}

// answered returns how many reports of a machine were answered with 200.
func (w *worker) answered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports[200]
}
