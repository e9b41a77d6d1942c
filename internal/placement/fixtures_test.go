package placement

import (
	"lilaclead/internal/wire"
)

// testFactors halve the utility of a machine without the image, and double a job's utility
// after a minute of waiting.
var testFactors = UtilityFactors{Preferred: 1, Fallback: 0.5, WaitDoublingSeconds: 60}

// gangSpec returns the spec of a gang of team t that must be in one zone.
func gangSpec(id wire.JobID, priority wire.Priority, tasks int, cpus float64) *wire.JobSpec {
	return &wire.JobSpec{ID: id, Team: "t", Kind: wire.KindGang, Priority: priority, Tasks: tasks, CPUs: cpus, MemoryGB: cpus, SameZone: true, SpotAllowed: true, Image: "i"}
}

// machineIn returns a machine in a zone with four CPUs, some of them free.
func machineIn(zone wire.Zone, id wire.MachineID, freeCPUs float64, victims ...Victim) Machine {
	return Machine{ID: id, Zone: zone, Total: Resources{CPUs: 4, MemoryGB: 16}, Free: Resources{CPUs: freeCPUs, MemoryGB: 16}, FetchGBPerSecond: 1, Victims: victims}
}

// fullSizeVictim returns a task of standard priority that uses all CPUs of a machine.
func fullSizeVictim(index int, lostWorkSeconds, remainingSeconds float64) Victim {
	return Victim{Task: wire.TaskID{Job: "req-9", Index: index}, Rank: 1, Resources: Resources{CPUs: 4, MemoryGB: 4}, LostWorkSeconds: lostWorkSeconds, RemainingSeconds: remainingSeconds, Team: "t"}
}

// fullSizeReservation returns a reservation of all CPUs of a machine for a gang's task.
func fullSizeReservation(job wire.JobID, priority wire.Priority) []Reservation {
	return []Reservation{{job, priority.Rank(), Resources{CPUs: 4, MemoryGB: 4}}}
}

// snapshotOf returns a cluster with jobs whose tasks are all pending.
func snapshotOf(machines []Machine, jobs ...Job) *Snapshot {
	for i := range jobs {
		jobs[i].PendingTasks, jobs[i].TasksByZone = jobs[i].Spec.Tasks, map[wire.Zone]int{}
		if jobs[i].Weight == 0 {
			jobs[i].Weight = 1
		}
	}
	return &Snapshot{Teams: map[wire.TeamID]*Team{"t": {}}, Factors: testFactors, AllowPreemption: true, Machines: machines, Jobs: jobs}
}

// startsByMachine counts the tasks that a cycle starts on each machine.
func startsByMachine(s *Snapshot) map[wire.MachineID]int {
	starts := map[wire.MachineID]int{}
	for _, start := range Place(s).Starts {
		starts[s.Machines[start.MachineIndex].ID]++
	}
	return starts
}
