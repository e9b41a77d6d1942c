package simulator

import (
	"maps"
	"math"
	"regexp"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// waitMost is how long a job may be left waiting when all is calm.
const waitMost = 90 * time.Second

// Room is a machine that exists, with what is on it or on its way there.
type Room struct {
	Place
	Open      bool // sound, up, and not about to be taken
	CPUs      float64
	Cards     float64
	RAM       float64 // these three are free
	Tasks     []wire.Task
	ImageRoom float64
}

// waits is what the checker knows of a job that waits.
type waits struct {
	since  map[wire.MachineID]time.Time // since when it could have used a machine
	failed map[wire.MachineID]bool      // where a task of it failed
	held   int                          // of its tasks, at the last look
	noted  bool
}

// end ends the spell in which the job is left waiting.
func (w *waits) end() { w.since = nil }

// Failed notes that a task failed: it may be tried again later, and elsewhere.
func (c *Checker) Failed(t wire.Task, m wire.MachineID) {
	if j := c.jobs[t.Job]; j != nil {
		j.waits.end()
		if j.waits.failed == nil {
			j.waits.failed = map[wire.MachineID]bool{}
		}
		j.waits.failed[m] = true
	}
}

// Survey looks for jobs that are left waiting beside machines they could use.
// While there are troubles no spell counts.
func (c *Checker) Survey(rooms []Room, now time.Time) {
	c.clock(now)
	calm := c.settled(now, 0)
	held := map[wire.JobID]map[int]wire.Zone{}
	used := map[wire.TeamID]Limit{}
	for i := range rooms {
		for _, t := range rooms[i].Tasks {
			j := c.jobs[t.Job]
			if j == nil {
				continue
			}
			if held[t.Job] == nil {
				held[t.Job] = map[int]wire.Zone{}
			}
			held[t.Job][t.Index] = rooms[i].Zone
			u := used[j.spec.Team]
			used[j.spec.Team] = Limit{u.CPUs + j.spec.CPUs, u.Cards + j.spec.GPUs}
		}
	}
	for id, j := range c.jobs {
		s, mine := &j.spec, held[id]
		taken, zones := len(j.done), map[wire.Zone]int{}
		for i, z := range mine {
			zones[z]++
			if !j.done[i] {
				taken++
			}
		}
		moved := len(mine) > j.waits.held
		j.waits.held = len(mine)
		limit, u := c.Limits[s.Team], used[s.Team]
		more := 1.0
		if s.Gang() {
			more = float64(s.Tasks)
		}
		full := limit.CPUs > 0 && u.CPUs+more*s.CPUs > limit.CPUs+wire.Eps || limit.Cards > 0 && u.Cards+more*s.GPUs > limit.Cards+wire.Eps
		// What completed may have been lost on its way, with its machine: then its
		// user is told that it goes on, and it waits to be started again.
		lost := len(mine) == 0 && !j.openAt.IsZero() && now.Sub(j.openAt) < 15*time.Second
		all := taken >= s.Tasks && !lost
		if s.Gang() && (len(mine) > 0 || !gangFits(rooms, s, j.waits.failed)) {
			j.waits.end() // what is left of its last attempt goes first
			continue
		}
		if !calm || !j.accepted || j.cancelReq || j.told != "" || all || moved || full {
			j.waits.end()
			continue
		}
		could := map[wire.MachineID]time.Time{}
		for i := range rooms {
			r := &rooms[i]
			if !r.Open || j.waits.failed[r.Machine] || !r.takes(s, zones) {
				continue
			}
			since, known := j.waits.since[r.Machine]
			if !known {
				since = now
			}
			could[r.Machine] = since
			if now.Sub(since) >= waitMost && !j.waits.noted {
				j.waits.noted = true
				c.broke(now, LeftWaiting, "%s with %d of %d tasks waits beside %s", id, taken, s.Tasks, r.Machine)
			}
		}
		j.waits.since = could
	}
}

// takes tells whether the machine can take one more task of a job whose tasks
// are in certain zones.
func (r *Room) takes(s *wire.Spec, zones map[wire.Zone]int) bool {
	if r.Spot && !s.SpotAllowed || s.Zone != "" && s.Zone != r.Zone || s.MachineTypes != nil && !slices.Contains(s.MachineTypes, r.Kit) {
		return false
	}
	if s.SameZone && len(zones) > 0 && (len(zones) > 1 || zones[r.Zone] == 0) || s.Spread && zones[r.Zone] >= (s.Tasks+1)/2 {
		return false
	}
	return s.CPUs <= r.CPUs+wire.Eps && s.GPUs <= r.Cards+wire.Eps && s.MemoryGB <= r.RAM+wire.Eps && s.ImageGB <= r.ImageRoom+wire.Eps
}

// never says why a job can never run; empty: it can.
func (c *Checker) never(s *wire.Spec) string {
	if c.Flavors == nil {
		return ""
	}
	limit, known := c.Limits[s.Team]
	if !known {
		return "its team is unknown"
	}
	n := float64(s.MinTogether())
	if limit.CPUs > 0 && n*s.CPUs > limit.CPUs+wire.Eps || limit.Cards > 0 && n*s.GPUs > limit.Cards+wire.Eps {
		return "it needs more than its team's limit"
	}
	for i := range c.Flavors {
		f := &c.Flavors[i]
		for _, z := range f.Zones {
			r := Room{Place: Place{Kit: f.Name, Zone: z}, CPUs: f.CPUs, Cards: f.GPUs, RAM: f.MemoryGB, ImageRoom: f.DiskGB}
			if r.takes(s, nil) {
				return ""
			}
		}
	}
	return "a task fits no allowed machine type"
}

// Posted notes the answer to a submission as it was sent.
func (c *Checker) Posted(raw []byte, status int, now time.Time) {
	var m map[string]any
	unread := wire.Decode(raw, &m) != nil
	id, _ := m["nameId"].(string)
	c.posted[wire.JobID(id)] = true
	if status != 200 && status != 201 {
		return
	}
	why := "it is not a map"
	if !unread {
		why = malformed(m)
	}
	if why != "" {
		c.broke(now, AcceptedWrongly, "%q accepted, but %s", id, why)
	}
	var s wire.Spec
	if j := c.jobs[wire.JobID(id)]; j == nil && wire.Decode(raw, &s) == nil && why == "" {
		if why := c.never(&s); why != "" {
			c.broke(now, AcceptedWrongly, "%s accepted, but %s", id, why)
		}
	}
}

var formOfID = regexp.MustCompile(`^req-[0-9]{6,}$`)

// malformed says what is wrong with a submission by PROTOCOL's table; empty:
// nothing. It judges by itself, not as the nodes do.
func malformed(m map[string]any) string {
	texts := []string{"nameId", "lane", "owner", "shape", "urgency", "bundle"}
	amounts := []string{"parts", "cpus", "cards", "ramGb", "imageGb", "expectedS", "snapshotEveryS", "snapshotS"}
	for _, k := range texts {
		if v, ok := m[k].(string); !ok || v == "" {
			return k + " is no text"
		}
	}
	for _, k := range amounts {
		if v, ok := number(m[k]); !ok || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return k + " is no amount"
		}
	}
	for _, k := range []string{"samePlace", "apart", "standby"} {
		if _, ok := m[k].(bool); !ok {
			return k + " is neither true nor false"
		}
	}
	if _, text := m["site"].(string); !text && m["site"] != nil {
		return "site is no text"
	}
	if due, ok := number(m["dueS"]); m["dueS"] != nil && (!ok || due < 0) {
		return "dueS is no amount"
	}
	kits, list := m["kits"].([]any)
	if m["kits"] != nil && !list {
		return "kits is no list"
	}
	for _, k := range kits {
		if _, text := k.(string); !text {
			return "kits has what is no text"
		}
	}
	if parts, _ := number(m["parts"]); parts < 1 || parts > 100_000 || parts != math.Trunc(parts) {
		return "parts is not from 1 to 100,000"
	}
	if !formOfID.MatchString(m["nameId"].(string)) {
		return "nameId has another form"
	}
	if !slices.Contains([]any{"sweep", "daemon", "ensemble"}, m["shape"]) {
		return "shape is unknown"
	}
	if !slices.Contains([]any{"prod", "urgent", "standard", "best_effort"}, m["urgency"]) {
		return "urgency is unknown"
	}
	return ""
}

func number(v any) (float64, bool) {
	switch n := v.(type) {
	case uint64:
		return float64(n), true
	case int64:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

// ---- the world's part ----

// Unrest begins or ends a trouble that the world can't see by itself: while one
// is on, no job counts as left waiting.
func (w *World) Unrest(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsettle(on)
}

// unsettle is Unrest with the lock held.
func (w *World) unsettle(on bool) {
	if on {
		w.unrest++
	} else {
		w.unrest--
	}
	w.shaken = time.Now()
}

// NoMore makes the cloud refuse every further machine, whatever is returned.
func (w *World) NoMore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for of := range w.capacity {
		w.capacity[of] = -1000
	}
}

// watch feeds the checker with what there is now; call with the lock held.
func (w *World) watch(now time.Time) {
	if w.troubled(now) {
		w.shaken = now
	}
	w.check.Quiet(w.shaken, w.shaken != now)
	w.check.Tick(now)
	rooms := make([]Room, 0, len(w.machines))
	for _, id := range slices.Sorted(maps.Keys(w.machines)) {
		m := w.machines[id]
		r := Room{Place: Place{m.id, m.kit, m.zone, m.spot}, Open: m.up && !m.sick && m.notice.IsZero(),
			CPUs: m.flavor.CPUs, Cards: m.flavor.GPUs, RAM: m.flavor.MemoryGB, ImageRoom: m.flavor.DiskGB}
		for t, x := range m.tasks {
			if truth := w.truths[t.Job]; truth != nil && x.phase != wire.PhaseExited {
				r.CPUs -= truth.Spec.CPUs
				r.Cards -= truth.Spec.GPUs
				r.RAM -= truth.Spec.MemoryGB
				r.Tasks = append(r.Tasks, t)
			}
		}
		rooms = append(rooms, r)
	}
	w.check.Survey(rooms, now)
}

// troubled tells whether the world sees a trouble; call with the lock held.
func (w *World) troubled(now time.Time) bool {
	if w.unrest > 0 || w.cloudOut || w.cutZone != "" || w.parted[0] != "" || w.loseRelease > 0 || w.loseRent > 0 {
		return true
	}
	for _, m := range w.machines {
		if m.notice.After(now) {
			return true
		}
	}
	for _, n := range w.nodes {
		if !n.up {
			return true
		}
	}
	return w.State.faulty() || w.Net.faulty()
}

func (s *State) faulty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out || s.loseTxn > 0 || s.dropTxn > 0 || has(s.refused)
}

func (n *Network) faulty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return has(n.held) || has(n.deaf) || has(n.island) || has(n.mute) || has(n.filtered)
}

func has[K comparable](m map[K]bool) bool {
	for _, on := range m {
		if on {
			return true
		}
	}
	return false
}
