// Package placement decides which task runs on which machine: it takes a snapshot of
// machines and waiting jobs and returns launches, preemptions and reservations. It is
// pure: it reads no clock and does no I/O.
//
// Each job has a utility tree, machines fall into equivalence classes, and a greedy pass
// grants one unit after another to the job that gains most utility per unit, raised by
// the time it has waited. What then still waits with a higher priority may preempt
// other tasks: room for it is reserved until they have ended.
package placement

import (
	"lilaclead/internal/wire"
)

// Start is a launch: one unit of Jobs[JobIndex] on Machines[MachineIndex].
type Start struct{ JobIndex, MachineIndex int }

// Result is the outcome of a scheduling cycle.
type Result struct {
	Starts       []Start
	Preemptions  []Victim
	Reservations []MachineReservation
}

// MachineReservation is a reservation on a machine.
type MachineReservation struct {
	Machine wire.MachineID
	Reservation
	// AwaitedTasks will end by themselves in time.
	AwaitedTasks []wire.TaskID
}

// Place runs one scheduling cycle. It works on the snapshot.
func Place(s *Snapshot) Result {
	keepServiceHeadroom(s)
	for _, spec := range s.ExpectedGangs {
		keepGangHeadroom(s, spec)
	}
	pass := newPass(s)
	pass.run()
	result := Result{Starts: pass.starts}
	if s.AllowPreemption {
		result.Preemptions, result.Reservations = preempt(s)
	}
	return result
}
