package upgrade

import (
	"context"
	"errors"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// publishRetry is the pause before a process that has neither published nor been refused
// reads the records again.
const publishRetry = 500 * time.Millisecond

// Run publishes what this process supports and then follows the records until the context
// ends.
func (m *Member) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := m.PollInterval
		if !m.refresh(ctx) {
			wait = publishRetry
		}
		select {
		case <-ctx.Done():
		case <-m.Clock.After(wait):
		}
	}
}

// refresh reads the records once and publishes if that is due. False means that it is to
// be retried soon.
func (m *Member) refresh(ctx context.Context) bool {
	r, err := readRecords(ctx, m.Store, m.readClass())
	if err != nil {
		return false
	}
	for _, key := range r.undecodable {
		m.notifyUndecodable(key, ErrUndecodable)
	}
	last := m.state.Load()
	if r.isUndecodable(ActiveKey) && last.published {
		// Nobody can switch while it can't be decoded: what was active still is.
		return true
	}
	next := m.nextState(ctx, &r, last)
	if next.refusal != nil {
		m.logRefusal(next.active, next.refusal)
	}
	m.state.Store(&next)
	return next.published || next.refusal != nil
}

// readClass returns the class of this process's reads: critical until it has published,
// since it can't serve before.
func (m *Member) readClass() duty.RequestClass {
	if m.state.Load().published {
		return store.ClassBackground
	}
	return store.ClassCritical
}

// nextState returns what this process knows after the records were read, and publishes if
// it may serve and has not published.
func (m *Member) nextState(ctx context.Context, r *records, last *memberState) memberState {
	// A record that was removed is published again: nobody else has taken its place.
	_, recorded := r.supports[m.Node]
	next := memberState{
		active:         r.active.Version,
		activeRevision: r.activeRevision,
		published:      last.published && recorded,
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

// refusal returns why this process must not serve by the records that were read; nil if it
// may.
func (m *Member) refusal(r *records, published bool) error {
	ownKey := SupportKey(m.Node)
	own := r.supports[m.Node].record
	switch {
	case r.isUndecodable(ActiveKey):
		return &UndecodableError{Key: ActiveKey}
	case r.isUndecodable(ownKey) && !published:
		return &UndecodableError{Key: ownKey}
	case r.isUndecodable(ownKey):
		// Damage, and not another process: that one would have refused to serve.
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

// publish records what this process supports, in place of the last record under its name,
// and reports whether it did. It fails if another version is active by then, or if another
// process publishes.
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
	// Without an answer, or with a conflict, an earlier attempt may have been executed.
	if err != nil && !m.hasPublished(ctx) {
		return false
	}
	m.Log.Info("versions published", "supported", m.SupportedRange, "active", r.active.Version)
	m.emit(Event{Kind: VersionsPublished, Version: m.SupportedRange.Max})
	return true
}

// hasPublished reads whether the record under this controller's name is this process's. It
// was written while the version was active that this process had read: the write's guard
// ensures that.
func (m *Member) hasPublished(ctx context.Context) bool {
	e, err := m.Store.Get(ctx, store.ClassCritical, SupportKey(m.Node))
	var record SupportRecord
	return err == nil && wire.Decode(e.Value, &record) == nil && record.Incarnation == m.incarnation
}

// logRefusal logs why this process does not serve, once for each active version.
func (m *Member) logRefusal(active Version, reason error) {
	if m.loggedRefusalAt == active {
		return
	}
	m.loggedRefusalAt = active
	m.Log.Error("serving refused", "reason", reason, "active", active, "supported", m.SupportedRange)
	m.emit(Event{Kind: VersionRefused, Version: active, Reason: reason.Error()})
}
