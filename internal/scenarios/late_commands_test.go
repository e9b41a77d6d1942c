package scenarios_test

import (
	"testing"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// A launch that was never answered arrives after its job was cancelled.
func TestLateLaunchOfCancelledJob(t *testing.T) {
	t.Parallel()
	runScenario(t, 5, func(w *simulator.World, at func(time.Duration)) {
		warm, late := array(1, 12, 200), array(2, 6, 10)
		at(2 * time.Second)
		w.Submit(warm, 0)
		at(40 * time.Second)
		l := w.Leader()
		var held []string
		for range 40 {
			_, ip, _ := w.Some(func(int) bool { return len(held) >= 0 })
			held = append(held, ip)
		}
		for _, ip := range held {
			w.Net.Hold(simulator.NodeIP(l), ip, true)
		}
		w.Submit(late, 12*time.Second)
		at(150 * time.Second)
		for _, ip := range held {
			w.Net.Hold(simulator.NodeIP(l), ip, false)
		}
		at(200 * time.Second)
	})
}

// Commands or their answers are held up for seconds, or wait for a machine that
// hangs, and the machine then goes on: launches, halts, and answers to reports
// that forget. Meanwhile a job is cancelled, the leader ends, or both.
func TestCommandsDelayed(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		lag  simulator.Lag
		hang bool
		then []string
	}{
		{"commands for 2 s", simulator.Lag{Command: 2 * time.Second}, false, []string{"cancel", "leader"}},
		{"commands for 9 s", simulator.Lag{Command: 9 * time.Second}, false, []string{"leader", "both"}},
		{"answers for 9 s", simulator.Lag{Answer: 9 * time.Second, Hello: 3500 * time.Millisecond}, false, []string{"cancel"}},
		{"both, and the answers to reports", simulator.Lag{Command: 4 * time.Second, Answer: 4 * time.Second, Hello: 3900 * time.Millisecond}, false, []string{"both"}},
		{"answers to reports for 3 s", simulator.Lag{Hello: 3 * time.Second}, false, []string{"leader"}},
		{"the machines hang", simulator.Lag{}, true, []string{"cancel", "both"}},
	}
	for _, c := range cases {
		for _, then := range c.then {
			t.Run(c.name+", "+then, func(t *testing.T) {
				t.Parallel()
				runScenario(t, 630, func(w *simulator.World, at func(time.Duration)) {
					s, gone, warm := service(1, 3), array(2, 4, 300), array(3, 8, 18)
					a, late, quick := array(4, 4, 20), array(5, 4, 300), array(6, 4, 3)
					at(2 * time.Second)
					w.Submit(s, 0)
					w.Submit(gone, 0)
					w.Submit(warm, 0)
					at(44 * time.Second)
					ms := w.Working("")
					w.LagCommands(c.lag)
					if c.hang {
						w.Hang(true, ms...)
					}
					w.Submit(a, 0)
					w.Submit(late, 0)
					w.Submit(quick, 0)
					time.Sleep(time.Second)
					if then == "cancel" || then == "both" {
						mustCancel(t, w, gone)
						mustCancel(t, w, late)
					}
					if then == "leader" || then == "both" {
						l, old := w.Holder()
						w.Kill(l)
						awaitNewToken(t, w, old)
						time.Sleep(time.Second)
						w.Up(l)
					}
					if c.hang {
						time.Sleep(5 * time.Second)
						w.Hang(false, ms...)
					}
					time.Sleep(20 * time.Second)
					if then == "leader" {
						if c.hang {
							w.Hang(true, w.Working("")...)
						}
						mustCancel(t, w, gone) // so that halts are held up too
						mustCancel(t, w, late)
						time.Sleep(6 * time.Second)
						if c.hang {
							w.Hang(false, w.All()...)
						}
						time.Sleep(8 * time.Second)
					}
					mustBeGone(t, w, gone, "20 s later")
					mustBeGone(t, w, late, "20 s later")
					w.LagCommands(simulator.Lag{})
					for verb, want := range map[wire.Verb]bool{
						wire.Launch: c.hang || c.lag.Command > 0, wire.Halt: c.hang || c.lag.Command == 2*time.Second,
						simulator.Answered: c.lag.Answer > 0, wire.Forget: c.lag.Hello > 0 && c.lag.Answer == 0,
					} {
						if want && w.Late(verb) == 0 {
							t.Errorf("no %s came late", verb)
						}
					}
					time.Sleep(20 * time.Second)
					faultsAreOver(w)
					time.Sleep(90 * time.Second)
					mustFinish(t, w, warm, a, quick)
					mustRun(t, w, s, "at the end")
				})
			})
		}
	}
}
