package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// MayPreempt reports whether tasks may be preempted for the job. Arrays of standard
// priority wait for room: the work of a preempted array is mostly repeated, and what
// makes room for one delays another.
func MayPreempt(s *wire.JobSpec) bool {
	return s.IsService() || s.Priority.Rank() >= wire.PriorityUrgent.Rank()
}

// MachineAllowed reports whether the job may run on the machine at all.
func MachineAllowed(s *wire.JobSpec, m *Machine) bool {
	if m.Spot && !s.SpotAllowed {
		return false
	}
	if s.Zone != "" && s.Zone != m.Zone {
		return false
	}
	return s.MachineTypes == nil || slices.Contains(s.MachineTypes, m.Type)
}

// zoneOpen reports whether one more task of the job may start in the zone, given where
// its other tasks may be.
func zoneOpen(j *Job, zone wire.Zone) bool {
	if j.Spec.SameZone {
		for other, n := range j.TasksByZone {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return j.TasksByZone[zone] < j.Spec.MaxTasksPerZone()
}

// canLaunch reports whether one more unit of the job may be launched on the machine now.
// Headroom is not looked at.
func canLaunch(j *Job, m *Machine, unit Resources) bool {
	return unit.FitsIn(m.Free) && MachineAllowed(j.Spec, m) && zoneOpen(j, m.Zone) && !m.reservedForOthers(j, unit)
}

// allows reports whether the team's limit leaves so much more for the job.
func (t *Team) allows(j *Job, more Resources) bool {
	used := t.Used.Plus(more)
	if t.keepsReserveFrom(j) {
		used = used.Plus(t.Reserved)
	}
	return withinLimit(used.CPUs, t.Limit.CPUs) && withinLimit(used.GPUs, t.Limit.GPUs)
}

// keepsReserveFrom reports whether the job must leave alone what the team reserves for
// a gang.
func (t *Team) keepsReserveFrom(j *Job) bool {
	reservedForOther := t.ReservedFor != "" && t.ReservedFor != j.Spec.ID
	return reservedForOther && !j.Spec.IsService() && j.Spec.Priority.Rank() <= t.ReservedRank
}

func withinLimit(used, limit float64) bool { return limit == 0 || used <= limit+wire.AmountTolerance }

// endsInTime reports whether the task is worth waiting for: it is expected to end by
// itself within the job's patience. That takes no permission, whatever its priority.
func endsInTime(j *Job, v *Victim) bool {
	return j.PreemptionDelaySeconds > 0 && v.RemainingSeconds <= j.PreemptionDelaySeconds
}

// mayPreempt reports whether the task may be preempted for the job: its priority is
// lower, or it runs beyond its team's guaranteed quota and the job is a service of
// another team within its own.
func mayPreempt(j *Job, v *Victim) bool {
	if !MayPreempt(j.Spec) {
		return false
	}
	return v.Rank < j.Spec.Priority.Rank() || mayReclaimQuota(j, v)
}

func mayReclaimQuota(j *Job, v *Victim) bool {
	return j.Spec.IsService() && j.WithinGuarantee && v.BeyondGuarantee && v.Team != j.Spec.Team
}

// mustStartSoon reports whether the job is a gang that may preempt and can still start
// in time.
func mustStartSoon(j *Job) bool {
	return j.Spec.IsGang() && MayPreempt(j.Spec) && j.StartSlackSeconds > 0
}

// savesTooLong reports whether the task would still be saving a checkpoint when a gang
// that must start soon should have started. (Urgent gangs with an objective of 2 s
// preempted tasks of the lowest priority, which take 3 s to save, beside others that
// would have ended at once.)
func savesTooLong(j *Job, v *Victim) bool {
	return mustStartSoon(j) && v.CheckpointSeconds > j.StartSlackSeconds
}
