package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// MayPreempt tells whether tasks may be stopped to make room for the job.
// Arrays of everyday priority wait for room: a stopped array's work is mostly
// repeated, and what makes room for one delays another.
func MayPreempt(s *wire.JobSpec) bool {
	return s.Service() || s.Priority.Rank() >= wire.PriorityUrgent.Rank()
}

// Allowed tells whether the job may run on the machine at all.
func Allowed(s *wire.JobSpec, m *Machine) bool {
	if m.Spot && !s.SpotAllowed {
		return false
	}
	if s.Zone != "" && s.Zone != m.Zone {
		return false
	}
	return s.MachineTypes == nil || slices.Contains(s.MachineTypes, m.Type)
}

// zoneOpen tells whether one more task may start in the zone, given where
// the job's other tasks may be.
func zoneOpen(j *Job, z wire.Zone) bool {
	if j.Spec.SameZone {
		for other, n := range j.TasksByZone {
			if n > 0 && other != z {
				return false
			}
		}
	}
	return j.TasksByZone[z] < j.Spec.ZoneCap()
}

// allows tells whether the team's limit allows so much more for the
// job.
func (t *Team) allows(j *Job, take Resources) bool {
	u := t.Used.Plus(take)
	if t.ReservedFor != "" && t.ReservedFor != j.Spec.ID && !j.Spec.Service() && j.Spec.Priority.Rank() <= t.ReservedRank {
		u = u.Plus(t.Reserved)
	}
	return (t.Limit.CPUs == 0 || u.CPUs <= t.Limit.CPUs+wire.Eps) &&
		(t.Limit.GPUs == 0 || u.GPUs <= t.Limit.GPUs+wire.Eps)
}

// endsInTime tells whether the task is worth waiting for: it is expected to end by
// itself within the job's patience. That needs no leave, whatever its priority.
func endsInTime(j *Job, v *Victim) bool { return j.PatienceS > 0 && v.RemainingS <= j.PatienceS }

// mayStop is the page's rule: a lower priority, or for a team's guarantee
// what another team runs beyond its own.
func mayStop(j *Job, v *Victim) bool {
	return v.Rank < j.Spec.Priority.Rank() || j.Guaranteed && v.BeyondGuarantee && v.Team != j.Spec.Team && j.Spec.Service()
}

// hurries tells whether the job is a gang that others are stopped for and that can
// still start in time.
func hurries(j *Job) bool { return j.Spec.Gang() && MayPreempt(j.Spec) && j.StartsInS > 0 }

// outlasts tells whether the task would still be saving when a gang that hurries
// should have started. (Urgent gangs with an aim of 2 s stopped tasks of the lowest priority,
// which take 3 s to save, beside others that would have ended at once.)
func outlasts(j *Job, v *Victim) bool {
	return hurries(j) && v.CheckpointS > j.StartsInS
}
