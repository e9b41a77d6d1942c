package scenarios_test

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// askCancel asks a node once to cancel a job, as its user, and tells the status
// that the user was told, if any.
func askCancel(w *simulator.World, node int, id wire.JobID) (wire.Status, bool) {
	w.Checked(func(c *simulator.Checker) { c.CancelAsked(id) })
	status, raw, _ := w.Ask(node, "POST", "/v1/jobs/"+string(id)+"/cancel", nil)
	var b wire.JobSummary
	if status != 200 || wire.Decode(raw, &b) != nil {
		return "", false
	}
	w.Checked(func(c *simulator.Checker) { c.Told(id, b.Status, time.Now()) })
	return b.Status, true
}

// cancelAt cancels a job at one node as its user, and tells whether the node
// confirmed it.
func cancelAt(w *simulator.World, node int, id wire.JobID) bool {
	status, ok := askCancel(w, node, id)
	return ok && status == wire.Cancelled
}

// alive is how many tasks of a job are on machines.
func alive(w *simulator.World, id wire.JobID) (n int) {
	w.Checked(func(c *simulator.Checker) { n = c.On(id) })
	return n
}

// Jobs are cancelled at the moment at which the state service refuses the
// leader alone, and then it is out for everybody, for longer than a cancelled
// task may last. Workers go on reporting to the leader, which can't read what
// was cancelled. It may renew their leases only while the other nodes vouch for
// all that they confirmed, and must halt what they tell of; what none can
// vouch for any more ends with the leases.
func TestCancelledWhileTheLeaderIsRefused(t *testing.T) {
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
			playAs(t, sized(5), uint64(200+k), func(w *simulator.World, at func(time.Duration)) {
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
				if l < 0 || alive(w, gone.Spec.ID) != 4 || alive(w, long.Spec.ID) == 0 {
					t.Fatal("nothing runs yet")
				}
				refuse := c.refuse
				if refuse == nil {
					refuse = func(w *simulator.World, l int, on bool) { w.State.Refuse(simulator.NodeIP(l), on) }
				}
				refuse(w, l, true)
				confirmer := (l + 1) % 5
				for _, id := range []wire.JobID{gone.Spec.ID, long.Spec.ID} {
					if !cancelAt(w, confirmer, id) {
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
				if n := alive(w, keep.Spec.ID); c.lives && n != 3 {
					t.Errorf("%d of 3 replicas that nobody cancelled live through the outage", n)
				}
				if n := alive(w, gone.Spec.ID) + alive(w, long.Spec.ID); c.lives && n != 0 {
					t.Errorf("%d cancelled tasks are left, of which the leader could hear from the others", n)
				}
				time.Sleep(time.Second)
				w.State.Outage(false)
				w.Net.Island(simulator.NodeIP(confirmer), false)
				w.Up(confirmer)
				w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
				time.Sleep(80 * time.Second)
				if n := alive(w, keep.Spec.ID); n != 3 {
					t.Errorf("%d of 3 replicas after the outage", n)
				}
			})
		})
	}
}

// The same, and the machines of the cancelled tasks are deaf, or the halts to
// them are held up on their way: what can't be halted must end with its lease,
// or with its machine.
func TestCancelledInTheGapOnOddMachines(t *testing.T) {
	for _, how := range []string{"deaf", "no commands", "answers held"} {
		for _, cloud := range []bool{true, false} {
			t.Run(fmt.Sprint(how, ", cloud there: ", cloud), func(t *testing.T) {
				playAs(t, sized(5), 230, func(w *simulator.World, at func(time.Duration)) {
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
					if !cancelAt(w, (l+1)%5, gone.Spec.ID) {
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
					w.Checked(func(c *simulator.Checker) { c.Calm(time.Now()) })
					time.Sleep(90 * time.Second)
					if alive(w, keep.Spec.ID) != 3 || alive(w, gone.Spec.ID) != 0 {
						t.Errorf("%d of 3 replicas run, %d of 0 cancelled ones", alive(w, keep.Spec.ID), alive(w, gone.Spec.ID))
					}
				})
			})
		}
	}
}
