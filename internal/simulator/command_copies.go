package simulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// CommandCopies says which direct commands the network delivers again, after the machine has
// executed and answered them.
type CommandCopies struct {
	Share    float64       // of the commands
	MinDelay time.Duration // from the answer to the first possible copy
	MaxDelay time.Duration // from the answer to the last possible copy
	Most     int           // copies of one command
}

// CopiedCommands counts the copies of direct commands that reached their machines.
type CopiedCommands struct {
	Delivered int // requests that arrived again
	Executed  int // of these, the ones whose token and epoch the machine accepted
	// AfterEnd counts the launches in delivered copies of attempts that had ended there: the
	// machine listed them as exited or no longer at all.
	AfterEnd int
	// Started counts the launches in executed copies that had an effect: the attempt had ended
	// and was forgotten, and began again.
	Started int
}

// commandCopies is the part of the simulation that delivers direct commands again. The
// simulation's lock guards it.
type commandCopies struct {
	config CommandCopies
	rng    *rand.Rand
	counts CopiedCommands
	// recorded holds the direct requests with launches that each machine has executed; nil: not
	// recorded.
	recorded map[wire.MachineID][][]byte
}

// CopyCommands makes the network deliver direct commands again from now on; the zero value ends
// it. Copies that are under way still arrive.
func (sim *Simulation) CopyCommands(copies CommandCopies) {
	set(sim, &sim.commandCopies.config, copies)
}

// CopyCommandsAtRandom makes the network deliver a share of the direct commands again, up to
// three times each, from a fifth of a second to three leases after their answer.
func (sim *Simulation) CopyCommandsAtRandom(share float64) {
	const shortestDelay, leases, mostCopies = 200 * time.Millisecond, 3, 3
	sim.CopyCommands(CommandCopies{Share: share, MinDelay: shortestDelay, MaxDelay: leases * sim.Settings.Workers.Lease.Duration(), Most: mostCopies})
}

// CopiedCommands returns what became of the copies so far.
func (sim *Simulation) CopiedCommands() CopiedCommands {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.commandCopies.counts
}

// delay draws the delay of a copy. Each factor between the shortest and the longest delay is
// equally likely, so that there are copies within a second and after a lease.
func (c *commandCopies) delay() time.Duration {
	factor := float64(c.config.MaxDelay) / float64(c.config.MinDelay)
	return time.Duration(float64(c.config.MinDelay) * math.Pow(factor, c.rng.Float64()))
}

// scheduleCopies has a request that the machine has executed and answered delivered again, if it
// has commands.
func (m *worker) scheduleCopies(raw []byte) {
	var request wire.Commands
	if wire.Decode(raw, &request) != nil || len(request.Commands) == 0 {
		return
	}
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	copies := &m.sim.commandCopies
	if copies.recorded != nil && hasLaunch(request.Commands) {
		copies.recorded[m.id] = append(copies.recorded[m.id], raw)
	}
	if copies.config.Share == 0 || copies.rng.Float64() >= copies.config.Share {
		return
	}
	for range 1 + copies.rng.IntN(copies.config.Most) {
		delay := copies.delay()
		m.sim.spawn(func() {
			sleep(m.ctx, delay)
			m.deliverCopy(raw)
		})
	}
}

// RecordLaunches records the direct requests with launches that machines execute from now on, for
// DeliverRecordedLaunches.
func (sim *Simulation) RecordLaunches() {
	set(sim, &sim.commandCopies.recorded, map[wire.MachineID][][]byte{})
}

// DeliverRecordedLaunches delivers copies of all recorded requests of a machine, in the order in which
// it executed them, and returns their number.
func (sim *Simulation) DeliverRecordedLaunches(id wire.MachineID) int {
	sim.mu.Lock()
	m, recorded := sim.machines[id], sim.commandCopies.recorded[id]
	sim.mu.Unlock()
	if m == nil {
		return 0
	}
	for _, raw := range recorded {
		m.deliverCopy(raw)
	}
	return len(recorded)
}

func hasLaunch(commands []wire.Command) bool {
	return slices.ContainsFunc(commands, func(c wire.Command) bool { return c.Verb == wire.VerbLaunch })
}

// deliverCopy has the machine handle a copy of a request as soon as it is awake. Nobody waits for
// the answer.
func (m *worker) deliverCopy(raw []byte) {
	m.awaitAwake(m.ctx)
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	if m.removed || m.ctx.Err() != nil {
		return
	}
	var request wire.Commands
	if wire.Decode(raw, &request) != nil {
		return
	}
	accepted := m.accepts(&request)
	counts := &m.sim.commandCopies.counts
	counts.Delivered++
	if accepted {
		counts.Executed++
	}
	for _, command := range request.Commands {
		if command.Verb == wire.VerbLaunch {
			m.countCopiedLaunch(counts, command, accepted)
		}
	}
	if accepted {
		m.observeToken(request.Token)
		m.execute(request.Commands)
	}
	m.sequence++
}

// countCopiedLaunch counts a launch in a copy that is about to be executed, if it is accepted; the
// caller holds the lock.
func (m *worker) countCopiedLaunch(counts *CopiedCommands, command wire.Command, accepted bool) {
	task, err := wire.ParseTaskID(command.Task)
	if err != nil {
		return
	}
	run := m.tasks[task]
	listed := run != nil && run.attempt == command.Attempt
	if !listed || run.phase == wire.PhaseExited {
		counts.AfterEnd++
	}
	// The machine drops the launch while another attempt of the task runs there.
	anotherRuns := run != nil && !listed && run.phase != wire.PhaseExited
	if !accepted || listed || anotherRuns {
		return
	}
	counts.Started++
	if m.restarts == 0 { // a machine that restarted has no memory of the attempts that ended there
		m.sim.checker.AttemptRepeated(task, command.Attempt, m.id, time.Now())
	}
}
