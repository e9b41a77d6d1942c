package leader

import (
	"context"
	"errors"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

// SupportedVersions are those that this program understands.
var SupportedVersions = upgrade.Range{Min: upgrade.Base, Max: store.Version}

// advanceEvery is how often a leader looks whether the next version may be switched to.
const advanceEvery = 2 * time.Second

// advanceVersion switches to the next version once all controllers understand it.
func (t *term) advanceVersion(ctx context.Context) {
	if t.leader.Versions == nil {
		return
	}
	var logged string
	for core.Pause(ctx, advanceEvery) {
		version, err := t.tryAdvance(ctx)
		if err != nil && err.Error() != logged {
			logged = err.Error()
			t.Log.Info("the active version could not be switched", "err", err)
		}
		t.Post(versionChecked{version})
	}
}

// tryAdvance switches once if that is due, and returns the active version as far as it
// is known then.
func (t *term) tryAdvance(ctx context.Context) (upgrade.Version, error) {
	versions := t.leader.Versions
	if active := versions.Active(); active >= versions.Supports.Max {
		return active, nil
	}
	permit, err := duty.PermitFor[duty.Cleanup](t.Lease.Lease)
	if err != nil {
		return 0, nil // it is tried again when the lease is held
	}
	deployment, err := t.leader.deployment(ctx)
	if err != nil {
		return 0, err
	}
	version, err := versions.Advance(ctx, permit, deployment)
	if errors.Is(err, upgrade.ErrNotReady) {
		err = nil // operators see who holds it up
	}
	return version, err
}

// takeVersion acts by a version that is active, once the term knows all records.
func (t *term) takeVersion(version upgrade.Version) {
	if version > t.state.ActiveVersion && t.state.Recovered {
		t.Log.Info("acts by version", "version", version, "before", t.state.ActiveVersion)
		t.state.ActiveVersion = version
	}
}

// deployment is what is known of the other controllers and of the operators' word.
func (l *Leader) deployment(ctx context.Context) (upgrade.Deployment, error) {
	d := upgrade.Deployment{Controllers: []duty.NodeID{l.Config.HostName}, Present: l.presentIncarnation}
	for _, p := range l.Config.Peers {
		d.Controllers = append(d.Controllers, p.HostName)
	}
	e, err := l.Store.Get(ctx, store.Background, store.SettingsKey)
	if err != nil && !errors.Is(err, store.ErrMissing) {
		return d, err
	}
	d.Guards = []duty.Guard{{Key: store.SettingsKey, Revision: e.Revision}}
	set := map[string]any{}
	if err == nil {
		if err := wire.Decode(e.Value, &set); err != nil {
			return d, err
		}
	}
	values, err := tuning.Apply(tuning.Default(), set, false)
	d.Ceiling = upgrade.Version(values.MaxVersion)
	return d, err
}

// presentIncarnation is the process of another controller that was in contact a moment
// ago; empty: none, or of a version from before.
func (l *Leader) presentIncarnation(node duty.NodeID) string {
	p := l.Mesh.View().Peers[node]
	if !p.Connected(time.Now()) {
		return ""
	}
	return p.Incarnation
}

// UpgradeStatus tells operators how far an upgrade is; nil: versions are not
// negotiated.
func (l *Leader) UpgradeStatus(ctx context.Context) (*upgrade.Status, error) {
	if l.Versions == nil {
		return nil, nil
	}
	deployment, err := l.deployment(ctx)
	if err != nil {
		return nil, err
	}
	status, err := l.Versions.Look(ctx, deployment)
	return &status, err
}
