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

// SupportedVersions is the range of versions that this program supports.
var SupportedVersions = upgrade.Range{Min: upgrade.BaseVersion, Max: store.MaxSupportedVersion}

// versionChecked is an event: the active version of the behaviour was checked. The version
// is 0 if it is not known.
type versionChecked struct{ version upgrade.Version }

// advanceInterval is the pause between two attempts to switch to the next version.
const advanceInterval = 2 * time.Second

// advanceVersion tries periodically to switch to the next version, which succeeds once all
// controllers support it, and posts the active version each time, until the context ends.
func (t *term) advanceVersion(ctx context.Context) {
	if t.leader.Versions == nil {
		return
	}
	var lastLogged string
	for core.Pause(ctx, advanceInterval) {
		version, err := t.tryAdvance(ctx)
		if err != nil && err.Error() != lastLogged {
			lastLogged = err.Error()
			t.Log.Info("version switch failed", "err", err)
		}
		t.Post(versionChecked{version})
	}
}

// tryAdvance switches to the next version if all controllers are ready for it. It returns
// the version that is active afterwards, 0 if that is not known.
func (t *term) tryAdvance(ctx context.Context) (upgrade.Version, error) {
	versions := t.leader.Versions
	if active := versions.ActiveVersion(); active >= versions.SupportedRange.Max {
		return active, nil
	}
	permit, err := duty.PermitFor[duty.Cleanup](t.Lease.Lease)
	if err != nil {
		return 0, nil // the lease may be held again at the next attempt
	}
	deployment, err := t.leader.deployment(ctx)
	if err != nil {
		return 0, err
	}
	version, err := versions.Advance(ctx, permit, deployment)
	if errors.Is(err, upgrade.ErrNotReady) {
		err = nil // UpgradeStatus shows which controller is not ready
	}
	return version, err
}

// adoptVersion makes the term behave as the active version does, if all records are read
// and the version is higher than the one before.
func (t *term) adoptVersion(version upgrade.Version) {
	if version > t.state.ActiveVersion && t.state.RecordsRead {
		t.Log.Info("version adopted", "version", version, "previous", t.state.ActiveVersion)
		t.state.ActiveVersion = version
	}
}

// deployment returns the controllers of the deployment, and the highest version that the
// operators' settings allow.
func (l *Leader) deployment(ctx context.Context) (upgrade.Deployment, error) {
	d := upgrade.Deployment{Controllers: l.controllers(), ConnectedIncarnation: l.connectedIncarnation}
	settings, err := l.Store.Get(ctx, store.ClassBackground, store.SettingsKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return d, err
	}
	d.Guards = []duty.Guard{{Key: store.SettingsKey, Revision: settings.Revision}}
	overrides := map[string]any{}
	if err == nil {
		if err := wire.Decode(settings.Value, &overrides); err != nil {
			return d, err
		}
	}
	values, err := tuning.Override(tuning.Default(), overrides, false)
	d.MaxVersion = upgrade.Version(values.MaxVersion)
	return d, err
}

// controllers returns the names of all controllers, this one first.
func (l *Leader) controllers() []duty.NodeID {
	names := []duty.NodeID{l.Config.HostName}
	for _, node := range l.Config.Peers {
		names = append(names, node.HostName)
	}
	return names
}

// connectedIncarnation returns the incarnation of another controller's process if that is
// connected now. It returns "" otherwise, and for a process of an old version, which does not
// send its incarnation.
func (l *Leader) connectedIncarnation(node duty.NodeID) string {
	controller := l.Mesh.View().Peers[node]
	if !controller.Connected(time.Now()) {
		return ""
	}
	return controller.Incarnation
}

// UpgradeStatus returns how far an upgrade has come, nil if versions are not negotiated.
func (l *Leader) UpgradeStatus(ctx context.Context) (*upgrade.Status, error) {
	if l.Versions == nil {
		return nil, nil
	}
	deployment, err := l.deployment(ctx)
	if err != nil {
		return nil, err
	}
	status, err := l.Versions.ReadStatus(ctx, deployment)
	return &status, err
}
