package lilaclead

import (
	"container/list"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clientKind is who a connection serves, by its last request.
type clientKind int32

const (
	userClient clientKind = iota // a user, a health check, or nobody yet
	workerClient
	clientKinds // how many there are
)

// limitLogPeriod keeps the log short while connections are at their limit.
const limitLogPeriod = 10 * time.Second

// boundedListener bounds the open connections of a listener, since the
// platform's limit would make accepting fail, and with it health checks and
// workers. At the limit the connection that has been idle longest is closed,
// users' before workers'; when none is idle, accepting waits.
type boundedListener struct {
	net.Listener
	limit int
	log   *slog.Logger
	freed chan struct{}

	mu       sync.Mutex
	open     int
	idle     [clientKinds]*list.List // of *boundedConn, the longest idle first
	evicted  int                     // connections closed since that was last logged
	loggedAt time.Time
}

func newBoundedListener(l net.Listener, limit int, log *slog.Logger) *boundedListener {
	return &boundedListener{
		Listener: l,
		limit:    limit,
		log:      log,
		freed:    make(chan struct{}, 1),
		idle:     [clientKinds]*list.List{list.New(), list.New()},
	}
}

// boundedConn is one accepted connection.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	kind     atomic.Int32
	element  *list.Element // of the idle list, while idle
	idleIn   clientKind    // the list that it is in
	closed   bool
}

// Accept waits until the connections are below their limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for !l.reserve() {
		<-l.freed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &boundedConn{Conn: c, listener: l}, nil
}

// reserve counts one more connection, for which an idle one may have to be
// closed; false: none is idle.
func (l *boundedListener) reserve() bool {
	for {
		l.mu.Lock()
		if l.open < l.limit {
			l.open++
			l.mu.Unlock()
			return true
		}
		victim := l.longestIdle()
		if victim != nil {
			l.logEviction()
		}
		l.mu.Unlock()
		if victim == nil {
			return false
		}
		victim.Close()
	}
}

// longestIdle is the next connection to close; call with the lock held.
func (l *boundedListener) longestIdle() *boundedConn {
	for _, idle := range l.idle {
		if e := idle.Front(); e != nil {
			return e.Value.(*boundedConn)
		}
	}
	return nil
}

// logEviction counts a connection that is closed, and logs how many were once in
// a while; call with the lock held.
func (l *boundedListener) logEviction() {
	l.evicted++
	if now := time.Now(); now.Sub(l.loggedAt) > limitLogPeriod {
		l.log.Info("connections are at their limit; idle ones are closed", "limit", l.limit, "closed", l.evicted)
		l.loggedAt, l.evicted = now, 0
	}
}

// release counts one connection less.
func (l *boundedListener) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.wake()
}

// wake lets a waiting Accept try again.
func (l *boundedListener) wake() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Close closes the connection and counts it out, once.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	first := !c.closed
	c.closed = true
	c.markBusy()
	c.listener.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.listener.release()
	}
	return err
}

// markBusy takes the connection out of the idle ones; call with the lock held.
func (c *boundedConn) markBusy() {
	if c.element != nil {
		c.listener.idle[c.idleIn].Remove(c.element)
		c.element = nil
	}
}

// connState follows the states that the server reports of a connection.
func (l *boundedListener) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*boundedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	c.markBusy()
	if state == http.StateIdle && !c.closed {
		c.idleIn = clientKind(c.kind.Load())
		c.element = l.idle[c.idleIn].PushBack(c)
	}
	l.mu.Unlock()
	if state == http.StateIdle {
		l.wake()
	}
}

type connKey struct{}

// connContext lets a request's handler know its connection.
func (l *boundedListener) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// classify notes by each request what kind of client its connection serves.
func (l *boundedListener) classify(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*boundedConn); ok {
			kind := userClient
			if strings.HasPrefix(r.URL.Path, heartbeatPath) {
				kind = workerClient
			}
			c.kind.Store(int32(kind))
		}
		h.ServeHTTP(w, r)
	})
}
