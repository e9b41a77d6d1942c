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

// runCountEnv is the environment variable that sets the number of runs, to make more than CI
// does: DUTY_RUNS=1000 go test ./duty -run Frozen -v
const runCountEnv = "DUTY_RUNS"

// holderEnv is the environment variable that makes the test binary run a holder instead of
// the tests. Its value is "node addr fenced".
const holderEnv = "DUTY_HOLDER"

func TestMain(m *testing.M) {
	if arguments := os.Getenv(holderEnv); arguments != "" {
		runChild(strings.Fields(arguments))
		return
	}
	os.Exit(m.Run())
}

// runChild runs a holder in this child process until its standard input ends.
func runChild(arguments []string) {
	node, addr, fenced := arguments[0], arguments[1], arguments[2] == "true"
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		bufio.NewReader(os.Stdin).ReadByte() //nolint:errcheck // the input ends with the test
		cancel()
	}()
	newHolder(node, addr, fenced, processStopped).run(ctx)
}

// freezeMode is a way to freeze a holder for longer than its lease.
type freezeMode int

const (
	frozenBeforeRequest  freezeMode = iota // a request has been checked but isn't sent
	frozenBeforeResponse                   // a request is executed but its response is held back
	partitionedFromStore                   // the store is unreachable, the cloud and the worker are not
	processStopped                         // the whole process is stopped, at any point
	freezeModeCount
)

// String returns the mode's name for messages of the tests.
func (m freezeMode) String() string {
	return [...]string{"before the request", "before the response", "partitioned from the store", "process stopped"}[m]
}

// holdsBack reports whether a closed gate holds back a request, or its response.
func (m freezeMode) holdsBack(path string, stage gateStage) bool {
	switch m {
	case partitionedFromStore:
		return path == storePath
	case frozenBeforeResponse:
		return stage == beforeResponse
	}
	return true
}

// freezePaths are the paths of the requests at which a holder is frozen. The empty path
// means that it is frozen at once, whichever requests follow.
var freezePaths = []string{scaleOutPath, scaleInPath, preemptPath, ""}

// freezePath returns the path of the request at which a holder is frozen in the run with
// this seed. It is empty if the holder is frozen at once.
func freezePath(seed uint64, mode freezeMode) string {
	if mode == partitionedFromStore {
		return ""
	}
	return freezePaths[seed/uint64(freezeModeCount)%uint64(len(freezePaths))]
}

// holderProcess controls a running holder.
type holderProcess struct {
	freeze func()
	resume func()
	end    func() // returns once the holder has ended
}

// startInProcess starts a holder in this process. When it is frozen its gate closes at the
// next request with the given path, or at once if the path is empty.
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

// startChild starts a holder in a child process, which is frozen by SIGSTOP.
func startChild(t *testing.T, node, addr string, fenced bool) holderProcess {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(program)
	child.Env = append(os.Environ(), fmt.Sprintf("%s=%s %s %v", holderEnv, node, addr, fenced))
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

// outcome is the outcome of one run, or the sum of several.
type outcome struct {
	runs          int
	late          lateActs
	failoverTimes []time.Duration // each from the freeze to the successor's first act
	acts          int
	changes       duty.Revision // of the store
}

func (o *outcome) add(other outcome) {
	o.runs += other.runs
	o.late.arrived += other.late.arrived
	o.late.completed += other.late.completed
	o.late.beforeSuccessor += other.late.beforeSuccessor
	o.late.stale = append(o.late.stale, other.late.stale...)
	o.failoverTimes = append(o.failoverTimes, other.failoverTimes...)
	o.acts += other.acts
	o.changes += other.changes
}

// freezeOnce freezes a holder, waits until another one takes over, resumes the first, and
// returns what arrived at the receivers.
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
	failoverTime := measureFailover(t, r, first.freeze)
	time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
	first.resume()
	time.Sleep(60 * time.Millisecond)
	return outcome{runs: 1, late: r.classifyLateActs(), failoverTimes: []time.Duration{failoverTime}, acts: r.countActs(), changes: r.store.LastRevision()}
}

// measureFailover freezes the holder and returns the time until another one acts.
func measureFailover(t *testing.T, r *receivers, freeze func()) time.Duration {
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

// await waits until the event has occurred. It reports a test failure after a timeout.
func await(t *testing.T, event string, occurred func() bool) {
	t.Helper()
	const timeout = 20 * time.Second
	for deadline := time.Now().Add(timeout); !occurred(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("got none within %v, want %s", timeout, event)
			return
		}
	}
}

// freezeRepeatedly makes runs with all modes in turn, several at a time, and returns their
// summed outcomes by mode.
func freezeRepeatedly(t *testing.T, runs int, fenced bool) (byMode [freezeModeCount]outcome) {
	t.Helper()
	const maxConcurrentRuns = 8
	slots := make(chan struct{}, maxConcurrentRuns)
	var mu sync.Mutex
	var running sync.WaitGroup
	for run := range runs {
		mode := freezeMode(run) % freezeModeCount
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

// runCount returns the number of runs of TestFrozenHolderMakesNoStaleAct.
func runCount() int {
	if runs, err := strconv.Atoi(os.Getenv(runCountEnv)); err == nil {
		return runs
	}
	return 40
}

// A holder is frozen, another takes over, and the first is resumed. No receiver accepts a
// stale act from the first any more, whatever the duty; lateActs tells which acts are stale.
func TestFrozenHolderMakesNoStaleAct(t *testing.T) {
	t.Parallel()
	var total outcome
	for mode, o := range freezeRepeatedly(t, runCount(), true) {
		for _, a := range o.late.stale {
			t.Errorf("%v: accepted stale act %s of %s under token %d, want none of a replaced holder", freezeMode(mode), a.duty, a.target, a.token)
		}
		t.Logf("%v: %d runs, %d acts, %d changes of the store; acts of the frozen holder: "+
			"%d arrived late, %d of them completed what the successor found open, %d reached a worker before the successor did, "+
			"%d stale ones accepted", freezeMode(mode), o.runs, o.acts, o.changes,
			o.late.arrived, o.late.completed, o.late.beforeSuccessor, len(o.late.stale))
		if freezeMode(mode) == frozenBeforeRequest && o.late.arrived == 0 {
			t.Errorf("%v: got no late act, want requests that were held back to arrive", freezeMode(mode))
		}
		total.add(o)
	}
	failoverTimes := slices.Sorted(slices.Values(total.failoverTimes))
	t.Logf("%d runs; from freeze to the successor's first act: median %v, 99th %v, worst %v (a lease of %v)", len(failoverTimes),
		failoverTimes[len(failoverTimes)/2], failoverTimes[len(failoverTimes)*99/100], failoverTimes[len(failoverTimes)-1], shortLease.TTL)
}

// This is the control of TestFrozenHolderMakesNoStaleAct, and shows that it can fail:
// without permits, intents and guards, and with a worker that doesn't check tokens, the
// receivers accept stale acts of every duty.
func TestFrozenHolderWithoutFencingMakesStaleActs(t *testing.T) {
	t.Parallel()
	const runs = 40
	stale := map[duty.Name]int{}
	for _, o := range freezeRepeatedly(t, runs, false) {
		for _, a := range o.late.stale {
			stale[a.duty]++
		}
	}
	t.Logf("stale acts accepted without fencing: %v", stale)
	for _, d := range []duty.Duty{duty.ScaleOut{}, duty.ScaleIn{}, duty.Preemption{}, duty.Cleanup{}} {
		if stale[d.Name()] == 0 {
			t.Errorf("stale acts of %s in %d runs without fencing: got none, want some", d.Name(), runs)
		}
	}
}
