package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// Jobs are cancelled at the moment at which the state service refuses the
// leader alone, and then it is out for everybody, for longer than a cancelled
// task may last. Workers go on reporting to the leader, which can't read what
// was cancelled. It may renew their leases only while the other nodes vouch for
// all that they confirmed, and must halt what they tell of; what none can
// vouch for any more ends with the leases.
func TestCancelWhileStateServiceRefusesLeader(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		refuse func(w *simulator.World, leader int, on bool)
		// after the outage began
		then func(w *simulator.World, leader, confirmer int)
		out  time.Duration
		// lives: the service that nobody cancelled lives through the outage.
		lives bool
	}{
		{"a lease", nil, nil, 16 * time.Second, true},
		{"D", nil, nil, 22 * time.Second, true},
		{"cancel_s", nil, nil, 41 * time.Second, true},
		{"longer", nil, nil, 57 * time.Second, true},
		{"twice B", nil, nil, 120 * time.Second, false},
		// No word of a node that has ended, nor of one that is back and has
		// forgotten.
		{"who confirmed it ends", nil, func(w *simulator.World, _, c int) { w.Kill(c) }, 57 * time.Second, false},
		{"who confirmed it is back at once", nil, func(w *simulator.World, _, c int) {
			w.Kill(c)
			time.Sleep(200 * time.Millisecond)
			w.Up(c)
		}, 57 * time.Second, false},
		{"who confirmed it is cut off", nil, func(w *simulator.World, _, c int) { w.Net.Island(simulator.NodeIP(c), true) }, 57 * time.Second, false},
		{"the leader ends", nil, func(w *simulator.World, l, _ int) {
			w.Kill(l)
			time.Sleep(300 * time.Millisecond)
			w.Up(l)
		}, 57 * time.Second, false},
		// The leader's packets to the state service are held, and come late.
		{"its packets are held", func(w *simulator.World, l int, on bool) { w.Net.Hold(simulator.NodeIP(l), "10.2.0.1", on) }, nil, 57 * time.Second, true},
		{"the answers are held", func(w *simulator.World, l int, on bool) { w.Net.Hold("10.2.0.1", simulator.NodeIP(l), on) }, nil, 57 * time.Second, true},
		{"both", func(w *simulator.World, l int, on bool) { w.Net.Cut(simulator.NodeIP(l), "10.2.0.1", on) }, nil, 57 * time.Second, true},
	}
	for k, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runWithSettings(t, settingsOfSize(5), uint64(200+k), func(w *simulator.World, at func(time.Duration)) {
				keep, gone, long := service(1, 3), service(2, 4), array(3, 6, 300)
				for _, s := range []simulator.Truth{keep, gone, long} {
					w.Submit(s, 0)
				}
				// Other users, who can't be answered in the outage either. (Without
				// them most of the few polls were those of the two cancelled jobs,
				// whose end nodes remember, and the third seemed forgotten.)
				for n := range 4 {
					w.Submit(service(10+n, 1), 0)
				}
				at(45 * time.Second)
				l := w.Leader()
				if l < 0 || tasksOnMachines(w, gone.Spec.ID) != 4 || tasksOnMachines(w, long.Spec.ID) == 0 {
					t.Fatal("nothing runs yet")
				}
				refuse := c.refuse
				if refuse == nil {
					refuse = func(w *simulator.World, l int, on bool) { w.State.Refuse(simulator.NodeIP(l), on) }
				}
				refuse(w, l, true)
				confirmer := (l + 1) % 5
				for _, id := range []wire.JobID{gone.Spec.ID, long.Spec.ID} {
					if !cancelOnceAt(w, confirmer, id) {
						t.Fatalf("%s was not cancelled while the leader was refused", id)
					}
				}
				time.Sleep(200 * time.Millisecond)
				w.State.Outage(true)
				if w.Leader() != l {
					t.Fatal("another leads already")
				}
				out := time.Now()
				if c.then != nil {
					c.then(w, l, confirmer)
				}
				time.Sleep(14 * time.Second)
				refuse(w, l, false)
				time.Sleep(time.Until(out.Add(c.out - time.Second)))
				if n := tasksOnMachines(w, keep.Spec.ID); c.lives && n != 3 {
					t.Errorf("%d of 3 replicas that nobody cancelled live through the outage", n)
				}
				if n := tasksOnMachines(w, gone.Spec.ID) + tasksOnMachines(w, long.Spec.ID); c.lives && n != 0 {
					t.Errorf("%d cancelled tasks are left, of which the leader could hear from the others", n)
				}
				time.Sleep(time.Second)
				w.State.Outage(false)
				w.Net.Island(simulator.NodeIP(confirmer), false)
				w.Up(confirmer)
				faultsAreOver(w)
				time.Sleep(80 * time.Second)
				if n := tasksOnMachines(w, keep.Spec.ID); n != 3 {
					t.Errorf("%d of 3 replicas after the outage", n)
				}
			})
		})
	}
}

// The same, and the machines of the cancelled tasks are deaf, or the halts to
// them are held up on their way: what can't be halted must end with its lease,
// or with its machine.
func TestCancelOnUnreachableMachinesWhileLeaderIsRefused(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"deaf", "no commands", "answers held"} {
		for _, cloud := range []bool{true, false} {
			t.Run(fmt.Sprint(how, ", cloud there: ", cloud), func(t *testing.T) {
				t.Parallel()
				runWithSettings(t, settingsOfSize(5), 230, func(w *simulator.World, at func(time.Duration)) {
					keep, gone := service(1, 3), service(2, 4)
					w.Submit(keep, 0)
					w.Submit(gone, 0)
					at(45 * time.Second)
					l := w.Leader()
					on := w.Holds(gone.Spec.ID)
					if l < 0 || len(on) == 0 {
						t.Fatal("nothing runs yet")
					}
					odd := func(b bool) {
						for _, id := range on {
							ip := w.IP(id)
							switch how {
							case "deaf":
								w.Net.Deafen(ip, b)
							case "no commands":
								w.Net.Hold(simulator.NodeIP(l), ip, b)
							case "answers held":
								for i := range 5 {
									w.Net.Hold(ip, simulator.NodeIP(i), b)
								}
							}
						}
					}
					odd(true)
					w.CloudOutage(!cloud)
					w.State.Refuse(simulator.NodeIP(l), true)
					if !cancelOnceAt(w, (l+1)%5, gone.Spec.ID) {
						t.Fatal("not cancelled")
					}
					w.State.Outage(true)
					time.Sleep(14 * time.Second)
					w.State.Refuse(simulator.NodeIP(l), false)
					time.Sleep(43 * time.Second)
					w.State.Outage(false)
					time.Sleep(20 * time.Second)
					odd(false)
					w.CloudOutage(false)
					faultsAreOver(w)
					time.Sleep(90 * time.Second)
					if tasksOnMachines(w, keep.Spec.ID) != 3 || tasksOnMachines(w, gone.Spec.ID) != 0 {
						t.Errorf("%d of 3 replicas run, %d of 0 cancelled ones", tasksOnMachines(w, keep.Spec.ID), tasksOnMachines(w, gone.Spec.ID))
					}
				})
			})
		}
	}
}

// The state service answers slowly while users cancel and ask, then refuses the
// leader alone while they go on to cancel, and then everybody, for longer than a
// cancelled task may last: after the leader alone was refused for a moment, or
// just when the next one has come and has read nothing yet.
func TestSlowStateServiceThenLeaderRefusedThenOutage(t *testing.T) {
	t.Parallel()
	for i, kind := range []string{"cancelled while slow", "cancelled while the leader is refused", "the next leader is new"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runOnAlternatingLayouts(t, uint64(670+i), func(t *testing.T, w *simulator.World, at func(time.Duration)) {
				s, a := service(900, 3), array(901, 4, 60)
				first, second, third := service(1, 2), service(2, 2), service(3, 2)
				at(2 * time.Second)
				w.Submit(s, 0)
				w.Submit(a, 0)
				for _, j := range []simulator.Truth{first, second, third} {
					j.Spec.Team = "red"
					w.Know(j)
					go requestUntilAnswered(t, w, j, false, 0)
				}
				at(35 * time.Second)
				l := w.Leader()
				if l < 0 {
					t.Fatal("nobody leads")
				}
				w.State.Slow("", 600*time.Millisecond)
				r := startReader(t, w, first.Spec.ID)
				at(40 * time.Second)
				cancelled := []time.Time{}
				cancel := func(j simulator.Truth) {
					for n := l + 1; ; n++ {
						if n%w.Set.Size == l {
							continue
						}
						if requestOnce(w, j, true, n%w.Set.Size) == 200 {
							cancelled = append(cancelled, time.Now())
							w.Checked(func(c *simulator.Checker) { c.Told(j.Spec.ID, wire.Cancelled, time.Now()) })
							return
						}
						if time.Sleep(100 * time.Millisecond); n > l+20 {
							t.Errorf("%s is not cancelled", j.Spec.ID)
							return
						}
					}
				}
				cancel(first)
				for begin := time.Now(); r.firstSeen(2).IsZero() && time.Since(begin) < 10*time.Second; {
					time.Sleep(50 * time.Millisecond)
				}
				var refused, outage time.Time
				if kind != "cancelled while slow" {
					w.State.Refuse(simulator.NodeIP(l), true)
					refused = time.Now()
					cancel(second)
				} else {
					cancel(second)
					w.State.Refuse(simulator.NodeIP(l), true)
					refused = time.Now()
				}
				if kind == "the next leader is new" {
					for time.Since(refused) < 20*time.Second && (w.Leader() < 0 || w.Leader() == l) {
						time.Sleep(5 * time.Millisecond)
					}
					if n := w.Leader(); n < 0 || n == l {
						t.Error("no other node leads")
					}
				} else if w.Leader() != l {
					t.Error("another node leads before the outage")
				}
				w.State.Outage(true)
				outage = time.Now()
				time.Sleep(65 * time.Second)
				w.State.Outage(false)
				w.State.Refuse(simulator.NodeIP(l), false)
				w.State.Slow("", 0)
				if len(cancelled) != 2 || r.firstSeen(2).IsZero() || r.firstSeen(2).After(outage) || cancelled[1].After(outage) || (kind != "cancelled while slow") != cancelled[1].After(refused) {
					t.Errorf("cancelled at %v, read to be at %v, the leader refused at %v and everybody at %v", cancelled, r.firstSeen(2), refused, outage)
				}
				endFaultsAndWait(w, 15*time.Second)
				b := array(5, 4, 10)
				w.Submit(b, 0)
				cancel(third)
				time.Sleep(60 * time.Second)
				r.stopReading()
				mustFinish(t, w, a, b)
				mustRun(t, w, s, "afterwards")
			})
		})
	}
}
