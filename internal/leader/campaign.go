package leader

import (
	"context"
	"sync"

	"lilaclead/internal/leader/election"
)

// Run campaigns for the leadership and serves each term that it wins, until the context
// ends.
func (l *Leader) Run(ctx context.Context) {
	var background sync.WaitGroup
	background.Go(func() { l.contacts.count(ctx) })
	background.Go(func() { l.restarts.Run(ctx) })
	defer background.Wait()
	for ctx.Err() == nil {
		if lease := l.candidate.Campaign(ctx); lease != nil {
			l.lead(ctx, lease)
		}
	}
}

// lead serves one term of leadership until it is over.
func (l *Leader) lead(ctx context.Context, lease *election.Lease) {
	l.Mesh.ObserveToken(ctx, lease.Token())
	t := newTerm(l, lease)
	l.term.Store(t)
	l.Metrics.BecameLeader()
	l.Log.Info("became leader", "token", lease.Token())
	reason := t.run(ctx)
	l.term.Store(nil)
	l.Log.Info("lost leadership", "token", lease.Token(), "reason", reason)
	t.Wait()
}

// Leads reports whether this node is the leader and may answer heartbeats.
func (l *Leader) Leads() bool { return l.answeringTerm() != nil }

// answeringTerm returns the current term if it may answer heartbeats, nil otherwise.
func (l *Leader) answeringTerm() *term {
	t := l.term.Load()
	if t == nil || !t.Lease.MayAnswerHeartbeats() {
		return nil
	}
	return t
}
