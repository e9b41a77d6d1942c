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
			u := use.used[j.spec.Team]
			use.used[j.spec.Team] = TeamLimit{u.CPUs + j.spec.CPUs, u.GPUs + j.spec.GPUs}
		}
	}
	return use
}

// ObserveRoom looks for jobs that are left waiting beside machines they could use.
// While there are faults no spell counts.
func (c *Checker) ObserveRoom(rooms []MachineRoom, now time.Time) {
	c.observeTime(now)
	calm := c.faultsOverFor(now, 0)
	use := c.useOf(rooms)
	for id, j := range c.jobs {
		mine := use.zones[id]
		taken, zones := len(j.done), map[wire.Zone]int{}
		for i, z := range mine {
			zones[z]++
			if !j.done[i] {
				taken++
			}
		}
		startedMore := len(mine) > j.waits.onMachines
		j.waits.onMachines = len(mine)
		// What completed may have been lost on its way, with its machine: then its
		// user is told that it goes on, and it waits to be started again.
		lost := len(mine) == 0 && !j.notDoneToldAt.IsZero() && now.Sub(j.notDoneToldAt) < 15*time.Second
		all := taken >= j.spec.Tasks && !lost
		if j.spec.IsGang() && (len(mine) > 0 || !gangFits(rooms, &j.spec, j.waits.failed)) {
			j.waits.end() // what is left of its last attempt goes first
			continue
		}
		if !calm || !j.accepted || j.cancelRequested || j.finalStatus != "" || all || startedMore || c.atLimit(&j.spec, use.used[j.spec.Team]) {
			j.waits.end()
			continue
		}
		c.checkUsableMachines(j, rooms, zones, taken, now)
	}
}

// atLimit reports whether the next task of a job, or all of a gang, would bring its
// team over its limit.
func (c *Checker) atLimit(s *wire.JobSpec, used TeamLimit) bool {
	limit, more := c.Limits[s.Team], 1.0
	if s.IsGang() {
		more = float64(s.Tasks)
	}
	return limit.CPUs > 0 && used.CPUs+more*s.CPUs > limit.CPUs+wire.AmountTolerance || limit.GPUs > 0 && used.GPUs+more*s.GPUs > limit.GPUs+wire.AmountTolerance
}

// checkUsableMachines notes which machines a waiting job could use, and a violation
// when it could use one for too long.
func (c *Checker) checkUsableMachines(j *jobHistory, rooms []MachineRoom, zones map[wire.Zone]int, taken int, now time.Time) {
	could := map[wire.MachineID]time.Time{}
	for i := range rooms {
		r := &rooms[i]
		if !r.Usable || j.waits.failed[r.Machine] || !r.takes(&j.spec, zones) {
			continue
		}
		since, known := j.waits.since[r.Machine]
		if !known {
			since = now
		}
		could[r.Machine] = since
		if now.Sub(since) >= longestWait && !j.waits.violationRecorded {
			j.waits.violationRecorded = true
			c.violated(now, LeftWaiting, "%s with %d of %d tasks waits beside %s", j.spec.ID, taken, j.spec.Tasks, r.Machine)
		}
	}
	j.waits.since = could
}

// gangFits reports whether all tasks of a gang would fit on the open machines.
func gangFits(rooms []MachineRoom, s *wire.JobSpec, not map[wire.MachineID]bool) bool {
	zones := map[wire.Zone]int{}
	for i := range rooms {
		r := rooms[i]
		for n := 0; r.Usable && !not[r.Machine] && n < s.Tasks && r.takes(s, nil); n++ {
			r.CPUs, r.GPUs, r.MemoryGB = r.CPUs-s.CPUs, r.GPUs-s.GPUs, r.MemoryGB-s.MemoryGB
			zones[r.Zone]++
		}
	}
	all := 0
	for _, n := range zones {
		if s.SameZone && n >= s.Tasks {
			return true
		}
		if s.Spread {
			n = min(n, s.MaxTasksPerZone())
		}
		all += n
	}
	return !s.SameZone && all >= s.Tasks
}

// takes reports whether the machine can take one more task of a job whose tasks
// are in certain zones.
func (r *MachineRoom) takes(s *wire.JobSpec, zones map[wire.Zone]int) bool {
	if r.Spot && !s.SpotAllowed || s.Zone != "" && s.Zone != r.Zone || s.MachineTypes != nil && !slices.Contains(s.MachineTypes, r.Type) {
		return false
	}
	if s.SameZone && len(zones) > 0 && (len(zones) > 1 || zones[r.Zone] == 0) || s.Spread && zones[r.Zone] >= (s.Tasks+1)/2 {
		return false
	}
	return s.CPUs <= r.CPUs+wire.AmountTolerance && s.GPUs <= r.GPUs+wire.AmountTolerance && s.MemoryGB <= r.MemoryGB+wire.AmountTolerance && s.ImageGB <= r.DiskGB+wire.AmountTolerance
}
