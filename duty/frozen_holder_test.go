package duty_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lilaclead/duty"
)

// runsVariable asks for more runs than CI makes: DUTY_RUNS=1000 go test ./duty -run Frozen -v
const runsVariable = "DUTY_RUNS"

// holderVariable makes the test's program a holder: "node addr fenced".
const holderVariable = "DUTY_HOLDER"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(holderVariable); arguments != "" {
		runChild(strings.Fields(arguments))
		return
	}
	os.Exit(m.Run())
}

// runChild is a holder in a process of its own, until its standard input ends.
func runChild(arguments []string) {
	node, addr, fenced := arguments[0], arguments[1], arguments[2] == "true"
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		bufio.NewReader(os.Stdin).ReadByte() //nolint:errcheck // it ends with the test
		cancel()
	}()
	newHolder(node, addr, fenced, processStopped).run(ctx)
}

// freezeMode is a way to keep a holder from its work for longer than its lease.
type freezeMode int

const (
	frozenBeforeRequest  freezeMode = iota // with a request checked, and not sent
	frozenBeforeAnswer                     // with a request carried out, and its answer kept back
	partitionedFromStore                   // without the store, and with all else
	processStopped                         // the whole process, anywhere
	freezeModes
)

// String returns the mode as it is logged.
func (m freezeMode) String() string {
	return [...]string{"before the request", "before the answer", "partitioned from the store", "process stopped"}[m]
}

// keepsBack reports whether a closed gate keeps a request, or its answer, back.
func (m freezeMode) keepsBack(path string, at stage) bool {
	switch m {
	case partitionedFromStore:
		return path == storePath
	case frozenBeforeAnswer:
		return at == beforeAnswer
	}
	return true
}

// freezePaths are the requests at which a holder is frozen; empty: at any.
var freezePaths = []string{scaleOutPath, scaleInPath, preemptPath, ""}

// freezePath returns the request at which a holder is frozen in a run.
func freezePath(seed uint64, mode freezeMode) string {
	if mode == partitionedFromStore {
		return ""
	}
	return freezePaths[seed/uint64(freezeModes)%uint64(len(freezePaths))]
}

// holderProcess is a holder under test.
type holderProcess struct {
	freeze func()
	resume func()
	end    func() // returns when it has ended
}

// startInProcess runs a holder in this process, behind a gate that closes at a request.
func startInProcess(h *holder, closeAtPath string) holderProcess {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { h.run(ctx) })
	return holderProcess{
		freeze: func() { h.gate.close(closeAtPath) },
		resume: h.gate.open,
		end: func() {
			h.gate.open()
			cancel()
			running.Wait()
		},
	}
}

// startChild runs a holder in a process of its own.
func startChild(t *testing.T, node, addr string, fenced bool) holderProcess {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(program)
	child.Env = append(os.Environ(), fmt.Sprintf("%s=%s %s %v", holderVariable, node, addr, fenced))
	stdin, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	send := func(s syscall.Signal) {
		if err := child.Process.Signal(s); err != nil {
			t.Errorf("signal %v: got %v, want nil", s, err)
		}
	}
	return holderProcess{
		freeze: func() { send(syscall.SIGSTOP) },
		resume: func() { send(syscall.SIGCONT) },
		end: func() {
			stdin.Close()
			child.Wait() //nolint:errcheck // it may end by its signal
		},
	}
}

// outcome of one run, or the sum of several.
type outcome struct {
	runs      int
	late      lateActs
	failovers []time.Duration // from the freeze to the successor's first act
	acts      int
	changes   duty.Revision // of the store
}

// add adds the outcome of other runs.
func (o *outcome) add(other outcome) {
	o.runs += other.runs
	o.late.arrived += other.late.arrived
	o.late.completed += other.late.completed
	o.late.beforeSuccessor += other.late.beforeSuccessor
	o.late.stale = append(o.late.stale, other.late.stale...)
	o.failovers = append(o.failovers, other.failovers...)
	o.acts += other.acts
	o.changes += other.changes
}

// freezeOnce freezes a holder, waits until another takes over, resumes the first, and
// returns what the receivers accepted.
func freezeOnce(t *testing.T, seed uint64, mode freezeMode, fenced bool) outcome {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	r := newReceivers(fenced)
	server := httptest.NewServer(r)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	start := func(node string) holderProcess {
		if mode == processStopped {
			return startChild(t, node, addr, fenced)
		}
		return startInProcess(newHolder(node, addr, fenced, mode), freezePath(seed, mode))
	}
	first := start("a")
	defer first.end()
	await(t, "a first act", func() bool { _, found := r.firstActAfter(time.Time{}); return found })
	second := start("b")
	defer second.end()
	time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	failover := awaitFailover(t, r, first.freeze)
	time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
	first.resume()
	time.Sleep(60 * time.Millisecond)
	return outcome{runs: 1, late: r.lateActs(), failovers: []time.Duration{failover}, acts: r.countActs(), changes: r.store.LastRevision()}
}

// awaitFailover freezes the holder and returns how long it took until another acted.
func awaitFailover(t *testing.T, r *receivers, freeze func()) time.Duration {
	t.Helper()
	tokenBefore, frozenAt := r.currentToken(), time.Now()
	freeze()
	var actedAt time.Time
	await(t, "an act of a successor", func() bool {
		at, found := r.firstActAfter(frozenAt)
		actedAt = at
		return found && r.currentToken() > tokenBefore
	})
	return actedAt.Sub(frozenAt)
}

// await waits until a condition is met.
func await(t *testing.T, what string, met func() bool) {
	t.Helper()
	const patience = 20 * time.Second
	for deadline := time.Now().Add(patience); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("got none within %v, want %s", patience, what)
			return
		}
	}
}

// freezeMany makes runs over all modes, some at a time, and sums them up by mode.
func freezeMany(t *testing.T, runs int, fenced bool) (byMode [freezeModes]outcome) {
	t.Helper()
	const atATime = 8
	slots := make(chan struct{}, atATime)
	var mu sync.Mutex
	var running sync.WaitGroup
	for run := range runs {
		mode := freezeMode(run) % freezeModes
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			o := freezeOnce(t, uint64(run), mode, fenced)
			mu.Lock()
			defer mu.Unlock()
			byMode[mode].add(o)
		})
	}
	running.Wait()
	return byMode
}

// requestedRuns returns how many runs are to be made.
func requestedRuns() int {
	if runs, err := strconv.Atoi(os.Getenv(runsVariable)); err == nil {
		return runs
	}
	return 40
}

// A holder is frozen, another takes over, the first is resumed: no receiver accepts
// anything from it any more, whatever it is about.
func TestFrozenHolder(t *testing.T) {
	t.Parallel()
	var total outcome
	for mode, o := range freezeMany(t, requestedRuns(), true) {
		for _, a := range o.late.stale {
			t.Errorf("%v: accepted %s of %s under token %d, want none of a replaced holder", freezeMode(mode), a.duty, a.target, a.token)
		}
		t.Logf("%v: %d runs, %d acts, %d changes of the store; acts of the frozen holder: "+
			"%d arrived late, %d of them completed what the successor found open, %d came to a worker before the successor did, "+
			"%d stale ones accepted", freezeMode(mode), o.runs, o.acts, o.changes,
			o.late.arrived, o.late.completed, o.late.beforeSuccessor, len(o.late.stale))
		if freezeMode(mode) == frozenBeforeRequest && o.late.arrived == 0 {
			t.Errorf("%v: got no late act, want requests that were kept back to arrive", freezeMode(mode))
		}
		total.add(o)
	}
	failovers := slices.Sorted(slices.Values(total.failovers))
	t.Logf("%d runs; from freeze to the successor's first act: median %v, 99th %v, worst %v (a lease of %v)", len(failovers),
		failovers[len(failovers)/2], failovers[len(failovers)*99/100], failovers[len(failovers)-1], shortLease.TTL)
}

// Without permits, intents and guards, and with a worker that checks no tokens, the same
// runs find stale acts of every duty: TestFrozenHolder can fail.
func TestFrozenHolderControl(t *testing.T) {
	t.Parallel()
	const runs = 40
	stale := map[duty.Name]int{}
	for _, o := range freezeMany(t, runs, false) {
		for _, a := range o.late.stale {
			stale[a.duty]++
		}
	}
	t.Logf("stale acts accepted without a fence: %v", stale)
	for _, d := range []duty.Duty{duty.ScaleOut{}, duty.ScaleIn{}, duty.Preemption{}, duty.Cleanup{}} {
		if stale[d.Name()] == 0 {
			t.Errorf("stale acts of %s in %d runs without a fence: got none, want some", d.Name(), runs)
		}
	}
}
