package simulator

import (
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// longestWait is how long a job may be left waiting when all is calm.
const longestWait = 90 * time.Second

// MachineRoom is a machine that exists, with what is on it or on its way there.
type MachineRoom struct {
	Place
	Usable   bool // sound, up, and not about to be taken
	CPUs     float64
	GPUs     float64
	MemoryGB float64 // these three are free
	Tasks    []wire.TaskID
	DiskGB   float64
}

// waitHistory is what the checker knows of a job that waits.
type waitHistory struct {
	since             map[wire.MachineID]time.Time // since when it could have used a machine
	failed            map[wire.MachineID]bool      // where a task of it failed
	onMachines        int                          // of its tasks, at the last look
	violationRecorded bool
}

// end ends the spell in which the job is left waiting.
func (w *waitHistory) end() { w.since = nil }

// capacityUse is what an observation shows of jobs and teams.
type capacityUse struct {
	zones map[wire.JobID]map[int]wire.Zone // the zones of the tasks on machines
	used  map[wire.TeamID]TeamLimit
}

// useOf sums up what is on the machines.
func (c *Checker) useOf(rooms []MachineRoom) capacityUse {
	use := capacityUse{map[wire.JobID]map[int]wire.Zone{}, map[wire.TeamID]TeamLimit{}}
	for i := range rooms {
		for _, t := range rooms[i].Tasks {
			j := c.jobs[t.Job]
			if j == nil {
				continue
			}
			if use.zones[t.Job] == nil {
				use.zones[t.Job] = map[int]wire.Zone{}
			}
			use.zones[t.Job][t.Index] = rooms[i].Zone
			used := use.used[j.spec.Team]
			use.used[j.spec.Team] = TeamLimit{used.CPUs + j.spec.CPUs, used.GPUs + j.spec.GPUs}
		}
	}
	return use
}

// ObserveRoom looks for jobs that are left waiting beside machines they could use.
// While there are faults no spell counts.
func (c *Checker) ObserveRoom(rooms []MachineRoom, now time.Time) {
	c.observeTime(now)
	noFault := c.faultsOverFor(now, 0)
	use := c.useOf(rooms)
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
		// What completed may have been lost on its way, with its machine: then its
		// user is told that it goes on, and it waits to be started again.
		resultsLost := len(taskZones) == 0 && !j.notDoneToldAt.IsZero() && now.Sub(j.notDoneToldAt) < 15*time.Second
		allPlaced := placedOrDone >= j.spec.Tasks && !resultsLost
		if j.spec.IsGang() && (len(taskZones) > 0 || !gangFits(rooms, &j.spec, j.waits.failed)) {
			j.waits.end() // what is left of its last attempt goes first
			continue
		}
		if !noFault || !j.accepted || j.cancelRequested || j.finalStatus != "" || allPlaced || startedMore || c.atLimit(&j.spec, use.used[j.spec.Team]) {
			j.waits.end()
			continue
		}
		c.checkUsableMachines(j, rooms, zones, placedOrDone, now)
	}
}

// atLimit reports whether the next task of a job, or all of a gang, would bring its
// team over its limit.
func (c *Checker) atLimit(s *wire.JobSpec, used TeamLimit) bool {
	limit, tasks := c.Limits[s.Team], 1.0
	if s.IsGang() {
		tasks = float64(s.Tasks)
	}
	return limit.CPUs > 0 && used.CPUs+tasks*s.CPUs > limit.CPUs+wire.AmountTolerance || limit.GPUs > 0 && used.GPUs+tasks*s.GPUs > limit.GPUs+wire.AmountTolerance
}

// checkUsableMachines notes which machines a waiting job could use, and a violation
// when it could use one for too long.
func (c *Checker) checkUsableMachines(j *jobHistory, rooms []MachineRoom, zones map[wire.Zone]int, placedOrDone int, now time.Time) {
	usableSince := map[wire.MachineID]time.Time{}
	for i := range rooms {
		room := &rooms[i]
		if !room.Usable || j.waits.failed[room.Machine] || !room.hasRoomFor(&j.spec, zones) {
			continue
		}
		since, known := j.waits.since[room.Machine]
		if !known {
			since = now
		}
		usableSince[room.Machine] = since
		if now.Sub(since) >= longestWait && !j.waits.violationRecorded {
			j.waits.violationRecorded = true
			c.violated(now, LeftWaiting, "%s with %d of %d tasks waits beside %s", j.spec.ID, placedOrDone, j.spec.Tasks, room.Machine)
		}
	}
	j.waits.since = usableSince
}

// gangFits reports whether all tasks of a gang would fit on the open machines.
func gangFits(rooms []MachineRoom, s *wire.JobSpec, excluded map[wire.MachineID]bool) bool {
	zones := map[wire.Zone]int{}
	for i := range rooms {
		room := rooms[i]
		for n := 0; room.Usable && !excluded[room.Machine] && n < s.Tasks && room.hasRoomFor(s, nil); n++ {
			room.CPUs, room.GPUs, room.MemoryGB = room.CPUs-s.CPUs, room.GPUs-s.GPUs, room.MemoryGB-s.MemoryGB
			zones[room.Zone]++
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

// hasRoomFor reports whether the machine can take one more task of a job whose tasks
// are in certain zones.
func (r *MachineRoom) hasRoomFor(s *wire.JobSpec, zones map[wire.Zone]int) bool {
	if r.Spot && !s.SpotAllowed || s.Zone != "" && s.Zone != r.Zone || s.MachineTypes != nil && !slices.Contains(s.MachineTypes, r.Type) {
		return false
	}
	if s.SameZone && len(zones) > 0 && (len(zones) > 1 || zones[r.Zone] == 0) || s.Spread && zones[r.Zone] >= (s.Tasks+1)/2 {
		return false
	}
	return s.CPUs <= r.CPUs+wire.AmountTolerance && s.GPUs <= r.GPUs+wire.AmountTolerance && s.MemoryGB <= r.MemoryGB+wire.AmountTolerance && s.ImageGB <= r.DiskGB+wire.AmountTolerance
}
