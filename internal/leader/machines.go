package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"lilaclead/internal/cloud"
	"lilaclead/internal/fleet"
	"lilaclead/internal/peer"
	"lilaclead/internal/placement"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// maxBooking and maxRelease are the cloud's bounds for one request.
	maxBooking = 50
	maxRelease = 100
	// offerRoom is what one plan asks of an offer at most: two bookings.
	offerRoom = 2 * maxBooking
	// maxRents bounds one plan's rentals: some seconds' worth of calls.
	maxRents = 8 * maxBooking
)

// offerID names what can be rented.
type offerID struct {
	kit  wire.MachineType
	zone wire.Zone
	spot bool
}

// backoff of one offer after it was refused.
type backoff struct {
	until time.Time
	wait  time.Duration
}

// booking that is not yet answered.
type booking struct {
	wire.RentalRequest
	since time.Time
}

type fleetState struct {
	offers    map[offerID]*backoff
	bookings  map[string]*booking
	seq       int
	cloudDown time.Time // no plans before
	downWait  time.Duration
	orphans   []wire.Guard
	toRelease []*machine // not yet asked for
	releases  bool       // a request to release is under way
	backlog   float64    // seconds in which the room there is would do what waits
}

func (f *fleetState) init() {
	f.offers = map[offerID]*backoff{}
	f.bookings = map[string]*booking{}
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

// watchMachines looks for machines that are silent, late, or empty and
// unwanted.
func (t *term) watchMachines(now time.Time) {
	for id, at := range t.gone {
		if now.Sub(at) > 10*time.Minute {
			delete(t.gone, id)
		}
	}
	// Reports come every report_s, give or take a quarter. A machine that is
	// overdue is asked directly; two asks without an answer tell its end.
	report := t.settings.Workers.ReportS.Duration()
	silentAfter := report*5/4 + 600*time.Millisecond
	lostAfter := silentAfter + 2*probeTimeout
	up, silent, lost, relayed, deaf, mute, serving, quietServing := 0, 0, 0, 0, 0, 0, 0, 0
	zoneUp, zoneLost := map[wire.Zone]int{}, map[wire.Zone]int{}
	for _, m := range t.machines {
		if m.booting || m.releasing {
			continue
		}
		up++
		if m.relayed {
			relayed++
		}
		if !m.hearing.deaf.IsZero() {
			deaf++
		}
		if t.mute(m, now) {
			mute++
		}
		zoneUp[m.zone]++
		if t.silence(m, now) > silentAfter {
			silent++
		}
		if t.serves(m) {
			if serving++; t.silence(m, now) > askServing+2*probeTimeout {
				quietServing++
			}
		}
		if t.silence(m, now) > lostAfter {
			lost++
			zoneLost[m.zone]++
		}
	}
	t.l.Metrics.Machines(t.states())
	// When many are silent it is rather this node that is cut off from them.
	cutOff := silent >= 3 && silent*2 > up
	if (cutOff && lost*2 > up || relayed >= 3 && relayed*2 > up) && t.deciding() && now.Sub(t.startedAt) > lostAfter+t.settings.Workers.LeaseS.Duration()/8 {
		for name, o := range t.l.Mesh.View().Others {
			if o.Near(now) && o.Serves && o.Hears*2 > up {
				t.resign("workers reach " + string(name) + ", not this node")
				return
			}
		}
	}
	// A zone most of whose machines are silent is cut off as a whole. They
	// will be back, and what runs on them goes on until their leases end: they
	// are kept, and returned only if the cut outlasts that by far.
	lease := t.settings.Workers.LeaseS.Duration()
	t.delegatesAnsweredUntil = t.anyDelegateAnswersUntil(now)
	for z, n := range zoneUp {
		if z != "" && !cutOff && t.hushed(z, n, zoneLost[z], up, now) {
			if !t.wasCut(z, now) {
				t.log().Info("zone seems cut off", "zone", z, "silent", zoneLost[z], "of", n)
			}
			t.cutAt[z] = now
		}
	}
	// A machine with replicas is not left alone for as long as reports may take:
	// the replicas of one that has stopped are down until that is known. When
	// many such are quiet it is rather the way to them.
	fewQuiet := quietServing <= max(3, serving/4)
	for _, m := range t.machines {
		// Where the cut is over the machines need a while to be heard again.
		cut := t.wasCut(m.zone, now)
		quiet := t.silence(m, now)
		if t.isCut(m.zone, now) && !cutOff && t.movable(m, now) {
			// Its replicas end with its lease, and nothing tells just when. The
			// cloud can end them for sure, and they are started elsewhere. If
			// the cloud is away too, its lease is waited out below.
			t.release(m, "its lease ends while its zone is cut off")
		}
		// Before the first list nothing is known of a machine that an earlier
		// leader used and that has not reported, not even its zone.
		unknown := m.zone == "" && !t.listed
		ask, gone := silentAfter, lostAfter
		if t.serves(m) {
			if ask = min(ask, askServing); fewQuiet {
				gone = min(gone, ask+3*probeTimeout)
			}
		}
		kept := cutOff || cut && quiet < max(lease*5/2, t.settings.Workers.CancelS.Duration()*2)
		t.watchMachine(m, now, ask, gone, kept && !t.unlisted(m) || unknown)
		if deaf <= max(3, up/4) {
			t.watchHearing(m, now)
		}
		t.watchMute(m, now, mute <= max(3, up/4))
	}
	if !t.deciding() || !t.recovered {
		return
	}
	for _, j := range t.jobs {
		if j.cancelled && j.held > 0 && now.Sub(j.cancelledAt) > t.settings.Workers.CancelS.Duration()*6/10 {
			for _, a := range j.attempts() {
				t.release(a.machine, "a cancelled task could not be stopped")
			}
		}
	}
}

// unlisted tells whether the lists have lacked a machine for longer than they may
// lag. That is no proof of its end, but there is no cut behind which it lives and
// is to be kept: asking for its release costs nothing and brings the proof. (When
// most machines had vanished at once it looked like a cut of this node for as long
// as no more were rented than that, and none of them was ever asked for.)
func (t *term) unlisted(m *machine) bool {
	return t.listAt.Sub(m.listed) > 2*t.settings.Cloud.ListLagS.Duration()+10*time.Second
}

// heard is when something last came from a zone's machines, and how many
// reports had come from all zones by then.
type heard struct {
	at      time.Time
	reports int
}

const (
	// hushAfter and hushReports: a zone is taken for cut off when nothing came
	// from it for a while in which so many reports of its own were due, by what
	// came from the others. (Waiting until most of its machines were overdue,
	// the leader had returned three quarters of a large zone one by one.)
	// Its controllers being lost as well, a sixth of that is enough, and fewer
	// machines.
	hushAfter   = 1500 * time.Millisecond
	hushReports = 12
)

// hushed tells whether a zone with n of the machines that are up has gone
// silent as a whole: most are lost, or nothing came from any for a while.
// Reports are counted, not time: when this node is slow nothing comes from any
// zone.
func (t *term) hushed(z wire.Zone, n, lost, up int, now time.Time) bool {
	need, least := hushReports, 4
	if at := t.zoneSilentSince(z); !at.IsZero() && now.Sub(at) > peer.X {
		need, least = need/6, 2
	}
	h := t.heard[z]
	return lost >= least && lost*2 > n || n >= least && now.Sub(latest(h.at, t.startedAt)) > hushAfter && (t.reports-h.reports)*n >= need*up
}

// wasCut tells whether a zone seems cut off, or did so lately: its machines
// need a while to be heard again.
func (t *term) wasCut(z wire.Zone, now time.Time) bool {
	at, ok := t.cutAt[z]
	return ok && now.Sub(at) < 3*report(t)
}

// isCut tells whether a zone seems cut off now.
func (t *term) isCut(z wire.Zone, now time.Time) bool {
	at, ok := t.cutAt[z]
	return ok && now.Sub(at) < 2*hushAfter
}

// behindCut tells whether a machine was not heard since its zone seemed cut
// off. It takes nothing new, and its room is not counted on: what was placed
// there once waited for the end of the cut, and nothing was rented in its
// place.
func (t *term) behindCut(m *machine, now time.Time) bool {
	return t.wasCut(m.zone, now) && m.seenAt.Before(t.cutAt[m.zone])
}

// askServing is how long a machine with replicas may be silent before it is
// asked itself, where reports come more rarely than that.
const askServing = 4 * time.Second

// serves tells whether a machine holds replicas of services.
func (t *term) serves(m *machine) bool {
	for _, a := range m.tasks {
		if a.job.spec.Service() {
			return true
		}
	}
	return false
}

// movable tells whether a machine in a zone that is cut off holds replicas that
// could be started elsewhere before long: their leases end about now, as no
// controller in the zone can stand in any more, and other zones may have all
// that their service runs in this one. (With two zones a service that is spread
// has nowhere to go; to end its replicas early would gain nothing.)
func (t *term) movable(m *machine, now time.Time) bool {
	answered := m.seenAt
	if lost := t.zoneSilentSince(m.zone); !lost.IsZero() {
		answered = latest(answered, lost.Add(t.l.delegationTime-report(t)*5/4))
	} else if answered.IsZero() {
		answered = t.startedAt
	}
	if now.Sub(answered) < t.settings.Workers.LeaseS.Duration()*95/100 {
		return false
	}
	for _, a := range m.tasks {
		if !a.job.spec.Service() || a.job.spec.Zone != "" {
			continue
		}
		if !a.job.spec.Spread {
			return true
		}
		held, room := a.job.zones(), 0
		for _, z := range t.zones() {
			if z != m.zone && !t.wasCut(z, now) {
				room += a.job.spec.ZoneCap() - held[z]
			}
		}
		if room >= held[m.zone] {
			return true
		}
	}
	return false
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

// watchHearing returns a machine that reports but does not hear: at once when
// something on it waits for a proof that it can't give, else when its lease
// must have run out. When many seem deaf it is rather this node that is slow.
func (t *term) watchHearing(m *machine, now time.Time) {
	if m.hearing.deaf.IsZero() || m.releasing || !t.deciding() || !t.recovered {
		return
	}
	if now.Sub(m.verified) > 2*time.Second {
		m.verified = now
		t.probe(m)
	}
	stuck := false
	for _, a := range m.tasks {
		stuck = stuck || !a.planned && (!a.reported || a.halting)
	}
	since := now.Sub(m.hearing.deaf)
	if stuck && since > report(t)/2+2*time.Second && m.hearing.fails > 0 || since > t.settings.Workers.LeaseS.Duration() {
		t.release(m, "does not hear")
	}
}

// muteFor is how long a machine has answered direct commands while no report
// of it came, neither here nor through another node, nor to one that may stand
// in.
func (t *term) muteFor(m *machine, now time.Time) time.Duration {
	if m.muteAt.IsZero() {
		return 0
	}
	return now.Sub(latest(m.muteAt, latest(t.stateBackAt, t.delegatesAnsweredUntil)))
}

// mute tells whether a machine looks alive but can't reach any controller: its
// lease runs out again and again, with all that is started there. It takes
// nothing new, and its room is not counted on. (Tasks longer than a lease were
// once started on such machines for ever and never completed.)
func (t *term) mute(m *machine, now time.Time) bool {
	return t.muteFor(m, now) > max(t.settings.Workers.LeaseS.Duration()/2, 2*report(t))
}

// watchMute returns a mute machine when its lease must have run out, so that
// nothing is lost by it, or much later when they are many: then it is rather
// the way from them, which will be back.
func (t *term) watchMute(m *machine, now time.Time, few bool) {
	lease := t.settings.Workers.LeaseS.Duration()
	if m.releasing || !t.recovered || t.muteFor(m, now) <= lease*5/4 {
		return
	}
	if few || t.muteFor(m, now) > max(lease*5/2, t.settings.Workers.CancelS.Duration()*2) {
		t.release(m, "its reports don't arrive")
	}
}

// silence is how long a machine has said nothing to this term.
func (t *term) silence(m *machine, now time.Time) time.Duration {
	return now.Sub(latest(m.seenAt, t.startedAt))
}

func (t *term) watchMachine(m *machine, now time.Time, silentAfter, lostAfter time.Duration, cutOff bool) {
	if m.releasing {
		t.expire(m, now)
		return
	}
	if m.booting {
		ready := 30 * time.Second
		if f := t.flavor(m.kit); f != nil {
			ready = f.BootTime.Duration()
		}
		if now.Sub(m.rentedAt) > ready*11/4+5*time.Second && t.deciding() {
			t.release(m, "never came up")
		}
		return
	}
	if !t.recovered {
		return
	}
	for _, a := range m.tasks {
		if a.halting && !a.planned && (a.haltSent.IsZero() || now.Sub(a.haltSent) > 2*time.Second) {
			t.dispatch(m)
			break
		}
	}
	if !t.deciding() {
		return
	}
	if m.failed {
		t.release(m, "failed")
		return
	}
	quiet := t.silence(m, now)
	if quiet > silentAfter && m.probes < 4 && !m.busy && !(m.probes > 0 && t.behindCut(m, now)) {
		t.probe(m)
	}
	gone := !m.notice.IsZero() && now.After(m.notice.Add(time.Second)) && quiet > report(t)+time.Second
	// A machine that an earlier leader used, that is in no list and says
	// nothing has no address to probe; it is as lost as one that was probed.
	late := report(t)*13/4 + 2*time.Second
	if (quiet > lostAfter && m.probes > 1 && m.lostToPeer || quiet > late && (m.probes > 0 || m.addr == "") || gone) && !cutOff {
		t.release(m, "silent")
		return
	}
	t.expire(m, now)
	if m.drain != "" && len(m.tasks) == 0 && len(m.strays) == 0 && t.allStored(m) {
		t.release(m, m.drain)
		return
	}
	for _, a := range m.tasks {
		if a.planned {
			continue
		}
		spec := &a.job.spec
		if !m.notice.IsZero() && spec.CheckpointInterval > 0 && !a.halting && m.notice.Sub(now) < spec.CheckpointTime.Duration()+3*time.Second {
			t.halt(a, max(spec.CheckpointTime+1, t.windDownOf(a.job)), "saves before its machine is taken")
		}
		if !m.notice.IsZero() && spec.Service() && !a.halting {
			t.halt(a, 0, "its machine is taken")
		}
		if a.launchUnanswered && !a.reported && (a.halting || m.drain != "") && now.Sub(a.decidedAt) > 6*time.Second {
			t.raiseWanted = true
		}
	}
}

func report(t *term) time.Duration { return t.settings.Workers.ReportS.Duration() }

// expire ends the tasks of a machine whose lease has surely run out: nobody
// can have answered it within the lease, the clocks' drift and a margin.
func (t *term) expire(m *machine, now time.Time) {
	if len(m.tasks) == 0 || !t.recovered {
		return
	}
	life := t.settings.Workers.LeaseS.Duration()
	life += life/500 + 1500*time.Millisecond // two clocks of 0.05% each, and the step to a full second
	// Up to when it first showed our token an earlier leader may have answered
	// it; from then on only we can have.
	// A new session has its full time even if no report of it was answered: a
	// launch sent into it may run that long. (Tasks started right after a
	// lease had run out were once given up at once, and started again.)
	last := latest(latest(m.answered, m.tokenAt), latest(m.shiftAt, t.delegatesAnsweredUntil))
	if m.baton < t.firstToken {
		last = latest(last, t.othersUntil())
	}
	if now.Sub(last) < life {
		return
	}
	for _, a := range m.tasks {
		if a.planned {
			continue
		}
		// A direct launch of ours may still come, even after the lease; and
		// a machine in a new session could take it only with that session.
		if a.launchInFlight {
			continue
		}
		t.log().Info("lease of a silent machine has run out", "task", a.task(), "try", a.number, "machine", m.id)
		t.l.Metrics.Moved("lease ran out")
		t.drop(a, taskPending)
	}
}

// othersUntil is until when an earlier leader can have answered a worker that
// has not seen our token: X after a majority took our token, or B at most. One
// that never acknowledged a token of ours has had no acknowledgement from us
// since this term began either, but for a fresh process's empty ones, which say no
// token for X and count as asked for another 2X; then it stops as if alone. (Where
// one zone holds most controllers no majority is left when it is cut off, and what
// ran there was once counted for B.)
func (t *term) othersUntil() time.Time {
	other := t.startedAt.Add(peer.B)
	if t.l.delegationTime > 0 {
		other = t.startedAt.Add(max(t.l.delegationTime, 3*peer.X+time.Second))
	}
	if !t.majorityAckedAt.IsZero() && t.majorityAckedAt.Add(peer.X).Before(other) {
		other = t.majorityAckedAt.Add(peer.X)
	}
	return other
}

// release returns a machine; its tasks count until the cloud has said that
// it is gone.
func (t *term) release(m *machine, why string) {
	if m.releasing || !t.deciding() {
		return
	}
	m.releasing = true
	if m.drain == "" {
		m.drain = why
	}
	t.log().Info("releases", "machine", m.id, "kit", m.kit, "zone", m.zone, "spot", m.spot, "why", why, "tasks", len(m.tasks), "age", time.Since(m.rentedAt))
	t.l.Metrics.Fleet("released", 1)
	t.fleet.toRelease = append(t.fleet.toRelease, m)
	t.sendReleases()
}

// sendReleases has one release request under way at a time; what comes
// meanwhile shares the next one.
func (t *term) sendReleases() {
	if t.fleet.releases || len(t.fleet.toRelease) == 0 {
		return
	}
	n := min(len(t.fleet.toRelease), maxRelease)
	ms := t.fleet.toRelease[:n:n]
	t.fleet.toRelease, t.fleet.releases = t.fleet.toRelease[n:], true
	ids := make([]wire.MachineID, n)
	for i, m := range ms {
		ids[i] = m.id
	}
	go func() {
		wait := 500 * time.Millisecond
		for t.ctx.Err() == nil {
			err := t.l.Cloud.Release(t.ctx, ids)
			if err == nil {
				t.post(func() {
					for _, m := range ms {
						t.wasReleased(m)
					}
					t.fleet.releases = false
					t.sendReleases()
				})
				return
			}
			t.log().Debug("release not answered", "machines", len(ids), "err", err)
			select {
			case <-t.ctx.Done():
			case <-time.After(wait + rand.N(wait/2)):
			}
			wait = min(2*wait, 2*time.Second) // one request at a time, whatever waits
		}
	}()
}

func (t *term) wasReleased(m *machine) {
	t.gone[m.id] = time.Now()
	for _, a := range m.tasks {
		t.l.Metrics.Moved("machine gone")
		t.drop(a, taskPending)
	}
	delete(t.machines, m.id)
	t.requestRound()
}

// resign gives the office up to a node that the workers reach.
func (t *term) resign(why string) {
	t.log().Info("resigns", "why", why)
	t.l.campaignAfter = time.Now().Add(15 * time.Second)
	permit := t.grant
	go t.l.Store.End(context.WithoutCancel(t.ctx), permit) //nolint:errcheck // else it runs out by itself
	t.end(why)
}

// planFleet rents for what can't be placed and returns what is not needed.
func (t *term) planFleet(now time.Time) {
	flavors := t.l.Flavors.Get()
	if !t.recovered || !t.placing || !t.listed || !t.deciding() || flavors == nil || now.Before(t.fleet.cloudDown) {
		return
	}
	// What an earlier leader rented last is not listed yet.
	lag := t.settings.Cloud.ListLagS.Duration()
	v := t.l.Tuning.Get()
	s := &fleet.Snapshot{MaxRents: maxRents, DearLimit: v.DearLimit,
		Cheapest: func(spec *wire.Spec) float64 { return cheapest(flavors, spec) }}
	var order []*machine
	for _, m := range t.machines {
		if m.releasing || m.drain != "" || m.kit == "" {
			continue
		}
		order = append(order, m)
	}
	slices.SortFunc(order, func(a, b *machine) int { return cmp.Compare(a.id, b.id) })
	for _, m := range order {
		f := t.flavor(m.kit)
		if f == nil {
			continue
		}
		fm := fleet.Machine{ID: m.id, Kit: m.kit, Zone: m.zone, Spot: m.spot, Total: t.total(m), Free: t.free(m), Booting: m.booting,
			PaidS: 60 - now.Sub(m.rentedAt).Seconds(), Price: f.Price(m.spot), KeepS: v.KeepBoots * float64(f.BootTime)}
		if m.booting && now.Sub(m.rentedAt) > f.BootTime.Duration()*2 {
			continue // not to be counted on
		}
		if !m.booting && t.silence(m, now) > 3*report(t) || t.behindCut(m, now) || t.mute(m, now) {
			continue
		}
		for _, a := range m.tasks {
			if a.job.spec.Service() {
				fm.Services++
				continue
			}
			in := a.job.expected()
			if !a.runningSince.IsZero() {
				in -= now.Sub(a.runningSince).Seconds()
			}
			res := a.res()
			fm.Soon = append(fm.Soon, fleet.Soon{InS: max(in, 1), Room: res})
			if res.CPUs > fm.Unit.CPUs {
				fm.Unit = res
			}
		}
		slices.SortFunc(fm.Soon, func(a, b fleet.Soon) int { return cmp.Compare(a.InS, b.InS) })
		if !m.booting && len(m.tasks) == 0 && len(m.strays) == 0 {
			fm.Idle, fm.IdleS = true, now.Sub(latest(m.usedAt, m.upAt)).Seconds()
		}
		s.Machines = append(s.Machines, fm)
	}
	for _, b := range t.fleet.bookings {
		if f := t.flavor(b.Type); f != nil {
			total := placement.Res{CPUs: f.CPUs, Cards: f.GPUs, RAM: f.MemoryGB}
			for range b.Count {
				s.Machines = append(s.Machines, fleet.Machine{Kit: b.Type, Zone: b.Zone, Spot: b.Spot, Total: total, Free: total, Booting: true, Price: f.Price(b.Spot)})
			}
		}
	}
	if now.Sub(t.startedAt) > lag+time.Second {
		s.Offers = t.offers(flavors, now)
	}
	s.Demands = t.demands(now, v.StretchShare, v.SpareUnits)
	s.Demands = append(s.Demands, t.nextDemands(v.SpareGangs, now)...)
	plan := fleet.Make(s)
	for _, r := range plan.Rents {
		for left := r.Count; left > 0; left -= maxBooking {
			r.Count = min(left, maxBooking)
			t.rent(r)
		}
	}
	for _, m := range order {
		m.cordoned = false
	}
	for _, id := range plan.Cordons {
		t.machines[id].cordoned = true
	}
	for _, id := range plan.Releases {
		if m := t.machines[id]; m != nil && len(m.tasks) == 0 {
			t.release(m, "idle")
		}
	}
}

func (t *term) offers(flavors []wire.MachineSpec, now time.Time) []fleet.Offer {
	var out []fleet.Offer
	for _, f := range flavors {
		for _, z := range f.Zones {
			for _, spot := range []bool{false, true} {
				if b := t.fleet.offers[offerID{f.Name, z, spot}]; b != nil && now.Before(b.until) || t.isCut(z, now) {
					continue // refused, or not to be heard of for now
				}
				if t.booked(offerID{f.Name, z, spot}) {
					continue // one unresolved booking for each
				}
				out = append(out, fleet.Offer{Kit: f.Name, Zone: z, Spot: spot, Total: placement.Res{CPUs: f.CPUs, Cards: f.GPUs, RAM: f.MemoryGB},
					Price: f.Price(spot), PullRate: f.FetchGBPerS, Room: offerRoom})
			}
		}
	}
	return out
}

// cheapest is the lowest price of room for one task of the job.
func cheapest(flavors []wire.MachineSpec, s *wire.Spec) float64 {
	best := math.Inf(1)
	for i := range flavors {
		f := &flavors[i]
		if !f.Fits(s) {
			continue
		}
		n := placement.Of(s).Units(placement.Res{CPUs: f.CPUs, Cards: f.GPUs, RAM: f.MemoryGB})
		best = min(best, f.OnDemandPrice/float64(n))
		if s.SpotAllowed {
			best = min(best, f.SpotPrice/float64(n))
		}
	}
	return best
}

func (t *term) booked(o offerID) bool {
	for _, b := range t.fleet.bookings {
		if (offerID{b.Type, b.Zone, b.Spot}) == o {
			return true
		}
	}
	return false
}

// demands of the jobs that wait. An array need not run all at once: its work
// may be stretched over a share of what its deadline leaves.
func (t *term) demands(now time.Time, stretch, spareUnits float64) []fleet.Demand {
	jobs := make([]*job, 0, len(t.jobs))
	for _, j := range t.jobs {
		if !j.cancelled && !j.finished && j.pending() > 0 && j.failures < 3 {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	waits := t.queueing(jobs, now)
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
			units = t.parallel(j, now, stretch)
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
		case j.spec.Gang() && t.starves(j, now):
			d.Rank += 5
			d.Dear = math.Inf(1)
		case t.starves(j, now):
			// Room is had for its first task at any price.
			first := d
			first.Units, first.Rank, first.Dear = 1, d.Rank+5, math.Inf(1)
			out = append(out, first)
			d.Units--
		}
		d.Dear = max(d.Dear, t.dearer(j, waits[j], now))
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

// nextDemands are for the room that is kept for the next gangs. It goes before
// the arrays and behind services and their spare room.
func (t *term) nextDemands(times float64, now time.Time) []fleet.Demand {
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

// due is when the job should be complete, counted from its submission: what
// its owner says, else what the users' aims say of its class, else a few times
// its expected run time. Aims may name several times for a class; the first
// that can still be met counts, else the last.
func (t *term) due(j *job, now time.Time) float64 {
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
	return t.due(j, now) - now.Sub(j.acceptedAt).Seconds() - j.expected()
}

const (
	// dearStretch is how far beyond the limit a job may rent that would be
	// late otherwise, if its class's aim is above dearShare or it has waited for
	// half of startBy.
	dearStretch = 1.35
	dearShare   = 0.9
	// startBy is when every job should have begun, whatever else waits. Half
	// of it may pass before the exception is made that sees to it.
	startBy = 4 * time.Minute
)

// queueing predicts how long each waiting array will wait for the room there
// is: the work that goes before it, and half of its own, over the processors
// that work on arrays now or soon. Room that is rented shortens the wait, so
// that a steady overload rents as much dear room as it needs and a short rush
// none.
func (t *term) queueing(jobs []*job, now time.Time) map[*job]float64 {
	room := 0.0
	for _, m := range t.machines {
		if !m.releasing && m.drain == "" {
			room += t.total(m).CPUs
		}
	}
	for _, b := range t.fleet.bookings {
		if f := t.flavor(b.Type); f != nil {
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
	t.fleet.backlog = ahead / max(1, room)
	return out
}

// dearer tells how far a job may go beyond the limit on the price: it would
// be late if it waited for cheap room, and dear room brings it home in time.
func (t *term) dearer(j *job, wait float64, now time.Time) float64 {
	share := 0.0
	for _, o := range t.settings.Objectives {
		if o.Class == j.spec.Class && (o.Kind == "finished" || o.Kind == "deadline") {
			share = max(share, o.Share)
		}
	}
	// A class that may miss its time more often waits for cheap room first, but
	// not for ever: cheap room alone may never catch up. (With 24 cheap machines
	// of 40 a backlog of 16 minutes grew, and no ordinary one was rented.)
	patient := share <= dearShare && now.Sub(j.acceptedAt) < startBy/2
	if j.spec.Service() || patient {
		return 1
	}
	boot := math.Inf(1)
	for _, f := range t.l.Flavors.Get() {
		if f.Fits(&j.spec) && f.FetchGBPerS > 0 {
			boot = min(boot, float64(f.BootTime)+j.spec.ImageGB/f.FetchGBPerS)
		}
	}
	due, age := t.due(j, now), now.Sub(j.acceptedAt).Seconds()
	if age+wait+j.expected() > due && age+boot+j.expected() < due {
		return dearStretch
	}
	return 1
}

// starves tells whether an array has waited so long without a start that its
// first task goes before everything but services. Little work left, prices
// and priorities order the rest; under a steady overload they would keep a
// large or cheap job waiting for ever. So it is with one that has begun and of
// which nothing has run for as long: when the cheap machines that it was on had
// been taken and there were no more of them, the rest of it was never run.
func (t *term) starves(j *job, now time.Time) bool {
	return !j.spec.Service() && j.held == 0 && now.Sub(j.acceptedAt) > startBy/2 && (j.done == 0 || now.Sub(latest(j.lastHeldAt, t.startedAt)) > startBy/2)
}

// parallel is how many of a job's waiting tasks should run at a time.
func (t *term) parallel(j *job, now time.Time, stretch float64) int {
	n := j.pending()
	est := max(1, j.expected())
	window := (t.due(j, now) - now.Sub(j.acceptedAt).Seconds()) * stretch
	rounds := max(1, int(window/est))
	return (n + rounds - 1) / rounds
}

// rent books machines and keeps asking under the same name until the cloud
// has answered.
func (t *term) rent(r fleet.Rent) {
	t.fleet.seq++
	b := &booking{RentalRequest: wire.RentalRequest{Name: fmt.Sprintf("b-%d-%d", t.firstToken, t.fleet.seq), Type: r.Kit, Zone: r.Zone, Spot: r.Spot, Count: r.Count}, since: time.Now()}
	t.fleet.bookings[b.Name] = b
	t.log().Info("rents", "kit", b.Type, "zone", b.Zone, "spot", b.Spot, "count", b.Count, "for", r.For, "booking", b.Name)
	go func() {
		wait := 400 * time.Millisecond
		unsure := false
		for t.ctx.Err() == nil {
			hosts, err := t.l.Cloud.Rent(t.ctx, b.RentalRequest)
			// After a lost answer only a repeat under the same name tells
			// what was rented; a refusal of the repeat tells nothing.
			unsure = unsure || err != nil && !errors.Is(err, cloud.ErrBusy) && !errors.Is(err, cloud.ErrNoCapacity) && !errors.Is(err, cloud.ErrInvalid)
			if err == nil || !unsure || errors.Is(err, cloud.ErrNoCapacity) || errors.Is(err, cloud.ErrInvalid) {
				t.post(func() { t.rented(b, hosts, err) })
				return
			}
			select {
			case <-t.ctx.Done():
			case <-time.After(wait + rand.N(wait/2)):
			}
			wait = min(2*wait, 5*time.Second)
		}
	}()
}

func (t *term) rented(b *booking, hosts []wire.MachineID, err error) {
	now := time.Now()
	delete(t.fleet.bookings, b.Name)
	id := offerID{b.Type, b.Zone, b.Spot}
	o := t.fleet.offers[id]
	if o == nil {
		o = &backoff{}
		t.fleet.offers[id] = o
	}
	switch {
	case err == nil:
		t.l.Metrics.Fleet("rented", len(hosts))
		t.fleet.downWait = 0
		for _, h := range hosts {
			if _, gone := t.gone[h]; gone {
				continue
			}
			m := t.machine(h)
			if m.upAt.IsZero() {
				m.kit, m.zone, m.spot, m.booting, m.rentedAt = b.Type, b.Zone, b.Spot, true, b.since
			}
		}
		if len(hosts) < b.Count {
			o.wait = 8 * time.Second
			o.until = now.Add(o.wait)
			t.log().Info("booking only partly filled", "booking", b.Name, "got", len(hosts), "of", b.Count)
		} else {
			o.wait = 0
		}
	case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrInvalid):
		o.wait = min(max(5*time.Second, o.wait*2), 40*time.Second)
		o.until = now.Add(o.wait + rand.N(o.wait/4))
		t.log().Info("no capacity", "kit", b.Type, "zone", b.Zone, "spot", b.Spot, "again_in", o.wait, "err", err)
	case now.Before(t.fleet.cloudDown):
		// Asked beside one that was refused before: the same trouble. (The
		// bookings of one plan once made each other wait for ten seconds.)
	default:
		// Busy or down: certainly not rented; the want is judged anew later.
		t.fleet.downWait = min(max(500*time.Millisecond, t.fleet.downWait*2), 5*time.Second)
		t.fleet.cloudDown = now.Add(t.fleet.downWait + rand.N(t.fleet.downWait))
		t.log().Info("cloud busy or down", "again_in", t.fleet.downWait, "err", err)
	}
}
