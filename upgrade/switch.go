package upgrade

import (
	"context"
	"errors"
	"fmt"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// Advance switches to the next version if every controller supports it, and returns the
// version that is active then. Only the lease holder may call it. The transaction fails if,
// since the records were read, another node has acquired the lease, another process has
// published, or a record under deployment.Guards has changed. ErrNotReady means that no
// switch was attempted. After duty.ErrOutcomeUnknown either version may be active.
func (m *Member) Advance(ctx context.Context, permit duty.Permit[duty.Cleanup], deployment Deployment) (Version, error) {
	r, err := readRecordsWithActive(ctx, m.Store, store.ClassBackground)
	if err != nil {
		return 0, err
	}
	status := m.status(&r, deployment)
	if !status.Ready() {
		return status.Active, ErrNotReady
	}
	revision, err := permit.Commit(ctx, store.ClassCritical, m.switchTransaction(&r, deployment, status.Next))
	if err != nil {
		return status.Active, fmt.Errorf("switch from version %d to %d: %w", status.Active, status.Next, err)
	}
	m.state.Store(&memberState{active: status.Next, activeRevision: revision, published: true})
	m.ObserveActive(status.Next)
	m.Log.Info("active version switched", "from", status.Active, "to", status.Next)
	m.emit(Event{Kind: VersionSwitched, Version: status.Next, Token: permit.Token(), Reason: fmt.Sprintf("from %d", status.Active)})
	return status.Next, nil
}

// switchTransaction returns the transaction that activates the next version. The transaction
// fails if any record that the decision depends on has changed.
func (m *Member) switchTransaction(r *records, deployment Deployment, next Version) duty.Txn {
	guards := append([]duty.Guard{{Key: ActiveKey, Revision: r.activeRevision}}, deployment.Guards...)
	for _, node := range deployment.Controllers {
		guards = append(guards, duty.Guard{Key: SupportKey(node), Revision: r.supports[node].revision})
	}
	record := ActiveRecord{Version: next, By: m.Node, At: wire.TimestampOf(m.Clock.Now())}
	return duty.Txn{
		Guards: guards,
		Writes: []duty.Write{{PutKey: ActiveKey, Value: wire.Encode(record)}},
	}
}

// ReadActive reads the active version for a new lease holder, after it has acquired the
// lease. The version is then at least the one that any earlier holder has written under:
// switches by earlier holders fail once the lease is acquired. If the record can't be decoded,
// a process that may serve gets the version that it knows. The error is not nil if the version
// can't be read or this process must not act under it.
func (m *Member) ReadActive(ctx context.Context) (Version, error) {
	active, revision, err := readActive(ctx, m.Store)
	if errors.Is(err, ErrUndecodable) && m.CheckServe() == nil {
		// The record was damaged after this process had read it. Acting under a version below
		// the active one is safe: programs that support the active one read the records of the
		// lower one too.
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
