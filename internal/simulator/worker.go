package simulator

import (
	"context"
	"net/http"
	"time"

	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// worker is a machine with its agent. The simulation's lock guards it.
type worker struct {
	sim           *Simulation
	id            wire.MachineID
	ip            string
	addr          string
	machineType   wire.MachineType
	zone          wire.Zone
	spot          bool
	spec          wire.MachineSpec
	provisionedAt time.Time
	ctx           context.Context
	cancel        context.CancelFunc

	up             bool
	upAt           time.Time
	removed        bool
	faulty         bool
	stalled        bool
	unlisted       bool
	reclaimAt      time.Time // end of the spot notice; zero: none
	epoch          wire.AgentEpoch
	sequence       wire.Sequence
	token          wire.FencingToken
	leaseRenewedAt time.Time // sending time of the last answered heartbeat
	clockRate      float64   // speed of its clock; 1 is exact
	tasks          map[wire.TaskID]*taskRun
	cachedImages   map[wire.ImageID]bool
	wake           chan struct{} // requests an early heartbeat
	restarts       int           // restarts of the machine, which reset its epoch
	firstTarget    int           // controller that its agent contacts first
	endAgent       func()        // ends the agent, so that a new one begins
	lastHeartbeat  wire.Heartbeat
}

// taskRun is an attempt of a task on a machine.
type taskRun struct {
	attempt      wire.AttemptNumber
	phase        wire.TaskPhase
	cause        wire.ExitCause
	checkpointed bool
	cancel       context.CancelFunc
}

// requestHeartbeat makes the worker send its next heartbeat early; the caller holds the lock.
func (m *worker) requestHeartbeat() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// nextHeartbeat returns a heartbeat with the present state and the next sequence number; the
// caller holds the lock.
func (m *worker) nextHeartbeat() wire.Heartbeat {
	m.sequence++
	heartbeat := wire.Heartbeat{Machine: m.id, Addr: m.sim.advertisedAddr(m.addr), Type: m.machineType, Zone: m.zone, Spot: m.spot, Epoch: m.epoch, Sequence: m.sequence, Token: m.token, Tasks: []wire.TaskStatus{}}
	if !m.reclaimAt.IsZero() {
		remaining := wire.Seconds(max(0, time.Until(m.reclaimAt).Seconds()))
		heartbeat.SpotNotice = &remaining
	}
	for task, run := range m.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task.String(), Attempt: run.attempt, Phase: run.phase, Cause: run.cause, CheckpointSaved: run.checkpointed})
	}
	m.sim.recordHeartbeatSize(&heartbeat)
	return heartbeat
}

// run serves commands and sends heartbeats until the machine is gone.
func (m *worker) run() {
	sim := m.sim
	sim.mu.Lock()
	if m.removed {
		sim.mu.Unlock()
		return
	}
	m.up, m.upAt, m.leaseRenewedAt = true, time.Now(), time.Now()
	sim.mu.Unlock()
	server := sim.serve(m.addr, http.HandlerFunc(m.handle))
	sim.spawn(func() {
		<-m.ctx.Done()
		server.Close()
	})
	sim.spawn(m.watchLease)
	for m.ctx.Err() == nil {
		m.runAgent()
	}
}

// runAgent sends the heartbeats of one agent, until the machine is gone or restarts.
func (m *worker) runAgent() {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	m.sim.mu.Lock()
	m.endAgent = cancel
	first := m.firstTarget
	m.sim.mu.Unlock()
	m.sendHeartbeats(ctx, first)
}

// Timing of a worker's heartbeats.
const (
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// redirectDelay is the delay before a heartbeat to the leader that a response names.
	redirectDelay = 250 * time.Millisecond
	// retryDelay is the delay before a heartbeat to the next controller after a failure.
	retryDelay = time.Second
	// minHeartbeatInterval is the shortest time between two heartbeats to the same controller.
	minHeartbeatInterval = 500 * time.Millisecond
)

// sendHeartbeats sends heartbeats to one controller until it fails, then to the leader that its
// response names or to the next controller, until the context ends.
func (m *worker) sendHeartbeats(ctx context.Context, target int) {
	client := &http.Client{Transport: m.sim.hostNet(m.ip).Transport(1, 1)}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		status, body := m.sendHeartbeatTo(ctx, client, target)
		if status == http.StatusOK {
			m.awaitNextHeartbeat(ctx)
			continue
		}
		client.CloseIdleConnections()
		if next, ok := redirectedTo(status, body); ok && next != target {
			target = next
			sleep(ctx, redirectDelay)
			continue
		}
		target = (target + 1) % len(m.sim.controllers)
		sleep(ctx, retryDelay)
	}
}

// redirectedTo returns the index of the leader that a response names, if it names one.
func redirectedTo(status int, body []byte) (index int, ok bool) {
	var redirect wire.Redirect
	if status != http.StatusMisdirectedRequest || wire.Decode(body, &redirect) != nil || redirect.Leader == "" {
		return 0, false
	}
	return controllerIndex(string(redirect.Leader)), true
}

// sendHeartbeatTo sends a heartbeat to the i-th controller and executes the commands of the
// response.
func (m *worker) sendHeartbeatTo(ctx context.Context, client *http.Client, i int) (status int, body []byte) {
	m.awaitAwake(ctx)
	m.sim.mu.Lock()
	if ctx.Err() != nil {
		m.sim.mu.Unlock()
		return 0, nil
	}
	heartbeat, restarts := m.nextHeartbeat(), m.restarts
	m.lastHeartbeat = heartbeat
	dropped := m.sim.onHeartbeatSent(m, heartbeat)
	m.sim.mu.Unlock()
	sent := time.Now()
	if dropped {
		sleep(ctx, heartbeatTimeout)
	} else {
		status, body = m.postHeartbeat(ctx, client, "http://"+NodeIP(i)+":8080/hello", heartbeat)
	}
	sleep(ctx, m.commandDelay().HeartbeatResponse)
	if m.awaitAwake(ctx); time.Since(sent) > heartbeatTimeout {
		return 0, nil // timed out while the machine hung
	}
	var commands wire.Commands
	if status == http.StatusOK && wire.Decode(body, &commands) == nil {
		m.onHeartbeatResponse(&commands, restarts, heartbeat.Epoch, sent)
	}
	return status, body
}

// awaitNextHeartbeat waits until the next heartbeat is due or was requested early.
func (m *worker) awaitNextHeartbeat(ctx context.Context) {
	sleep(ctx, minHeartbeatInterval)
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-time.After(m.sim.Settings.Workers.HeartbeatInterval.Duration() - minHeartbeatInterval):
	}
}

// postHeartbeat posts a heartbeat; status 0 means no response.
func (m *worker) postHeartbeat(ctx context.Context, client *http.Client, url string, heartbeat any) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	status, raw, _, err := netio.Call(ctx, client, "POST", url, heartbeat, wire.MaxBodyBytes)
	if err != nil {
		return 0, nil
	}
	return status, raw
}

// onHeartbeatResponse executes the commands of the response to a heartbeat, unless the worker has
// seen a higher token, or has started another epoch or restarted since the heartbeat was sent.
func (m *worker) onHeartbeatResponse(response *wire.Commands, restarts int, epoch wire.AgentEpoch, sent time.Time) {
	m.sim.mu.Lock()
	defer m.sim.mu.Unlock()
	if m.removed || response.Token < m.token || response.Token == 0 || epoch != m.epoch || restarts != m.restarts {
		return
	}
	m.observeToken(response.Token)
	m.leaseRenewedAt = sent
	m.execute(response.Commands)
	m.sim.countLate(sent, response.Commands, wire.VerbForget)
}

// observeToken updates the highest token that the worker has seen.
func (m *worker) observeToken(token wire.FencingToken) {
	if token > m.token {
		m.token = token
		m.requestHeartbeat()
	}
}

// watchLease ends the epoch when no heartbeat was answered for the duration of the lease, by the
// worker's own clock.
func (m *worker) watchLease() {
	for m.ctx.Err() == nil {
		sleep(m.ctx, 100*time.Millisecond)
		m.sim.mu.Lock()
		m.checkLease()
		m.sim.mu.Unlock()
	}
}

// checkLease ends the epoch and all tasks if the lease has expired; the caller holds the lock.
func (m *worker) checkLease() {
	if time.Since(m.leaseRenewedAt).Seconds()*m.clockRate > float64(m.sim.Settings.Workers.Lease) && !m.removed {
		m.endAllTasks()
		m.epoch++
		m.leaseRenewedAt = time.Now()
		m.requestHeartbeat()
	}
}

// endAllTasks ends all tasks; the caller holds the lock.
func (m *worker) endAllTasks() {
	for t, run := range m.tasks {
		run.cancel()
		m.sim.checker.TaskLeft(t, m.id, false)
		m.sim.onGangTaskLeft(t, run)
	}
	m.tasks = map[wire.TaskID]*taskRun{}
}

// handle serves requests that controllers send to a worker directly. Every response is a
// heartbeat.
func (m *worker) handle(rw http.ResponseWriter, r *http.Request) {
	raw, err := wire.ReadBody(r.Body, 1<<20)
	if err != nil {
		return
	}
	arrivedAt, delay := time.Now(), m.commandDelay()
	sleep(m.ctx, delay.Command)
	m.awaitAwake(m.ctx)
	m.sim.mu.Lock()
	if m.removed {
		m.sim.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.URL.Path == "/commands" {
		status = m.onCommands(raw, arrivedAt, delay)
	}
	heartbeat := m.nextHeartbeat()
	m.sim.mu.Unlock()
	sleep(m.ctx, delay.Answer)
	wire.WriteResponse(rw, status, heartbeat)
	if status == http.StatusOK {
		m.scheduleCopies(raw)
	}
}

// accepts reports whether the token and the epoch of a direct command are valid; the caller holds
// the lock.
func (m *worker) accepts(request *wire.Commands) bool {
	return request.Token >= m.token && request.Epoch == m.epoch
}

// onCommands executes a controller's commands if their token and epoch are valid, and returns
// the status of the response; the caller holds the lock.
func (m *worker) onCommands(raw []byte, arrivedAt time.Time, delay CommandDelay) (status int) {
	var request wire.Commands
	err := wire.Decode(raw, &request)
	m.sim.countLate(arrivedAt, request.Commands, wire.VerbLaunch, wire.VerbStop)
	switch {
	case err != nil || request.Token == 0 || request.Epoch == 0:
		return http.StatusBadRequest
	case !m.accepts(&request):
		return http.StatusConflict
	}
	m.observeToken(request.Token)
	m.execute(request.Commands)
	if len(request.Commands) > 0 {
		m.sim.countLate(time.Now().Add(-delay.Answer), []wire.Command{{Verb: LateAnswer}}, LateAnswer)
	}
	return http.StatusOK
}
