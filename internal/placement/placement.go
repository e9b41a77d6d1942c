// Package placement decides which task runs on which machine. It takes a snapshot of
// machines and waiting jobs and returns launches, preemptions and reservations. It reads
// no clock and does no I/O.
//
// Each job has a utility tree, and machines fall into equivalence classes. A greedy pass
// grants one unit after another to the job that gains most utility per unit. A job's
// utility grows with its waiting time. Jobs of a higher priority that the pass could not
// start may preempt other tasks: resources are reserved for them until those tasks have ended.
package placement

import (
	"lilaclead/internal/wire"
)

// Start is a launch of one unit of Jobs[JobIndex] on Machines[MachineIndex].
type Start struct{ JobIndex, MachineIndex int }

// Result says what a scheduling cycle launches, preempts and reserves.
type Result struct {
	Starts       []Start
	Preemptions  []Victim
	Reservations []MachineReservation
}

// MachineReservation is a new reservation of resources on a machine.
type MachineReservation struct {
	Machine wire.MachineID
	Reservation
	// AwaitedTasks occupy some of the reserved resources. They are not preempted, because they are
	// expected to end by themselves within the job's preemption delay.
	AwaitedTasks []wire.TaskID
}

// Place runs one scheduling cycle. It modifies the snapshot.
func Place(s *Snapshot) Result {
	markServiceHeadroom(s)
	for _, spec := range s.ExpectedGangs {
		markGangHeadroom(s, spec)
	}
	pass := newPass(s)
	pass.run()
	result := Result{Starts: pass.starts}
	if s.AllowPreemption {
		result.Preemptions, result.Reservations = preempt(s)
	}
	return result
}
