package simulator

import (
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/netio"
	"lilaclead/internal/wire"
)

// StartFunc creates a controller. The function that it returns runs the controller until
// the context ends.
type StartFunc func(cfg *config.Config, nw netio.Network) (func(context.Context) error, error)

// JobScript is a job's specification and the behaviour of its tasks on the fake machines.
type JobScript struct {
	Spec        wire.JobSpec
	RunTime     float64   // run time of a task, in seconds
	AlwaysFails bool      // the tasks fail on every machine
	RunTimes    []float64 // run times of the first tasks, in seconds; the others take RunTime
}

// runTimeOf returns the run time of the task with an index, in seconds.
func (s *JobScript) runTimeOf(index int) float64 {
	if index < len(s.RunTimes) {
		return s.RunTimes[index]
	}
	return s.RunTime
}

// Simulation is a deployment of real controllers with fakes of everything else. Its lock
// guards the fakes, except for the network and the key-value store, which have their own.
type Simulation struct {
	Net     *Network                      // the in-memory network
	hostNet func(ip string) netio.Network // the network as a host sees it
	// onLoopback means that the hosts are on the operating system's loopback network (see
	// Loopback), not on Net.
	onLoopback bool
	State      *KVStore
	Settings   config.Settings

	mu               sync.Mutex
	checker          *Checker
	ctx              context.Context
	start            StartFunc
	rng              *rand.Rand
	machineTypes     []wire.MachineSpec
	capacity         map[string]int // by capacityKey: machines that the cloud can still provide
	machines         map[wire.MachineID]*worker
	scaleOuts        map[string][]wire.MachineID
	scaleOutNames    []string // the keys of scaleOuts in the order in which they were filled
	listHistory      []listSnapshot
	provisionedCount int
	scripts          map[wire.JobID]*JobScript
	controllers      []*controller
	servers          []*http.Server
	wg               sync.WaitGroup
	machineFaults    machineFaults
	gangs            gangTable

	isolatedZone          wire.Zone
	partitionedZones      [2]wire.Zone // two zones that can't reach each other; empty: none
	cloudOutage           bool
	loseScaleInResponses  int
	loseScaleOutResponses int
	lateRequests          lateRequests
	commandCopies         commandCopies
	requestCopies         requestCopies
	linkDelay             time.Duration
	provisionUnlisted     bool
	provisionFaulty       int // how many of the next machines are faulty
	slowSaves             bool
	spotSoldOut           bool
	soldOut               map[wire.Zone]bool
	listLag               time.Duration
	bootFactor            float64
	reportedFaults        int       // active faults reported by ReportFault
	lastFault             time.Time // when a fault was last active
}

// controller is a controller under test, which may be down.
type controller struct {
	cfg    config.Config
	cancel context.CancelFunc
	up     bool // the simulation's lock guards it
}

// advertisedAddr returns the address at which controllers reach a host, which on the loopback
// network is that of LoopbackAddr.
func (sim *Simulation) advertisedAddr(addr string) string {
	if sim.onLoopback {
		return LoopbackAddr(addr)
	}
	return addr
}

// New returns a deployment in which no controller runs yet. host returns the network as the
// host with an IP address sees it: nil for an in-memory network, or Loopback.
func New(ctx context.Context, settings config.Settings, seed uint64, start StartFunc, host func(ip string) netio.Network) *Simulation {
	limits := map[wire.TeamID]TeamLimit{}
	for _, team := range settings.Teams {
		limits[team.Name] = TeamLimit{team.MaxCPUs, team.MaxGPUs}
	}
	sim := &Simulation{
		Net: NewNetwork(time.Millisecond), State: NewKVStore(settings.State.TxnOps, int(settings.State.ValueKB)), Settings: settings,
		checker: NewChecker(settings.Workers.CancelTimeout.Duration(), limits), ctx: ctx, start: start, rng: rand.New(rand.NewPCG(seed, 7)),
		machineTypes: []wire.MachineSpec{
			{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 20, FetchGBPerSecond: 1, OnDemandPrice: 0.3, SpotPrice: 0.1, BootTime: 10, Zones: settings.Zones},
			{Name: "c16", CPUs: 16, MemoryGB: 64, DiskGB: 20, FetchGBPerSecond: 1, OnDemandPrice: 1.1, SpotPrice: 0.4, BootTime: 10, Zones: settings.Zones},
		},
		capacity: map[string]int{}, machines: map[wire.MachineID]*worker{}, scaleOuts: map[string][]wire.MachineID{},
		scripts: map[wire.JobID]*JobScript{}, soldOut: map[wire.Zone]bool{}, listLag: settings.Cloud.ListLag.Duration(), bootFactor: 1,
	}
	if sim.hostNet, sim.onLoopback = host, host != nil; host == nil {
		sim.hostNet = sim.Net.Host
	}
	for _, spec := range sim.machineTypes {
		for _, zone := range settings.Zones {
			sim.capacity[capacityKey(spec.Name, zone, false)] = 6
			sim.capacity[capacityKey(spec.Name, zone, true)] = 3
		}
	}
	sim.machineFaults.rng = rand.New(rand.NewPCG(seed, 13))
	sim.commandCopies.rng = rand.New(rand.NewPCG(seed, 11)) // its own, so that seeds without copies draw as before
	sim.checker.MachineSpecs, sim.lastFault = sim.machineTypes, time.Now()
	sim.serve(KVStoreAddr, sim.State)
	sim.serve(CloudAddr, http.HandlerFunc(sim.cloud))
	for i := range settings.Size {
		sim.controllers = append(sim.controllers, &controller{cfg: controllerConfig(settings, i)})
	}
	sim.spawn(func() {
		for ctx.Err() == nil {
			sim.mu.Lock()
			sim.observe(time.Now())
			sim.mu.Unlock()
			sleep(ctx, time.Second)
		}
	})
	return sim
}

// controllerConfig returns the configuration of the i-th controller.
func controllerConfig(settings config.Settings, i int) config.Config {
	name := func(k int) wire.NodeID { return wire.NodeID(fmt.Sprintf("worker-%d", k)) }
	zone := func(k int) wire.Zone { return settings.Zones[k%len(settings.Zones)] }
	c := config.Config{HostName: name(i), Zone: zone(i), UserAddr: NodeIP(i) + ":8080", PeerAddr: NodeIP(i) + ":8081",
		Endpoints: config.Endpoints{Cloud: CloudAddr, State: KVStoreAddr}, Settings: settings}
	for k := range settings.Size {
		if k != i {
			c.Peers = append(c.Peers, config.Peer{HostName: name(k), Zone: zone(k), Addr: NodeIP(k) + ":8081"})
		}
	}
	return c
}

// sleep waits for a duration or until the context is done. It never creates a timer that has
// already expired: in a synctest bubble under the race detector, the receiving goroutine
// runs such a timer itself, in a detector context that all goroutines of the bubble share,
// and two of them at once crash the detector (go1.26).
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// spawn runs f in a goroutine that Close waits for.
func (sim *Simulation) spawn(f func()) {
	sim.wg.Add(1)
	go func() {
		defer sim.wg.Done()
		f()
	}()
}

// serve starts an HTTP server at an address.
func (sim *Simulation) serve(address string, handler http.Handler) *http.Server {
	listener, err := sim.hostNet(hostOf(address)).Listen("tcp4", address)
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	sim.mu.Lock()
	sim.servers = append(sim.servers, server)
	sim.mu.Unlock()
	sim.spawn(func() { _ = server.Serve(listener) }) // ends with Close
	return server
}

// set sets a field of the simulation, under its lock.
func set[T any](sim *Simulation, field *T, value T) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*field = value
}

// Done returns a channel that is closed when the simulation's context ends.
func (sim *Simulation) Done() <-chan struct{} { return sim.ctx.Done() }

// Close stops the controllers, the network and the fakes, and waits for their goroutines.
func (sim *Simulation) Close() {
	for i := range sim.controllers {
		sim.KillController(i)
	}
	sim.mu.Lock()
	servers := sim.servers
	sim.mu.Unlock()
	sim.Net.Close()
	for _, server := range servers {
		server.Close()
	}
	sim.wg.Wait()
	sim.Net.Close()
	time.Sleep(time.Second) // lets handlers that are still running return
}

// WithChecker runs f with the checker under the simulation's lock.
func (sim *Simulation) WithChecker(f func(*Checker)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f(sim.checker)
}

// observe shows the present faults and machines to the checker; the caller holds the lock.
func (sim *Simulation) observe(now time.Time) {
	if sim.hasFault(now) {
		sim.lastFault = now
	}
	sim.checker.ObserveFaults(sim.lastFault, sim.lastFault != now)
	sim.checker.Tick(now)
	capacities := make([]MachineCapacity, 0, len(sim.machines))
	for _, id := range slices.Sorted(maps.Keys(sim.machines)) {
		capacities = append(capacities, sim.machines[id].capacity())
	}
	sim.checker.ObserveCapacity(capacities, now)
}

// hasFault reports whether any fault is active; the caller holds the lock.
func (sim *Simulation) hasFault(now time.Time) bool {
	if sim.reportedFaults > 0 || sim.cloudOutage || sim.isolatedZone != "" || sim.partitionedZones[0] != "" || sim.loseScaleInResponses > 0 || sim.loseScaleOutResponses > 0 {
		return true
	}
	for _, machine := range sim.machines {
		if machine.reclaimAt.After(now) {
			return true
		}
	}
	for _, node := range sim.controllers {
		if !node.up {
			return true
		}
	}
	return sim.State.faulty() || sim.Net.faulty()
}

// ReportFault records that a fault begins or ends that the simulation can't see by itself.
// While one is active, the rule LeftWaiting does not apply.
func (sim *Simulation) ReportFault(on bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.reportFault(on)
}

// reportFault is ReportFault for a caller that holds the lock.
func (sim *Simulation) reportFault(on bool) {
	if on {
		sim.reportedFaults++
	} else {
		sim.reportedFaults--
	}
	sim.lastFault = time.Now()
}
