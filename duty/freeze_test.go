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
	if spec := os.Getenv(holderVariable); spec != "" {
		runChild(spec)
		return
	}
	os.Exit(m.Run())
}

// runChild is a holder in a process of its own, until its standard input ends.
func runChild(spec string) {
	field := strings.Fields(spec)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		bufio.NewReader(os.Stdin).ReadByte() //nolint:errcheck // it ends with the test
		cancel()
	}()
	newHolder(field[0], field[1], field[2] == "true").run(ctx)
}

// pause is a way to keep a holder from its work for longer than its lease.
type pause int

const (
	pausedBeforeSending pause = iota // with a request checked, and not sent
	pausedBeforeAnswer               // with a request carried out, and its answer lost for the time
	split                            // without the state service, and with all else
	signalled                        // the whole process, anywhere
	pauses
)

func (p pause) String() string {
	return [...]string{"before sending", "before the answer", "split from the state service", "process stopped"}[p]
}

// process is a holder under test.
type process struct {
	pause  func()
	resume func()
	end    func()
}

// freezePoints are the requests at which a holder is paused; empty: at any.
var freezePoints = []string{"/cloud/rent", "/cloud/return", "/worker/halt", ""}

// startHere runs a holder in this process, behind a gate that closes at such a request.
func startHere(node, addr string, fenced bool, how pause, at string) process {
	h := newHolder(node, addr, fenced)
	h.gate.stateOnly, h.gate.answers = how == split, how == pausedBeforeAnswer
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		h.run(ctx)
		close(done)
	}()
	return process{func() { h.gate.close(at) }, h.gate.open, func() {
		h.gate.open()
		cancel()
		<-done
	}}
}

// startChild runs a holder in a process of its own.
func startChild(t *testing.T, node, addr string, fenced bool) process {
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
	signal := func(s syscall.Signal) func() {
		return func() {
			if err := child.Process.Signal(s); err != nil {
				t.Errorf("%v: %v", s, err)
			}
		}
	}
	return process{signal(syscall.SIGSTOP), signal(syscall.SIGCONT), func() {
		stdin.Close()
		child.Wait() //nolint:errcheck // it may end by its signal
	}}
}

// outcome of one run.
type outcome struct {
	stale     []act
	arrived   int // acts of an earlier holder after its successor's lease began
	completed int
	inWindow  int           // accepted by a worker that the successor had not reached yet
	takeover  time.Duration // from the pause to the successor's first act
	acts      int
	changes   duty.Revision // that the state service made
}

// freezeOnce pauses a holder, has another take over, resumes the first, and looks at
// what the receivers accepted.
func freezeOnce(t *testing.T, seed uint64, how pause, fenced bool) outcome {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 3))
	r := newReceivers(fenced)
	server := httptest.NewServer(r)
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	start := func(node string, how pause) process {
		if how == signalled {
			return startChild(t, node, addr, fenced)
		}
		at := ""
		if how != split {
			at = freezePoints[seed/uint64(pauses)%uint64(len(freezePoints))]
		}
		return startHere(node, addr, fenced, how, at)
	}
	first := start("a", how)
	defer first.end()
	await(t, "a first act", func() bool { _, ok := r.firstActAfter(time.Time{}); return ok })
	second := start("b", how)
	defer second.end()
	time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
	before, pausedAt := r.holder(), time.Now()
	first.pause()
	var takenAt time.Time
	await(t, "a successor", func() bool {
		at, ok := r.firstActAfter(pausedAt)
		takenAt = at
		return ok && r.holder() > before
	})
	time.Sleep(time.Duration(rng.IntN(80)) * time.Millisecond)
	first.resume()
	time.Sleep(60 * time.Millisecond)
	stale, arrived, completed, inWindow := r.staleActs()
	r.mu.Lock()
	defer r.mu.Unlock()
	return outcome{stale, arrived, completed, inWindow, takenAt.Sub(pausedAt), len(r.acts), r.state.LastRevision()}
}

// await waits until something holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("no %s within 20 s", what)
			return
		}
	}
}

// freezeMany makes runs over all ways to pause, some at a time.
func freezeMany(t *testing.T, runs int, fenced bool) (all [pauses][]outcome) {
	t.Helper()
	const atATime = 8
	slots := make(chan struct{}, atATime)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range runs {
		how := pause(i) % pauses
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			o := freezeOnce(t, uint64(i), how, fenced)
			mu.Lock()
			defer mu.Unlock()
			all[how] = append(all[how], o)
		})
	}
	wg.Wait()
	return all
}

// A holder is frozen, another takes over, the first is resumed: nothing of it is
// accepted any more by any receiver, whatever it was about.
func TestFrozenHolder(t *testing.T) {
	t.Parallel()
	runs := 40
	if asked, err := strconv.Atoi(os.Getenv(runsVariable)); err == nil {
		runs = asked
	}
	var takeovers []time.Duration
	for how, outcomes := range freezeMany(t, runs, true) {
		acts, arrived, completed, inWindow, stale, changes := 0, 0, 0, 0, 0, duty.Revision(0)
		for _, o := range outcomes {
			acts, arrived, completed, inWindow, stale, changes = acts+o.acts, arrived+o.arrived, completed+o.completed, inWindow+o.inWindow, stale+len(o.stale), changes+o.changes
			takeovers = append(takeovers, o.takeover)
			for _, a := range o.stale {
				t.Errorf("%v: accepted %s of %s under token %d", pause(how), a.duty, a.what, a.token)
			}
		}
		t.Logf("%v: %d runs, %d acts, %d changes of the state service; of the frozen holder %d acts arrived late, %d of them completed what the successor found open, %d came to a worker before the successor did, %d stale ones accepted",
			pause(how), len(outcomes), acts, changes, arrived, completed, inWindow, stale)
		if pause(how) == pausedBeforeSending && arrived == 0 {
			t.Error("no request that was kept back arrived late")
		}
	}
	slices.Sort(takeovers)
	t.Logf("%d runs; from freeze to the successor's first act: median %v, 99th %v, worst %v (a lease of %v)", len(takeovers),
		takeovers[len(takeovers)/2], takeovers[len(takeovers)*99/100], takeovers[len(takeovers)-1], testTiming.TTL)
}

// Without permits, intents and guards, and with a worker that checks no tokens, the
// same runs find stale acts of every duty: the test measures something.
func TestFrozenHolderControl(t *testing.T) {
	t.Parallel()
	found := map[duty.Name]int{}
	for _, outcomes := range freezeMany(t, 40, false) {
		for _, o := range outcomes {
			for _, a := range o.stale {
				found[a.duty]++
			}
		}
	}
	t.Logf("stale acts accepted without a fence: %v", found)
	for _, d := range []duty.Duty{duty.ScaleOut{}, duty.ScaleIn{}, duty.Preemption{}, duty.Cleanup{}} {
		if found[d.Name()] == 0 {
			t.Errorf("no stale act of %s in 40 runs without a fence", d.Name())
		}
	}
}
