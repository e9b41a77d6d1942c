package placement

import (
	"flag"
	"maps"
	"slices"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// The fixed seed gives the same cases in every run. There are enough cases to combine gangs
// with everything else that is drawn.
func init() {
	flag.Set("rapid.seed", "20261201") //nolint:errcheck // rapid defines the flag
	flag.Set("rapid.checks", "2000")   //nolint:errcheck // rapid defines the flag
}

// modelPass is a simple reference model of the pass. In each step it evaluates the utility
// tree of every pending job for one more unit on every machine and takes the largest gain.
// It returns the gain of each step and the number of starts of each job. Among equal gains
// the real pass may choose any.
func modelPass(s *Snapshot) (gains []float64, starts map[int]int) {
	starts = map[int]int{}
	pendingUnits := make([]int, len(s.Jobs))
	for i := range s.Jobs {
		pendingUnits[i] = s.Jobs[i].PendingTasks
	}
	for {
		best, bestJob, bestMachine := 0.0, -1, -1
		var gangMachines []int // for all units, if the best job is a gang
		for job := range s.Jobs {
			if j := &s.Jobs[job]; j.Spec.IsGang() {
				if pendingUnits[job] != j.Spec.Tasks || pendingUnits[job] == 0 {
					continue
				}
				if unitUtility, machines := modelGang(s, job); machines != nil {
					if gain := unitUtility * j.Weight * (1 + j.WaitedSeconds/max(1, s.Factors.WaitDoublingSeconds)); gain > best+1e-12 {
						best, bestJob, gangMachines = gain, job, machines
					}
				}
				continue
			}
			for machine := range s.Machines {
				if pendingUnits[job] == 0 || !modelAllows(s, job, machine) {
					continue
				}
				j, m := &s.Jobs[job], &s.Machines[machine]
				class := withoutImage
				if m.Images[j.Spec.Image] == ImagePresent {
					class = withImage
				}
				unitUtility := taskTree(s.Factors).Value(utility.Grant{class: 1})
				if gain := unitUtility * j.Weight * (1 + j.WaitedSeconds/max(1, s.Factors.WaitDoublingSeconds)); gain > best+1e-12 {
					best, bestJob, bestMachine, gangMachines = gain, job, machine, nil
				}
			}
		}
		if bestJob < 0 {
			return
		}
		if gangMachines != nil {
			for _, machine := range gangMachines {
				modelLaunch(s, bestJob, machine)
			}
			pendingUnits[bestJob] = 0
			starts[bestJob] += len(gangMachines)
			gains = append(gains, best)
			continue
		}
		modelLaunch(s, bestJob, bestMachine)
		pendingUnits[bestJob]--
		starts[bestJob]++
		gains = append(gains, best)
	}
}

// modelGang evaluates the utility tree of a gang for all its units at once. It tries only
// the machines that have its image, then all machines, and does so in each zone if the
// gang must be in one zone. On each machine it places units while modelAllows permits it.
// It returns the utility per unit and the machine of each unit, or nil if not all units
// fit.
func modelGang(s *Snapshot, job int) (unitUtility float64, machines []int) {
	units := s.Jobs[job].Spec.Tasks
	if spec := s.Jobs[job].Spec; s.Teams[spec.Team].Limit.CPUs > 0 && s.Teams[spec.Team].Used.CPUs+float64(units)*spec.CPUs > s.Teams[spec.Team].Limit.CPUs+wire.AmountTolerance {
		return 0, nil
	}
	for _, class := range []utility.Class{withImage, withoutImage} {
		for _, zone := range []wire.Zone{"a", "b", ""} {
			if (zone == "") == s.Jobs[job].Spec.SameZone {
				continue
			}
			trial := clone(s)
			var placed []int
			for machine := range trial.Machines {
				m := &trial.Machines[machine]
				if zone != "" && m.Zone != zone || class == withImage && m.Images[s.Jobs[job].Spec.Image] != ImagePresent {
					continue
				}
				for len(placed) < units && modelAllows(trial, job, machine) {
					modelLaunch(trial, job, machine)
					placed = append(placed, machine)
				}
			}
			if len(placed) < units {
				continue
			}
			if utilityOfClass := gangTree(s.Factors, units).Value(utility.Grant{class: units}) / float64(units); utilityOfClass > unitUtility {
				unitUtility, machines = utilityOfClass, placed
			}
		}
	}
	return unitUtility, machines
}

// modelAllows reports whether the hard constraints allow a unit of the job on the machine.
// It doesn't use the code under test for that.
func modelAllows(s *Snapshot, job, machine int) bool {
	j, m := &s.Jobs[job], &s.Machines[machine]
	spec := j.Spec
	team := s.Teams[spec.Team]
	if team.Limit.CPUs > 0 && team.Used.CPUs+spec.CPUs > team.Limit.CPUs+wire.AmountTolerance {
		return false
	}
	// A job may not use resources that are reserved for other jobs of its rank or above.
	available, reserved := m.Free.Plus(m.StoppingResources), false
	for _, r := range m.Reservations {
		if r.Job != spec.ID && r.Rank >= spec.Priority.Rank() {
			available, reserved = available.Minus(r.Resources), true
		}
	}
	if reserved && (spec.CPUs > available.CPUs+wire.AmountTolerance || spec.MemoryGB > available.MemoryGB+wire.AmountTolerance) {
		return false
	}
	if spec.CPUs > m.Free.CPUs+wire.AmountTolerance || spec.GPUs > m.Free.GPUs+wire.AmountTolerance || spec.MemoryGB > m.Free.MemoryGB+wire.AmountTolerance {
		return false
	}
	if m.Spot && !spec.SpotAllowed || spec.Zone != "" && spec.Zone != m.Zone || spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, m.Type) {
		return false
	}
	if spec.Spread && j.TasksByZone[m.Zone]+1 > (spec.Tasks+1)/2 {
		return false
	}
	if spec.SameZone {
		for zone, tasks := range j.TasksByZone {
			if zone != m.Zone && tasks > 0 {
				return false
			}
		}
	}
	return true
}

// modelLaunch allocates resources for a unit on the machine and consumes a reservation of its job.
func modelLaunch(s *Snapshot, job, machine int) {
	j, m := &s.Jobs[job], &s.Machines[machine]
	m.Free = m.Free.Minus(ResourcesOf(j.Spec))
	s.Teams[j.Spec.Team].Used = s.Teams[j.Spec.Team].Used.Plus(ResourcesOf(j.Spec))
	j.TasksByZone[m.Zone]++
	for i, r := range m.Reservations {
		if r.Job == j.Spec.ID {
			m.Reservations = slices.Delete(slices.Clone(m.Reservations), i, i+1)
			break
		}
	}
}

// clone copies everything that a scheduling cycle may change.
func clone(s *Snapshot) *Snapshot {
	c := *s
	c.Machines = slices.Clone(s.Machines)
	for i := range c.Machines {
		c.Machines[i].Images = maps.Clone(s.Machines[i].Images)
		c.Machines[i].Victims = slices.Clone(s.Machines[i].Victims)
		c.Machines[i].Reservations = slices.Clone(s.Machines[i].Reservations)
	}
	c.Jobs = slices.Clone(s.Jobs)
	for i := range c.Jobs {
		c.Jobs[i].TasksByZone = maps.Clone(s.Jobs[i].TasksByZone)
	}
	c.Teams = map[wire.TeamID]*Team{}
	for id, team := range s.Teams {
		teamCopy := *team
		c.Teams[id] = &teamCopy
	}
	return &c
}
