package simulator

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// Starter makes a node that runs until its context ends.
type Starter func(cfg *config.Config, nw netio.Net) (func(context.Context) error, error)

// Truth is what the stand-ins know of a job beside its submission.
type Truth struct {
	Spec  wire.Spec
	RunS  float64   // true run time of a task
	Fails bool      // its tasks fail on every machine
	EachS []float64 // the first tasks' own run times; the others take RunS
}

// World is a deployment made of stand-ins. One lock guards it all.
type World struct {
	Net   *Network // the network in memory, with its faults
	host  func(ip string) netio.Net
	State *State
	Set   config.Settings

	mu       sync.Mutex
	check    *Checker
	ctx      context.Context
	start    Starter
	rng      *rand.Rand
	flavors  []wire.MachineSpec
	capacity map[string]int // type/zone/kind -> how many more
	machines map[wire.MachineID]*worker
	booked   map[string][]wire.MachineID
	history  []snapshot
	seq      int
	truths   map[wire.JobID]*Truth
	nodes    []*node
	servers  []*http.Server
	wg       sync.WaitGroup
	odd      odd
	gangs    gangs

	cutZone     wire.Zone
	parted      [2]wire.Zone // zones that can't reach each other; empty: none
	cloudOut    bool
	loseRelease int
	loseRent    int
	slowBy      time.Duration
	unlisted    bool
	slowSaves   bool
	noSpot      bool
	soldOut     map[wire.Zone]bool
	listLag     time.Duration
	bootFactor  float64
	unrest      int       // troubles that are on and that nothing else shows
	shaken      time.Time // when there last was a trouble
}

type node struct {
	cfg    config.Config
	cancel context.CancelFunc
	up     bool // the world's lock guards it
}

type snapshot struct {
	at    time.Time
	hosts []wire.ListedMachine
}

// Endpoints of the stand-ins and nodes on the in-memory network.
const (
	StateAddr = "10.2.0.1:2379"
	CloudAddr = "10.2.0.2:8443"
)

// NodeIP of the i-th node.
func NodeIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// DefaultSettings of a small deployment.
func DefaultSettings() config.Settings {
	return config.Settings{
		Size: 3, Zones: []wire.Zone{"a", "b"}, ClockOffMs: 250,
		Teams:   []config.Team{{Name: "red", CPUs: 16, CPUsMax: 40}, {Name: "blue", CPUs: 16}},
		Workers: config.Workers{ReportS: 2, LeaseS: 16, CancelS: 41, GangWaitS: 45, GangPeerS: 8},
		State:   config.State{RPS: 200, WriteRPS: 50, ValueKB: 16, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 6, ListLagS: 4},
		Limits:  config.Limits{Cores: 0.2, MemoryMB: 98, FDLimit: 900},
	}
}

// GasSettings are those of three controllers for three zones, a small state
// service, and leases and cancellations close to each other. One of the zones
// has no controller if Nodes says so.
func GasSettings() config.Settings {
	s := DefaultSettings()
	s.Zones = []wire.Zone{"a", "b", "c"}
	s.Workers = config.Workers{ReportS: 4, LeaseS: 22, CancelS: 47, GangWaitS: 45, GangPeerS: 8}
	s.State = config.State{RPS: 80, WriteRPS: 25, ValueKB: 4, TxnOps: 8}
	s.Cloud = config.Cloud{RPS: 10, ListLagS: 6}
	return s
}

// Loopback is the machine's own loopback network in place of the one in
// memory: host 10.a.b.c is 127.a.b.c.
func Loopback(string) netio.Net {
	real := netio.Real()
	at := func(addr string) string { return LoopbackAddr(addr) }
	return netio.Net{
		Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return real.Dial(ctx, network, at(addr))
		},
		Listen: func(network, addr string) (net.Listener, error) { return real.Listen(network, at(addr)) },
	}
}

// LoopbackAddr is where an address of the world is on the loopback network.
func LoopbackAddr(addr string) string { return "127." + strings.TrimPrefix(addr, "10.") }

// NewWorld builds a deployment; no node runs yet. Without a host function it
// lives on its own network in memory.
func NewWorld(ctx context.Context, set config.Settings, seed uint64, start Starter, host func(ip string) netio.Net) *World {
	limits := map[wire.TeamID]Limit{}
	for _, t := range set.Teams {
		limits[t.Name] = Limit{t.CPUsMax, t.GPUsMax}
	}
	w := &World{
		Net: NewNetwork(time.Millisecond), State: NewState(set.State.TxnOps, int(set.State.ValueKB)), Set: set,
		check: NewChecker(set.Workers.CancelS.Duration(), limits), ctx: ctx, start: start, rng: rand.New(rand.NewPCG(seed, 7)),
		flavors: []wire.MachineSpec{
			{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 20, FetchGBPerS: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootTime: 10, Zones: set.Zones},
			{Name: "c16", CPUs: 16, MemoryGB: 64, DiskGB: 20, FetchGBPerS: 1, OnDemandPrice: 1.1, SpotPrice: 0.4, BootTime: 10, Zones: set.Zones},
		},
		capacity: map[string]int{}, machines: map[wire.MachineID]*worker{}, booked: map[string][]wire.MachineID{},
		truths: map[wire.JobID]*Truth{}, soldOut: map[wire.Zone]bool{}, listLag: set.Cloud.ListLagS.Duration(), bootFactor: 1,
	}
	if w.host = host; host == nil {
		w.host = w.Net.Host
	}
	for _, f := range w.flavors {
		for _, z := range set.Zones {
			w.capacity[offer(f.Name, z, false)] = 6
			w.capacity[offer(f.Name, z, true)] = 3
		}
	}
	w.check.Flavors, w.shaken = w.flavors, time.Now()
	w.serve(StateAddr, w.State)
	w.serve(CloudAddr, http.HandlerFunc(w.cloud))
	w.nodes = make([]*node, set.Size)
	for i := range w.nodes {
		c := config.Config{HostName: wire.NodeID(fmt.Sprintf("worker-%d", i)), Zone: set.Zones[i%len(set.Zones)],
			Front: NodeIP(i) + ":8080", PeerBind: NodeIP(i) + ":8081", Endpoints: config.Endpoints{Cloud: CloudAddr, State: StateAddr}, Settings: set}
		for k := range w.nodes {
			if k != i {
				c.Peers = append(c.Peers, config.Peer{HostName: wire.NodeID(fmt.Sprintf("worker-%d", k)), Zone: set.Zones[k%len(set.Zones)], Addr: NodeIP(k) + ":8081"})
			}
		}
		w.nodes[i] = &node{cfg: c}
	}
	w.spawn(func() {
		for ctx.Err() == nil {
			w.mu.Lock()
			w.watch(time.Now())
			w.mu.Unlock()
			sleep(ctx, time.Second)
		}
	})
	return w
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *World) spawn(f func()) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		f()
	}()
}

func (w *World) serve(at string, h http.Handler) *http.Server {
	l, err := w.host(hostOf(at)).Listen("tcp4", at)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.spawn(func() { s.Serve(l) }) //nolint:errcheck // ends with Close
	return s
}

// Up starts the i-th node if it is down.
func (w *World) Up(i int) error {
	n := w.nodes[i]
	if n.cancel != nil {
		return nil
	}
	cfg := n.cfg
	run, err := w.start(&cfg, w.host(NodeIP(i)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	w.power(n, true)
	w.spawn(func() { run(ctx) }) //nolint:errcheck // it is killed
	return nil
}

// Kill ends the i-th node as a power cut does.
func (w *World) Kill(i int) {
	n := w.nodes[i]
	if n.cancel == nil {
		return
	}
	w.Net.Reset(NodeIP(i))
	n.cancel()
	n.cancel = nil
	w.power(n, false)
	w.Net.Reset(NodeIP(i))
}

// power notes that a node begins or ends, which is a trouble to others.
func (w *World) power(n *node, up bool) {
	w.mu.Lock()
	n.up, w.shaken = up, time.Now()
	w.mu.Unlock()
}

// Leader is the index of the node that holds the office by the state
// service's word, or -1.
func (w *World) Leader() int {
	w.State.mu.Lock()
	defer w.State.mu.Unlock()
	e := w.State.keys["lead"]
	if e == nil {
		return -1
	}
	var rec struct {
		Node wire.NodeID `cbor:"node"`
	}
	if wire.Decode(e.v, &rec) != nil {
		return -1
	}
	for i, n := range w.nodes {
		if n.cfg.HostName == rec.Node {
			return i
		}
	}
	return -1
}

// Config of the i-th node.
func (w *World) Config(i int) config.Config { return w.nodes[i].cfg }

// Close ends everything.
func (w *World) Close() {
	for i := range w.nodes {
		w.Kill(i)
	}
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	w.Net.Close()
	for _, s := range servers {
		s.Close()
	}
	w.wg.Wait()
	w.Net.Close()
	time.Sleep(time.Second) // handlers that were still thinking
}

// Checked runs f with the checker under the world's lock.
func (w *World) Checked(f func(*Checker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w.check)
}

// ---- the cloud ----

func offer(k wire.MachineType, z wire.Zone, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", k, z, spot)
}

// CloudOutage begins or ends an outage of the cloud's interface.
func (w *World) CloudOutage(on bool) {
	w.mu.Lock()
	w.cloudOut = on
	w.mu.Unlock()
}

// CutZone cuts a zone's controllers and machines off from everything else, with
// all packets held, or lets them through again.
func (w *World) CutZone(z wire.Zone, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutZone = ""; on {
		w.cutZone = z
	}
	for _, m := range w.machines {
		if m.zone == z {
			w.Net.Island(m.ip, on)
		}
	}
	for i, n := range w.nodes {
		if n.cfg.Zone == z {
			w.Net.Island(NodeIP(i), on)
		}
	}
}

// Nodes says in which zones the nodes are, before they are up: by turns, so that
// some zones may have none.
func (w *World) Nodes(zones ...wire.Zone) {
	zone := func(i int) wire.Zone { return zones[i%len(zones)] }
	for i, n := range w.nodes {
		n.cfg.Zone = zone(i)
		n.cfg.Peers = slices.Clone(n.cfg.Peers)
		for k := range n.cfg.Peers {
			o := &n.cfg.Peers[k]
			o.Zone = zone(slices.IndexFunc(w.nodes, func(m *node) bool { return m.cfg.HostName == o.HostName }))
		}
	}
}

// Part keeps two zones from reaching each other, with all packets between them
// held, or lets them again. Both still reach everything else.
func (w *World) Part(a, b wire.Zone, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.parted = [2]wire.Zone{}; on {
		w.parted = [2]wire.Zone{a, b}
	}
	for i, n := range w.nodes {
		for k, o := range w.nodes {
			if n.cfg.Zone == a && o.cfg.Zone == b {
				w.Net.Cut(NodeIP(i), NodeIP(k), on)
			}
		}
	}
	for _, m := range w.machines {
		w.part(m, a, b, on)
	}
}

// part is what Part means for a machine.
func (w *World) part(m *worker, a, b wire.Zone, on bool) {
	for i, n := range w.nodes {
		if z := n.cfg.Zone; z == a && m.zone == b || z == b && m.zone == a {
			w.Net.Cut(m.ip, NodeIP(i), on)
		}
	}
}

// LoseReleases makes the next releases take effect without an answer.
func (w *World) LoseReleases(n int) {
	w.mu.Lock()
	w.loseRelease = n
	w.mu.Unlock()
}

// LoseRents makes the next bookings take effect without an answer.
func (w *World) LoseRents(n int) {
	w.mu.Lock()
	w.loseRent = n
	w.mu.Unlock()
}

// Machines counts the machines that exist.
func (w *World) Machines() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.machines)
}

// Rented counts all the machines that were ever rented.
func (w *World) Rented() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seq
}

// hosts lists the machines now; call with the lock held.
func (w *World) hosts() []wire.ListedMachine {
	out := []wire.ListedMachine{}
	for _, m := range w.machines {
		if m.unlisted {
			continue
		}
		st := wire.ListedStarting
		if m.up {
			st = wire.ListedRunning
		}
		out = append(out, wire.ListedMachine{Name: m.id, Addr: m.addr, Type: m.kit, Zone: m.zone, Spot: m.spot, State: st, Age: wire.Seconds(time.Since(m.rented).Seconds())})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

func (w *World) cloud(rw http.ResponseWriter, r *http.Request) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	if err != nil {
		return
	}
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cloudOut {
		wire.Answer(rw, http.StatusServiceUnavailable, wire.Reason{Error: "trouble"})
		return
	}
	switch r.URL.Path {
	case "/flavors":
		wire.Answer(rw, http.StatusOK, wire.MachineSpecs{Types: w.flavors})
	case "/machines/release":
		var h wire.MachineNames
		if wire.Decode(raw, &h) != nil || len(h.Machines) > 100 {
			wire.Answer(rw, http.StatusBadRequest, wire.Reason{Error: "malformed"})
			return
		}
		for _, id := range h.Machines {
			w.remove(id)
		}
		if w.loseRelease > 0 {
			w.loseRelease--
			panic(http.ErrAbortHandler)
		}
		wire.Answer(rw, http.StatusOK, struct{}{})
	case "/machines":
		if r.Method == "GET" {
			w.list(rw, r)
			return
		}
		w.rent(rw, raw)
	}
}

func (w *World) list(rw http.ResponseWriter, r *http.Request) {
	now := time.Now()
	w.history = append(w.history, snapshot{now, w.hosts()})
	lag := w.listLag
	if w.rng.IntN(4) == 0 {
		lag *= 2 // older than the one before
	}
	page := wire.MachinePage{Machines: []wire.ListedMachine{}}
	for i := len(w.history) - 1; i >= 0; i-- {
		if now.Sub(w.history[i].at) >= lag {
			for _, h := range w.history[i].hosts {
				if string(h.Name) > r.URL.Query().Get("after") {
					page.Machines = append(page.Machines, h)
				}
			}
			break
		}
	}
	if len(w.history) > 200 {
		w.history = append([]snapshot(nil), w.history[100:]...)
	}
	wire.Answer(rw, http.StatusOK, page)
}

func (w *World) rent(rw http.ResponseWriter, raw []byte) {
	var b wire.RentalRequest
	if wire.Decode(raw, &b) != nil || b.Count < 1 || b.Count > 50 || b.Name == "" {
		wire.Answer(rw, http.StatusBadRequest, wire.Reason{Error: "malformed"})
		return
	}
	ids, known := w.booked[b.Name]
	if !known {
		of := offer(b.Type, b.Zone, b.Spot)
		n := min(b.Count, w.capacity[of])
		if n <= 0 || w.soldOut[b.Zone] || w.noSpot && b.Spot {
			wire.Answer(rw, http.StatusServiceUnavailable, wire.Reason{Error: "no capacity"})
			return
		}
		w.capacity[of] -= n
		for range n {
			ids = append(ids, w.boot(b.Type, b.Zone, b.Spot, time.Duration(float64(10*time.Second)*w.bootFactor*(0.6+0.9*w.rng.Float64()))))
		}
		w.booked[b.Name] = ids
	}
	if w.loseRent > 0 {
		w.loseRent--
		panic(http.ErrAbortHandler)
	}
	wire.Answer(rw, http.StatusOK, wire.MachineNames{Machines: ids})
}

// boot makes a machine; call with the lock held.
func (w *World) boot(kit wire.MachineType, zone wire.Zone, spot bool, after time.Duration) wire.MachineID {
	id := wire.MachineID(fmt.Sprintf("n-%06d", w.seq))
	ip := fmt.Sprintf("10.1.%d.%d", w.seq/250, w.seq%250+1)
	w.seq++
	var f wire.MachineSpec
	for _, x := range w.flavors {
		if x.Name == kit {
			f = x
		}
	}
	ctx, cancel := context.WithCancel(w.ctx)
	m := &worker{w: w, id: id, ip: ip, addr: ip + ":9000", kit: kit, zone: zone, spot: spot, flavor: f, rented: time.Now(), ctx: ctx, cancel: cancel,
		shift: 1, tasks: map[wire.Task]*run{}, cached: map[wire.ImageID]bool{}, drift: 1 + (w.rng.Float64()-0.5)*0.001, poke: make(chan struct{}, 1)}
	w.machines[id] = m
	w.Net.Slow(ip, w.slowBy)
	m.unlisted = w.unlisted
	if zone == w.cutZone {
		w.Net.Island(ip, true)
	}
	if w.parted[0] != "" {
		w.part(m, w.parted[0], w.parted[1], true)
	}
	w.spawn(func() {
		sleep(ctx, after)
		if ctx.Err() == nil {
			m.live()
		}
	})
	return id
}

// remove takes a machine away with all that is on it; call with the lock
// held.
func (w *World) remove(id wire.MachineID) {
	m := w.machines[id]
	if m == nil {
		return
	}
	delete(w.machines, id)
	w.capacity[offer(m.kit, m.zone, m.spot)]++
	m.cancel()
	for t, x := range m.tasks {
		w.check.Left(t, id, false)
		w.gangGone(t, x)
	}
	m.tasks = map[wire.Task]*run{}
	m.dead = true
	w.Net.Down(m.ip, true)
}

// Take makes the cloud take machines back without notice, at most n that
// pass the test.
func (w *World) Take(n int, which func(spot bool, tasks int) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []wire.MachineID
	for id, m := range w.machines {
		if m.up && which(m.spot, len(m.tasks)) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	ids = ids[:min(n, len(ids))]
	for _, id := range ids {
		w.remove(id)
		w.shaken = time.Now()
	}
	return len(ids)
}

// Some picks a live machine that passes the test.
func (w *World) Some(which func(tasks int) bool) (wire.MachineID, string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, m := range w.machines {
		if m.up && which(len(m.tasks)) {
			ids = append(ids, string(id))
		}
	}
	if len(ids) == 0 {
		return "", "", false
	}
	sort.Strings(ids)
	m := w.machines[wire.MachineID(ids[0])]
	return m.id, m.ip, true
}

// Notice gives a machine a spot notice.
func (w *World) Notice(id wire.MachineID, left time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[id]; m != nil {
		m.notice = time.Now().Add(left)
		m.changed()
		w.spawn(func() {
			sleep(w.ctx, left)
			w.mu.Lock()
			w.remove(id)
			w.shaken = time.Now()
			w.mu.Unlock()
		})
	}
}

// Rebirth restarts a machine at once: it reports like a new worker, and its
// tasks and images are gone.
func (w *World) Rebirth(id wire.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[id]; m != nil {
		w.shaken = time.Now()
		m.lose()
		m.life++
		m.shift, m.tally, m.baton = 1, 0, 0
		m.answered, m.cached = time.Now(), map[wire.ImageID]bool{}
		m.changed()
	}
}

// Copy takes the last report of a machine and sends copies of it to all nodes
// after the given times, whatever has become of the machine.
func (w *World) Copy(id wire.MachineID, after ...time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[id]
	if m == nil {
		return
	}
	rep := m.sent
	for _, d := range after {
		w.unsettle(true)
		w.spawn(func() {
			defer w.Unrest(false)
			sleep(w.ctx, d)
			for i := range w.nodes {
				w.Ask(i, "POST", "/hello", rep)
			}
		})
	}
}

// Holds lists the machines that run tasks of a job.
func (w *World) Holds(id wire.JobID) []wire.MachineID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []wire.MachineID
	for t, p := range w.check.on {
		if t.Job == id && !slices.Contains(out, p.Machine) {
			out = append(out, p.Machine)
		}
	}
	slices.Sort(out)
	return out
}

// IP of a machine.
func (w *World) IP(id wire.MachineID) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[id]; m != nil {
		return m.ip
	}
	return ""
}

// Sick makes a machine fail every task from now on.
func (w *World) Sick(id wire.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.machines[id]; m != nil {
		m.sick = true
	}
}

func parseID(s string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(s, "worker-"))
	return n
}
