package leader

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/leader/election"
	"lilaclead/internal/wire"
)

// eventLoop is what the parts of a term share: how they start I/O, how its results
// come back to the term's loop, and how the term ends.
type eventLoop struct {
	leader *Leader
	lease  *election.Lease
	events chan event
	done   chan struct{} // closed when the term is over

	endOnce   sync.Once
	endReason string

	// ctx is that of the background work, from begin on; it ends with the term.
	ctx        context.Context
	background sync.WaitGroup
}

// event is the result of I/O, or a request from another goroutine, that the term's loop
// handles.
type event interface{ handle(t *term) }

func newEventLoop(l *Leader, lease *election.Lease) *eventLoop {
	return &eventLoop{leader: l, lease: lease, events: make(chan event, 32), done: make(chan struct{})}
}

// begin sets the context of the work that spawn starts.
func (l *eventLoop) begin(ctx context.Context) { l.ctx = ctx }

// spawn runs work in the background, with a context that ends with the term. wait waits
// for its end.
func (l *eventLoop) spawn(work func(ctx context.Context)) {
	ctx := l.ctx
	l.background.Go(func() { work(ctx) })
}

// wait waits until all background work has ended. The term's context must have ended.
func (l *eventLoop) wait() { l.background.Wait() }

// post hands an event to the term's loop, unless the term is over.
func (l *eventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// end ends the term; only the first reason counts. It is safe for concurrent use.
func (l *eventLoop) end(reason string) {
	l.endOnce.Do(func() {
		l.endReason = reason
		close(l.done)
	})
}

// resignFor is how long this node leaves the leadership to others after it resigned.
const resignFor = 15 * time.Second

// resign gives up the leadership and ends the term.
func (l *eventLoop) resign(reason string) {
	l.log().Info("leadership resigned", "reason", reason)
	l.lease.Resign(l.ctx, time.Now().Add(resignFor))
	l.end(reason)
}

func (l *eventLoop) log() *slog.Logger { return l.leader.Log }

// pause waits for a duration; false if the context ended before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// fencing is the state of the term's fencing token.
type fencing struct {
	token          wire.FencingToken // also the revision of the leader's key
	raising        bool              // a higher token is being taken
	raiseRequested bool
	raiseNotBefore time.Time
}

// published is what other goroutines read of a term.
type published struct {
	// delegationToken is the token under which other nodes may renew leases as delegates;
	// 0: none yet.
	delegationToken atomic.Uint64
	// unconfirmedCancelSince: see Leader.UnconfirmedCancelSince.
	unconfirmedCancelSince atomic.Pointer[time.Time]
}
