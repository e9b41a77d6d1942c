package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"lilaclead/internal/wire"
)

// worker is a machine with its agent. The world's lock guards it.
type worker struct {
	w         *world
	id        wire.MachineID
	addr      string
	spec      *wire.MachineSpec
	zone      wire.Zone
	spot      bool
	createdAt time.Time
	up        bool
	booted    bool // it has been up
	gone      bool
	stop      context.CancelFunc // ends the agent
	ctx       context.Context    // of the agent, or of the last one
	back      chan struct{}      // closed while the machine has power

	shift   wire.AgentEpoch
	tally   wire.Sequence
	baton   wire.FencingToken
	renewed time.Time // when the last answered report was sent
	tokenAt time.Time // when a higher token last counted as a change
	tasks   []*run
	images  map[wire.ImageID]bool
	wake    chan struct{}

	answered sentReport // the last report that was answered 200
}

// run is an attempt of a task on a machine.
type run struct {
	task    string
	spec    *wire.JobSpec
	attempt wire.AttemptNumber
	phase   wire.TaskPhase
	cause   wire.ExitCause
	saved   bool
	onIt    bool // it has its image and has not ended
	ctx     context.Context
	cancel  context.CancelFunc
}

func key(task string, attempt wire.AttemptNumber) string { return fmt.Sprintf("%s#%d", task, attempt) }

// newWorkerLocked adds a machine that is not up yet.
func (w *world) newWorkerLocked(spec *wire.MachineSpec, zone wire.Zone, spot bool, age time.Duration) *worker {
	w.created++
	m := &worker{w: w, id: wire.MachineID(fmt.Sprintf("n-%06d", w.created)), spec: spec, zone: zone, spot: spot, createdAt: time.Now().Add(-age), back: make(chan struct{})}
	m.listen()
	w.workers[m.id] = m
	return m
}

// bootLocked starts the agent: a new one, which remembers nothing.
func (m *worker) bootLocked() {
	if m.gone {
		return
	}
	m.ctx, m.stop = context.WithCancel(context.Background())
	close(m.back)
	m.booted = true
	m.up, m.shift, m.tally, m.baton, m.renewed = true, 1, 0, 0, time.Now()
	m.tokenAt, m.tasks, m.images, m.wake = time.Time{}, nil, map[wire.ImageID]bool{}, make(chan struct{}, 1)
	ctx := m.ctx
	go m.report(ctx, m.wake)
	go m.watchLease(ctx)
	m.w.sayLocked("%s is up", m.id)
}

// agentKey is the key of a connection's context under which the agent's context is that accepted it.
type agentKey struct{}

// listen serves an address for the machine from now on, whichever agent is there.
func (m *worker) listen() {
	listener, err := net.Listen("tcp4", outside+":0")
	if err != nil {
		giveUp("no free port: %v", err)
	}
	m.addr = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(m.serve), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		return context.WithValue(ctx, agentKey{}, m.ctx)
	}}
	go func() { _ = server.Serve(listener) }()
}

// haltLocked ends the agent and all tasks at once, as a power failure does. Without power the
// machine is silent: requests to it get neither an answer nor an error.
func (m *worker) haltLocked() {
	if !m.up {
		return
	}
	m.up, m.back = false, make(chan struct{})
	m.killTasksLocked()
	m.stop()
}

func (m *worker) killTasksLocked() {
	for _, r := range m.tasks {
		r.cancel()
		if r.onIt {
			r.onIt = false
			m.w.sayLocked("%s: %s is killed", m.id, key(r.task, r.attempt))
		}
	}
	m.tasks = nil
	m.w.notifyLocked()
}

// restart ends the machine with all that is on it; it is back after the pause.
func (m *worker) restart(pause time.Duration) {
	m.w.mu.Lock()
	m.w.sayLocked("%s loses power", m.id)
	m.haltLocked()
	m.w.mu.Unlock()
	time.Sleep(pause)
	m.w.mu.Lock()
	m.bootLocked()
	m.w.mu.Unlock()
}

// messageLocked returns the next report.
func (m *worker) messageLocked() wire.Heartbeat {
	m.tally++
	h := wire.Heartbeat{Machine: m.id, Addr: m.addr, Type: m.spec.Name, Zone: m.zone, Spot: m.spot, Epoch: m.shift, Sequence: m.tally, Token: m.baton, Tasks: []wire.TaskStatus{}}
	for _, r := range m.tasks {
		h.Tasks = append(h.Tasks, wire.TaskStatus{Task: r.task, Attempt: r.attempt, Phase: r.phase, Cause: r.cause, CheckpointSaved: r.saved})
	}
	return h
}

// report sends reports to one controller after the other, as the protocol page says.
func (m *worker) report(ctx context.Context, wake chan struct{}) {
	w := m.w
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	target := rand.IntN(len(w.nodes))
	for ctx.Err() == nil {
		w.mu.Lock()
		if ctx.Err() != nil {
			w.mu.Unlock()
			return
		}
		h, n := m.messageLocked(), w.nodes[target]
		w.mu.Unlock()
		sent := time.Now()
		raw := wire.Encode(h)
		status, body := post(ctx, client, "http://"+n.front+"/hello", raw, 4*time.Second)
		w.mu.Lock()
		if ctx.Err() != nil {
			w.mu.Unlock()
			return
		}
		if status != http.StatusOK {
			w.sayLocked("%s: report %d/%d to %s (baton %d, %d parts): %d", m.id, h.Epoch, h.Sequence, n.name, h.Token, len(h.Tasks), status)
		}
		var answer wire.Commands
		if status == http.StatusOK && wire.Decode(body, &answer) == nil && h.Epoch == m.shift && answer.Token > 0 && answer.Token >= m.baton {
			m.renewed = sent
			m.answered = sentReport{n, h.Sequence, raw, fmt.Sprintf("%s %d/%d (baton %d, %d parts)", m.id, h.Epoch, h.Sequence, h.Token, len(h.Tasks))}
			m.seeLocked(answer.Token)
			m.executeLocked(answer.Commands, "in a response")
		}
		w.mu.Unlock()
		if status == http.StatusOK {
			pause := time.Duration(float64(w.settings.Workers.HeartbeatInterval.Duration()) * (0.75 + 0.5*rand.Float64()))
			sleep(ctx, 500*time.Millisecond)
			select {
			case <-ctx.Done():
			case <-wake:
			case <-time.After(pause - 500*time.Millisecond):
			}
			continue
		}
		client.CloseIdleConnections()
		var redirect wire.Redirect
		next := -1
		if status == http.StatusMisdirectedRequest && wire.Decode(body, &redirect) == nil {
			for i, n := range w.nodes {
				if n.name == redirect.Leader && i != target {
					next = i
				}
			}
		}
		if next >= 0 {
			target = next
			sleep(ctx, 250*time.Millisecond)
			continue
		}
		target = (target + 1) % len(w.nodes)
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// post sends one request; status 0 means no response.
func post(ctx context.Context, client *http.Client, url string, body []byte, limit time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// seeLocked stores a higher token. It counts as a change at most once in half of a lease.
func (m *worker) seeLocked(token wire.FencingToken) {
	if token > m.baton {
		m.baton = token
		if time.Since(m.tokenAt) < m.w.settings.Workers.Lease.Duration()/2 {
			return
		}
		m.tokenAt = time.Now()
		m.changedLocked()
	}
}

// changedLocked makes the agent report soon.
func (m *worker) changedLocked() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
	m.w.notifyLocked()
}

// watchLease kills all tasks and begins a new session when no answered report was sent for the
// length of the lease.
func (m *worker) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, 50*time.Millisecond)
		m.w.mu.Lock()
		if ctx.Err() == nil && time.Since(m.renewed) > m.w.settings.Workers.Lease.Duration() {
			m.w.sayLocked("%s: the lease of session %d is over", m.id, m.shift)
			m.killTasksLocked()
			m.shift, m.renewed = m.shift+1, time.Now()
			m.changedLocked()
		}
		m.w.mu.Unlock()
	}
}

// serve answers direct requests. A connection to an earlier agent is reset once the machine is back.
func (m *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	m.w.mu.Lock()
	if agent := r.Context().Value(agentKey{}); agent != m.ctx || !m.up {
		back := m.back
		m.w.mu.Unlock()
		select {
		case <-back:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.URL.Path == "/commands" {
		var request wire.Commands
		switch {
		case wire.Decode(body, &request) != nil || request.Token == 0 || request.Epoch == 0:
			status = http.StatusBadRequest
		case request.Token < m.baton || request.Epoch != m.shift:
			status = http.StatusConflict
			m.w.sayLocked("%s: POST /commands (baton %d, shift %d, %d orders): 409, has baton %d, shift %d", m.id, request.Token, request.Epoch, len(request.Commands), m.baton, m.shift)
		default:
			m.w.sayLocked("%s: POST /commands (baton %d, shift %d, %d orders): 200", m.id, request.Token, request.Epoch, len(request.Commands))
			m.seeLocked(request.Token)
			m.executeLocked(request.Commands, "by POST /commands")
			for _, c := range request.Commands {
				if c.Verb == wire.VerbLaunch {
					m.w.launches[key(c.Task, c.Attempt)] = launch{m.id, body}
				}
			}
		}
	}
	h := m.messageLocked()
	m.w.mu.Unlock()
	wire.WriteResponse(rw, status, h)
}

// executeLocked executes commands in order.
func (m *worker) executeLocked(commands []wire.Command, how string) {
	for _, c := range commands {
		var listed, other *run
		at := -1
		for i, r := range m.tasks {
			if r.task == c.Task && r.attempt == c.Attempt {
				listed, at = r, i
			} else if r.task == c.Task && r.phase != wire.PhaseExited {
				other = r
			}
		}
		m.w.sayLocked("%s: %s %s %s", m.id, c.Verb, key(c.Task, c.Attempt), how)
		switch {
		case c.Verb == wire.VerbLaunch && listed == nil:
			m.launchLocked(c, other)
		case c.Verb == wire.VerbStop && listed != nil && listed.phase != wire.PhaseExited:
			m.stopLocked(listed, c.GracePeriod)
		case c.Verb == wire.VerbForget && listed != nil && listed.phase == wire.PhaseExited:
			m.tasks = append(m.tasks[:at:at], m.tasks[at+1:]...)
		}
	}
}

// launchLocked starts an attempt or lists it as refused.
func (m *worker) launchLocked(c wire.Command, other *run) {
	task, err := wire.ParseTaskID(c.Task)
	j := m.w.jobs[task.Job]
	r := &run{task: c.Task, attempt: c.Attempt, phase: wire.PhaseExited, cancel: func() {}}
	m.tasks = append(m.tasks, r)
	defer m.changedLocked()
	if err != nil || j == nil || task.Index >= j.spec.Tasks {
		r.cause = wire.CauseNoSuch
		return
	}
	r.spec = &j.spec
	cpus, memory := j.spec.CPUs, j.spec.MemoryGB
	for _, present := range m.tasks {
		if present != r && present.phase != wire.PhaseExited {
			cpus, memory = cpus+present.spec.CPUs, memory+present.spec.MemoryGB
		}
	}
	switch {
	case other != nil:
		r.cause = wire.CauseBusy
		return
	case cpus > m.spec.CPUs+1e-9 || memory > m.spec.MemoryGB+1e-9:
		r.cause = wire.CauseFull
		return
	}
	r.phase = wire.PhaseFetching
	r.ctx, r.cancel = context.WithCancel(m.ctx)
	fetch := time.Duration(0)
	if !m.images[j.spec.Image] {
		fetch = time.Duration(j.spec.ImageGB / m.spec.FetchGBPerSecond * float64(time.Second))
	}
	go m.runTask(r, j, fetch)
}

// runTask fetches the image and runs the task to its end.
func (m *worker) runTask(r *run, j *job, fetch time.Duration) {
	sleep(r.ctx, fetch)
	m.w.mu.Lock()
	if r.ctx.Err() != nil {
		m.w.mu.Unlock()
		return
	}
	m.images[j.spec.Image] = true
	m.startedLocked(r)
	m.w.mu.Unlock()
	if j.spec.IsService() {
		return
	}
	sleep(r.ctx, j.runTime)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if r.ctx.Err() == nil {
		m.exitLocked(r, wire.CauseDone)
	}
}

// startedLocked records that a task is on its machine from now on, and checks
// ran_twice and ran_cancelled.
func (m *worker) startedLocked(r *run) {
	r.phase, r.onIt = wire.PhaseRunning, true
	m.w.sayLocked("%s: %s runs", m.id, key(r.task, r.attempt))
	for _, other := range m.w.workers {
		for _, o := range other.tasks {
			if other != m && o.task == r.task && o.onIt {
				m.w.breakLocked("ran_twice", "%s starts on %s while %s is on %s", key(r.task, r.attempt), m.id, key(o.task, o.attempt), other.id)
			}
		}
	}
	if told, ok := m.w.cancelled[r.spec.ID]; ok && time.Since(told) > m.w.settings.Workers.CancelTimeout.Duration() {
		m.w.breakLocked("ran_cancelled", "%s starts on %s %.1f s after its user was told that it is cancelled", key(r.task, r.attempt), m.id, time.Since(told).Seconds())
	}
	m.changedLocked()
}

// exitLocked ends a task.
func (m *worker) exitLocked(r *run, cause wire.ExitCause) {
	r.cancel()
	r.phase, r.cause, r.onIt = wire.PhaseExited, cause, false
	m.w.sayLocked("%s: %s exits: %s", m.id, key(r.task, r.attempt), cause)
	m.changedLocked()
}

// stopLocked stops a task, which saves first if it can.
func (m *worker) stopLocked(r *run, grace *wire.Seconds) {
	saves := r.phase == wire.PhaseRunning && r.spec.CheckpointInterval > 0 && grace != nil && *grace >= r.spec.CheckpointTime
	if r.phase == wire.PhaseCheckpointing && grace != nil && *grace > 0 {
		return
	}
	if !saves {
		m.exitLocked(r, wire.CauseStopped)
		return
	}
	r.cancel()
	r.ctx, r.cancel = context.WithCancel(m.ctx)
	r.phase = wire.PhaseCheckpointing
	m.changedLocked()
	ctx, length := r.ctx, r.spec.CheckpointTime.Duration()
	go func() {
		sleep(ctx, length)
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if ctx.Err() == nil {
			r.saved = true
			m.exitLocked(r, wire.CauseStopped)
		}
	}()
}

// deliverCopy delivers a copy of a direct request that was executed and answered before.
func (w *world) deliverCopy(l launch) {
	w.mu.Lock()
	addr := w.workers[l.machine].addr
	w.sayLocked("the network delivers a late copy of an earlier POST /commands to %s", l.machine)
	w.mu.Unlock()
	status, _ := post(context.Background(), &http.Client{}, "http://"+addr+"/commands", l.body, 4*time.Second)
	w.say("the copy at %s: %d", l.machine, status)
}

// sentReport is a report that a worker sent to a controller.
type sentReport struct {
	to   *node
	seq  wire.Sequence
	body []byte
	text string
}

// deliverReport delivers a copy of a report that was answered before, to the controller that it was
// sent to.
func (w *world) deliverReport(r sentReport) {
	w.say("the network delivers a late copy of the earlier report %s to %s", r.text, r.to.name)
	status, _ := post(context.Background(), &http.Client{}, "http://"+r.to.front+"/hello", r.body, 4*time.Second)
	w.say("the copy at %s: %d", r.to.name, status)
}
