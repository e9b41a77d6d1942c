package placement

import (
	"slices"

	"lilaclead/internal/wire"
)

// MayPreempt reports whether tasks may be preempted for the job. Arrays and gangs of
// standard priority or below wait for resources: most of the work of a preempted array is
// repeated, so that preempting one array for another only moves the delay between them.
func MayPreempt(s *wire.JobSpec) bool {
	return s.IsService() || s.Priority.Rank() >= wire.PriorityUrgent.Rank()
}

// MachineAllowed reports whether the job's constraints on spot machines, zone and machine
// type allow the machine.
func MachineAllowed(s *wire.JobSpec, m *Machine) bool {
	if m.Spot && !s.SpotAllowed {
		return false
	}
	if s.Zone != "" && s.Zone != m.Zone {
		return false
	}
	return s.MachineTypes == nil || slices.Contains(s.MachineTypes, m.Type)
}

// zoneOpen reports whether one more task of the job may start in the zone, given the zones
// of its other tasks.
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
// It ignores headroom and the team's limit.
func canLaunch(j *Job, m *Machine, unit Resources) bool {
	return unit.FitsIn(m.Free) && MachineAllowed(j.Spec, m) && zoneOpen(j, m.Zone) && !m.reservedForOthers(j, unit)
}

// allows reports whether the team stays within its limit if the job gets the requested
// resources.
func (t *Team) allows(j *Job, requested Resources) bool {
	used := t.Used.Plus(requested)
	if t.withholdsReserveFrom(j) {
		used = used.Plus(t.Reserved)
	}
	return withinLimit(used.CPUs, t.Limit.CPUs) && withinLimit(used.GPUs, t.Limit.GPUs)
}

// withholdsReserveFrom reports whether the job may not use the part of the limit that the
// team reserves for a gang.
func (t *Team) withholdsReserveFrom(j *Job) bool {
	reservedForOther := t.ReservedFor != "" && t.ReservedFor != j.Spec.ID
	return reservedForOther && !j.Spec.IsService() && j.Spec.Priority.Rank() <= t.ReservedRank
}

func withinLimit(used, limit float64) bool { return limit == 0 || used <= limit+wire.AmountTolerance }

// endsInTime reports whether the task is expected to end by itself within the job's
// preemption delay. The job may wait for such a task, whatever the task's priority.
func endsInTime(j *Job, v *Victim) bool {
	return j.PreemptionDelaySeconds > 0 && v.RemainingSeconds <= j.PreemptionDelaySeconds
}

// mayPreemptVictim reports whether the task may be preempted for the job: the task has a
// lower priority, or the job's team reclaims its guaranteed quota.
func mayPreemptVictim(j *Job, v *Victim) bool {
	if !MayPreempt(j.Spec) {
		return false
	}
	return v.Rank < j.Spec.Priority.Rank() || mayReclaimQuota(j, v)
}

// mayReclaimQuota reports whether the job is a service within its team's guaranteed quota,
// and the task belongs to another team that uses more than its own.
func mayReclaimQuota(j *Job, v *Victim) bool {
	return j.Spec.IsService() && j.WithinGuarantee && v.BeyondGuarantee && v.Team != j.Spec.Team
}

// mustStartSoon reports whether the job is a gang that may preempt and can still meet its
// start objective.
func mustStartSoon(j *Job) bool {
	return j.Spec.IsGang() && MayPreempt(j.Spec) && j.StartSlackSeconds > 0
}

// checkpointsTooLong reports whether saving the task's checkpoint takes longer than a gang
// that must start soon may still wait. Without this check, urgent gangs with a start
// objective of 2 s preempt tasks of the lowest priority that take 3 s to save, although
// other tasks would stop at once.
func checkpointsTooLong(j *Job, v *Victim) bool {
	return mustStartSoon(j) && v.CheckpointSeconds > j.StartSlackSeconds
}
