package upgrade

import (
	"context"
	"errors"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// publishRetryDelay is the pause before a process that has neither published nor been
// refused reads the records again.
const publishRetryDelay = 500 * time.Millisecond

// Run publishes what this process supports, and polls the records until the context ends.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := m.PollInterval
		if !m.refresh(ctx) {
			delay = publishRetryDelay
		}
		select {
		case <-ctx.Done():
		case <-m.Clock.After(delay):
		}
	}
}

// refresh reads the records once, and publishes if this process may serve and has not
// published yet. It returns false if it is to be retried after publishRetryDelay.
func (m *Member) refresh(ctx context.Context) bool {
	r, err := readRecords(ctx, m.Store, m.readClass())
	if err != nil {
		return false
	}
	for _, key := range r.undecodable {
		m.notifyUndecodable(key, ErrUndecodable)
	}
	previous := m.state.Load()
	if r.isUndecodable(ActiveKey) && previous.published {
		// No controller can switch while the record is undecodable, so the known version is
		// still active.
		return true
	}
	next := m.nextState(ctx, &r, previous)
	if next.refusal != nil {
		m.logRefusal(next.active, next.refusal)
	}
	m.state.Store(&next)
	return next.published || next.refusal != nil
}

// readClass returns the request class of this process's reads. They are critical until it
// has published, since it can't serve before.
func (m *Member) readClass() duty.RequestClass {
	if m.state.Load().published {
		return store.ClassBackground
	}
	return store.ClassCritical
}

// nextState returns what this process knows after the records were read. It publishes if
// this process may serve and has not published yet.
func (m *Member) nextState(ctx context.Context, r *records, previous *memberState) memberState {
	// A removed record is published again: no other process has published in its place.
	_, recorded := r.supports[m.Node]
	next := memberState{
		active:         r.active.Version,
		activeRevision: r.activeRevision,
		published:      previous.published && recorded,
	}
	next.refusal = m.refusal(r, next.published)
	switch {
	case next.refusal != nil:
		next.published = false
	case !next.published:
		next.published = m.publish(ctx, r)
	}
	return next
}

// refusal returns why the records that were read forbid this process to serve; nil if they
// allow it.
func (m *Member) refusal(r *records, published bool) error {
	ownKey := SupportKey(m.Node)
	own := r.supports[m.Node].record
	switch {
	case r.isUndecodable(ActiveKey):
		return &UndecodableError{Key: ActiveKey}
	case r.isUndecodable(ownKey) && !published:
		return &UndecodableError{Key: ownKey}
	case r.isUndecodable(ownKey):
		// The record is damaged. No other process has taken over the name: one that starts is
		// refused while the record is undecodable.
		return nil
	case !m.SupportedRange.Contains(r.active.Version):
		return m.SupportedRange.check(r.active.Version)
	case published && own.Incarnation != m.incarnation:
		return ErrProcessReplaced
	case errors.Is(m.state.Load().refusal, ErrProcessReplaced):
		return ErrProcessReplaced
	}
	return nil
}

// publish writes what this process supports, in place of the previous record under its
// name, and reports whether that succeeded. It fails if, since the records were read,
// another version has become active or another process has published under the name.
func (m *Member) publish(ctx context.Context, r *records) bool {
	ownKey := SupportKey(m.Node)
	record := SupportRecord{
		Min:         m.SupportedRange.Min,
		Max:         m.SupportedRange.Max,
		Incarnation: m.incarnation,
		At:          wire.TimestampOf(m.Clock.Now()),
	}
	_, err := m.Store.Commit(ctx, store.ClassCritical, duty.Txn{
		Guards: []duty.Guard{
			{Key: ActiveKey, Revision: r.activeRevision},
			{Key: ownKey, Revision: r.supports[m.Node].revision},
		},
		Writes: []duty.Write{{PutKey: ownKey, Value: wire.Encode(record)}},
	})
	// After a lost response or a conflict, this attempt or an earlier one may have been
	// executed.
	if err != nil && !m.hasPublished(ctx) {
		return false
	}
	m.Log.Info("versions published", "supported", m.SupportedRange, "active", r.active.Version)
	m.emit(Event{Kind: VersionsPublished, Version: m.SupportedRange.Max})
	return true
}

// hasPublished reads the record under this controller's name and reports whether this
// process wrote it. The guard on ActiveKey ensures that it was written while the version
// that this process had read was still active.
func (m *Member) hasPublished(ctx context.Context) bool {
	e, err := m.Store.Get(ctx, store.ClassCritical, SupportKey(m.Node))
	var record SupportRecord
	return err == nil && wire.Decode(e.Value, &record) == nil && record.Incarnation == m.incarnation
}

// logRefusal logs why this process must not serve and emits an event. It does so only once
// in a row for the same active version.
func (m *Member) logRefusal(active Version, reason error) {
	if m.lastRefusedVersion == active {
		return
	}
	m.lastRefusedVersion = active
	m.Log.Error("serving refused", "reason", reason, "active", active, "supported", m.SupportedRange)
	m.emit(Event{Kind: VersionRefused, Version: active, Reason: reason.Error()})
}
