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
	// grantLife is how long the office stays taken when its holder is gone.
	grantLife = 3 * time.Second
	// renewEvery gives a renewal three tries within the grant's life.
	renewEvery = 700 * time.Millisecond
	// haste is how much earlier than the grant a leader stops deciding: the
	// drift of the clocks over the grant's life, and a turn of the processor.
	haste = 150 * time.Millisecond
	// pollEvery is how often the others look at the office.
	pollEvery = 500 * time.Millisecond
)

// office is what the holder knows of it.
type office struct {
	permit wire.GrantID
	token  wire.Token // the revision of the leader's key
	until  time.Time  // may decide until then
	at     time.Time  // when it was taken
}

// lease is until when a holder may decide that asked for its grant at sent.
func lease(sent time.Time) time.Time { return sent.Add(grantLife - haste) }

// campaign waits until the office is free and takes it.
func (l *Leader) campaign(ctx context.Context) (office, bool) {
	for {
		select {
		case <-ctx.Done():
			return office{}, false
		case <-time.After(l.pollEvery() + rand.N(pollEvery/4)):
		}
		e, err := l.Store.Get(ctx, store.Vital, store.LeadKey)
		if err == nil {
			l.Mesh.Raise(ctx, wire.Token(e.Revision))
			var rec store.LeadRecord
			if wire.Decode(e.Value, &rec) != nil {
				continue
			}
			l.holder.Store(&holder{rec.Node, time.Now()})
			if rec.Node != l.Config.HostName || rec.Nonce == l.nonce {
				continue
			}
			// Our own last life holds the office. It is over, since a host
			// runs one process; dropping the key makes its late writes fail.
			l.Log.Info("ends the office of this node's last life", "token", e.Revision)
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
		if time.Now().Before(l.shunned) {
			continue
		}
		if o, ok := l.take(ctx); ok {
			return o, true
		}
	}
}

// pollEvery is longer where the state service serves little: the looks of all
// nodes take a sixth of its rate at most.
func (l *Leader) pollEvery() time.Duration {
	s := &l.Config.Settings
	return max(pollEvery, min(4*pollEvery, time.Duration(float64(time.Second)*6*float64(s.Size-1)/max(1, s.State.Least().RPS))))
}

// take tries to take the free office once.
func (l *Leader) take(ctx context.Context) (office, bool) {
	sent := time.Now()
	permit, err := l.Store.Grant(ctx, grantLife)
	if err != nil {
		return office{}, false
	}
	rev, err := l.Store.Commit(ctx, store.Vital, wire.Txn{
		Guards: []wire.Guard{{Key: store.LeadKey, Revision: 0}},
		Writes: []wire.Write{{Put: store.LeadKey, Value: wire.Encode(store.LeadRecord{Node: l.Config.HostName, Nonce: l.nonce}), Grant: permit}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// It may have been executed: then the key names this life and grant.
		e, err2 := l.Store.Get(ctx, store.Vital, store.LeadKey)
		var rec store.LeadRecord
		if err2 == nil && e.Grant == permit && wire.Decode(e.Value, &rec) == nil && rec.Nonce == l.nonce {
			rev, err = e.Revision, nil
		}
	}
	if err != nil {
		// A late execution of the write is harmless without its grant.
		l.Store.End(ctx, permit) //nolint:errcheck // it ends by itself
		return office{}, false
	}
	return office{permit: permit, token: wire.Token(rev), until: lease(sent), at: time.Now()}, true
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
		err := t.l.Store.Renew(ctx, t.permit, time.Second)
		switch {
		case err == nil:
			t.renewed(sent)
			wait = renewEvery
		case errors.Is(err, store.ErrMissing):
			t.end("the grant is gone")
			return
		default:
			wait = renewEvery / 3
		}
	}
}

// deciding tells whether this node surely holds the office.
func (t *term) deciding() bool { return int64(time.Since(t.born)) < t.until.Load() }

// answering tells whether reports may be answered: as long as the office is
// surely held, or, with the state service away, as long as a majority of the
// nodes acknowledged our token lately and B has not passed.
func (t *term) answering() bool {
	return t.deciding() || int64(time.Since(t.born)) < t.blind.Load()
}
