package upgrade_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// controllers are the controllers of every deployment under test.
var controllers = []duty.NodeID{"a", "b", "c"}

// The versions that the programs under test support.
var (
	oldProgram   = upgrade.Range{Min: 1, Max: 1}
	newProgram   = upgrade.Range{Min: 1, Max: 2}
	laterProgram = upgrade.Range{Min: 2, Max: 3}
)

// noVersionLimit is the operators' setting that allows any version.
const noVersionLimit upgrade.Version = 0

// deployment is a set of controllers' processes that share a simulated store, in virtual
// time.
type deployment struct {
	network *simulator.Network
	store   *simulator.KVStore

	mu        sync.Mutex // guards the fields below, which the processes' goroutines use
	processes map[duty.NodeID]*process
	lastEnded map[duty.NodeID]endedProcess
	// disconnectDelay is how long a process that has ended still counts as connected.
	disconnectDelay time.Duration
	events          []string
}

// process is a running process of a controller.
type process struct {
	*upgrade.Member
	cancel context.CancelFunc
}

// endedProcess is a controller's last process that has ended.
type endedProcess struct {
	incarnation string
	at          time.Time
}

// newDeployment returns a deployment without processes, whose store is served until the test
// ends. It must be called in a synctest bubble.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		network:   simulator.NewNetwork(time.Millisecond),
		store:     simulator.NewKVStore(12, 16),
		processes: map[duty.NodeID]*process{},
		lastEnded: map[duty.NodeID]endedProcess{},
	}
	stop, err := d.network.ServeKVStore(d.store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return d
}

// client returns a client of the store for the host with that number.
func (d *deployment) client(host int) *store.Client {
	limits := config.StoreLimits{RPS: 1000, WriteRPS: 1000, ValueKB: 16, TxnOps: 12}
	return store.New(simulator.KVStoreAddr, limits, 3, d.network.Host(simulator.NodeIP(host)))
}

// start starts a process of a controller, in place of the one that runs.
func (d *deployment) start(t *testing.T, node duty.NodeID, supports upgrade.Range) *process {
	t.Helper()
	d.stop(node)
	member, err := upgrade.NewMember(upgrade.Options{
		Node:           node,
		SupportedRange: supports,
		Store:          d.client(slices.Index(controllers, node)),
		PollInterval:   time.Second,
		Observe:        func(e upgrade.Event) { d.recordEvent(node, e) },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	p := &process{member, cancel}
	d.setProcess(node, p)
	go member.Run(ctx)
	return p
}

// startAll starts a process of every controller and waits until all have published.
func (d *deployment) startAll(t *testing.T, supports upgrade.Range) {
	t.Helper()
	for _, node := range controllers {
		d.start(t, node, supports)
	}
	awaitPolls()
}

// awaitPolls waits until every process has read the records at least twice.
func awaitPolls() { time.Sleep(3 * time.Second) }

// stop ends a controller's process, if one runs.
func (d *deployment) stop(node duty.NodeID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.processes[node]; p != nil {
		p.cancel()
		d.lastEnded[node] = endedProcess{p.Incarnation(), time.Now()}
		delete(d.processes, node)
	}
}

// process returns a controller's process; nil if none runs.
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

func (d *deployment) setDisconnectDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disconnectDelay = delay
}

// connectedIncarnation returns the incarnation of a controller's process that counts as
// connected; empty if none does.
func (d *deployment) connectedIncarnation(node duty.NodeID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ended := d.lastEnded[node]; !ended.at.IsZero() && time.Since(ended.at) < d.disconnectDelay {
		return ended.incarnation
	}
	if p := d.processes[node]; p != nil {
		return p.Incarnation()
	}
	return ""
}

func (d *deployment) recordEvent(node duty.NodeID, e upgrade.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, fmt.Sprint(node, " ", e.Kind, " ", e.Version))
}

// checkEvent fails the test unless the event has been emitted. It is written as controller,
// kind and version, separated by spaces.
func (d *deployment) checkEvent(t *testing.T, want string) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.events, want) {
		t.Errorf("events: got %q, want %q among them", d.events, want)
	}
}

// acquireLease returns a lease that is renewed until the test ends. Its holder is none of the
// controllers' processes.
func (d *deployment) acquireLease(t *testing.T) *duty.Lease {
	t.Helper()
	timing := duty.Timing{
		TTL:          3 * time.Second,
		RenewEvery:   700 * time.Millisecond,
		RenewTimeout: time.Second,
		Poll:         100 * time.Millisecond,
		Margin:       150 * time.Millisecond,
	}
	options := duty.Options{Key: store.LeaderKey, Node: "lead", Store: d.client(5), Timing: timing}
	lease := duty.NewCandidate(options).Campaign(t.Context())
	if lease == nil {
		t.Fatal("got no lease, want one")
	}
	go lease.KeepAlive(t.Context(), func(time.Time) {}) //nolint:errcheck // the tests check the lease itself
	return lease
}

// withLimit returns the deployment as the lease holder knows it, with the operators' limit.
func (d *deployment) withLimit(maxVersion upgrade.Version) upgrade.Deployment {
	return upgrade.Deployment{Controllers: controllers, MaxVersion: maxVersion, ConnectedIncarnation: d.connectedIncarnation}
}

// advance has the process p try to switch to the next version.
func (d *deployment) advance(ctx context.Context, lease *duty.Lease, p *process, maxVersion upgrade.Version) (upgrade.Version, error) {
	permit, err := duty.PermitFor[duty.Cleanup](lease)
	if err != nil {
		return 0, err
	}
	return p.Advance(ctx, permit, d.withLimit(maxVersion))
}

// recordedActive returns the active version from its record in the store.
func (d *deployment) recordedActive() upgrade.Version {
	var record upgrade.ActiveRecord
	if raw := d.store.Value(upgrade.ActiveKey); len(raw) > 0 && wire.Decode(raw, &record) == nil {
		return record.Version
	}
	return upgrade.BaseVersion
}

// delayWritesTo delays every transaction whose first write is to a key by a second.
func (d *deployment) delayWritesTo(key string) {
	d.store.DelayTransactions(func(txn *wire.Txn) time.Duration {
		if txn.Writes[0].PutKey == key {
			return time.Second
		}
		return 0
	})
}
