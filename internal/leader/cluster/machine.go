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
	ID          wire.MachineID
	Addr        string
	MachineType wire.MachineType
	Zone        wire.Zone
	Spot        bool
	Epoch       wire.AgentEpoch
	Sequence    wire.Sequence
	Token       wire.FencingToken

	DirectHeartbeatAt      time.Time // last report that came here by itself
	RelayedHeartbeatAt     time.Time // last report through another node
	RelayedOnly            bool      // the last report came through another node
	Booting                bool      // never reported, as far as we know
	RequestedAt            time.Time
	ListedAt               time.Time // when a list last had it; else when it became known
	LastMessageAt          time.Time // last message from it
	TokenSeenAt            time.Time // when it first showed a token of this term
	LastReplyAt            time.Time // last answer to a report of it
	HeartbeatsMissingSince time.Time // since when it only answers direct commands; zero: it reports
	EpochSince             time.Time // when its session became known
	LastUsedAt             time.Time // last time that a task was on it
	FirstHeartbeatAt       time.Time // first report in this term
	FailedInCloud          bool      // the list says that it has stopped by itself

	Tasks         map[wire.Task]*Attempt
	usedResources placement.Resources // by tasks
	OrphanTasks   map[wire.Task]bool  // on it, but not ours to want there
	ReclaimAt     time.Time           // the cloud takes it then; zero: no notice
	Images        ImageCache

	UnansweredLaunch UnansweredCommand // the last launches that were never answered
	CommandInFlight  bool              // a direct command is under way
	UnansweredProbes int               // direct tries without an answer since lastMessageAt
	// relayUnanswered: the last of these went through another node, in vain too.
	RelayUnanswered bool
	LastVerifiedAt  time.Time // when it was last asked directly because of a stale report
	Restarted       bool      // it restarted, with smaller counters; to be returned
	Inbound         detector.Inbound
	DrainReason     DrainReason // why it takes nothing new; empty: it does
	ScalingIn       bool
	Cordoned        bool // see fleet.Plan
	Reservations    []Reservation
	RefusedUntil    time.Time
	FailedJobs      map[wire.JobID]bool // jobs that failed here in a row
	Failures        int
	SlowRuns        slowRunCounts
}

// GetOrAddMachine is the entry of a machine in the inventory, made if there is none.
func (s *State) GetOrAddMachine(id wire.MachineID) *Machine {
	m := s.Machines[id]
	if m == nil {
		now := time.Now()
		m = &Machine{ID: id, Tasks: map[wire.Task]*Attempt{}, OrphanTasks: map[wire.Task]bool{}, LastUsedAt: now, RequestedAt: now, ListedAt: now, FailedJobs: map[wire.JobID]bool{}}
		s.Machines[id] = m
	}
	return m
}

// UnansweredCommand is the newest direct command that was never answered.
type UnansweredCommand struct {
	Token wire.FencingToken
	Epoch wire.AgentEpoch
}

// LaunchMayArrive tells whether an unanswered launch may still reach the worker.
func (m *Machine) LaunchMayArrive(rep *wire.Heartbeat) bool {
	l := m.UnansweredLaunch
	return l.Token > 0 && rep.Token <= l.Token && rep.Epoch <= l.Epoch
}

// Zones are those of the settings, of what can be rented, and of the machines
// that have reported: some may be in no settings.
func (s *State) Zones() []wire.Zone {
	out := slices.Clone(s.Settings.Zones)
	add := func(z wire.Zone) {
		if z != "" && !slices.Contains(out, z) {
			out = append(out, z)
		}
	}
	for _, f := range s.Catalog.Get() {
		for _, z := range f.Zones {
			add(z)
		}
	}
	for _, z := range s.ZoneDetector.Known() {
		add(z)
	}
	slices.Sort(out[len(s.Settings.Zones):])
	return out
}

// MachineStateCounts counts the machines in each state, for the metrics.
func (s *State) MachineStateCounts() map[string]int {
	n := map[string]int{"up": 0, "booting": 0, "draining": 0, "releasing": 0}
	for _, m := range s.Machines {
		switch {
		case m.ScalingIn:
			n["releasing"]++
		case m.DrainReason != "":
			n["draining"]++
		case m.Booting:
			n["booting"]++
		default:
			n["up"]++
		}
	}
	return n
}

// HoldsReplicas tells whether a machine holds replicas of services.
func (s *State) HoldsReplicas(m *Machine) bool {
	for _, a := range m.Tasks {
		if a.Job.Spec.Service() {
			return true
		}
	}
	return false
}

// ImageCacheGB is the size of a type's image cache.
func (s *State) ImageCacheGB(k wire.MachineType) float64 {
	if f := s.MachineSpec(k); f != nil {
		return f.DiskGB
	}
	return 0
}

func (s *State) MachineSpec(k wire.MachineType) *wire.MachineSpec {
	fs := s.Catalog.Get()
	for i := range fs {
		if fs[i].Name == k {
			return &fs[i]
		}
	}
	return nil
}

// TotalResources and free room of a machine. What the cloud's list of types does not
// name can hold nothing.
func (s *State) TotalResources(m *Machine) placement.Resources {
	if f := s.MachineSpec(m.MachineType); f != nil {
		return MachineResources(f)
	}
	return placement.Resources{}
}

func (s *State) FreeResources(m *Machine) placement.Resources {
	free := s.TotalResources(m).Minus(m.usedResources)
	for task := range m.OrphanTasks {
		j := s.Jobs[task.Job]
		if j == nil {
			return placement.Resources{} // of unknown size
		}
		if m.Tasks[task] == nil {
			free = free.Minus(placement.ResourcesOf(&j.Spec))
		}
	}
	return free
}

// Reservation is room that is being made on a machine, and until when it is kept.
type Reservation struct {
	placement.Reservation
	AwaitedTasks []wire.Task // expected to end by themselves
	Until        time.Time
}
