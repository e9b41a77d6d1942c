package upgrade_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// controllers of the tests.
var controllers = []duty.NodeID{"a", "b", "c"}

// deployment of processes around a simulated state service, in virtual time.
type deployment struct {
	t       *testing.T
	ctx     context.Context
	network *simulator.Network
	state   *simulator.State

	mu        sync.Mutex // guards what follows: processes' own goroutines use it too
	processes map[duty.NodeID]*process
	// lag is how old what the others know of a controller's process may be.
	lag      time.Duration
	events   []string
	replaced map[duty.NodeID]replaced
}

// replaced is a controller's last process, and when it ended.
type replaced struct {
	incarnation string
	at          time.Time
}

// process of a controller.
type process struct {
	*upgrade.Member
	end context.CancelFunc
}

func inDeployment(t *testing.T, f func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &deployment{t: t, ctx: ctx, network: simulator.NewNetwork(time.Millisecond), state: simulator.NewState(12, 16), processes: map[duty.NodeID]*process{}, replaced: map[duty.NodeID]replaced{}}
		stop, err := d.network.ServeState(d.state)
		if err != nil {
			t.Fatal(err)
		}
		f(d)
		cancel()
		stop()
	})
}

func (d *deployment) client(host int) *store.Client {
	limits := config.State{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
	return store.New(simulator.StateAddr, limits, 3, d.network.Host(simulator.NodeIP(host)))
}

// start replaces a controller's process.
func (d *deployment) start(node duty.NodeID, understands upgrade.Range) *process {
	d.stop(node)
	ctx, cancel := context.WithCancel(d.ctx)
	m, err := upgrade.NewMember(upgrade.Options{Node: node, Supports: understands, Store: d.client(slices.Index(controllers, node)), PollInterval: time.Second,
		Observe: func(e upgrade.Event) { d.recordEvent(node, e) }})
	if err != nil {
		d.t.Fatal(err)
	}
	p := &process{m, cancel}
	d.setProcess(node, p)
	go m.Run(ctx)
	return p
}

// process returns a controller's process, nil if none runs.
func (d *deployment) process(node duty.NodeID) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[node]
}

func (d *deployment) setProcess(node duty.NodeID, p *process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[node] = p
}

// running returns the controllers' processes.
func (d *deployment) running() map[duty.NodeID]*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.processes)
}

func (d *deployment) setLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

func (d *deployment) recordEvent(node duty.NodeID, e upgrade.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprint(node, " ", e.Kind, " ", e.Version))
}

// observedEvents returns the events so far.
func (d *deployment) observedEvents() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.events)
}

func (d *deployment) stop(node duty.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.processes[node]; p != nil {
		p.end()
		d.replaced[node] = replaced{p.Incarnation(), time.Now()}
		delete(d.processes, node)
	}
}

// lease is one that a process of its own holds.
func (d *deployment) lease() *duty.Lease {
	timing := duty.Timing{TTL: 3 * time.Second, RenewEvery: 700 * time.Millisecond, RenewTimeout: time.Second, Poll: 100 * time.Millisecond, Margin: 150 * time.Millisecond}
	l := duty.NewCandidate(duty.Options{Key: store.LeaderKey, Node: "lead", Store: d.client(5), Timing: timing}).Campaign(d.ctx)
	go l.Keep(d.ctx, func(time.Time) {}) //nolint:errcheck // the tests look at the lease
	return l
}

// known is what a holder of the lease knows beside the records.
func (d *deployment) known(ceiling upgrade.Version) upgrade.Deployment {
	return upgrade.Deployment{Controllers: controllers, Ceiling: ceiling, Present: func(node duty.NodeID) string {
		d.mu.Lock()
		defer d.mu.Unlock()
		if r := d.replaced[node]; !r.at.IsZero() && time.Since(r.at) < d.lag {
			return r.incarnation
		}
		if p := d.processes[node]; p != nil {
			return p.Incarnation()
		}
		return ""
	}}
}

// advance has a controller's process try to switch.
func (d *deployment) advance(l *duty.Lease, by duty.NodeID, ceiling upgrade.Version) (upgrade.Version, error) {
	permit, err := duty.PermitFor[duty.Cleanup](l)
	if err != nil {
		return 0, err
	}
	return d.process(by).Advance(d.ctx, permit, d.known(ceiling))
}

// active is the version that is recorded.
func (d *deployment) active() upgrade.Version {
	var r upgrade.ActiveRecord
	if raw := d.state.Value(upgrade.ActiveKey); len(raw) > 0 && wire.Decode(raw, &r) == nil {
		return r.Version
	}
	return upgrade.Base
}

var (
	oldOnly = upgrade.Range{Min: 1, Max: 1}
	both    = upgrade.Range{Min: 1, Max: 2}
	later   = upgrade.Range{Min: 2, Max: 3}
)

// The version moves up once all support it, within what the operators allow; a process
// that does not understand it does not serve, and one that the switch overtakes while it
// publishes neither.
func TestSwitch(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		l := d.lease()
		for _, node := range controllers {
			d.start(node, both)
		}
		d.start("c", oldOnly)
		time.Sleep(3 * time.Second)
		if v, err := d.advance(l, "a", 0); v != 1 || !errors.Is(err, upgrade.ErrNotReady) {
			t.Errorf("with an old one: %d, %v", v, err)
		}
		d.start("c", both)
		time.Sleep(3 * time.Second)
		if v, err := d.advance(l, "a", 1); v != 1 || !errors.Is(err, upgrade.ErrNotReady) {
			t.Errorf("held back: %d, %v", v, err)
		}
		// An old process publishes between the look at the records and the switch.
		d.state.DelayTransactions(func(x *wire.Txn) time.Duration {
			if x.Writes[0].Put == upgrade.ActiveKey {
				return time.Second
			}
			return 0
		})
		done := make(chan error, 1)
		go func() {
			_, err := d.advance(l, "a", 0)
			done <- err
		}()
		time.Sleep(100 * time.Millisecond)
		old := d.start("c", oldOnly)
		var conflict *duty.ConflictError
		if err := <-done; !errors.As(err, &conflict) || !conflict.Has(upgrade.SupportKey("c")) || d.active() != 1 {
			t.Errorf("an old one published meanwhile: %v, %d is active", err, d.active())
		}
		if err := old.MayServe(); err != nil {
			t.Errorf("the old one: %v", err)
		}
		// And the other way round: the switch comes between the look and its writing.
		d.start("c", both)
		time.Sleep(3 * time.Second)
		d.state.DelayTransactions(func(x *wire.Txn) time.Duration {
			if x.Writes[0].Put == upgrade.SupportKey("b") {
				return time.Second
			}
			return 0
		})
		d.setLag(time.Second)
		old = d.start("b", oldOnly)
		time.Sleep(100 * time.Millisecond)
		if v, err := d.advance(l, "a", 0); err != nil || v != 2 {
			t.Errorf("%d, %v", v, err)
		}
		d.state.DelayTransactions(nil)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if old.MayServe() == nil {
				t.Fatal("an old process serves that the switch has overtaken")
			}
		}
		if err := old.MayServe(); !errors.Is(err, upgrade.ErrTooOld) {
			t.Errorf("overtaken by the switch: %v", err)
		}
		if v, err := d.process("a").ReadActive(d.ctx); v != 2 || err != nil {
			t.Errorf("read: %d, %v", v, err)
		}
		if g, v := d.process("a").ActiveVersionGuard(); v != 2 || g.Key != upgrade.ActiveKey || g.Revision != d.state.Revision(upgrade.ActiveKey) {
			t.Errorf("guard %+v of version %d", g, v)
		}
		for _, event := range []string{"c versions published 1", "a version switched 2", "b version refused 2"} {
			if !slices.Contains(d.observedEvents(), event) {
				t.Errorf("%q was not told: %q", event, d.observedEvents())
			}
		}
		tooNew := d.start("c", upgrade.Range{Min: 3, Max: 4})
		time.Sleep(3 * time.Second)
		if err := tooNew.MayServe(); !errors.Is(err, upgrade.ErrTooNew) {
			t.Errorf("too new: %v", err)
		}
	})
}

// Whatever programs replace each other, whatever becomes of writes and whoever tries to
// switch: no process serves that does not understand what is active, at any moment.
func TestNoProcessServesBeyondItsRange(t *testing.T) {
	const seeds = 12
	switches := 0
	for seed := range uint64(seeds) {
		inDeployment(t, func(d *deployment) {
			d.setLag(time.Second)
			rng := rand.New(rand.NewPCG(seed, 9))
			l := d.lease()
			ranges := []upgrade.Range{oldOnly, both, both, {Min: 1, Max: 3}, later, later}
			// Newer programs become more common as time goes by.
			draw := func(step int) upgrade.Range { return ranges[min(len(ranges)-1, rng.IntN(2+step/60))] }
			for _, node := range controllers {
				d.start(node, oldOnly)
			}
			d.state.InjectTxnFaults(seed, simulator.TxnFault{Prefix: upgrade.Prefix, Share: 0.15}, simulator.TxnFault{Prefix: upgrade.Prefix, Share: 0.15, Late: [2]time.Duration{100 * time.Millisecond, 4 * time.Second}})
			last := upgrade.Base
			for step := range 400 {
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
				node := controllers[rng.IntN(len(controllers))]
				switch rng.IntN(12) {
				case 0:
					d.start(node, draw(step))
				case 1:
					d.stop(node)
				case 2, 3, 4, 5:
					if d.process(node) != nil {
						go d.advance(l, node, 0) //nolint:errcheck // what is recorded is looked at
					}
				case 6:
					if d.process(node) == nil {
						d.start(node, draw(step))
					}
				}
				active := d.active()
				if active < last {
					t.Fatalf("seed %d: from version %d down to %d", seed, last, active)
				}
				if active > last {
					switches++
				}
				last = active
				for node, p := range d.running() {
					if p.MayServe() == nil && !p.Supports.Contains(active) {
						t.Fatalf("seed %d, step %d: %s serves with %v while %d is active", seed, step, node, p.Supports, active)
					}
				}
			}
		})
	}
	if switches < seeds/2 {
		t.Errorf("only %d switches in %d runs", switches, seeds)
	}
}

// What others tell of the active version counts at once, before the records are read.
func TestLearn(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		d.state.Outage(true)
		p := d.start("a", oldOnly)
		time.Sleep(2 * time.Second)
		if err := p.Understands(); !errors.Is(err, upgrade.ErrUnknown) {
			t.Errorf("nothing known: %v", err)
		}
		p.Learn(1)
		if p.Understands() != nil || !errors.Is(p.MayServe(), upgrade.ErrNotPublished) {
			t.Errorf("told of version 1: %v, %v", p.Understands(), p.MayServe())
		}
		p.Learn(2)
		p.Learn(1)
		if err := p.Understands(); !errors.Is(err, upgrade.ErrTooOld) || p.Active() != 2 {
			t.Errorf("told of version 2: %v", err)
		}
	})
}

// A process whose record is removed publishes again and serves all the while; one whose
// record another process has written serves no more.
func TestRecordRemovedOrTaken(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		p := d.start("a", both)
		time.Sleep(3 * time.Second)
		d.state.Delete(upgrade.SupportKey("a"))
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if err := p.MayServe(); err != nil {
				t.Fatalf("removed: %v", err)
			}
		}
		if d.state.Revision(upgrade.SupportKey("a")) == 0 {
			t.Error("not published again")
		}
		d.state.Put(upgrade.SupportKey("a"), upgrade.SupportRecord{Min: 1, Max: 2, Incarnation: "another"})
		time.Sleep(3 * time.Second)
		if err := p.MayServe(); !errors.Is(err, upgrade.ErrReplaced) {
			t.Errorf("taken: %v", err)
		}
		d.state.Delete(upgrade.SupportKey("a"))
		time.Sleep(3 * time.Second)
		if err := p.MayServe(); !errors.Is(err, upgrade.ErrReplaced) {
			t.Errorf("taken, then removed: %v", err)
		}
	})
}

// Operators see each controller, and why it holds up the next version.
func TestStatus(t *testing.T) {
	inDeployment(t, func(d *deployment) {
		p := d.start("a", both)
		d.start("b", both)
		time.Sleep(3 * time.Second)
		d.stop("b")
		d.state.Put(upgrade.SupportKey("c"), "no record")
		look := func() string {
			s, err := p.Look(d.ctx, d.known(0))
			if err != nil || s.Active != 1 || s.Next != 2 {
				t.Errorf("%+v, %v", s, err)
			}
			var out []string
			for _, c := range s.Controllers {
				out = append(out, fmt.Sprintf("%s %d-%d %s", c.Node, c.Min, c.Max, c.Missing))
			}
			return strings.Join(out, "; ")
		}
		if got, want := look(), fmt.Sprintf("a 1-2 ; b 1-2 %s; c 0-0 %s", upgrade.NotInContact, upgrade.UndecodableRecord); got != want {
			t.Errorf("shown %q, want %q", got, want)
		}
		d.state.Delete(upgrade.SupportKey("c"))
		d.setProcess("b", &process{p.Member, func() {}}) // one that has not published
		if got, want := look(), fmt.Sprintf("a 1-2 ; b 1-2 %s; c 0-0 %s", upgrade.OtherIncarnation, upgrade.NothingPublished); got != want {
			t.Errorf("shown %q, want %q", got, want)
		}
	})
	for _, r := range []upgrade.Range{{}, {Min: 2, Max: 1}} {
		if _, err := upgrade.NewMember(upgrade.Options{Supports: r}); err == nil {
			t.Errorf("%v is taken", r)
		}
	}
}
