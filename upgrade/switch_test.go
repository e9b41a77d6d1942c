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

// The active version is raised once all controllers support the next one and the operators
// allow it.
func TestSwitchWaitsForAllControllersAndOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		for _, c := range []struct {
			name        string
			programOfC  upgrade.Range
			maxVersion  upgrade.Version
			wantVersion upgrade.Version
			wantErr     error
		}{
			{"one program is old", oldProgram, noVersionLimit, 1, upgrade.ErrNotReady},
			{"operators don't allow it", newProgram, 1, 1, upgrade.ErrNotReady},
			{"all support it", newProgram, noVersionLimit, 2, nil},
			{"it is active already", newProgram, noVersionLimit, 2, upgrade.ErrNotReady},
		} {
			d.start(t, "c", c.programOfC)
			awaitPolls()
			got, err := d.advance(t.Context(), lease, d.process("a"), c.maxVersion)
			if got != c.wantVersion || !errors.Is(err, c.wantErr) {
				t.Errorf("%s: got version %d, error %v, want %d, %v", c.name, got, err, c.wantVersion, c.wantErr)
			}
			if active := d.recordedActive(); active != c.wantVersion {
				t.Errorf("%s: recorded version %d, want %d", c.name, active, c.wantVersion)
			}
		}
		d.checkEvent(t, "c versions published 1")
		d.checkEvent(t, "a version switched 2")
	})
}

// An old process publishes after the records were read and before the switch is committed.
// The switch fails, and the old process serves.
func TestSwitchFailsAfterAnOldProcessHasPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		d.delayWritesTo(upgrade.ActiveKey)
		switchResult := make(chan error, 1)
		p := d.process("a")
		go func() {
			_, err := d.advance(t.Context(), lease, p, noVersionLimit)
			switchResult <- err
		}()
		time.Sleep(100 * time.Millisecond)
		old := d.start(t, "c", oldProgram)
		var conflict *duty.ConflictError
		if err := <-switchResult; !errors.As(err, &conflict) || !conflict.HasKey(upgrade.SupportKey("c")) {
			t.Errorf("switch: got %v, want a conflict at %s", err, upgrade.SupportKey("c"))
		}
		if got := d.recordedActive(); got != 1 {
			t.Errorf("active version: got %d, want 1", got)
		}
		if err := old.CheckServe(); err != nil {
			t.Errorf("the old process: got %v, want nil", err)
		}
		d.checkEvent(t, "c versions published 1")
	})
}

// The switch is committed after an old process has read the records and before it publishes.
// The old process never serves.
func TestOldProcessNeverServesAfterASwitchBeforeItsPublishing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		d.delayWritesTo(upgrade.SupportKey("b"))
		d.setDisconnectDelay(time.Second)
		old := d.start(t, "b", oldProgram)
		time.Sleep(100 * time.Millisecond)
		if got, err := d.advance(t.Context(), lease, d.process("a"), noVersionLimit); err != nil || got != 2 {
			t.Errorf("switch: got version %d, error %v, want 2, nil", got, err)
		}
		d.store.DelayTransactions(nil)
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if old.CheckServe() == nil {
				t.Fatal("the old process serves after the switch")
			}
		}
		if err := old.CheckServe(); !errors.Is(err, upgrade.ErrProgramTooOld) {
			t.Errorf("the old process: got %v, want %v", err, upgrade.ErrProgramTooOld)
		}
		d.checkEvent(t, "a version switched 2")
		d.checkEvent(t, "b version refused 2")
	})
}

// After a switch, ReadActive and ActiveVersionGuard return the new version, and a program that
// is too new for it is refused.
func TestNewVersionIsReadGuardedAndEnforcedAfterSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		lease := d.acquireLease(t)
		d.startAll(t, newProgram)
		p := d.process("a")
		if _, err := d.advance(t.Context(), lease, p, noVersionLimit); err != nil {
			t.Fatal(err)
		}
		if got, err := p.ReadActive(t.Context()); got != 2 || err != nil {
			t.Errorf("read: got version %d, error %v, want 2, nil", got, err)
		}
		want := duty.Guard{Key: upgrade.ActiveKey, Revision: d.store.Revision(upgrade.ActiveKey)}
		if got, version := p.ActiveVersionGuard(); got != want || version != 2 {
			t.Errorf("guard: got %+v of version %d, want %+v of version 2", got, version, want)
		}
		tooNew := d.start(t, "c", upgrade.Range{Min: 3, Max: 4})
		awaitPolls()
		err := tooNew.CheckServe()
		var unsupported *upgrade.UnsupportedVersionError
		if !errors.Is(err, upgrade.ErrProgramTooNew) || !errors.As(err, &unsupported) || unsupported.Active != 2 {
			t.Errorf("program that is too new: got %v, want %v at version 2", err, upgrade.ErrProgramTooNew)
		}
	})
}

// No process ever serves without supporting the active version, whatever programs replace
// each other, whichever writes fail, and whichever processes try to switch.
func TestEveryServingProcessSupportsTheActiveVersion(t *testing.T) {
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

// runRandomUpgrade replaces and stops processes at random, while any process tries to switch
// and writes to the store fail or are late. It checks after each step which processes serve,
// and returns how often the version was switched.
func runRandomUpgrade(t *testing.T, seed uint64) (switches int) {
	t.Helper()
	d := newDeployment(t)
	d.setDisconnectDelay(time.Second)
	rng := rand.New(rand.NewPCG(seed, 9))
	lease := d.acquireLease(t)
	programs := []upgrade.Range{oldProgram, newProgram, newProgram, {Min: 1, Max: 3}, laterProgram, laterProgram}
	// Newer programs become more frequent with each step.
	randomProgram := func(step int) upgrade.Range { return programs[min(len(programs)-1, rng.IntN(2+step/60))] }
	for _, node := range controllers {
		d.start(t, node, oldProgram)
	}
	d.store.InjectTxnFaults(seed,
		simulator.TxnFault{Prefix: upgrade.KeyPrefix, Share: 0.15},
		simulator.TxnFault{Prefix: upgrade.KeyPrefix, Share: 0.15, Delay: [2]time.Duration{100 * time.Millisecond, 4 * time.Second}})
	lastActive := upgrade.BaseVersion
	for step := range 400 {
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		node := controllers[rng.IntN(len(controllers))]
		switch action, p := rng.IntN(12), d.process(node); {
		case action == 0:
			d.start(t, node, randomProgram(step))
		case action == 1:
			d.stop(node)
		case action <= 5 && p != nil:
			go d.advance(t.Context(), lease, p, noVersionLimit) //nolint:errcheck // the recorded version is checked
		case action == 6 && p == nil:
			d.start(t, node, randomProgram(step))
		}
		active := d.recordedActive()
		if active < lastActive {
			t.Fatalf("seed %d, step %d: got version %d after %d, want none lower", seed, step, active, lastActive)
		}
		if active > lastActive {
			switches++
		}
		lastActive = active
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
			t.Fatalf("seed %d, step %d: %s serves and supports %v, want support for %d", seed, step, node, p.SupportedRange, active)
		}
	}
}
