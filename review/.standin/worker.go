package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// worker is a machine with its worker, by the protocol page.
type worker struct {
	d        *deployment
	name     string
	kit      *machineType
	site     string
	standby  bool
	addr     string
	listener net.Listener
	rentedAt time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{}

	mu          sync.Mutex
	up          bool
	shift       uint64
	tally       uint64
	baton       uint64
	batonTold   time.Time // when a higher token last counted as a change
	renewedAt   time.Time
	tasks       map[string]*workerTask // by attemptKey
	images      map[string]bool
	reports     map[int]int // reports by the status of their answers
	largest     int         // largest report in JSON, in bytes
	largestCBOR int         // the same in CBOR
	lost        int         // tasks that were killed because the lease ran out
	hungUntil   time.Time
	deafUntil   time.Time // answers and direct commands are lost
	muteUntil   time.Time // reports reach no controller
	restarts    int
	faulty      bool // every task that it starts fails
}

type workerTask struct {
	name   string
	try    uint64
	spec   *jobSpec
	status string
	cause  string
	saved  bool
	cancel context.CancelFunc
}

func newWorker(d *deployment, name string, kit *machineType, site string, standby bool) *worker {
	w := &worker{d: d, name: name, kit: kit, site: site, standby: standby, rentedAt: time.Now(), wake: make(chan struct{}, 1),
		shift: 1, tasks: map[string]*workerTask{}, images: map[string]bool{}, reports: map[int]int{}}
	w.listener = listenLoopback()
	w.addr = w.listener.Addr().String()
	w.ctx, w.cancel = context.WithCancel(d.ctx)
	return w
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// boot starts the worker.
func (w *worker) boot() {
	if w.ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	w.up, w.renewedAt = true, time.Now()
	w.mu.Unlock()
	w.d.record.logf("machine %s (%s, %s) is up", w.name, w.kit.Name, w.site)
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = server.Serve(w.listener) }()
	go func() {
		<-w.ctx.Done()
		_ = server.Close()
	}()
	go w.watchLease()
	w.reportLoop()
}

func (w *worker) isFaulty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faulty
}

// remove ends the machine and all that is on it.
func (w *worker) remove() {
	w.cancel()
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		w.end(t)
	}
	w.tasks = map[string]*workerTask{}
}

// attemptKey identifies an attempt of a task.
func attemptKey(task string, try uint64) string { return task + "#" + strconv.FormatUint(try, 10) }

func (t *workerTask) key() string { return attemptKey(t.name, t.try) }

// onMachine reports whether a task is on its machine: it has its image and has not exited.
func (t *workerTask) onMachine() bool { return t.status != "pulling" && t.status != "exited" }

// end ends a task without an entry in the reports; the caller holds the lock.
func (w *worker) end(t *workerTask) {
	t.cancel()
	if t.onMachine() {
		w.d.checker.left(t.name, w.name, t.try)
	}
}

func (w *worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// awake waits while the machine hangs, and then lets its lease run out first if that is due.
func (w *worker) awake() {
	for w.ctx.Err() == nil {
		w.mu.Lock()
		rest := time.Until(w.hungUntil)
		if rest <= 0 {
			w.checkLease()
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		time.Sleep(rest + time.Millisecond)
	}
}

// restart ends all that is on the machine and begins again as a new machine of the same name.
func (w *worker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.d.record.logf("machine %s restarts", w.name)
	for _, t := range w.tasks {
		w.end(t)
	}
	w.tasks, w.images = map[string]*workerTask{}, map[string]bool{}
	w.shift, w.tally, w.baton, w.renewedAt = 1, 0, 0, time.Now()
	w.restarts++
	w.changed()
}

func (w *worker) watchLease() {
	for w.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		w.awake()
	}
}

// checkLease ends the session if its lease has run out; the caller holds the lock.
func (w *worker) checkLease() {
	if w.up && time.Since(w.renewedAt).Seconds() > w.d.leaseS {
		killed := 0
		for _, t := range w.tasks {
			if t.status != "exited" {
				killed++
			}
			w.end(t)
		}
		w.d.record.logf("machine %s: lease ran out, %d tasks killed, next session %d", w.name, killed, w.shift+1)
		w.lost += killed
		w.tasks = map[string]*workerTask{}
		w.shift++
		w.renewedAt = time.Now()
		w.changed()
	}
}

// nextReport returns the report with the present state; the caller holds the lock.
func (w *worker) nextReport() report {
	w.tally++
	r := report{Host: w.name, Addr: w.addr, Kit: w.kit.Name, Site: w.site, Standby: w.standby, Shift: w.shift, Tally: w.tally, Baton: w.baton, Parts: []taskStatus{}}
	for _, t := range w.tasks {
		r.Parts = append(r.Parts, taskStatus{t.name, t.try, t.status, t.cause, t.saved})
	}
	sort.Slice(r.Parts, func(i, j int) bool { return r.Parts[i].Task < r.Parts[j].Task })
	return r
}

// maxRequestBytes is the largest body of a request, in JSON.
const maxRequestBytes = 64 << 10

// reportLoop reports to one controller until that fails, then to the next or to the one that is
// named.
func (w *worker) reportLoop() {
	client := newClient()
	defer client.CloseIdleConnections()
	target := rand.IntN(len(w.d.nodes))
	for w.ctx.Err() == nil {
		w.awake()
		w.mu.Lock()
		r, restarts := w.nextReport(), w.restarts
		deaf, mute := time.Now().Before(w.deafUntil), time.Now().Before(w.muteUntil)
		w.mu.Unlock()
		sent := time.Now()
		status, body := 0, []byte(nil)
		switch {
		case mute:
			sleep(w.ctx, 4*time.Second)
		case jsonSize(r) > maxRequestBytes:
			// The pages allow no such request, and don't say what a worker does instead. It goes on as if
			// it could not open the connection.
			w.d.record.logf("report of %s (shift %d, %d parts) has %d bytes and can't be sent", r.Host, r.Shift, len(r.Parts), jsonSize(r))
		default:
			status, body = call(w.ctx, client, http.MethodPost, "http://"+w.d.through(fmt.Sprintf("%s-%d", w.site, target), w.d.nodes[target].front)+"/hello", r, 4*time.Second)
		}
		if w.d.onReport != nil {
			w.d.onReport(w, r)
		}
		if deaf {
			sleep(w.ctx, 4*time.Second-time.Since(sent))
			status = 0
		}
		w.awake()
		w.noteReport(r, target, status)
		var answer orders
		if status == http.StatusOK && cbor.Unmarshal(body, &answer) == nil {
			w.onAnswer(&answer, r.Shift, restarts, sent)
			w.pause(500*time.Millisecond, true)
			continue
		}
		client.CloseIdleConnections()
		var named redirect
		if status == http.StatusMisdirectedRequest && cbor.Unmarshal(body, &named) == nil {
			if i := w.d.nodeIndex(named.ReportsTo); i >= 0 && i != target {
				target = i
				w.pause(250*time.Millisecond, false)
				continue
			}
		}
		target = (target + 1) % len(w.d.nodes)
		w.pause(time.Second, false)
	}
}

// pause waits until the next report: for the given time, and then until a change or the next regular
// report if it is to wait for those.
func (w *worker) pause(least time.Duration, regular bool) {
	started := time.Now()
	select {
	case <-w.ctx.Done():
		return
	case <-time.After(least):
	}
	if !regular {
		return
	}
	interval := time.Duration(w.d.reportS * (0.75 + 0.5*rand.Float64()) * float64(time.Second))
	select {
	case <-w.ctx.Done():
	case <-w.wake:
	case <-time.After(max(0, interval-time.Since(started))):
	}
}

func (w *worker) noteReport(r report, target, status int) {
	size := jsonSize(r)
	w.mu.Lock()
	w.largest, w.largestCBOR = max(w.largest, size), max(w.largestCBOR, len(encode(r)))
	w.reports[status]++
	w.mu.Unlock()
	w.d.record.logf("report of %s (shift %d, tally %d, baton %d, %d parts, %d bytes) to %s -> %d", r.Host, r.Shift, r.Tally, r.Baton, len(r.Parts), size, w.d.nodes[target].name, status)
}

// onAnswer executes the answer to a report.
func (w *worker) onAnswer(answer *orders, shift uint64, restarts int, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.Baton == nil || *answer.Baton < w.baton || shift != w.shift || restarts != w.restarts || time.Since(sent) > 4*time.Second {
		return
	}
	w.see(*answer.Baton)
	w.renewedAt = sent
	w.execute(answer.Orders)
}

// see notes a token; the caller holds the lock.
func (w *worker) see(baton uint64) {
	if baton <= w.baton {
		return
	}
	w.baton = baton
	if time.Since(w.batonTold).Seconds() >= w.d.leaseS/2 {
		w.batonTold = time.Now()
		w.changed()
	}
}

// serve serves the requests that controllers send straight to the worker.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	restarts, deaf := w.restarts, time.Now().Before(w.deafUntil)
	w.mu.Unlock()
	if deaf {
		sleep(w.ctx, 20*time.Second)
		return
	}
	if w.d.holdCommand != nil {
		sleep(w.ctx, w.d.holdCommand(w))
	}
	w.awake()
	w.mu.Lock()
	if w.ctx.Err() != nil || restarts != w.restarts {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.URL.Path == "/commands" {
		var request orders
		switch {
		case cbor.Unmarshal(raw, &request) != nil || request.Baton == nil || request.Shift == nil:
			status = http.StatusBadRequest
		case *request.Baton < w.baton || *request.Shift != w.shift:
			status = http.StatusConflict
		default:
			w.see(*request.Baton)
			w.execute(request.Orders)
		}
		w.d.record.logf("command to %s: %d orders -> %d", w.name, len(request.Orders), status)
	}
	answer := w.nextReport()
	w.mu.Unlock()
	writeCBOR(rw, status, answer)
}

// execute executes commands in order; the caller holds the lock.
func (w *worker) execute(commands []order) {
	for _, c := range commands {
		key := attemptKey(c.Task, c.Try)
		t := w.tasks[key]
		switch c.Verb {
		case "launch":
			if t == nil {
				w.launch(c.Task, c.Try)
			}
		case "halt":
			if t != nil && t.status != "exited" {
				w.halt(t, c.WindDown)
			}
		case "forget":
			if t != nil && t.status == "exited" {
				delete(w.tasks, key)
			}
		}
	}
}

func (w *worker) halt(t *workerTask, windDown *float64) {
	t.saved = t.status == "running" && t.spec.SnapshotEvery > 0 && windDown != nil && *windDown >= t.spec.SnapshotS
	t.cancel()
	w.exit(t, "stopped")
}

// exit ends a task with a cause; the caller holds the lock.
func (w *worker) exit(t *workerTask, cause string) {
	if t.onMachine() {
		w.d.checker.left(t.name, w.name, t.try)
	}
	t.status, t.cause = "exited", cause
	w.changed()
}

// launch starts an attempt of a task; the caller holds the lock.
func (w *worker) launch(name string, try uint64) {
	refuse := func(cause string) {
		w.tasks[attemptKey(name, try)] = &workerTask{name: name, try: try, status: "exited", cause: cause, cancel: func() {}}
		w.changed()
	}
	id, index, _ := strings.Cut(name, "/")
	number, err := strconv.Atoi(index)
	spec := w.d.users.spec(id)
	if spec == nil || err != nil || number >= spec.Parts {
		refuse("no_such")
		return
	}
	cpus, ram := w.kit.CPUs, w.kit.RAM
	for _, t := range w.tasks {
		if t.status != "exited" {
			if t.name == name {
				refuse("busy")
				return
			}
			cpus -= t.spec.CPUs
			ram -= t.spec.RAM
		}
	}
	if spec.CPUs > cpus+1e-6 || spec.RAM > ram+1e-6 {
		refuse("full")
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	t := &workerTask{name: name, try: try, spec: spec, status: "pulling", cancel: cancel}
	w.tasks[t.key()] = t
	w.changed()
	fetch := time.Duration(0)
	if !w.images[spec.Bundle] {
		fetch = time.Duration(spec.ImageGB / w.kit.speedGBPS * float64(time.Second))
	}
	go w.run(ctx, t, fetch)
}

// run fetches the image of a task and runs the task.
func (w *worker) run(ctx context.Context, t *workerTask, fetch time.Duration) {
	if !sleep(ctx, fetch) {
		return
	}
	w.awake()
	w.mu.Lock()
	if ctx.Err() != nil || w.tasks[t.key()] != t {
		w.mu.Unlock()
		return
	}
	w.images[t.spec.Bundle] = true
	t.status = "running"
	if t.spec.Shape == "ensemble" {
		t.status = "waiting"
	}
	w.d.checker.started(w, t)
	w.changed()
	w.mu.Unlock()
	if w.isFaulty() {
		if sleep(ctx, 500*time.Millisecond) {
			w.mu.Lock()
			if w.tasks[t.key()] == t && t.status != "exited" {
				w.exit(t, "error")
				w.d.record.logf("task %s try %d fails on %s", t.name, t.try, w.name)
			}
			w.mu.Unlock()
		}
		return
	}
	switch t.spec.Shape {
	case "daemon":
		return
	case "ensemble":
		w.d.gangs.join(ctx, w, t, t.spec.Parts, w.d.users.runTime(t.name))
		return
	}
	if !w.d.checker.isDone(t.name) && !sleep(ctx, w.d.users.runTime(t.name)) {
		return
	}
	w.awake()
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil && w.tasks[t.key()] == t {
		w.d.checker.completed(t.name)
		w.exit(t, "done")
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
