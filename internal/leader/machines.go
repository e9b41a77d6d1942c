package leader

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"lilaclead/internal/placement"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// machine is what the term knows of one machine.
type machine struct {
	id    wire.MachineID
	addr  string
	kit   wire.MachineType
	zone  wire.Zone
	spot  bool
	shift wire.Session
	tally wire.Sequence
	baton wire.Token

	directAt time.Time // last report that came here by itself
	sentAt   time.Time // last report through another node
	relayed  bool      // the last report came through another node
	booting  bool      // never reported, as far as we know
	rentedAt time.Time
	listed   time.Time // when a list last had it; else when it was first heard of
	seenAt   time.Time // last message from it
	tokenAt  time.Time // when it first showed a token of this term
	answered time.Time // last answer to a report of it
	muteAt   time.Time // since when it only answers direct commands; zero: it reports
	shiftAt  time.Time // when its session was first heard of
	usedAt   time.Time // last time that a task was on it
	upAt     time.Time // first report in this term
	failed   bool      // the list says that it has stopped by itself

	tasks  map[wire.Task]*attempt
	used   placement.Res      // by tasks
	strays map[wire.Task]bool // on it, but not ours to want there
	notice time.Time          // the cloud takes it then; zero: no notice
	images imageCache

	lost   lostCommand // the last launches that were never answered
	busy   bool        // a direct command is under way
	probes int         // direct tries without an answer since seenAt
	// lostToPeer: the last of these went through another node, in vain too.
	lostToPeer bool
	verified   time.Time // when it was last asked directly because of an odd report
	reborn     bool      // it began a new life with smaller counters; to be returned
	hearing    hearing
	drain      string // why it takes nothing new; empty: it does
	releasing  bool
	cordoned   bool // see fleet.Plan
	claims     []claim
	fullUntil  time.Time
	errs       map[wire.JobID]bool // jobs that failed here in a row
	errCount   int
	slow       slowStats
}

func (t *term) machine(id wire.MachineID) *machine {
	m := t.machines[id]
	if m == nil {
		now := time.Now()
		m = &machine{id: id, tasks: map[wire.Task]*attempt{}, strays: map[wire.Task]bool{}, usedAt: now, rentedAt: now, listed: now, errs: map[wire.JobID]bool{}}
		t.machines[id] = m
	}
	return m
}

// hostList takes in a machine list. A list lags and goes backwards: what it
// lacks means nothing, and what it shows may be gone.
func (t *term) hostList(hosts []wire.ListedMachine) {
	now := time.Now()
	t.listed = true
	for _, h := range hosts {
		if _, gone := t.gone[h.Name]; gone {
			continue
		}
		known := t.machines[h.Name] != nil
		m := t.machine(h.Name)
		m.listed = now
		if !known {
			m.rentedAt = now.Add(-h.Age.Duration())
			m.booting = h.State == wire.ListedStarting
		}
		if m.upAt.IsZero() {
			m.addr, m.kit, m.zone, m.spot = h.Addr, h.Type, h.Zone, h.Spot
			if age := now.Add(-h.Age.Duration()); age.Before(m.rentedAt) {
				m.rentedAt = age
			}
			if h.State == wire.ListedRunning && m.baton < t.firstToken && m.probes == 0 && !m.releasing {
				t.probed = false
			}
		}
		if h.State == wire.ListedFailed && !m.failed {
			m.failed, m.booting = true, false
			t.log().Info("machine failed", "machine", m.id, "tasks", len(m.tasks))
		}
	}
	if !t.placing {
		t.watchLeadership(now)
	}
}

// fleetUp notes that a machine reports for the first time.
func (t *term) fleetUp(m *machine, now time.Time) {
	if m.booting {
		t.log().Info("machine up", "machine", m.id, "kit", m.kit, "zone", m.zone, "spot", m.spot, "after", now.Sub(m.rentedAt))
		m.usedAt = now
	}
}

type lostCommand struct {
	token wire.Token
	shift wire.Session
}

// lostAt tells whether an unanswered launch may still reach the worker.
func (m *machine) lostAt(rep *wire.Report) bool {
	l := m.lost
	return l.token > 0 && rep.Token <= l.token && rep.Session <= l.shift
}

// zones are those of the settings, of what can be rented, and of the machines
// that were heard of: some may be in no settings.
func (t *term) zones() []wire.Zone {
	out := slices.Clone(t.settings.Zones)
	add := func(z wire.Zone) {
		if z != "" && !slices.Contains(out, z) {
			out = append(out, z)
		}
	}
	for _, f := range t.l.Flavors.Get() {
		for _, z := range f.Zones {
			add(z)
		}
	}
	for z := range t.heard {
		add(z)
	}
	slices.Sort(out[len(t.settings.Zones):])
	return out
}

// states counts the machines in each state, for the metrics.
func (t *term) states() map[string]int {
	n := map[string]int{"up": 0, "booting": 0, "draining": 0, "releasing": 0}
	for _, m := range t.machines {
		switch {
		case m.releasing:
			n["releasing"]++
		case m.drain != "":
			n["draining"]++
		case m.booting:
			n["booting"]++
		default:
			n["up"]++
		}
	}
	return n
}

// serves tells whether a machine holds replicas of services.
func (t *term) serves(m *machine) bool {
	for _, a := range m.tasks {
		if a.job.spec.Service() {
			return true
		}
	}
	return false
}

// localGB is the size of a type's image cache.
func (t *term) localGB(k wire.MachineType) float64 {
	if f := t.flavor(k); f != nil {
		return f.DiskGB
	}
	return 0
}

func (t *term) flavor(k wire.MachineType) *wire.MachineSpec {
	fs := t.l.Flavors.Get()
	for i := range fs {
		if fs[i].Name == k {
			return &fs[i]
		}
	}
	return nil
}

// total and free room of a machine. What the cloud's list of types does not
// name can hold nothing.
func (t *term) total(m *machine) placement.Res {
	if f := t.flavor(m.kit); f != nil {
		return placement.Res{CPUs: f.CPUs, Cards: f.GPUs, RAM: f.MemoryGB}
	}
	return placement.Res{}
}

func (t *term) free(m *machine) placement.Res {
	free := t.total(m).Minus(m.used)
	for task := range m.strays {
		j := t.jobs[task.Job]
		if j == nil {
			return placement.Res{} // of unknown size
		}
		if m.tasks[task] == nil {
			free = free.Minus(placement.Of(&j.spec))
		}
	}
	return free
}

// listHosts reads the machine list again and again.
func (t *term) listHosts(ctx context.Context) {
	wait := 4 * time.Second
	for {
		asked := time.Now()
		hosts, err := t.l.Cloud.List(ctx)
		next := wait
		if err == nil {
			t.post(func() {
				t.listAt = asked
				t.hostList(hosts)
			})
		} else {
			next = time.Second + rand.N(time.Second)
			t.log().Debug("machine list refused", "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}

// watchFlavors keeps the types and prices fresh and stores them for nodes
// that start while the cloud is down.
func (t *term) watchFlavors(ctx context.Context) {
	stored := false
	for {
		fs, err := t.l.Cloud.Flavors(ctx)
		next := 20 * time.Second
		if err == nil {
			t.l.Flavors.Set(fs)
			if !stored {
				_, err := t.l.Store.Commit(ctx, store.Duty, wire.Txn{Writes: []wire.Write{{Put: store.FlavorsKey, Value: wire.Encode(wire.MachineSpecs{Types: fs})}}})
				stored = err == nil
			}
			t.post(t.requestRound)
		} else {
			next = 2*time.Second + rand.N(time.Second)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}
