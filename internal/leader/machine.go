package leader

import (
	"slices"
	"time"

	"lilaclead/internal/leader/detector"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// machine is what the term knows of one machine.
type machine struct {
	id          wire.MachineID
	addr        string
	machineType wire.MachineType
	zone        wire.Zone
	spot        bool
	epoch       wire.AgentEpoch
	sequence    wire.Sequence
	token       wire.FencingToken

	directHeartbeatAt      time.Time // last report that came here by itself
	relayedHeartbeatAt     time.Time // last report through another node
	relayedOnly            bool      // the last report came through another node
	booting                bool      // never reported, as far as we know
	requestedAt            time.Time
	listedAt               time.Time // when a list last had it; else when it became known
	lastMessageAt          time.Time // last message from it
	tokenSeenAt            time.Time // when it first showed a token of this term
	lastReplyAt            time.Time // last answer to a report of it
	heartbeatsMissingSince time.Time // since when it only answers direct commands; zero: it reports
	epochSince             time.Time // when its session became known
	lastUsedAt             time.Time // last time that a task was on it
	firstHeartbeatAt       time.Time // first report in this term
	failedInCloud          bool      // the list says that it has stopped by itself

	tasks         map[wire.Task]*attempt
	usedResources placement.Resources // by tasks
	orphanTasks   map[wire.Task]bool  // on it, but not ours to want there
	reclaimAt     time.Time           // the cloud takes it then; zero: no notice
	images        imageCache

	unansweredLaunch unansweredCommand // the last launches that were never answered
	commandInFlight  bool              // a direct command is under way
	unansweredProbes int               // direct tries without an answer since lastMessageAt
	// relayUnanswered: the last of these went through another node, in vain too.
	relayUnanswered bool
	lastVerifiedAt  time.Time // when it was last asked directly because of a stale report
	restarted       bool      // it restarted, with smaller counters; to be returned
	inbound         detector.Inbound
	drainReason     DrainReason // why it takes nothing new; empty: it does
	scalingIn       bool
	cordoned        bool // see fleet.Plan
	reservations    []reservation
	refusedUntil    time.Time
	failedJobs      map[wire.JobID]bool // jobs that failed here in a row
	failures        int
	slowRuns        slowRunCounts
}

// getOrAddMachine is the entry of a machine in the inventory, made if there is none.
func (s *State) getOrAddMachine(id wire.MachineID) *machine {
	m := s.machines[id]
	if m == nil {
		now := time.Now()
		m = &machine{id: id, tasks: map[wire.Task]*attempt{}, orphanTasks: map[wire.Task]bool{}, lastUsedAt: now, requestedAt: now, listedAt: now, failedJobs: map[wire.JobID]bool{}}
		s.machines[id] = m
	}
	return m
}

// unansweredCommand is the newest direct command that was never answered.
type unansweredCommand struct {
	token wire.FencingToken
	epoch wire.AgentEpoch
}

// launchMayArrive tells whether an unanswered launch may still reach the worker.
func (m *machine) launchMayArrive(rep *wire.Heartbeat) bool {
	l := m.unansweredLaunch
	return l.token > 0 && rep.Token <= l.token && rep.Epoch <= l.epoch
}

// zones are those of the settings, of what can be rented, and of the machines
// that have reported: some may be in no settings.
func (s *State) zones() []wire.Zone {
	out := slices.Clone(s.settings.Zones)
	add := func(z wire.Zone) {
		if z != "" && !slices.Contains(out, z) {
			out = append(out, z)
		}
	}
	for _, f := range s.catalog.Get() {
		for _, z := range f.Zones {
			add(z)
		}
	}
	for _, z := range s.zoneDetector.Known() {
		add(z)
	}
	slices.Sort(out[len(s.settings.Zones):])
	return out
}

// states counts the machines in each state, for the metrics.
func (s *State) machineStateCounts() map[string]int {
	n := map[string]int{"up": 0, "booting": 0, "draining": 0, "releasing": 0}
	for _, m := range s.machines {
		switch {
		case m.scalingIn:
			n["releasing"]++
		case m.drainReason != "":
			n["draining"]++
		case m.booting:
			n["booting"]++
		default:
			n["up"]++
		}
	}
	return n
}

// holdsReplicas tells whether a machine holds replicas of services.
func (s *State) holdsReplicas(m *machine) bool {
	for _, a := range m.tasks {
		if a.job.spec.Service() {
			return true
		}
	}
	return false
}

// imageCacheGB is the size of a type's image cache.
func (s *State) imageCacheGB(k wire.MachineType) float64 {
	if f := s.machineSpec(k); f != nil {
		return f.DiskGB
	}
	return 0
}

func (s *State) machineSpec(k wire.MachineType) *wire.MachineSpec {
	fs := s.catalog.Get()
	for i := range fs {
		if fs[i].Name == k {
			return &fs[i]
		}
	}
	return nil
}

// totalResources and free room of a machine. What the cloud's list of types does not
// name can hold nothing.
func (s *State) totalResources(m *machine) placement.Resources {
	if f := s.machineSpec(m.machineType); f != nil {
		return machineResources(f)
	}
	return placement.Resources{}
}

func (s *State) freeResources(m *machine) placement.Resources {
	free := s.totalResources(m).Minus(m.usedResources)
	for task := range m.orphanTasks {
		j := s.jobs[task.Job]
		if j == nil {
			return placement.Resources{} // of unknown size
		}
		if m.tasks[task] == nil {
			free = free.Minus(placement.ResourcesOf(&j.spec))
		}
	}
	return free
}

// reservation is room that is being made on a machine, and until when it is kept.
type reservation struct {
	placement.Reservation
	awaitedTasks []wire.Task // expected to end by themselves
	until        time.Time
}
