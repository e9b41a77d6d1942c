package placement

import (
	"lilaclead/internal/wire"
)

// testFactors let the image count for half, and double a job's utility in a minute.
var testFactors = UtilityFactors{Preferred: 1, Fallback: 0.5, WaitDoublingSeconds: 60}

// gangSpec is a gang of the team t that must be in one zone.
func gangSpec(id wire.JobID, priority wire.Priority, tasks int, cpus float64) *wire.JobSpec {
	return &wire.JobSpec{ID: id, Team: "t", Kind: wire.KindGang, Priority: priority, Tasks: tasks, CPUs: cpus, MemoryGB: cpus, SameZone: true, SpotAllowed: true, Image: "i"}
}

// machineIn is a machine of four processors in a zone, some of them free.
func machineIn(zone wire.Zone, id wire.MachineID, freeCPUs float64, victims ...Victim) Machine {
	return Machine{ID: id, Zone: zone, Total: Resources{4, 0, 16}, Free: Resources{freeCPUs, 0, 16}, FetchGBPerSecond: 1, Victims: victims}
}

// fullSizeVictim is a task of standard priority that fills a machine.
func fullSizeVictim(index int, lostS, remainingS float64) Victim {
	return Victim{Task: wire.TaskID{Job: "req-9", Index: index}, Rank: 1, Resources: Resources{4, 0, 4}, LostWorkSeconds: lostS, RemainingSeconds: remainingS, Team: "t"}
}

// fullSizeReservation reserves a machine for a gang's task.
func fullSizeReservation(job wire.JobID, priority wire.Priority) []Reservation {
	return []Reservation{{job, priority.Rank(), Resources{4, 0, 4}}}
}

// snapshotOf is a cluster with jobs of which all tasks wait.
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
