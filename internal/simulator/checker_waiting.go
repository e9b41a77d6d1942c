package simulator

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// longestWait is how long a job may be left waiting while there is no fault.
const longestWait = 90 * time.Second

// MachineCapacity is a machine with its free capacity and its tasks, which include those whose
// image is being fetched.
type MachineCapacity struct {
	Place
	Usable   bool    // up, not faulty, and without a spot notice
	CPUs     float64 // free
	GPUs     float64 // free
	MemoryGB float64 // free
	Tasks    []wire.TaskID
	DiskGB   float64 // of the whole machine
}

// waitHistory is what the checker records of a job that waits for machines.
type waitHistory struct {
	since             map[wire.MachineID]time.Time // since when the job could have used each machine
	failed            map[wire.MachineID]bool      // machines on which a task of the job failed
	onMachines        int                          // number of its tasks on machines at the last observation
	violationRecorded bool
}

// end ends the period in which the job is left waiting.
func (w *waitHistory) end() { w.since = nil }

// capacityUse is the capacity that jobs and teams use at one observation.
type capacityUse struct {
	zones map[wire.JobID]map[int]wire.Zone // by job and task index: zones of the tasks on machines
	used  map[wire.TeamID]TeamLimit
}

// useOf sums up the tasks on the machines by job and by team.
func (c *Checker) useOf(machines []MachineCapacity) capacityUse {
	use := capacityUse{map[wire.JobID]map[int]wire.Zone{}, map[wire.TeamID]TeamLimit{}}
	for i := range machines {
		for _, t := range machines[i].Tasks {
			j := c.jobs[t.Job]
			if j == nil {
				continue
			}
			if use.zones[t.Job] == nil {
				use.zones[t.Job] = map[int]wire.Zone{}
			}
			use.zones[t.Job][t.Index] = machines[i].Zone
			used := use.used[j.spec.Team]
			use.used[j.spec.Team] = TeamLimit{used.CPUs + j.spec.CPUs, used.GPUs + j.spec.GPUs}
		}
	}
	return use
}

// ObserveCapacity checks for jobs that are left waiting although there are machines that they could
// use. Waiting counts only while there is no fault.
func (c *Checker) ObserveCapacity(machines []MachineCapacity, now time.Time) {
	c.observeTime(now)
	noFault := c.faultsOverFor(now, 0)
	use := c.useOf(machines)
	for id, j := range c.jobs {
		taskZones := use.zones[id]
		placedOrDone, zones := len(j.completedTasks), map[wire.Zone]int{}
		for i, z := range taskZones {
			zones[z]++
			if !j.completedTasks[i] {
				placedOrDone++
			}
		}
		startedMore := len(taskZones) > j.waits.onMachines
		j.waits.onMachines = len(taskZones)
		// The heartbeat that reports a completion can be lost together with its machine. Users
		// are then told that the job is not over, and the task waits to be started again.
		resultsLost := len(taskZones) == 0 && !j.notDoneToldAt.IsZero() && now.Sub(j.notDoneToldAt) < 15*time.Second
		allPlaced := placedOrDone >= j.spec.Tasks && !resultsLost
		if j.spec.IsGang() && (len(taskZones) > 0 || !gangFits(machines, &j.spec, j.waits.failed)) {
			j.waits.end() // the tasks of its last attempt must leave first, or it doesn't fit
			continue
		}
		if !noFault || !j.accepted || j.cancelRequested || j.finalStatus != "" || allPlaced || startedMore || c.atLimit(&j.spec, use.used[j.spec.Team]) {
			j.waits.end()
			continue
		}
		c.checkUsableMachines(j, machines, zones, placedOrDone, now)
	}
}

// atLimit reports whether the next task of a job, or all tasks of a gang, would exceed the
// limit of its team.
func (c *Checker) atLimit(s *wire.JobSpec, used TeamLimit) bool {
	limit, tasks := c.Limits[s.Team], 1.0
	if s.IsGang() {
		tasks = float64(s.Tasks)
	}
	return limit.CPUs > 0 && used.CPUs+tasks*s.CPUs > limit.CPUs+wire.AmountTolerance || limit.GPUs > 0 && used.GPUs+tasks*s.GPUs > limit.GPUs+wire.AmountTolerance
}

// checkUsableMachines records which machines a waiting job could use, and a violation if it
// could have used one of them for longestWait.
func (c *Checker) checkUsableMachines(j *jobHistory, machines []MachineCapacity, zones map[wire.Zone]int, placedOrDone int, now time.Time) {
	usableSince := map[wire.MachineID]time.Time{}
	for i := range machines {
		machine := &machines[i]
		if !machine.Usable || j.waits.failed[machine.Machine] || !machine.fits(&j.spec, zones) {
			continue
		}
		since, known := j.waits.since[machine.Machine]
		if !known {
			since = now
		}
		usableSince[machine.Machine] = since
		if now.Sub(since) >= longestWait && !j.waits.violationRecorded {
			j.waits.violationRecorded = true
			c.violated(now, LeftWaiting, "%s with %d of %d tasks waits beside %s", j.spec.ID, placedOrDone, j.spec.Tasks, machine.Machine)
		}
	}
	j.waits.since = usableSince
}

// gangFits reports whether all tasks of a gang fit on the usable machines together, without the
// excluded ones.
func gangFits(machines []MachineCapacity, s *wire.JobSpec, excluded map[wire.MachineID]bool) bool {
	zones := map[wire.Zone]int{}
	for i := range machines {
		machine := machines[i]
		for n := 0; machine.Usable && !excluded[machine.Machine] && n < s.Tasks && machine.fits(s, nil); n++ {
			machine.CPUs, machine.GPUs, machine.MemoryGB = machine.CPUs-s.CPUs, machine.GPUs-s.GPUs, machine.MemoryGB-s.MemoryGB
			zones[machine.Zone]++
		}
	}
	total := 0
	for _, n := range zones {
		if s.SameZone && n >= s.Tasks {
			return true
		}
		if s.Spread {
			n = min(n, s.MaxTasksPerZone())
		}
		total += n
	}
	return !s.SameZone && total >= s.Tasks
}

// fits reports whether one more task of a job may and can run on the machine; zones counts
// the job's tasks on machines by zone.
func (m *MachineCapacity) fits(s *wire.JobSpec, zones map[wire.Zone]int) bool {
	if m.Spot && !s.SpotAllowed || s.Zone != "" && s.Zone != m.Zone || s.MachineTypes != nil && !slices.Contains(s.MachineTypes, m.Type) {
		return false
	}
	if s.SameZone && len(zones) > 0 && (len(zones) > 1 || zones[m.Zone] == 0) || s.Spread && zones[m.Zone] >= (s.Tasks+1)/2 {
		return false
	}
	return s.CPUs <= m.CPUs+wire.AmountTolerance && s.GPUs <= m.GPUs+wire.AmountTolerance && s.MemoryGB <= m.MemoryGB+wire.AmountTolerance && s.ImageGB <= m.DiskGB+wire.AmountTolerance
}
