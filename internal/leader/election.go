package leader

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

const (
	// grantTTL is how long the leadership stays taken when its holder is gone.
	grantTTL = 3 * time.Second
	// renewEvery gives a renewal three tries within the grant's life.
	renewEvery = 700 * time.Millisecond
	// leaseMargin is how much earlier than its grant ends a leader stops deciding:
	// the drift of the clocks over that time, and the time to be scheduled.
	leaseMargin = 150 * time.Millisecond
	// pollEvery is how often the others read who leads.
	pollEvery = 500 * time.Millisecond
)

// leadership is a leader's lease as its holder knows it.
type leadership struct {
	grant        wire.GrantID
	token        wire.Token // the revision of the leader's key
	decidesUntil time.Time  // may decide until then
	takenAt      time.Time  // when it was taken
}

// decidesUntil is until when a holder may decide that asked for its grant at sent.
func decidesUntil(sent time.Time) time.Time { return sent.Add(grantTTL - leaseMargin) }

// campaign waits until nobody leads and takes the leadership.
func (l *Leader) campaign(ctx context.Context) (leadership, bool) {
	for {
		select {
		case <-ctx.Done():
			return leadership{}, false
		case <-time.After(l.pollEvery() + rand.N(pollEvery/4)):
		}
		e, err := l.Store.Get(ctx, store.Vital, store.LeadKey)
		if err == nil {
			l.Mesh.Raise(ctx, wire.Token(e.Revision))
			var rec store.LeadRecord
			if wire.Decode(e.Value, &rec) != nil {
				continue
			}
			l.holder.Store(&leaseHolder{rec.Node, time.Now()})
			if rec.Node != l.Config.HostName || rec.Nonce == l.nonce {
				continue
			}
			// An earlier process of this node holds the lease. It is over, since a host
			// runs one process; dropping the key makes its late writes fail.
			l.Log.Info("ends the leadership of this node's last process", "token", e.Revision)
			_, err = l.Store.Commit(ctx, store.Vital, wire.Txn{
				Guards: []wire.Guard{{Key: store.LeadKey, Revision: e.Revision}},
				Writes: []wire.Write{{Delete: store.LeadKey}},
			})
			if err != nil {
				continue
			}
		} else if !errors.Is(err, store.ErrMissing) {
			continue
		}
		l.holder.Store(nil)
		if time.Now().Before(l.campaignAfter) {
			continue
		}
		if o, ok := l.take(ctx); ok {
			return o, true
		}
	}
}

// pollEvery is longer where the state service serves little: the reads of all
// nodes take a sixth of its rate at most.
func (l *Leader) pollEvery() time.Duration {
	s := &l.Config.Settings
	return max(pollEvery, min(4*pollEvery, time.Duration(float64(time.Second)*6*float64(s.Size-1)/max(1, s.State.Least().RPS))))
}

// take tries once to become the leader.
func (l *Leader) take(ctx context.Context) (leadership, bool) {
	sent := time.Now()
	grant, err := l.Store.Grant(ctx, grantTTL)
	if err != nil {
		return leadership{}, false
	}
	rev, err := l.Store.Commit(ctx, store.Vital, wire.Txn{
		Guards: []wire.Guard{{Key: store.LeadKey, Revision: 0}},
		Writes: []wire.Write{{Put: store.LeadKey, Value: wire.Encode(store.LeadRecord{Node: l.Config.HostName, Nonce: l.nonce}), Grant: grant}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// It may have been executed: then the key names this process and grant.
		e, err2 := l.Store.Get(ctx, store.Vital, store.LeadKey)
		var rec store.LeadRecord
		if err2 == nil && e.Grant == grant && wire.Decode(e.Value, &rec) == nil && rec.Nonce == l.nonce {
			rev, err = e.Revision, nil
		}
	}
	if err != nil {
		// A late execution of the write is harmless without its grant.
		l.Store.End(ctx, grant) //nolint:errcheck // it ends by itself
		return leadership{}, false
	}
	return leadership{grant: grant, token: wire.Token(rev), decidesUntil: decidesUntil(sent), takenAt: time.Now()}, true
}

// renew keeps the grant until the context ends or the grant is gone.
func (t *term) renew(ctx context.Context) {
	wait := renewEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		sent := time.Now()
		err := t.l.Store.Renew(ctx, t.grant, time.Second)
		switch {
		case err == nil:
			t.leaseRenewed(sent)
			wait = renewEvery
		case errors.Is(err, store.ErrMissing):
			t.end("the grant is gone")
			return
		default:
			wait = renewEvery / 3
		}
	}
}

// deciding tells whether this node surely holds the leadership.
func (t *term) deciding() bool { return int64(time.Since(t.startedAt)) < t.decidesUntil.Load() }

// answering tells whether reports may be answered: as long as the lease
// surely runs, or, with the state service away, as long as a majority of the
// nodes acknowledged our token lately and B has not passed.
func (t *term) answering() bool {
	return t.deciding() || int64(time.Since(t.startedAt)) < t.answersUntil.Load()
}
