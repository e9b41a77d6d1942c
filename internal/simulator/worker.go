package simulator

import (
	"context"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// worker is one machine's agent. The world's lock guards it.
type worker struct {
	w      *World
	id     wire.MachineID
	ip     string
	addr   string
	kit    wire.MachineType
	zone   wire.Zone
	spot   bool
	flavor wire.MachineSpec
	rented time.Time
	ctx    context.Context
	cancel context.CancelFunc

	up       bool
	upAt     time.Time
	dead     bool
	sick     bool
	stalled  bool
	unlisted bool
	notice   time.Time
	shift    wire.Session
	tally    wire.Sequence
	baton    wire.Token
	answered time.Time // sending time of the last answered report
	drift    float64
	tasks    map[wire.Task]*run
	cached   map[wire.ImageID]bool
	poke     chan struct{}
	life     int         // counts the machine's own restarts
	sent     wire.Report // the last report
}

type run struct {
	try    wire.Attempt
	phase  wire.TaskPhase
	cause  wire.ExitCause
	saved  bool
	cancel context.CancelFunc
}

// changed makes the worker report soon; call with the lock held.
func (m *worker) changed() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// report of now; call with the lock held.
func (m *worker) report() wire.Report {
	m.tally++
	r := wire.Report{Machine: m.id, Addr: m.addr, Type: m.kit, Zone: m.zone, Spot: m.spot, Session: m.shift, Sequence: m.tally, Token: m.baton, Tasks: []wire.TaskState{}}
	if !m.notice.IsZero() {
		left := wire.Seconds(max(0, time.Until(m.notice).Seconds()))
		r.SpotNotice = &left
	}
	for t, x := range m.tasks {
		r.Tasks = append(r.Tasks, wire.TaskState{Task: t.String(), Attempt: x.try, Phase: x.phase, Cause: x.cause, Saved: x.saved})
	}
	return r
}

// live serves commands and reports until the machine is gone.
func (m *worker) live() {
	w := m.w
	w.mu.Lock()
	if m.dead {
		w.mu.Unlock()
		return
	}
	m.up, m.upAt, m.answered = true, time.Now(), time.Now()
	w.mu.Unlock()
	s := w.serve(m.addr, http.HandlerFunc(m.handle))
	w.spawn(func() {
		<-m.ctx.Done()
		s.Close()
	})
	w.spawn(m.lease)
	hc := &http.Client{Transport: w.host(m.ip).Transport(1, 1)}
	at := 0
	for m.ctx.Err() == nil {
		m.awake(m.ctx)
		w.mu.Lock()
		rep, life := m.report(), m.life
		m.sent = rep
		held := w.reported(m, rep)
		w.mu.Unlock()
		sent := time.Now()
		status, body := 0, []byte(nil)
		if held {
			sleep(m.ctx, giveUp)
		} else {
			status, body = m.post(hc, "http://"+NodeIP(at)+":8080/hello", rep)
		}
		sleep(m.ctx, m.lag().Hello)
		if m.awake(m.ctx); time.Since(sent) > giveUp {
			status = 0 // it hung meanwhile
		}
		again := false
		switch status {
		case http.StatusOK:
			var o wire.Commands
			if wire.Decode(body, &o) == nil {
				m.obey(&o, life, rep.Session, sent)
			}
		case http.StatusMisdirectedRequest:
			var e wire.Redirect
			hc.CloseIdleConnections()
			if wire.Decode(body, &e) == nil && e.ReportsTo != "" && parseID(string(e.ReportsTo)) != at {
				at = parseID(string(e.ReportsTo))
				again = true
			} else {
				at = (at + 1) % len(w.nodes)
				sleep(m.ctx, time.Second)
				continue
			}
		default:
			hc.CloseIdleConnections()
			at = (at + 1) % len(w.nodes)
			sleep(m.ctx, time.Second)
			continue
		}
		if again {
			sleep(m.ctx, 250*time.Millisecond)
			continue
		}
		sleep(m.ctx, 500*time.Millisecond)
		select {
		case <-m.ctx.Done():
		case <-m.poke:
		case <-time.After(w.Set.Workers.ReportS.Duration() - 500*time.Millisecond):
		}
	}
	hc.CloseIdleConnections()
}

// giveUp is how long a worker waits for the answer to a report.
const giveUp = 4 * time.Second

func (m *worker) post(hc *http.Client, url string, v any) (int, []byte) {
	ctx, cancel := context.WithTimeout(m.ctx, giveUp)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, hc, "POST", url, v, wire.MaxBody)
	if err != nil {
		return 0, nil
	}
	return status, raw
}

// obey takes the answer of a report that was sent in the given session.
func (m *worker) obey(o *wire.Commands, life int, shift wire.Session, sent time.Time) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.dead || o.Token < m.baton || o.Token == 0 || shift != m.shift || life != m.life {
		return
	}
	m.see(o.Token)
	m.answered = sent
	m.execute(o.Commands)
	m.w.isLate(sent, o.Commands, wire.Forget)
}

func (m *worker) see(b wire.Token) {
	if b > m.baton {
		m.baton = b
		m.changed()
	}
}

// lease ends the session when no report was answered for its time, by the
// worker's own clock.
func (m *worker) lease() {
	for m.ctx.Err() == nil {
		sleep(m.ctx, 100*time.Millisecond)
		m.w.mu.Lock()
		m.outlive()
		m.w.mu.Unlock()
	}
}

// outlive ends the session if the lease has run out; call with the lock held.
func (m *worker) outlive() {
	if time.Since(m.answered).Seconds()*m.drift > float64(m.w.Set.Workers.LeaseS) && !m.dead {
		m.lose()
		m.shift++
		m.answered = time.Now()
		m.changed()
	}
}

// lose ends all tasks; call with the lock held.
func (m *worker) lose() {
	for t, x := range m.tasks {
		x.cancel()
		m.w.check.Left(t, m.id, false)
		m.w.gangGone(t, x)
	}
	m.tasks = map[wire.Task]*run{}
}

func (m *worker) handle(rw http.ResponseWriter, r *http.Request) {
	raw, err := wire.ReadBody(r.Body, 1<<20)
	if err != nil {
		return
	}
	came, lag := time.Now(), m.lag()
	sleep(m.ctx, lag.Command)
	m.awake(m.ctx)
	m.w.mu.Lock()
	if m.dead {
		m.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.URL.Path == "/commands" {
		var o wire.Commands
		err := wire.Decode(raw, &o)
		m.w.isLate(came, o.Commands, wire.Launch, wire.Halt)
		switch {
		case err != nil || o.Token == 0 || o.Session == 0:
			status = http.StatusBadRequest
		case o.Token < m.baton || o.Session != m.shift:
			status = http.StatusConflict
		default:
			m.see(o.Token)
			m.execute(o.Commands)
			if len(o.Commands) > 0 {
				m.w.isLate(time.Now().Add(-lag.Answer), []wire.Command{{Verb: Answered}}, Answered)
			}
		}
	}
	rep := m.report()
	m.w.mu.Unlock()
	sleep(m.ctx, lag.Answer)
	wire.Answer(rw, status, rep)
}

// execute carries commands out in order; call with the lock held.
func (m *worker) execute(orders []wire.Command) {
	for _, o := range orders {
		t, err := wire.ParseTask(o.Task)
		if err != nil {
			continue
		}
		x := m.tasks[t]
		switch o.Verb {
		case wire.Launch:
			if x != nil && x.try == o.Attempt {
				continue
			}
			m.launch(t, o.Attempt, x)
		case wire.Halt:
			if x == nil || x.try != o.Attempt || x.phase == wire.PhaseExited {
				continue
			}
			if m.w.truths[t.Job].Spec.Gang() {
				m.haltGang(t, x, o.GracePeriod)
				continue
			}
			x.saved = x.phase == wire.PhaseRunning && o.GracePeriod != nil && *o.GracePeriod >= m.w.truths[t.Job].Spec.CheckpointTime && m.w.truths[t.Job].Spec.CheckpointInterval > 0
			if m.save(t, x, o.GracePeriod) {
				continue
			}
			x.cancel()
			m.exit(t, x, wire.CauseStopped)
		case wire.Forget:
			if x != nil && x.try == o.Attempt && x.phase == wire.PhaseExited {
				delete(m.tasks, t)
			}
		}
	}
}

func (m *worker) launch(t wire.Task, try wire.Attempt, old *run) {
	ctx, cancel := context.WithCancel(m.ctx)
	x := &run{try: try, phase: wire.PhaseFetching, cancel: cancel}
	refuse := func(c wire.ExitCause) {
		x.phase, x.cause = wire.PhaseExited, c
		m.tasks[t] = x
		m.changed()
	}
	truth := m.w.truths[t.Job]
	switch {
	case truth == nil || t.Index >= truth.Spec.Tasks:
		refuse(wire.CauseNoSuch)
		return
	case old != nil && old.phase != wire.PhaseExited:
		return // busy: the running attempt stays listed
	}
	if m.refuses() {
		refuse(wire.CauseFull)
		return
	}
	cpus, ram := m.flavor.CPUs, m.flavor.MemoryGB
	for o, r := range m.tasks {
		if r.phase != wire.PhaseExited {
			cpus -= m.w.truths[o.Job].Spec.CPUs
			ram -= m.w.truths[o.Job].Spec.MemoryGB
		}
	}
	if truth.Spec.CPUs > cpus+wire.Eps || truth.Spec.MemoryGB > ram+wire.Eps {
		refuse(wire.CauseFull)
		return
	}
	m.tasks[t] = x
	m.changed()
	fetch := time.Duration(0)
	if !m.cached[truth.Spec.Image] {
		fetch = time.Duration(truth.Spec.ImageGB / m.flavor.FetchGBPerS / m.w.speedOf(m.id) * float64(time.Second))
	}
	m.w.spawn(func() {
		m.work(ctx, fetch)
		m.unstalled(ctx)
		m.w.mu.Lock()
		if ctx.Err() != nil || m.tasks[t] != x {
			m.w.mu.Unlock()
			return
		}
		m.cached[truth.Spec.Image] = true
		x.phase = wire.PhaseRunning
		if truth.Spec.Gang() {
			m.w.check.Started(t, Place{m.id, m.kit, m.zone, m.spot}, time.Now())
			m.join(t, x)
			m.w.mu.Unlock()
			return
		}
		m.w.check.Started(t, Place{m.id, m.kit, m.zone, m.spot}, time.Now())
		m.changed()
		sick := m.sick || truth.Fails
		m.w.mu.Unlock()
		switch {
		case sick:
			m.work(ctx, 500*time.Millisecond)
		case truth.Spec.Service():
			<-ctx.Done()
		default:
			m.work(ctx, time.Duration(truth.runS(t.Index)*float64(time.Second)))
			m.unstalled(ctx)
		}
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if ctx.Err() != nil || m.tasks[t] != x {
			return
		}
		if sick {
			m.exit(t, x, wire.CauseError)
		} else {
			m.exit(t, x, wire.CauseDone)
		}
	})
}

// exit ends a task; call with the lock held.
func (m *worker) exit(t wire.Task, x *run, c wire.ExitCause) {
	if x.phase != wire.PhaseFetching {
		m.w.check.Left(t, m.id, c == wire.CauseDone)
	}
	if c == wire.CauseError {
		m.w.check.Failed(t, m.id)
	}
	x.phase, x.cause = wire.PhaseExited, c
	m.w.gangGone(t, x)
	m.changed()
}
