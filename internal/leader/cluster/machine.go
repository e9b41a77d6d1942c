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

	// Attempts are the attempts that may be on the machine, and usedResources is what they
	// use. Chunk.AddAttempt and Attempt.Detach update both.
	Attempts      map[wire.TaskID]*Attempt
	usedResources placement.Resources
	// OrphanTasks are the tasks that its last heartbeat lists with an attempt that this term
	// does not know.
	OrphanTasks map[wire.TaskID]bool
	// ListedExits is how many exited tasks its last heartbeat lists.
	ListedExits int
	Images      ImageCache
	// Reservations are read and written by the scheduler.
	Reservations []Reservation
	LastUsedAt   time.Time // when a task was last on it; initially when it became known
}

// MachineAttributes are the properties and the address of a machine, according to its last
// heartbeat. Until the first one they come from the request to the cloud or the machine list.
type MachineAttributes struct {
	Addr        string
	MachineType wire.MachineType
	Zone        wire.Zone
	Spot        bool
}

// AgentProgress is the position of a machine's agent according to its heartbeats.
// Reconciliation writes it.
type AgentProgress struct {
	// HeartbeatPosition is that of the newest heartbeat. Its token is the highest one that the
	// machine has shown.
	wire.HeartbeatPosition
	TokenSeenAt time.Time // when it first showed a token of this term
	EpochSince  time.Time // when its epoch became known
	// Restarted: the machine restarted and its agent counts epochs and sequences from the
	// start again, so that its heartbeats can't be told from late copies of earlier ones.
	// Such a machine is scaled in.
	Restarted bool
}

// ContactTimes is when and by which path a machine was last in contact. Reconciliation
// writes it; the liveness monitor also writes LastVerifiedAt.
type ContactTimes struct {
	FirstHeartbeatAt   time.Time // first heartbeat in this term
	DirectHeartbeatAt  time.Time // last heartbeat that the agent sent to this node
	RelayedHeartbeatAt time.Time // last heartbeat through another node
	RelayedOnly        bool      // the last heartbeat came through another node
	LastMessageAt      time.Time // last message from it: a heartbeat or the response to a command
	LastResponseAt     time.Time // last response to a heartbeat of it
	// HeartbeatsMissingSince is the time since which it has answered direct commands, but
	// sent no heartbeat; zero: its heartbeats arrive.
	HeartbeatsMissingSince time.Time
	// LastVerifiedAt is when it was last probed directly because of what its heartbeats
	// show, for instance because one was not newer than the last known one.
	LastVerifiedAt time.Time
}

// Provisioning is the state of a machine as seen by the cloud. The autoscaler and the
// inventory of machine lists write it; reconciliation clears Booting and records spot
// notices.
type Provisioning struct {
	Booting       bool      // it has never sent a heartbeat, as far as is known
	RequestedAt   time.Time // when it was requested from the cloud
	ListedAt      time.Time // when a machine list last had it; until then when it became known
	FailedInCloud bool      // a machine list shows that it stopped by itself
	ReclaimAt     time.Time // when the cloud reclaims it; zero: no spot notice
}

// CommandDelivery tracks whether direct commands reach the machine. The dispatcher of
// commands, the term's loop and reconciliation write it.
type CommandDelivery struct {
	CommandInFlight    bool // a direct command is under way
	FenceInFlight      bool // a request that fences the restarted machine is under way
	UnansweredCommands int  // direct commands without a response since LastMessageAt
	// LastRelayUnanswered: the last probe was relayed by another node and had no response.
	LastRelayUnanswered bool
	// UnansweredLaunch covers all launches that were never answered.
	UnansweredLaunch UnansweredCommand
	// directLaunches are the last direct launches of tasks of which the agent may still accept a
	// copy.
	directLaunches map[wire.TaskID]DirectLaunch
	Inbound        detector.InboundPath
}

// MachineFailures is the evidence that a machine is faulty or slow, as opposed to a job that
// fails wherever it runs. Reconciliation writes it as tasks exit.
type MachineFailures struct {
	FailedJobs     map[wire.JobID]bool // jobs that failed on it since the last success
	TaskFailures   int                 // failures of tasks since the last success
	RunSpeedCounts slowRunCounts
	// StartNotBefore: the machine refused a start, and gets no further one before this time.
	StartNotBefore time.Time
}

// GetOrAddMachine returns the entry of a machine, which it adds if there is none.
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
		Attempts:        map[wire.TaskID]*Attempt{},
		OrphanTasks:     map[wire.TaskID]bool{},
		LastUsedAt:      now,
		Provisioning:    Provisioning{RequestedAt: now, ListedAt: now},
		MachineFailures: MachineFailures{FailedJobs: map[wire.JobID]bool{}},
	}
}

// addAttempt registers an attempt as that of its task on the machine.
func (m *Machine) addAttempt(a *Attempt) {
	m.Attempts[a.Task()] = a
	m.usedResources = m.usedResources.Plus(a.Resources())
}

// removeAttempt removes an attempt, unless another attempt of the same task has replaced it.
func (m *Machine) removeAttempt(a *Attempt) {
	task := a.Task()
	if m.Attempts[task] != a {
		return
	}
	delete(m.Attempts, task)
	m.usedResources = m.usedResources.Minus(a.Resources())
	if len(m.Attempts) == 0 {
		m.usedResources = placement.Resources{} // drops the rounding errors of earlier sums
	}
}

// HoldsReplicas reports whether a machine holds replicas of services.
func (t *MachineTable) HoldsReplicas(m *Machine) bool {
	for _, a := range m.Attempts {
		if a.Job.Spec.IsService() {
			return true
		}
	}
	return false
}

// Zones returns the zones of the settings in their order. After these it returns, sorted, the
// zones in which the cloud offers machine types and those of machines that have sent
// messages, as far as the settings lack them.
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
	for _, zone := range s.ZoneDetector.KnownZones() {
		add(zone)
	}
	slices.Sort(zones[len(s.Settings.Zones):])
	return zones
}
