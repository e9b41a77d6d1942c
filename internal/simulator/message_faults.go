package simulator

import (
	"slices"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// CommandDelay is how long the network holds up what goes between a machine and the
// node that commands it.
type CommandDelay struct {
	Command      time.Duration // a direct command
	Answer       time.Duration // the answer to one
	ReportAnswer time.Duration // the answer to a report
}

// DelayCommands holds up commands and answers of all machines from now on; a
// zero lag ends it.
func (sim *Simulation) DelayCommands(l CommandDelay) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.machineFaults.lag = l
}

// lag of commands now.
func (m *worker) lag() CommandDelay {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	return m.sim.machineFaults.lag
}

// Answered is the verb under which direct commands are counted whose answers
// came late.
const Answered wire.Verb = "answered"

// LateCommands is how many direct launches or halts came after they had been held up
// or had waited for a machine that hung, how many direct commands were executed
// and answered late, and how many orders to forget were executed late.
func (sim *Simulation) LateCommands(v wire.Verb) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machineFaults.late[v]
}

// countLate counts what came late; call with the lock held.
func (sim *Simulation) countLate(since time.Time, orders []wire.Command, which ...wire.Verb) {
	if time.Since(since) < time.Second {
		return
	}
	if sim.machineFaults.late == nil {
		sim.machineFaults.late = map[wire.Verb]int{}
	}
	for _, o := range orders {
		if slices.Contains(which, o.Verb) {
			sim.machineFaults.late[o.Verb]++
		}
	}
}

// KeepReports keeps every report that is made from now on.
func (sim *Simulation) KeepReports() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.machineFaults.kept = map[wire.MachineID][]wire.Heartbeat{}
}

// KeptReports are the reports of a machine that were kept, in order.
func (sim *Simulation) KeptReports(id wire.MachineID) []wire.Heartbeat {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.machineFaults.kept[id])
}

// HoldReports holds up the reports of a machine on their way, as if each had
// been sent and not arrived. They can be handed over later.
func (sim *Simulation) HoldReports(id wire.MachineID, on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.machineFaults.held == nil {
		sim.machineFaults.held = map[wire.MachineID]bool{}
	}
	sim.machineFaults.held[id] = on
}

// DuplicateReports makes copies of a share of all reports come to all nodes again,
// between the two times after they were sent.
func (sim *Simulation) DuplicateReports(share float64, from, to time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.machineFaults.share, sim.machineFaults.after = share, [2]time.Duration{from, to}
}

// DuplicateCounts is how many copies came, and how many of them after a newer report.
func (sim *Simulation) DuplicateCounts() (all, older int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.machineFaults.copies, sim.machineFaults.older
}

// noteReport notes a report that is about to be sent and tells whether it is
// held up; call with the lock held.
func (sim *Simulation) noteReport(m *worker, rep wire.Heartbeat) bool {
	o := &sim.machineFaults
	if o.kept != nil {
		o.kept[m.id] = append(o.kept[m.id], rep)
	}
	if o.share > 0 && sim.rng.Float64() < o.share {
		after := o.after[0] + time.Duration(sim.rng.Float64()*float64(o.after[1]-o.after[0]))
		sim.spawn(func() {
			sleep(sim.ctx, after)
			sim.DeliverReports(rep)
		})
	}
	return o.held[m.id]
}

// DeliveredReport is how a node answered a report that was handed to it.
type DeliveredReport struct {
	Node   int
	Report wire.Heartbeat
	Status int
	Token  wire.FencingToken // of a 200
	Newer  bool              // the machine had made a newer message before it came
}

// DeliverReports hands reports to all nodes at once, as the network does with packets
// that it had held, and waits for the answers, which reach no worker.
func (sim *Simulation) DeliverReports(reps ...wire.Heartbeat) []DeliveredReport {
	out := make([]DeliveredReport, 0, len(reps)*len(sim.controllers))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, rep := range reps {
		sim.mu.Lock()
		sim.machineFaults.copies++
		m := sim.machines[rep.Machine]
		newer := m != nil && (m.session > rep.Epoch || m.session == rep.Epoch && m.sequence > rep.Sequence)
		if newer {
			sim.machineFaults.older++
		}
		sim.mu.Unlock()
		for i := range sim.controllers {
			wg.Go(func() {
				status, raw, _ := sim.Ask(i, "POST", "/hello", rep)
				h := DeliveredReport{Node: i, Report: rep, Status: status, Newer: newer}
				var o wire.Commands
				if status == 200 && wire.Decode(raw, &o) == nil {
					h.Token = o.Token
				}
				mu.Lock()
				out = append(out, h)
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	return out
}

// ResendLastReport takes the last report of a machine and sends copies of it to all nodes
// after the given times, whatever has become of the machine.
func (sim *Simulation) ResendLastReport(id wire.MachineID, after ...time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	m := sim.machines[id]
	if m == nil {
		return
	}
	rep := m.lastReport
	for _, d := range after {
		sim.countFault(true)
		sim.spawn(func() {
			defer sim.CountFault(false)
			sleep(sim.ctx, d)
			for i := range sim.controllers {
				sim.Ask(i, "POST", "/hello", rep)
			}
		})
	}
}
