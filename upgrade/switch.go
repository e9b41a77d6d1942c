package upgrade

import (
	"context"
	"errors"
	"fmt"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Advance moves the active version up if every controller supports the next one, and
// returns the version that is active then. Only the holder of the lease may call it: the
// write fails under another's lease, if another process has published since the records
// were read, or if the operators' setting has changed. ErrNotReady says that it was not
// attempted; after duty.ErrOutcomeUnknown either version may be active.
func (m *Member) Advance(ctx context.Context, permit duty.Permit[duty.Cleanup], d Deployment) (Version, error) {
	r, err := readDecidableRecords(ctx, m.Store, store.ClassBackground)
	if err != nil {
		return 0, err
	}
	status := m.status(&r, d)
	if !status.Ready() {
		return status.Active, ErrNotReady
	}
	revision, err := permit.Commit(ctx, store.ClassCritical, m.switchTransaction(&r, d, status.Next))
	if err != nil {
		return status.Active, fmt.Errorf("switch from version %d to %d: %w", status.Active, status.Next, err)
	}
	m.state.Store(&memberState{active: status.Next, activeRevision: revision, published: true})
	m.ObserveActive(status.Next)
	m.Log.Info("active version switched", "from", status.Active, "to", status.Next)
	m.emit(Event{Kind: VersionSwitched, Version: status.Next, Token: permit.Token(), Reason: fmt.Sprintf("from %d", status.Active)})
	return status.Next, nil
}

// switchTransaction returns the transaction that makes a version active. It fails if any
// record has changed that the decision rests on.
func (m *Member) switchTransaction(r *records, d Deployment, next Version) duty.Txn {
	guards := append([]duty.Guard{{Key: ActiveKey, Revision: r.activeRevision}}, d.Guards...)
	for _, node := range d.Controllers {
		guards = append(guards, duty.Guard{Key: SupportKey(node), Revision: r.supports[node].revision})
	}
	record := ActiveRecord{Version: next, By: m.Node, At: wire.TimestampOf(m.Clock.Now())}
	return duty.Txn{
		Guards: guards,
		Writes: []duty.Write{{PutKey: ActiveKey, Value: wire.Encode(record)}},
	}
}

// ReadActive reads the active version for a new holder of the lease. Read after the lease
// was acquired it is at least what every earlier holder has written by: their switches
// fail from then on. The error says whether this process may act by it.
func (m *Member) ReadActive(ctx context.Context) (Version, error) {
	active, revision, err := readActive(ctx, m.Store)
	if errors.Is(err, ErrUndecodable) && m.CheckServe() == nil {
		// Damaged since this process knew it. To act by an earlier version than the active
		// one harms nothing: whoever supports the later one reads it.
		m.notifyUndecodable(ActiveKey, err)
		return m.ActiveVersion(), nil
	}
	if err != nil {
		return 0, err
	}
	state := m.state.Load()
	if revision > state.activeRevision || state.active == 0 {
		next := *state
		next.active, next.activeRevision = active.Version, revision
		m.state.CompareAndSwap(state, &next)
	}
	m.ObserveActive(active.Version)
	return active.Version, m.CheckSupport()
}
