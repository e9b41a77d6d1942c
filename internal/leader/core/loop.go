// Package core holds what the parts of a leader's term share: the event loop, the lease
// and the fencing token under which the term acts, and the metrics that it updates.
//
// One goroutine, the loop of the term, owns all of the term's state. Network I/O runs in
// goroutines that Loop.Spawn starts and Loop.Wait waits for. They do not access that state,
// and hand their results back as events with Loop.Post.
package core

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"lilaclead/internal/leader/election"
)

// Loop is the event loop of one term, with the lease and the fencing token that the
// parts of the term act under. Its fields belong to the goroutine that runs the loop,
// except for those of Published. The methods are safe for concurrent use, except for
// Begin, Context, Spawn and Resign, which are for the loop's goroutine.
type Loop struct {
	Lease     *election.Lease
	Fencing   Fencing
	Published Published
	Log       *slog.Logger
	Attempts  *AttemptLog
	Metrics   *Metrics

	// Events are the results of I/O and the requests that the loop handles.
	Events chan Event
	// Done is closed when the term is over.
	Done chan struct{}

	endOnce   sync.Once
	endReason string

	// ctx is the context of the background work, which ends with the term. Begin sets it.
	ctx        context.Context
	background sync.WaitGroup
}

// Event is the result of I/O or a request from another goroutine. Each kind is a type of
// its own in the package that posts it; the term passes it to the part that handles it.
type Event any

// eventBacklog is how many events are buffered before Post blocks.
const eventBacklog = 32

// NewLoop returns the loop of a term with the given lease, which this node holds.
func NewLoop(lease *election.Lease, log *slog.Logger, metrics *Metrics) *Loop {
	return &Loop{
		Lease:    lease,
		Fencing:  Fencing{Token: lease.Token()},
		Log:      log,
		Attempts: &AttemptLog{log: log},
		Metrics:  metrics,
		Events:   make(chan Event, eventBacklog),
		Done:     make(chan struct{}),
	}
}

// Begin sets the context of the background work. It must be called before Spawn and Resign.
func (l *Loop) Begin(ctx context.Context) { l.ctx = ctx }

// Context returns the context that Begin set.
func (l *Loop) Context() context.Context { return l.ctx }

// Spawn runs work in the background, with the context that Begin set.
func (l *Loop) Spawn(work func(ctx context.Context)) {
	ctx := l.ctx
	l.background.Go(func() { work(ctx) })
}

// Wait waits until all background work has ended. The term's context must have ended.
func (l *Loop) Wait() { l.background.Wait() }

// Post hands an event to the loop. It blocks while the backlog is full and drops the
// event once the term is over.
func (l *Loop) Post(e Event) {
	select {
	case l.Events <- e:
	case <-l.Done:
	}
}

// End ends the term. Calls after the first have no effect.
func (l *Loop) End(reason string) {
	l.endOnce.Do(func() {
		l.endReason = reason
		close(l.Done)
	})
}

// EndReason returns why the term is over. It must not be called before Done is closed.
func (l *Loop) EndReason() string { return l.endReason }

// resignationPause is how long this controller does not campaign for the leadership after it
// has resigned, so that another one can become leader.
const resignationPause = 15 * time.Second

// Resign gives up the leadership and ends the term.
func (l *Loop) Resign(reason string) {
	l.Log.Info("leadership resigned", "reason", reason)
	l.Lease.Resign(l.ctx, time.Now().Add(resignationPause))
	l.End(reason)
}

// Pause waits for the duration. It reports false if the context ended first.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
