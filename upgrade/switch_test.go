package upgrade_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/simulator"
	"lilaclead/upgrade"
)

// The version moves up once all controllers support the next one and operators allow it.
func TestSwitchWaitsForEveryControllerAndTheOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		for _, c := range []struct {
			name        string
			lastProgram upgrade.Range // of controller c
			allowed     upgrade.Version
			want        upgrade.Version
			wantErr     error
		}{
			{"one program is old", oldProgram, anyVersion, 1, upgrade.ErrNotReady},
			{"operators hold it back", newProgram, 1, 1, upgrade.ErrNotReady},
			{"all support it", newProgram, anyVersion, 2, nil},
			{"it is active already", newProgram, anyVersion, 2, upgrade.ErrNotReady},
		} {
			d.start(t, "c", c.lastProgram)
			awaitPolls()
			got, err := d.advance(t.Context(), lease, d.process("a"), c.allowed)
			if got != c.want || !errors.Is(err, c.wantErr) {
				t.Errorf("%s: got version %d, error %v, want %d, %v", c.name, got, err, c.want, c.wantErr)
			}
			if active := d.active(); active != c.want {
				t.Errorf("%s: recorded version %d, want %d", c.name, active, c.want)
			}
		}
		d.checkEvent(t, "c versions published 1")
		d.checkEvent(t, "a version switched 2")
	})
}

// An old process publishes between the reading of the records and the switch: the switch
// fails, and the old process serves.
func TestSwitchFailsWhenAnOldProcessHasPublishedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		d.delayWritesOf(upgrade.ActiveKey)
		switched := make(chan error, 1)
		by := d.process("a")
		go func() {
			_, err := d.advance(t.Context(), lease, by, anyVersion)
			switched <- err
		}()
		time.Sleep(100 * time.Millisecond)
		old := d.start(t, "c", oldProgram)
		var conflict *duty.ConflictError
		if err := <-switched; !errors.As(err, &conflict) || !conflict.HasKey(upgrade.SupportKey("c")) {
			t.Errorf("switch: got %v, want a conflict at %s", err, upgrade.SupportKey("c"))
		}
		if got := d.active(); got != 1 {
			t.Errorf("active: got %d, want 1", got)
		}
		if err := old.CheckServe(); err != nil {
			t.Errorf("the old process: got %v, want nil", err)
		}
		d.checkEvent(t, "c versions published 1")
	})
}

// The switch comes between the reading of the records by an old process and its
// publishing: the old process never serves.
func TestOldProcessOvertakenByTheSwitchNeverStartsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		d.delayWritesOf(upgrade.SupportKey("b"))
		d.setContactLag(time.Second)
		old := d.start(t, "b", oldProgram)
		time.Sleep(100 * time.Millisecond)
		if got, err := d.advance(t.Context(), lease, d.process("a"), anyVersion); err != nil || got != 2 {
			t.Errorf("switch: got version %d, error %v, want 2, nil", got, err)
		}
		d.store.DelayTransactions(nil)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if old.CheckServe() == nil {
				t.Fatal("an old process serves that the switch has overtaken")
			}
		}
		if err := old.CheckServe(); !errors.Is(err, upgrade.ErrProgramTooOld) {
			t.Errorf("the old process: got %v, want %v", err, upgrade.ErrProgramTooOld)
		}
		d.checkEvent(t, "a version switched 2")
		d.checkEvent(t, "b version refused 2")
	})
}

// After the switch, readers and writers get the new version, and a program that is too new
// for it is refused.
func TestSwitchedVersionIsReadGuardedAndEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		by := d.process("a")
		if _, err := d.advance(t.Context(), lease, by, anyVersion); err != nil {
			t.Fatal(err)
		}
		if got, err := by.ReadActive(t.Context()); got != 2 || err != nil {
			t.Errorf("read: got version %d, error %v, want 2, nil", got, err)
		}
		want := duty.Guard{Key: upgrade.ActiveKey, Revision: d.store.Revision(upgrade.ActiveKey)}
		if got, version := by.ActiveVersionGuard(); got != want || version != 2 {
			t.Errorf("guard: got %+v of version %d, want %+v of version 2", got, version, want)
		}
		tooNew := d.start(t, "c", upgrade.Range{Min: 3, Max: 4})
		awaitPolls()
		err := tooNew.CheckServe()
		var unsupported *upgrade.UnsupportedVersionError
		if !errors.Is(err, upgrade.ErrProgramTooNew) || !errors.As(err, &unsupported) || unsupported.Active != 2 {
			t.Errorf("too new: got %v, want %v at version 2", err, upgrade.ErrProgramTooNew)
		}
	})
}

// Whatever programs replace each other, whatever becomes of writes and whoever tries to
// switch: at no moment does a process serve that does not support the active version.
func TestNoServingProcessLacksTheActiveVersion(t *testing.T) {
	const seeds = 12
	switches := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			switches += runRandomUpgrade(t, seed)
		})
	}
	if want := seeds / 2; switches < want {
		t.Errorf("%d runs: got %d switches, want %d at least", seeds, switches, want)
	}
}

// runRandomUpgrade replaces and stops processes at random while anyone tries to switch and
// the store fails, checks after each step who serves, and returns how often the version
// was switched.
func runRandomUpgrade(t *testing.T, seed uint64) (switches int) {
	t.Helper()
	d := newDeployment(t)
	d.setContactLag(time.Second)
	rng := rand.New(rand.NewPCG(seed, 9))
	lease := d.acquireLease(t)
	programs := []upgrade.Range{oldProgram, newProgram, newProgram, {Min: 1, Max: 3}, laterProgram, laterProgram}
	// Newer programs become more common as time goes by.
	randomProgram := func(step int) upgrade.Range { return programs[min(len(programs)-1, rng.IntN(2+step/60))] }
	for _, node := range controllers {
		d.start(t, node, oldProgram)
	}
	d.store.InjectTxnFaults(seed,
		simulator.TxnFault{Prefix: upgrade.KeyPrefix, Share: 0.15},
		simulator.TxnFault{Prefix: upgrade.KeyPrefix, Share: 0.15, Late: [2]time.Duration{100 * time.Millisecond, 4 * time.Second}})
	last := upgrade.BaseVersion
	for step := range 400 {
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		node := controllers[rng.IntN(len(controllers))]
		switch action, p := rng.IntN(12), d.process(node); {
		case action == 0:
			d.start(t, node, randomProgram(step))
		case action == 1:
			d.stop(node)
		case action <= 5 && p != nil:
			go d.advance(t.Context(), lease, p, anyVersion) //nolint:errcheck // what is recorded is checked
		case action == 6 && p == nil:
			d.start(t, node, randomProgram(step))
		}
		active := d.active()
		if active < last {
			t.Fatalf("seed %d, step %d: got version %d after %d, want none lower", seed, step, active, last)
		}
		if active > last {
			switches++
		}
		last = active
		d.checkServingProcesses(t, seed, step, active)
	}
	return switches
}

// checkServingProcesses fails the test if a process serves that does not support the active
// version.
func (d *deployment) checkServingProcesses(t *testing.T, seed uint64, step int, active upgrade.Version) {
	t.Helper()
	for node, p := range d.running() {
		if p.CheckServe() == nil && !p.SupportedRange.Contains(active) {
			t.Fatalf("seed %d, step %d: %s serves and supports %v, want one that supports %d", seed, step, node, p.SupportedRange, active)
		}
	}
}
