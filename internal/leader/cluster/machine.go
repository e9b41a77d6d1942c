package cluster

import (
	"slices"
	"time"

	"lilaclead/internal/leader/detector"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Machine is what the term knows of one machine.
type Machine struct {
	ID wire.MachineID
	MachineAttributes
	AgentProgress
	ContactTimes
	Provisioning
	DrainState
	CommandDelivery
	MachineFailures

	// Tasks are the attempts that may be on the machine, kept by Chunk.Add and
	// Attempt.Detach; usedResources is what they take.
	Tasks         map[wire.TaskID]*Attempt
	usedResources placement.Resources
	// OrphanTasks are tasks in its last heartbeat that this term has no such attempt of.
	OrphanTasks map[wire.TaskID]bool
	Images      ImageCache
	// Reservations are the scheduler's.
	Reservations []Reservation
	LastUsedAt   time.Time // when a task was last on it
}

// MachineAttributes is what a machine is and where it can be reached, by its last
// heartbeat. Until the first one it is what was asked of the cloud, or the machine list.
type MachineAttributes struct {
	Addr        string
	MachineType wire.MachineType
	Zone        wire.Zone
	Spot        bool
}

// AgentProgress is how far a machine's agent has come by its last heartbeat. Reconciliation
// writes it.
type AgentProgress struct {
	Epoch       wire.AgentEpoch
	Sequence    wire.Sequence
	Token       wire.FencingToken // the highest that it has shown
	TokenSeenAt time.Time         // when it first showed a token of this term
	EpochSince  time.Time         // when its epoch became known
	// Restarted: the machine restarted, and its agent counts from the start again, so that
	// its heartbeats can't be told from late copies. It is scaled in.
	Restarted bool
}

// ContactTimes is when and by which way a machine was last in contact. Reconciliation
// writes it, and the liveness monitor the time of verification.
type ContactTimes struct {
	FirstHeartbeatAt   time.Time // first heartbeat in this term
	DirectHeartbeatAt  time.Time // last heartbeat that the agent sent to this node
	RelayedHeartbeatAt time.Time // last heartbeat through another node
	RelayedOnly        bool      // the last heartbeat came through another node
	LastMessageAt      time.Time // last message from it: a heartbeat, or the answer to a command
	LastReplyAt        time.Time // last reply to a heartbeat of it
	// HeartbeatsMissingSince is since when it only answers direct commands; zero: it sends
	// heartbeats.
	HeartbeatsMissingSince time.Time
	// LastVerifiedAt is when it was last probed directly because of what its heartbeats
	// show, for instance one that is not newer than what is known.
	LastVerifiedAt time.Time
}

// Provisioning is the machine in the cloud's view. The autoscaler and the inventory of
// machine lists write it; reconciliation ends Booting and takes in spot notices.
type Provisioning struct {
	Booting       bool      // it has never sent a heartbeat, as far as is known
	RequestedAt   time.Time // when it was asked of the cloud
	ListedAt      time.Time // when a list last had it; else when it became known
	FailedInCloud bool      // the list has it as stopped by itself
	ReclaimAt     time.Time // when the cloud reclaims it; zero: no spot notice
}

// CommandDelivery is whether direct commands reach the machine. The dispatcher of commands,
// the term's loop and reconciliation write it.
type CommandDelivery struct {
	CommandInFlight    bool // a direct command is under way
	UnansweredCommands int  // direct commands without an answer since LastMessageAt
	RelayUnanswered    bool // the last of these went through another node, in vain too
	// UnansweredLaunch covers the launches that were never answered.
	UnansweredLaunch UnansweredCommand
	Inbound          detector.Inbound
}

// MachineFailures is what tells a faulty or slow machine from a job that fails by itself.
// Reconciliation writes it as tasks exit.
type MachineFailures struct {
	FailedJobs   map[wire.JobID]bool // jobs that failed on it since the last success
	TaskFailures int                 // of tasks since the last success
	SlowRuns     slowRunCounts
	// StartNotBefore: it refused a start, and gets no further one until then.
	StartNotBefore time.Time
}

// GetOrAddMachine returns the entry of a machine, which is made if there is none.
func (t *MachineTable) GetOrAddMachine(id wire.MachineID) *Machine {
	m := t.Machines[id]
	if m == nil {
		m = newMachine(id, time.Now())
		t.Machines[id] = m
	}
	return m
}

func newMachine(id wire.MachineID, now time.Time) *Machine {
	return &Machine{
		ID:              id,
		Tasks:           map[wire.TaskID]*Attempt{},
		OrphanTasks:     map[wire.TaskID]bool{},
		LastUsedAt:      now,
		Provisioning:    Provisioning{RequestedAt: now, ListedAt: now},
		MachineFailures: MachineFailures{FailedJobs: map[wire.JobID]bool{}},
	}
}

// addAttempt makes an attempt the one of its task on the machine.
func (m *Machine) addAttempt(a *Attempt) {
	m.Tasks[a.Task()] = a
	m.usedResources = m.usedResources.Plus(a.Resources())
}

// removeAttempt removes an attempt, unless another one of its task has taken its place.
func (m *Machine) removeAttempt(a *Attempt) {
	task := a.Task()
	if m.Tasks[task] != a {
		return
	}
	delete(m.Tasks, task)
	m.usedResources = m.usedResources.Minus(a.Resources())
	if len(m.Tasks) == 0 {
		m.usedResources = placement.Resources{} // sums of decimals drift
	}
}

// HoldsReplicas reports whether a machine holds replicas of services.
func (t *MachineTable) HoldsReplicas(m *Machine) bool {
	for _, a := range m.Tasks {
		if a.Job.Spec.IsService() {
			return true
		}
	}
	return false
}

// Zones returns the zones of the settings, in their order, then those of the machine types
// that can be scaled out and of the machines that have sent something: some of these may
// be in no settings.
func (s *State) Zones() []wire.Zone {
	zones := slices.Clone(s.Settings.Zones)
	add := func(zone wire.Zone) {
		if zone != "" && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, spec := range s.Catalog.Get() {
		for _, zone := range spec.Zones {
			add(zone)
		}
	}
	for _, zone := range s.ZoneDetector.Known() {
		add(zone)
	}
	slices.Sort(zones[len(s.Settings.Zones):])
	return zones
}
