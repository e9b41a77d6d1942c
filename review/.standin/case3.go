package main

import "time"

// Times of case 3.
const (
	// waitWithRoom is how long the array waits while a machine has room for it.
	waitWithRoom = 92 * time.Second
	// arrayLimit bounds the wait for the array, from its acceptance.
	arrayLimit = 114 * time.Second
)

// gangThatFitsNowhere submits an array of one task, and right after it a gang of the same team that
// needs four machines in one zone, where the cloud has three left, all in one zone. Without trouble there is no gang.
func gangThatFitsNowhere(record *recorder, trouble bool) int {
	s := aarenfeld()
	s.capacity = 3
	d, err := newDeployment(record, s)
	if err != nil {
		record.printf("can't run: %v", err)
		return couldNot
	}
	defer d.close()
	d.cloud.onlySite = s.zones[0]
	if !d.startAll(15 * time.Second) {
		return couldNot
	}
	array := &jobSpec{ID: "req-000001", Lane: "billing-recon", Owner: "netzbetrieb", Shape: "sweep", Urgency: "standard", Parts: 1, CPUs: 4, RAM: 29,
		Bundle: "img-1", ImageGB: 0.5, ExpectedS: 25}
	gang := &jobSpec{ID: "req-000002", Lane: "grid-balance", Owner: "netzbetrieb", Shape: "ensemble", Urgency: "standard", Parts: 4, CPUs: 4, RAM: 6.4,
		Bundle: "img-2", ImageGB: 0.5, SamePlace: true, ExpectedS: 50, SnapshotEvery: 20, SnapshotS: 2}
	if !d.users.submit(array, 5*time.Second) || trouble && !d.users.submit(gang, 20*time.Second) {
		record.printf("can't run: a job was not accepted")
		return couldNot
	}
	accepted := time.Now()
	roomSince := map[string]time.Time{} // by machine: since when it has been up and empty
	for i := 0; time.Since(accepted) < arrayLimit; i++ {
		time.Sleep(time.Second)
		_, state := d.users.poll(i, array.ID)
		longest, name := time.Duration(0), ""
		empty := map[string]time.Time{}
		for _, w := range d.cloud.all() {
			if !w.isUp() || !w.empty() {
				continue
			}
			empty[w.name] = time.Now()
			if since, before := roomSince[w.name]; before {
				empty[w.name] = since
			}
			if room := time.Since(empty[w.name]); room > longest {
				longest, name = room, w.name
			}
		}
		roomSince = empty
		record.printf("%3.0f s: the array is %s; %d machines, of which %d are up and empty, %s for %.0f s; tasks on machines: %d", time.Since(accepted).Seconds(),
			state.Status, len(d.cloud.all()), len(empty), name, longest.Seconds(), d.checker.onMachines())
		if state.Status == "done" {
			record.printf("held: the array is done after %.0f s", time.Since(accepted).Seconds())
			return held
		}
		if longest > waitWithRoom && d.checker.startsOf(array.ID, 1) == 0 {
			record.printf("broken: the accepted array has waited for %.0f s while machine %s had room for it and nothing of its team ran", longest.Seconds(), name)
			return broken
		}
	}
	record.printf("can't run: the array is not done, and there was no machine with room for it for long enough")
	return couldNot
}

// empty reports whether nothing is on a machine.
func (w *worker) empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		if t.status != "exited" {
			return false
		}
	}
	return true
}
