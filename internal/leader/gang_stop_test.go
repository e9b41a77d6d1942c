package leader

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// All tasks of a gang are told to stop at the same time and with the same grace period. A
// later request can shorten that period but not lengthen it.
func TestGangStopsWithTheShortestGracePeriod(t *testing.T) {
	ran := func(g *cluster.Gang) { g.HasRun = true }
	cases := []struct {
		name    string
		setup   func(g *cluster.Gang)
		periods []wire.Seconds // of successive requests to stop
		want    wire.Seconds
	}{
		{"running", ran, []wire.Seconds{13}, 13},
		{"longer after shorter", ran, []wire.Seconds{9, 13}, 9},
		{"longer after none", ran, []wire.Seconds{0, 13}, 0},
		{"shorter after longer", ran, []wire.Seconds{13, 9}, 9},
		{"none after some", ran, []wire.Seconds{13, 0}, 0},
		{"has not run", func(*cluster.Gang) {}, []wire.Seconds{13}, 0},
		{"inherited, not known whether it ran", func(g *cluster.Gang) { g.Inherited = true }, []wire.Seconds{13}, 13},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, j := newGangTerm(t)
			c.setup(j.Gang)
			for _, period := range c.periods {
				tm.dispatcher.Stop(memberAttempt(j, 1), period, cluster.EvictedPreempted)
			}
			if got, want := gracePeriods(j), equalGracePeriods(j, c.want); !slices.Equal(got, want) {
				t.Errorf("grace periods: got %v, want %v", got, want)
			}
			if got, want := j.Gang.StoppingGracefully, c.want > 0; got != want {
				t.Errorf("stopping gracefully: got %v, want %v", got, want)
			}
		})
	}
}

func TestCancelledGangHasNoTimeToCheckpoint(t *testing.T) {
	tm, j := newGangTerm(t)
	j.Gang.HasRun = true
	tm.dispatcher.Stop(memberAttempt(j, 1), 13, cluster.EvictedPreempted)
	tm.dispatcher.StopCancelledJob(j)
	if got, want := gracePeriods(j), equalGracePeriods(j, 0); !slices.Equal(got, want) {
		t.Errorf("grace periods: got %v, want %v", got, want)
	}
}

// When a gang has lost a task its remaining tasks are stopped. When none is left the gang may
// be scheduled again.
func TestBrokenGangIsStoppedAndScheduledAgain(t *testing.T) {
	tm, j := newGangTerm(t)
	j.Gang.HasRun = true
	tm.dispatcher.StopBrokenGangs()
	if got, want := gracePeriods(j), equalGracePeriods(j, notStopped); !slices.Equal(got, want) {
		t.Errorf("grace periods of a complete gang: got %v, want %v", got, want)
	}
	tm.state.EndAttempt(memberAttempt(j, 1), cluster.TaskPending)
	tm.dispatcher.StopBrokenGangs()
	if got, want := gracePeriods(j), []wire.Seconds{0, notActive, 0}; !slices.Equal(got, want) || !j.Gang.Broken {
		t.Errorf("after a task was lost: got grace periods %v, broken %v, want %v, true", got, j.Gang.Broken, want)
	}
	if tm.scheduler.Schedulable(j, time.Now()) {
		t.Error("schedulable with two tasks left: got true, want false")
	}
	tm.state.EndAttempt(memberAttempt(j, 0), cluster.TaskPending)
	tm.state.EndAttempt(memberAttempt(j, 2), cluster.TaskPending)
	tm.state.CycleTimer.Requested = false
	tm.dispatcher.StopBrokenGangs()
	if schedulable := tm.scheduler.Schedulable(j, time.Now()); j.Gang != nil || !tm.state.CycleTimer.Requested || !schedulable {
		t.Errorf("with no task left: got gang %+v, cycle requested %v, schedulable %v, want none, true, true", j.Gang, tm.state.CycleTimer.Requested, schedulable)
	}
}

// A task that ends while its gang stops gracefully does not shorten the grace period of the
// other tasks.
func TestGracefullyStoppingGangKeepsItsGracePeriod(t *testing.T) {
	tm, j := newGangTerm(t)
	j.Gang.HasRun = true
	tm.dispatcher.Stop(memberAttempt(j, 0), 13, cluster.EvictedPreempted)
	tm.state.EndAttempt(memberAttempt(j, 1), cluster.TaskPending)
	tm.dispatcher.StopBrokenGangs()
	if got := gracePeriods(j); got[0] != 13 || got[2] != 13 {
		t.Errorf("grace periods of the others: got %v and %v, want 13 and 13", got[0], got[2])
	}
}

// When one task of a gang is done, all of them are done, whatever state the others are in.
func TestGangIsDoneWhenOneTaskIs(t *testing.T) {
	tm, j := newGangTerm(t)
	m := memberAttempt(j, 1).Machine
	heartbeat := heartbeatFrom(1, 11, tm.state.FirstToken, wire.TaskStatus{Task: "req-2/1", Attempt: gangAttemptNumber, Phase: wire.PhaseExited, Cause: wire.CauseDone})
	heartbeat.Machine = m.ID
	tm.reconciler.Reconcile(m, heartbeat, true, time.Now())
	tm.dispatcher.StopBrokenGangs()
	checkGangDone(t, tm, j)
}

// spotNoticeTerm is a term with a running gang of three and a running array. A task of each
// is on a machine that gets a spot notice.
type spotNoticeTerm struct {
	*term
	gang          *cluster.Job
	reclaimed     *cluster.Machine
	arrayAttempt  *cluster.Attempt // on the reclaimed machine
	pendingLaunch *cluster.Attempt // not sent yet, on the machine of the gang's second task
}

func newSpotNoticeTerm(t *testing.T) *spotNoticeTerm {
	t.Helper()
	tm, j := newGangTerm(t)
	j.Gang.HasRun = true
	spec := wire.JobSpec{ID: "req-3", Team: "red", Kind: wire.KindArray, Tasks: 2, CPUs: 1, CheckpointInterval: 20, CheckpointTime: 3}
	arrayJob := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(time.Now())}, 2)
	tm.state.Jobs[spec.ID] = arrayJob
	n := &spotNoticeTerm{term: tm, gang: j, reclaimed: memberAttempt(j, 0).Machine}
	n.arrayAttempt = &cluster.Attempt{Job: arrayJob, Chunk: arrayJob.Chunk(0), Number: 2, Machine: n.reclaimed, SeenInHeartbeat: true}
	n.arrayAttempt.Chunk.AddAttempt(n.arrayAttempt)
	n.pendingLaunch = &cluster.Attempt{Job: arrayJob, Chunk: arrayJob.Chunk(0), Index: 1, Number: 3, Machine: memberAttempt(j, 1).Machine}
	n.pendingLaunch.Chunk.AddAttempt(n.pendingLaunch)
	return n
}

// checkMachine makes the monitor check the reclaimed machine with this time left until the
// cloud takes it back.
func (n *spotNoticeTerm) checkMachine(timeLeft time.Duration) {
	now := time.Now()
	n.reclaimed.ReclaimAt, n.reclaimed.DrainReason = now.Add(timeLeft), cluster.DrainSpotNotice
	n.monitor.CheckMachine(n.reclaimed, n.monitor.CountMachines(now), now)
}

// checkStopTimes checks when the tasks on the reclaimed machine are told to stop. The gang
// is stopped so early that even a member that learns of it late has time to checkpoint.
func (n *spotNoticeTerm) checkStopTimes(t *testing.T) {
	t.Helper()
	if n.checkMachine(14100 * time.Millisecond); gracePeriods(n.gang)[0] != notStopped {
		t.Errorf("gang with 14.1 s left: got grace periods %v, want none stopped", gracePeriods(n.gang))
	}
	n.checkMachine(13900 * time.Millisecond)
	if got, want := gracePeriods(n.gang), equalGracePeriods(n.gang, 13); !slices.Equal(got, want) || n.arrayAttempt.Stopping {
		t.Errorf("with 13.9 s left: got grace periods %v, array stopping %v, want %v, false", got, n.arrayAttempt.Stopping, want)
	}
	if n.checkMachine(5900 * time.Millisecond); !n.arrayAttempt.Stopping || n.arrayAttempt.GracePeriod != 5 {
		t.Errorf("array with 5.9 s left: got stopping %v, grace period %v, want true, 5", n.arrayAttempt.Stopping, n.arrayAttempt.GracePeriod)
	}
}

// checkResponse checks the response to a heartbeat of the gang's second machine. It must have the
// stop of its task and, only if the leader holds its lease, the pending launch.
func (n *spotNoticeTerm) checkResponse(t *testing.T, response *wire.Commands, wantLaunches int) {
	t.Helper()
	stops := 0
	for _, command := range response.Commands {
		if command.Verb == wire.VerbStop && command.Task == "req-2/1" && *command.GracePeriod == 13 {
			stops++
		}
	}
	if got := countLaunches(response.Commands); stops != 1 || got != wantLaunches {
		t.Errorf("response to another machine: got %d stops, %d launches, want 1, %d", stops, got, wantLaunches)
	}
}

// sendHeartbeatOfSecondMachine returns the response to a heartbeat of the gang's second
// machine.
func (n *spotNoticeTerm) sendHeartbeatOfSecondMachine() *wire.Commands {
	n.leader.Cancels.RecordRead(time.Now())
	heartbeat := heartbeatFrom(1, 11, n.state.FirstToken, wire.TaskStatus{Task: "req-2/1", Attempt: gangAttemptNumber, Phase: wire.PhaseRunning})
	heartbeat.Machine = memberAttempt(n.gang, 1).Machine.ID
	return sendHeartbeat(n.term, heartbeat).Commands
}

// A gang with a spot notice is stopped early enough that even a member that learns of it
// gang_peer_s late has time to checkpoint. An array task needs only its own checkpoint time.
// While the key-value store is unavailable nothing is launched. Both are still stopped if a
// quorum acknowledges the leader, and neither is stopped without a quorum.
func TestGangCheckpointsBeforeTheSpotNoticeEnds(t *testing.T) {
	for _, deciding := range []bool{true, false} {
		t.Run(fmt.Sprintf("deciding %v", deciding), func(t *testing.T) {
			n := newSpotNoticeTerm(t)
			if !deciding {
				n.Lease = newLease(n.leader, n.Fencing.Token, -time.Millisecond)
				if n.checkMachine(time.Second); n.arrayAttempt.Stopping || memberAttempt(n.gang, 0).Stopping {
					t.Errorf("without a quorum: got array and gang stopping %v and %v, want both false", n.arrayAttempt.Stopping, memberAttempt(n.gang, 0).Stopping)
				}
				n.Lease.RecordAcks(time.Now().Add(time.Hour), time.Now(), 0)
			}
			n.checkStopTimes(t)
			response := n.sendHeartbeatOfSecondMachine()
			if response == nil {
				t.Fatal("response to another machine: got none, want commands")
			}
			wantLaunches := 1
			if !deciding {
				wantLaunches = 0
				n.checkDirectCommand(t)
			}
			n.checkResponse(t, response, wantLaunches)
		})
	}
}

// checkDirectCommand checks that a direct command of a leader without the lease stops the
// task and launches nothing.
func (n *spotNoticeTerm) checkDirectCommand(t *testing.T) {
	t.Helper()
	ended, end := context.WithCancel(t.Context())
	end() // the command itself is not sent
	n.Begin(ended)
	secondAttempt := memberAttempt(n.gang, 1)
	secondAttempt.Machine.Addr = "10.1.0.1:9000"
	secondAttempt.StopSentAt = time.Time{}
	n.dispatcher.SendDueCommands(secondAttempt.Machine)
	if n.pendingLaunch.LaunchSent || secondAttempt.StopSentAt.IsZero() {
		t.Errorf("direct command without the lease: got launch sent %v, stop sent %v, want false, true", n.pendingLaunch.LaunchSent, !secondAttempt.StopSentAt.IsZero())
	}
}
