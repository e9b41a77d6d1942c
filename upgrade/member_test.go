package upgrade_test

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/upgrade"
)

// While the store is unavailable, the versions that other controllers report as active still
// decide whether a process may acknowledge requests.
func TestReportedVersionTakesEffectDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		d.store.SetOutage(true)
		p := d.start(t, "a", oldProgram)
		time.Sleep(2 * time.Second)
		if err := p.CheckSupport(); !errors.Is(err, upgrade.ErrActiveUnknown) {
			t.Errorf("nothing known: got %v, want %v", err, upgrade.ErrActiveUnknown)
		}
		p.ObserveActive(1)
		if err := p.CheckSupport(); err != nil {
			t.Errorf("version 1 reported: got %v, want nil", err)
		}
		if err := p.CheckServe(); !errors.Is(err, upgrade.ErrNotPublished) {
			t.Errorf("version 1 reported: CheckServe: got %v, want %v", err, upgrade.ErrNotPublished)
		}
		p.ObserveActive(2)
		p.ObserveActive(1)
		if err := p.CheckSupport(); !errors.Is(err, upgrade.ErrProgramTooOld) {
			t.Errorf("versions 2, then 1 reported: got %v, want %v", err, upgrade.ErrProgramTooOld)
		}
		if got := p.ActiveVersion(); got != 2 {
			t.Errorf("versions 2, then 1 reported: active version: got %d, want 2", got)
		}
	})
}

// The error of a failed read states the key or prefix, and allows a retry.
func TestReadErrorStatesKeyDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		p := d.start(t, "a", newProgram)
		awaitPolls()
		d.store.SetOutage(true)
		_, statusErr := p.ReadStatus(t.Context(), d.withLimit(noVersionLimit))
		_, activeErr := p.ReadActive(t.Context())
		for _, c := range []struct {
			name, key string
			got       error
		}{
			{"status", upgrade.KeyPrefix, statusErr},
			{"active version", upgrade.ActiveKey, activeErr},
		} {
			if !errors.Is(c.got, duty.ErrRefused) || !strings.Contains(c.got.Error(), c.key) {
				t.Errorf("%s: got %v, want %v that states %s", c.name, c.got, duty.ErrRefused, c.key)
			}
		}
		if err := p.CheckServe(); err != nil {
			t.Errorf("CheckServe: got %v, want nil", err)
		}
	})
}

func TestProcessKeepsServingWhileRepublishingItsRemovedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		p := d.start(t, "a", newProgram)
		awaitPolls()
		d.store.Delete(upgrade.SupportKey("a"))
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if err := p.CheckServe(); err != nil {
				t.Fatalf("after its record was removed: got %v, want nil", err)
			}
		}
		if d.store.Revision(upgrade.SupportKey("a")) == 0 {
			t.Error("support record: got none, want it published again")
		}
	})
}

// A process stops serving once another process has overwritten its record. It stays refused
// after that record has been removed.
func TestReplacedProcessStopsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		p := d.start(t, "a", newProgram)
		awaitPolls()
		if err := p.CheckServe(); err != nil {
			t.Fatalf("before it was replaced: got %v, want nil", err)
		}
		d.store.Put(upgrade.SupportKey("a"), upgrade.SupportRecord{Min: 1, Max: 2, Incarnation: "another"})
		awaitPolls()
		if err := p.CheckServe(); !errors.Is(err, upgrade.ErrProcessReplaced) {
			t.Errorf("replaced: got %v, want %v", err, upgrade.ErrProcessReplaced)
		}
		d.store.Delete(upgrade.SupportKey("a"))
		awaitPolls()
		if err := p.CheckServe(); !errors.Is(err, upgrade.ErrProcessReplaced) {
			t.Errorf("replaced, then the record removed: got %v, want %v", err, upgrade.ErrProcessReplaced)
		}
	})
}

// While the record of the active version is undecodable, a starting process is refused. A
// process that has published keeps serving, since no controller can switch the version.
func TestUndecodableActiveRecordRefusesOnlyStartingProcesses(t *testing.T) {
	for _, c := range []struct {
		name      string
		published bool // before the record was damaged
		want      error
	}{
		{"a process that has published keeps serving", true, nil},
		{"a starting process is refused", false, upgrade.ErrUndecodable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDeployment(t)
				if c.published {
					d.start(t, "a", newProgram)
					awaitPolls()
				}
				damagedRevision := d.store.Put(upgrade.ActiveKey, "no record")
				if !c.published {
					d.start(t, "a", newProgram)
				}
				awaitPolls()
				err := d.process("a").CheckServe()
				if !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
				var undecodable *upgrade.UndecodableError
				if errors.As(err, &undecodable) && undecodable.Key != upgrade.ActiveKey {
					t.Errorf("undecodable key: got %q, want %q", undecodable.Key, upgrade.ActiveKey)
				}
				if got := d.store.Revision(upgrade.ActiveKey); got != damagedRevision {
					t.Errorf("revision of the damaged record: got %d, want %d", got, damagedRevision)
				}
			})
		})
	}
}
