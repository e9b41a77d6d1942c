package simulator

import (
	"context"
	"slices"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// odd is what may happen to workers and their messages beside cuts: reports
// that are copied or held up on their way, and machines that hang. The world's
// lock guards it.
type odd struct {
	kept   map[wire.MachineID][]wire.Report // nil: none are kept
	held   map[wire.MachineID]bool          // their next reports arrive nowhere
	share  float64                          // of the reports that are copied
	after  [2]time.Duration                 // when the copies come
	copies int                              // that came
	older  int                              // of these, after a newer report of their machine
	hung   map[wire.MachineID]chan struct{} // closed when the machine goes on
	hangs  map[wire.MachineID]time.Duration // how long each hung until now
	since  map[wire.MachineID]time.Time     // when it last began to hang
	lag    Lag
	late   map[wire.Verb]int // commands that came late, and direct ones answered late
}

// Lag is how long the network holds up what goes between a machine and the
// node that commands it.
type Lag struct {
	Command time.Duration // a direct command
	Answer  time.Duration // the answer to one
	Hello   time.Duration // the answer to a report
}

// KeepReports keeps every report that is made from now on.
func (w *World) KeepReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.odd.kept = map[wire.MachineID][]wire.Report{}
}

// Kept are the reports of a machine that were kept, in order.
func (w *World) Kept(id wire.MachineID) []wire.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.odd.kept[id])
}

// HoldReports holds up the reports of a machine on their way, as if each had
// been sent and not arrived. They can be handed over later.
func (w *World) HoldReports(id wire.MachineID, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.odd.held == nil {
		w.odd.held = map[wire.MachineID]bool{}
	}
	w.odd.held[id] = on
}

// CopyShare makes copies of a share of all reports come to all nodes again,
// between the two times after they were sent.
func (w *World) CopyShare(share float64, from, to time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.odd.share, w.odd.after = share, [2]time.Duration{from, to}
}

// Copied is how many copies came, and how many of them after a newer report.
func (w *World) Copied() (all, older int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.odd.copies, w.odd.older
}

// reported notes a report that is about to be sent and tells whether it is
// held up; call with the lock held.
func (w *World) reported(m *worker, rep wire.Report) bool {
	o := &w.odd
	if o.kept != nil {
		o.kept[m.id] = append(o.kept[m.id], rep)
	}
	if o.share > 0 && w.rng.Float64() < o.share {
		after := o.after[0] + time.Duration(w.rng.Float64()*float64(o.after[1]-o.after[0]))
		w.spawn(func() {
			sleep(w.ctx, after)
			w.Hand(rep)
		})
	}
	return o.held[m.id]
}

// LagCommands holds up commands and answers of all machines from now on; a
// zero lag ends it.
func (w *World) LagCommands(l Lag) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.odd.lag = l
}

// Answered is the verb under which direct commands are counted whose answers
// came late.
const Answered wire.Verb = "answered"

// Late is how many direct launches or halts came after they had been held up
// or had waited for a machine that hung, how many direct commands were executed
// and answered late, and how many orders to forget were executed late.
func (w *World) Late(v wire.Verb) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.odd.late[v]
}

// lag of commands now.
func (m *worker) lag() Lag {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.w.odd.lag
}

// isLate counts what came late; call with the lock held.
func (w *World) isLate(since time.Time, orders []wire.Command, which ...wire.Verb) {
	if time.Since(since) < time.Second {
		return
	}
	if w.odd.late == nil {
		w.odd.late = map[wire.Verb]int{}
	}
	for _, o := range orders {
		if slices.Contains(which, o.Verb) {
			w.odd.late[o.Verb]++
		}
	}
}

// Handed is how a node answered a report that was handed to it.
type Handed struct {
	Node   int
	Report wire.Report
	Status int
	Baton  wire.Token // of a 200
	Newer  bool       // the machine had made a newer message before it came
}

// Hand hands reports to all nodes at once, as the network does with packets
// that it had held, and waits for the answers, which reach no worker.
func (w *World) Hand(reps ...wire.Report) []Handed {
	out := make([]Handed, 0, len(reps)*len(w.nodes))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, rep := range reps {
		w.mu.Lock()
		w.odd.copies++
		m := w.machines[rep.Machine]
		newer := m != nil && (m.shift > rep.Session || m.shift == rep.Session && m.tally > rep.Sequence)
		if newer {
			w.odd.older++
		}
		w.mu.Unlock()
		for i := range w.nodes {
			wg.Go(func() {
				status, raw, _ := w.Ask(i, "POST", "/hello", rep)
				h := Handed{Node: i, Report: rep, Status: status, Newer: newer}
				var o wire.Commands
				if status == 200 && wire.Decode(raw, &o) == nil {
					h.Baton = o.Token
				}
				mu.Lock()
				out = append(out, h)
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	return out
}

// Holder is who holds the office by the state service's word, -1 if nobody, and
// the revision of its key.
func (w *World) Holder() (int, wire.Token) {
	i, at := w.Leader(), w.LeadStamp()
	if i < 0 || at == 0 {
		return -1, 0
	}
	return i, wire.Token(at)
}

// Life is a machine's session, the number of its last message and the highest
// token it has seen; zero if it is gone.
func (w *World) Life(id wire.MachineID) (wire.Session, wire.Sequence, wire.Token) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[id]; m != nil {
		return m.shift, m.tally, m.baton
	}
	return 0, 0, 0
}

// Working lists the machines of a zone (empty: of all) that run tasks.
func (w *World) Working(z wire.Zone) []wire.MachineID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.MachineID
	for _, p := range w.check.on {
		if (z == "" || p.Zone == z) && !slices.Contains(out, p.Machine) {
			out = append(out, p.Machine)
		}
	}
	slices.Sort(out)
	return out
}

// Deafen makes machines ones that nothing reaches, or no more.
func (w *World) Deafen(on bool, ids ...wire.MachineID) {
	for _, id := range ids {
		w.Net.Deafen(w.IP(id), on)
	}
}

// Mute makes machines ones that can open no connection, or no more. What
// others open to them works.
func (w *World) Mute(on bool, ids ...wire.MachineID) {
	for _, id := range ids {
		w.Net.Mute(w.IP(id), on)
	}
}

// Hang makes machines hang, or go on. One that hangs reports nothing, answers
// nothing and does no work, and its lease runs on. When it goes on, it looks at
// its lease first and then at the commands that wait for it.
func (w *World) Hang(on bool, ids ...wire.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := &w.odd
	if o.hung == nil {
		o.hung, o.hangs, o.since = map[wire.MachineID]chan struct{}{}, map[wire.MachineID]time.Duration{}, map[wire.MachineID]time.Time{}
	}
	for _, id := range ids {
		c := o.hung[id]
		switch {
		case on && c == nil:
			o.hung[id], o.since[id] = make(chan struct{}), time.Now()
		case !on && c != nil:
			delete(o.hung, id)
			o.hangs[id] += time.Since(o.since[id])
			if m := w.machines[id]; m != nil {
				m.outlive()
			}
			close(c)
		}
	}
}

// awake waits while the machine hangs.
func (m *worker) awake(ctx context.Context) {
	for {
		m.w.mu.Lock()
		c := m.w.odd.hung[m.id]
		m.w.mu.Unlock()
		if c == nil {
			return
		}
		select {
		case <-c:
		case <-ctx.Done():
			return
		}
	}
}

// work takes a time in which the machine does not hang.
func (m *worker) work(ctx context.Context, d time.Duration) {
	hung := func() time.Duration {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		return m.w.odd.hangs[m.id]
	}
	for d > 0 && ctx.Err() == nil {
		m.awake(ctx)
		before := hung()
		sleep(ctx, d)
		m.awake(ctx)
		d = hung() - before
	}
}

// Mute makes a host one that can open no connection, and ends those that it
// opened, or lets it again.
func (n *Network) Mute(ip string, on bool) {
	n.mu.Lock()
	if n.mute == nil {
		n.mute = map[string]bool{}
	}
	n.mute[ip] = on
	n.mu.Unlock()
	if on {
		for _, c := range n.matching(func(c *conn) bool { return string(c.local) == ip+":0" }) {
			c.shut(func(p *pipe) { p.reset = true })
		}
	}
}

// SlowLink makes what one host sends to another take so much longer; 0: as usual.
func (n *Network) SlowLink(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lag == nil {
		n.lag = map[[2]string]time.Duration{}
	}
	n.lag[[2]string{from, to}] = d
}

// All lists the machines that are up.
func (w *World) All() []wire.MachineID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.MachineID
	for id, m := range w.machines {
		if m.up {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
