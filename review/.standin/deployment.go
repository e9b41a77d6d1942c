package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// shape is a deployment: what its settings say.
type shape struct {
	zones                    []string
	teams                    string // tables of the settings file
	reportS, leaseS, cancelS float64
	rps, writeRPS, valueKB   float64
	txnOps                   int
	cores, memoryMB          float64
	fdLimit                  int
	types                    []machineType
	capacity                 int
	controllers              int
	withLinks                bool // connections go through links
	listLagS                 float64
}

// deployment is a running deployment: the controllers as processes, and the stand-ins.
type deployment struct {
	shape
	ctx     context.Context
	record  *recorder
	checker *checker
	state   *stateService
	cloud   *cloudService
	users   *users
	nodes   []*node
	dir     string
	run     []string // the deploy file's run, without the settings file
	stop    context.CancelFunc
	gangs   gangs
	links   map[string]*link // "i-j" from node to node, "zone-j" from a zone's machines to a node; with withLinks only

	onReport    func(w *worker, r report)     // called for every report, if set
	holdCommand func(w *worker) time.Duration // how long a direct command is held up, if set
}

// node is one controller.
type node struct {
	name, zone  string
	front, peer string
	stateAddr   string
	config      string
	log         *os.File
	process     *exec.Cmd
	exited      chan struct{}
}

func (d *deployment) node(i int) *node { return d.nodes[i%len(d.nodes)] }

func (d *deployment) nodeIndex(name string) int {
	for i, n := range d.nodes {
		if n.name == name {
			return i
		}
	}
	return -1
}

// deployFile returns the run line of deploy/service.toml as a program with arguments.
func deployFile(root string) ([]string, error) {
	content, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, errors.New("no run line in deploy/service.toml")
}

// current is the deployment of this process.
var current atomic.Pointer[deployment]

// newDeployment starts the stand-ins and writes the settings files. No controller runs yet.
func newDeployment(record *recorder, s shape) (*deployment, error) {
	run, err := deployFile(".")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(run[0]); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lilaclead-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{shape: s, record: record, checker: newChecker(record), dir: dir, run: run}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.state = newStateService(record, s.valueKB, s.txnOps)
	d.cloud = newCloudService(d, s.types, s.capacity, time.Duration(s.listLagS*float64(time.Second)))
	d.users = newUsers(d)
	current.Store(d)
	cloudListener := listenLoopback()
	d.serve(cloudListener, d.cloud)
	for i := range s.controllers {
		stateListener := listenLoopback()
		d.serve(stateListener, d.state.handler(i))
		d.nodes = append(d.nodes, &node{
			name: fmt.Sprintf("worker-%d", i), zone: s.zones[i%len(s.zones)],
			front: freeAddress(), peer: freeAddress(), stateAddr: stateListener.Addr().String(),
		})
	}
	d.links = map[string]*link{}
	if s.withLinks {
		for j, to := range d.nodes {
			for i := range d.nodes {
				if i != j {
					d.links[fmt.Sprintf("%d-%d", i, j)] = newLink(d, to.peer)
				}
			}
			for _, zone := range s.zones {
				d.links[fmt.Sprintf("%s-%d", zone, j)] = newLink(d, to.front)
			}
		}
	}
	for i := range d.nodes {
		if err := d.writeConfig(i, cloudListener.Addr().String()); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) serve(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-d.ctx.Done()
		_ = server.Close()
	}()
}

// through returns the address of a link, or the host's own address if there is no such link.
func (d *deployment) through(name, addr string) string {
	if l := d.links[name]; l != nil {
		return l.addr()
	}
	return addr
}

// freeAddress returns a loopback address whose port is free. The host part is this process's own, so
// that no other process takes the port while a controller is down.
func freeAddress() string {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 100+pid>>16&63, pid>>8&255, max(1, min(254, pid&255))))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (d *deployment) writeConfig(i int, cloud string) error {
	n := d.nodes[i]
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("host_name = %q\nzone = %q\nfront = %q\npeer_bind = %q", n.name, n.zone, n.front, n.peer)
	for j, other := range d.nodes {
		if j != i {
			p("[[others]]\nhost_name = %q\nzone = %q\naddr = %q", other.name, other.zone, d.through(fmt.Sprintf("%d-%d", i, j), other.peer))
		}
	}
	p("[endpoints]\ncloud = %q\nstate = %q", cloud, n.stateAddr)
	p("[settings]\nsize = %d\nzones = [\"%s\"]\nclock_off_ms = 250.0", len(d.nodes), strings.Join(d.zones, `", "`))
	p("%s", d.teams)
	p("[settings.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = %f", d.reportS, d.leaseS, d.cancelS)
	p("[settings.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d", d.rps, d.writeRPS, d.valueKB, d.txnOps)
	p("[settings.cloud]\nrps = 6.0\nlist_lag_s = %f", d.listLagS)
	p("[settings.limits]\ncores = %f\nmemory_mb = %f\nfd_limit = %d", d.cores, d.memoryMB, d.fdLimit)
	n.config = filepath.Join(d.dir, n.name+".toml")
	return os.WriteFile(n.config, []byte(b.String()), 0o644)
}

// start starts a controller.
func (d *deployment) start(i int) error {
	n := d.nodes[i]
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.run[0], append(append([]string{}, d.run[1:]...), n.config)...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.log, n.process, n.exited = log, cmd, make(chan struct{})
	d.record.logf("controller %s started, process %d", n.name, cmd.Process.Pid)
	go func(exited chan struct{}) {
		err := cmd.Wait()
		d.record.logf("controller %s ended: %v", n.name, err)
		log.Close()
		close(exited)
	}(n.exited)
	return nil
}

// startAll starts all controllers and waits until they serve.
func (d *deployment) startAll(within time.Duration) bool {
	for i := range d.nodes {
		if err := d.start(i); err != nil {
			d.record.printf("can't run: %v", err)
			return false
		}
	}
	if !d.ready(within) {
		d.record.printf("can't run: the controllers are not ready")
		return false
	}
	return true
}

// signal sends a signal to a controller.
func (d *deployment) signal(i int, signal syscall.Signal) {
	n := d.nodes[i]
	d.record.logf("signal %v to %s", signal, n.name)
	_ = n.process.Process.Signal(signal)
}

// kill ends a controller and waits for its end.
func (d *deployment) kill(i int) {
	d.signal(i, syscall.SIGKILL)
	<-d.nodes[i].exited
}

// running reports whether a controller has not ended.
func (d *deployment) running(i int) bool {
	select {
	case <-d.nodes[i].exited:
		return false
	default:
		return true
	}
}

// close ends all processes and the stand-ins.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	d.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// ready waits until all controllers are ready for users and one leads.
func (d *deployment) ready(within time.Duration) bool {
	client := newClient()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		all := d.state.leader() != ""
		for _, n := range d.nodes {
			status, _ := call(d.ctx, client, http.MethodGet, "http://"+n.front+"/ready", nil, time.Second)
			all = all && status == http.StatusOK
		}
		if all {
			return true
		}
	}
	return false
}
