// Command standin-2 plays the cases of the second review. It starts the controllers as separate
// processes and stands in for everything around them on loopback addresses with free ports: the
// state service (the project's own stand-in), the cloud, the workers and the users, which are
// written here from the protocol page. It writes what was sent, answered and run to a record.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// world is one small deployment.
type world struct {
	settings config.Settings
	specs    []wire.MachineSpec
	begin    time.Time
	dir      string // settings files and logs of the controllers
	program  string
	state    *simulator.KVStore
	nodes    []*node

	mu          sync.Mutex
	record      *os.File
	workers     map[wire.MachineID]*worker
	created     int
	bookings    map[string][]wire.MachineID
	cloudOutage bool
	unwanted    map[wire.MachineID]bool // machines that were to be deleted while the cloud was down
	bootTime    time.Duration
	jobs        map[wire.JobID]*job
	cancelled   map[wire.JobID]time.Time // when users were told so first
	launches    map[string]launch        // by task and attempt: the direct request that carried the launch
	broken      []string
	changed     chan struct{} // closed and replaced at every change of a task
}

// node is a controller.
type node struct {
	name    wire.NodeID
	front   string
	peer    string
	file    string
	process *exec.Cmd
}

// job is what users know of a job.
type job struct {
	spec    wire.JobSpec
	runTime time.Duration
}

// launch is a direct request to a worker that carried a launch and was answered 200.
type launch struct {
	machine wire.MachineID
	body    []byte
}

// unplayable is the panic of a case that can't run.
type unplayable string

func giveUp(format string, args ...any) { panic(unplayable(fmt.Sprintf(format, args...))) }

// host is the loopback address of the controllers of this run, outside that of everything around
// them. Runs at the same time have others, so that nothing takes a port that was found free.
var host, outside = loopback(1), loopback(126)

// loopback returns a loopback address with a random end. The second byte is first or up to 124 more.
func loopback(first int) string {
	return fmt.Sprintf("127.%d.%d.%d", first+rand.IntN(125), 1+rand.IntN(250), 1+rand.IntN(250))
}

// freeAddrs returns loopback addresses for the controllers, with ports that are free now.
func freeAddrs(n int) []string {
	addrs := []string{}
	for range n {
		l, err := net.Listen("tcp4", host+":0")
		if err != nil {
			giveUp("no free port: %v", err)
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}

// newWorld returns a deployment whose controllers are not started yet.
func newWorld(settings config.Settings, specs []wire.MachineSpec, record string) *world {
	file, err := os.Create(record)
	if err != nil {
		giveUp("%v", err)
	}
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		giveUp("%v", err)
	}
	program, err := filepath.Abs("target/lilaclead")
	if err != nil {
		giveUp("%v", err)
	}
	w := &world{
		settings: settings, specs: specs, begin: time.Now(), dir: dir, program: program, record: file,
		state:   simulator.NewKVStore(settings.State.TxnOps, int(settings.State.ValueKB)),
		workers: map[wire.MachineID]*worker{}, bookings: map[string][]wire.MachineID{}, jobs: map[wire.JobID]*job{},
		cancelled: map[wire.JobID]time.Time{}, unwanted: map[wire.MachineID]bool{}, launches: map[string]launch{}, changed: make(chan struct{}),
	}
	w.state.SetRateLimits(settings.State.RPS+keepGoing, settings.State.WriteRPS)
	go w.endGrantsInTime()
	w.writeConfigs(serve(w.state), serve(http.HandlerFunc(w.cloud)))
	return w
}

// keepGoing is how many requests a second endGrantsInTime makes, beside those of the controllers.
const keepGoing = 25

// endGrantsInTime asks the state service for a key that does not exist, again and again: the stand-in
// looks for grants that are over whenever it is asked for something, and may be 100 ms late.
func (w *world) endGrantsInTime() {
	for {
		time.Sleep(time.Second / keepGoing)
		w.state.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/kv/none", nil))
	}
}

// serve serves a handler on a free port and returns its address.
func serve(handler http.Handler) string {
	l, err := net.Listen("tcp4", outside+":0")
	if err != nil {
		giveUp("%v", err)
	}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String()
}

// writeConfigs writes the settings file of each controller.
func (w *world) writeConfigs(state, cloud string) {
	addrs := freeAddrs(2 * w.settings.Size)
	for i := range w.settings.Size {
		name := wire.NodeID(fmt.Sprintf("worker-%d", i))
		w.nodes = append(w.nodes, &node{name: name, front: addrs[2*i], peer: addrs[2*i+1], file: filepath.Join(w.dir, string(name)+".toml")})
	}
	zone := func(i int) wire.Zone { return w.settings.Zones[i%len(w.settings.Zones)] }
	for i, n := range w.nodes {
		cfg := config.Config{HostName: n.name, Zone: zone(i), UserAddr: n.front, PeerAddr: n.peer, Settings: w.settings,
			Endpoints: config.Endpoints{Cloud: cloud, State: state}}
		for j, other := range w.nodes {
			if j != i {
				cfg.Peers = append(cfg.Peers, config.Peer{HostName: other.name, Zone: zone(j), Addr: other.peer})
			}
		}
		text, err := toml.Marshal(cfg)
		if err != nil {
			giveUp("%v", err)
		}
		if err := os.WriteFile(n.file, text, 0o644); err != nil {
			giveUp("%v", err)
		}
	}
}

// start starts a controller with the run line of the deploy file.
func (w *world) start(n *node) {
	log, err := os.OpenFile(strings.TrimSuffix(n.file, ".toml")+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		giveUp("%v", err)
	}
	defer log.Close()
	n.process = exec.Command(w.program, "--config", n.file)
	n.process.Stderr = log
	if err := n.process.Start(); err != nil {
		giveUp("%v", err)
	}
	w.say("controller %s started", n.name)
}

// startLater starts a controller after a pause, as the platform does. If that fails, the case can't run.
func (w *world) startLater(n *node, pause time.Duration) {
	time.AfterFunc(pause, func() {
		defer func() {
			if r := recover(); r != nil {
				w.say("the case could not run: %v", r)
				w.close()
				os.Exit(2)
			}
		}()
		w.start(n)
	})
}

// kill ends a controller without a signal that it could handle.
func (w *world) kill(n *node) {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
}

// close ends all processes and removes the temporary folder. With KEEP set, it stays.
func (w *world) close() {
	for _, n := range w.nodes {
		w.kill(n)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// say writes a line to the record.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sayLocked(format, args...)
}

func (w *world) sayLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// breakLocked records a broken rule.
func (w *world) breakLocked(rule, format string, args ...any) {
	what := rule + ": " + fmt.Sprintf(format, args...)
	w.broken = append(w.broken, what)
	w.sayLocked("BROKEN %s", what)
}

// leader returns the controller that the state service records as the leader, nil if none.
func (w *world) leader() *node {
	var record struct {
		Node wire.NodeID `cbor:"node"`
	}
	if value := w.state.Value("lead"); value == nil || wire.Decode(value, &record) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == record.Node {
			return n
		}
	}
	return nil
}

// notifyLocked wakes those who wait for a change.
func (w *world) notifyLocked() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// await waits until a condition holds, which is called with the lock held.
func (w *world) await(what string, limit time.Duration, holds func() bool) {
	deadline := time.After(limit)
	for {
		w.mu.Lock()
		ok, changed := holds(), w.changed
		w.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-deadline:
			giveUp("not within %v: %s", limit, what)
		}
	}
}

// ask sends one request as a user and returns the status, 0 without a response, and the body.
func (w *world) ask(n *node, method, path string, body any, limit time.Duration) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var raw []byte
	if body != nil {
		raw = wire.Encode(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(raw))
	if err != nil {
		giveUp("%v", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = wire.Decode(answer, &out)
	return resp.StatusCode, out
}

// submit submits a job, with retries at the controllers in turn, until it is accepted.
func (w *world) submit(spec wire.JobSpec, runTime time.Duration) {
	w.mu.Lock()
	w.jobs[spec.ID] = &job{spec, runTime}
	w.mu.Unlock()
	for try := range 60 {
		n := w.nodes[try%len(w.nodes)]
		status, answer := w.ask(n, http.MethodPost, "/v1/jobs", simulator.Submission(spec), 5*time.Second)
		w.say("user: POST /v1/jobs %s at %s: %d %v", spec.ID, n.name, status, answer["status"])
		if status == http.StatusOK || status == http.StatusCreated {
			return
		}
		time.Sleep(time.Second)
	}
	giveUp("%s is not accepted", spec.ID)
}

// cancel cancels a job, with retries at the controllers in turn, until that is confirmed.
func (w *world) cancel(id wire.JobID) {
	for try := range 60 {
		n := w.nodes[try%len(w.nodes)]
		status, answer := w.ask(n, http.MethodPost, "/v1/jobs/"+string(id)+"/cancel", nil, 5*time.Second)
		w.say("user: POST /v1/jobs/%s/cancel at %s: %d %v", id, n.name, status, answer["status"])
		if status == http.StatusOK && answer["status"] == string(wire.StatusCancelled) {
			w.mu.Lock()
			w.cancelled[id] = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
	giveUp("the cancellation of %s is not confirmed", id)
}

// longestRun is the longest time that a case may take.
const longestRun = 115 * time.Second

// play runs a case and returns the exit code.
func play(name string, run func(w *world, trouble bool), w *world, trouble bool) (code int) {
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longestRun):
		}
		w.say("the case could not run: interrupted, or longer than %v", longestRun)
		w.close()
		os.Exit(2)
	}()
	defer func() {
		if r := recover(); r != nil {
			reason, ok := r.(unplayable)
			if !ok {
				w.close()
				panic(r)
			}
			w.say("the case could not run: %s", reason)
			fmt.Println(name, "could not run:", reason)
			code = 2
		}
	}()
	run(w, trouble)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		fmt.Println(name, "broken:", strings.Join(w.broken, "; "))
		return 1
	}
	w.sayLocked("held")
	fmt.Println(name, "held")
	return 0
}

var errUsage = errors.New("usage: standin-2 CASE RECORD")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(2)
	}
	c := cases[os.Args[1]]
	os.Exit(play(os.Args[1], c.run, newWorld(c.settings, c.specs, os.Args[2]), os.Getenv("TROUBLE") != "0"))
}
