package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// demands of the jobs that wait. An array need not run all at once: its work
// may be stretched over a share of what its deadline leaves.
func (t *term) demands(now time.Time, stretch, spareUnits float64) []fleet.Demand {
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		if !j.cancelled && !j.finished && j.pending() > 0 && j.failures < 3 && !t.isAside(j.spec.ID) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	waits := t.predictWaits(jobs, now)
	zones := t.zones()
	var out []fleet.Demand
	used := map[wire.TeamID]placement.Res{}
	for _, j := range t.jobs {
		used[j.spec.Team] = used[j.spec.Team].Plus(placement.Of(&j.spec).Times(float64(j.held)))
	}
	for _, j := range jobs {
		team, ok := t.settings.Team(j.spec.Team)
		if !ok {
			continue
		}
		units := j.pending()
		switch {
		case j.spec.Gang() && j.held > 0:
			continue // what is left of its last attempt goes first
		case !j.spec.Service() && !j.spec.Gang():
			units = t.parallelTasks(j, now, stretch)
		}
		take := placement.Of(&j.spec)
		// The limit bounds what can run at all.
		left := placement.Res{CPUs: 1e9, Cards: 1e9, RAM: 1e9}
		if team.CPUsMax > 0 {
			left.CPUs = team.CPUsMax - used[j.spec.Team].CPUs
		}
		if team.GPUsMax > 0 {
			left.Cards = team.GPUsMax - used[j.spec.Team].Cards
		}
		if most := take.Units(left); j.spec.Gang() && most < units {
			continue
		} else if units = min(units, most); units <= 0 {
			continue
		}
		used[j.spec.Team] = used[j.spec.Team].Plus(take.Times(float64(units)))
		d := fleet.Demand{Spec: &j.spec, Units: units, Whole: j.spec.Gang(), Rank: float64(j.spec.Priority.Rank()), SlackS: t.slack(j, now) * stretch}
		switch {
		case j.spec.Service():
			d.Rank += 10
		case j.spec.Gang() && t.startOverdue(j, now):
			d.Rank += 5
			d.Dear = math.Inf(1)
		case t.startOverdue(j, now):
			// Room is had for its first task at any price.
			first := d
			first.Units, first.Rank, first.Dear = 1, d.Rank+5, math.Inf(1)
			out = append(out, first)
			d.Units--
		}
		d.Dear = max(d.Dear, t.priceStretch(j, waits[j], now))
		if j.spec.Spread || j.spec.SameZone {
			d.ZoneLeft = map[wire.Zone]int{}
			held := j.zones()
			for _, z := range zones {
				d.ZoneLeft[z] = max(0, j.spec.ZoneCap()-held[z])
				if j.spec.SameZone && j.held > 0 && held[z] == 0 {
					d.ZoneLeft[z] = 0
				}
			}
		}
		out = append(out, d)
	}
	if n, r := t.spare(spareUnits); n > 0 {
		spec := &wire.Spec{Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: n, CPUs: r.CPUs, MemoryGB: r.RAM}
		// In one zone alone it would not serve a service that is spread.
		left := map[wire.Zone]int{}
		for _, z := range zones {
			left[z] = (n + 1) / 2
		}
		out = append(out, fleet.Demand{Spec: spec, Units: n, Rank: 9, ZoneLeft: left})
	}
	return out
}

// gangReserves are for the room that is kept for the next gangs. It goes before
// the arrays and behind services and their spare room.
func (t *term) gangReserves(times float64, now time.Time) []fleet.Demand {
	var out []fleet.Demand
	for _, spec := range t.nextGangs(times, now) {
		d := fleet.Demand{Spec: spec, Units: spec.Tasks, Rank: 8.5, Whole: true}
		if spec.Spread {
			d.ZoneLeft = map[wire.Zone]int{}
			for _, z := range t.zones() {
				d.ZoneLeft[z] = spec.ZoneCap()
			}
		}
		out = append(out, d)
	}
	return out
}

// dueAfter is when the job should be complete, counted from its submission: what
// its owner says, else what the users' aims say of its class, else a few times
// its expected run time. Aims may name several times for a class; the first
// that can still be met counts, else the last.
func (t *term) dueAfter(j *job, now time.Time) float64 {
	need := now.Sub(j.acceptedAt).Seconds() + j.expected()
	due, ok := float64(j.spec.Deadline), j.spec.Deadline > 0
	for _, o := range t.settings.Objectives {
		at := 0.0
		switch {
		case o.Class != j.spec.Class:
		case o.Kind == "finished":
			at = float64(o.WithinS)
		case o.Kind == "deadline":
			at = float64(j.spec.Deadline) * o.Times
		}
		switch {
		case at <= 0:
		case !ok, due < need && at > due, at >= need && at < due:
			due, ok = at, true
		}
	}
	if !ok {
		return 3*j.expected() + 30
	}
	return due
}

// slack is how long the job's waiting tasks may still wait.
func (t *term) slack(j *job, now time.Time) float64 {
	return t.dueAfter(j, now) - now.Sub(j.acceptedAt).Seconds() - j.expected()
}

const (
	// latePriceStretch is how far beyond the limit a job may rent that would be
	// late otherwise, if its class's aim is above patientShare or it has waited for
	// half of startBy.
	latePriceStretch = 1.35
	patientShare     = 0.9
	// startWithin is when every job should have begun, whatever else waits. Half
	// of it may pass before the exception is made that sees to it.
	startWithin = 4 * time.Minute
)

// predictWaits predicts how long each waiting array will wait for the room there
// is: the work that goes before it, and half of its own, over the processors
// that work on arrays now or soon. Room that is rented shortens the wait, so
// that a steady overload rents as much dear room as it needs and a short rush
// none.
func (t *term) predictWaits(jobs []*job, now time.Time) map[*job]float64 {
	room := 0.0
	for _, m := range t.machines {
		if !m.releasing && m.drainReason == "" {
			room += t.total(m).CPUs
		}
	}
	for _, b := range t.rentals.Bookings() {
		if f := t.machineSpec(b.Type); f != nil {
			room += float64(b.Count) * f.CPUs
		}
	}
	for _, j := range t.jobs {
		if j.spec.Service() {
			room -= float64(j.spec.Tasks) * j.spec.CPUs
		}
	}
	type entry struct {
		j      *job
		weight float64
	}
	sure, raise := t.guaranteed(), max(1, t.l.Tuning.Get().WaitRaiseS)
	var queue []entry
	for _, j := range jobs {
		if !j.spec.Service() {
			w := t.weight(j, sure[j.spec.ID], now) * (1 + now.Sub(j.acceptedAt).Seconds()/raise)
			queue = append(queue, entry{j, w})
		}
	}
	slices.SortFunc(queue, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.j.spec.ID, b.j.spec.ID))
	})
	out := make(map[*job]float64, len(queue))
	ahead := 0.0
	for _, e := range queue {
		own := float64(e.j.pending()) * e.j.spec.CPUs * max(1, e.j.expected())
		out[e.j] = (ahead + own/2) / max(1, room)
		ahead += own
	}
	t.backlogS = ahead / max(1, room)
	return out
}

// priceStretch tells how far a job may go beyond the limit on the price: it would
// be late if it waited for cheap room, and dear room brings it home in time.
func (t *term) priceStretch(j *job, wait float64, now time.Time) float64 {
	share := 0.0
	for _, o := range t.settings.Objectives {
		if o.Class == j.spec.Class && (o.Kind == "finished" || o.Kind == "deadline") {
			share = max(share, o.Share)
		}
	}
	// A class that may miss its time more often waits for cheap room first, but
	// not for ever: cheap room alone may never catch up. (With 24 cheap machines
	// of 40 a backlog of 16 minutes grew, and no ordinary one was rented.)
	patient := share <= patientShare && now.Sub(j.acceptedAt) < startWithin/2
	if j.spec.Service() || patient {
		return 1
	}
	boot := math.Inf(1)
	for _, f := range t.l.Flavors.Get() {
		if f.Fits(&j.spec) && f.FetchGBPerS > 0 {
			boot = min(boot, float64(f.BootTime)+j.spec.ImageGB/f.FetchGBPerS)
		}
	}
	due, age := t.dueAfter(j, now), now.Sub(j.acceptedAt).Seconds()
	if age+wait+j.expected() > due && age+boot+j.expected() < due {
		return latePriceStretch
	}
	return 1
}

// startOverdue tells whether an array has waited so long without a start that its
// first task goes before everything but services. Little work left, prices
// and priorities order the rest; under a steady overload they would keep a
// large or cheap job waiting for ever. So it is with one that has begun and of
// which nothing has run for as long: when the cheap machines that it was on had
// been taken and there were no more of them, the rest of it was never run.
func (t *term) startOverdue(j *job, now time.Time) bool {
	return !j.spec.Service() && j.held == 0 && now.Sub(j.acceptedAt) > startWithin/2 && (j.done == 0 || now.Sub(latest(j.lastHeldAt, t.startedAt)) > startWithin/2)
}

// parallelTasks is how many of a job's waiting tasks should run at a time.
func (t *term) parallelTasks(j *job, now time.Time, stretch float64) int {
	n := j.pending()
	est := max(1, j.expected())
	window := (t.dueAfter(j, now) - now.Sub(j.acceptedAt).Seconds()) * stretch
	rounds := max(1, int(window/est))
	return (n + rounds - 1) / rounds
}
