package placement

import (
	"flag"
	"maps"
	"slices"

	"lilaclead/internal/utility"
	"lilaclead/internal/wire"
)

// The same cases every time, and enough of them that gangs meet all else.
func init() {
	flag.Set("rapid.seed", "20261201") //nolint:errcheck // rapid defines the flag
	flag.Set("rapid.checks", "2000")   //nolint:errcheck // here too
}

// slow is the plain model, straight from the design's text: again and again it
// evaluates the tree of every waiting job for one more unit on every
// machine, over plain lists, and takes the largest gain. It returns each
// step's gain; among equals the real pass may choose freely.
func slow(s *Snapshot) (gains []float64, starts map[int]int) {
	starts = map[int]int{}
	left := make([]int, len(s.Jobs))
	for i := range s.Jobs {
		left[i] = s.Jobs[i].PendingTasks
	}
	for {
		best, bestJob, bestMachine := 0.0, -1, -1
		var gangMachines []int // where all of a gang goes
		for job := range s.Jobs {
			if j := &s.Jobs[job]; j.Spec.IsGang() {
				if left[job] != j.Spec.Tasks || left[job] == 0 {
					continue
				}
				if u, where := slowGang(s, job); where != nil {
					if g := u * j.Weight * (1 + j.WaitedSeconds/max(1, s.Factors.WaitDoublingSeconds)); g > best+1e-12 {
						best, bestJob, gangMachines = g, job, where
					}
				}
				continue
			}
			for machine := range s.Machines {
				if left[job] == 0 || !legal(s, job, machine) {
					continue
				}
				j, m := &s.Jobs[job], &s.Machines[machine]
				class := withoutImage
				if m.Images[j.Spec.Image] == ImagePresent {
					class = withImage
				}
				u := taskTree(s.Factors).Value(utility.Grant{class: 1})
				if g := u * j.Weight * (1 + j.WaitedSeconds/max(1, s.Factors.WaitDoublingSeconds)); g > best+1e-12 {
					best, bestJob, bestMachine, gangMachines = g, job, machine, nil
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
			left[bestJob] = 0
			starts[bestJob] += len(gangMachines)
			gains = append(gains, best)
			continue
		}
		modelLaunch(s, bestJob, bestMachine)
		left[bestJob]--
		starts[bestJob]++
		gains = append(gains, best)
	}
}

// slowGang evaluates the tree of a gang for all that can be had at once: the
// machines with its image alone, then all, each of one zone where the job wants
// that, one unit after the other until a unit is illegal. It returns the utility
// of a unit, and where they go; nil if not all of it fits.
func slowGang(s *Snapshot, job int) (unit float64, where []int) {
	n := s.Jobs[job].Spec.Tasks
	if spec := s.Jobs[job].Spec; s.Teams[spec.Team].Limit.CPUs > 0 && s.Teams[spec.Team].Used.CPUs+float64(n)*spec.CPUs > s.Teams[spec.Team].Limit.CPUs+wire.AmountTolerance {
		return 0, nil
	}
	for _, class := range []utility.Class{withImage, withoutImage} {
		for _, z := range []wire.Zone{"a", "b", ""} {
			if (z == "") == s.Jobs[job].Spec.SameZone {
				continue
			}
			here := clone(s)
			var got []int
			for machine := range here.Machines {
				m := &here.Machines[machine]
				if z != "" && m.Zone != z || class == withImage && m.Images[s.Jobs[job].Spec.Image] != ImagePresent {
					continue
				}
				for len(got) < n && legal(here, job, machine) {
					modelLaunch(here, job, machine)
					got = append(got, machine)
				}
			}
			if len(got) < n {
				continue
			}
			if u := gangTree(s.Factors, n).Value(utility.Grant{class: n}) / float64(n); u > unit {
				unit, where = u, got
			}
		}
	}
	return unit, where
}

// legal is the hard constraints, written out once more.
func legal(s *Snapshot, job, machine int) bool {
	j, m := &s.Jobs[job], &s.Machines[machine]
	spec := j.Spec
	team := s.Teams[spec.Team]
	if team.Limit.CPUs > 0 && team.Used.CPUs+spec.CPUs > team.Limit.CPUs+wire.AmountTolerance {
		return false
	}
	// Nothing takes the room that is reserved for others of its rank or above.
	left, reserved := m.Free.Plus(m.StoppingResources), false
	for _, r := range m.Reservations {
		if r.Job != spec.ID && r.Rank >= spec.Priority.Rank() {
			left, reserved = left.Minus(r.Resources), true
		}
	}
	if reserved && (spec.CPUs > left.CPUs+wire.AmountTolerance || spec.MemoryGB > left.MemoryGB+wire.AmountTolerance) {
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
		for zone, n := range j.TasksByZone {
			if zone != m.Zone && n > 0 {
				return false
			}
		}
	}
	return true
}

// modelLaunch takes the room of a unit and its reservation.
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

// clone copies all that a scheduling cycle changes.
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
	for k, v := range s.Teams {
		t := *v
		c.Teams[k] = &t
	}
	return &c
}
