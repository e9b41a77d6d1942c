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

// clientKind is the kind of client that a connection belongs to, by its last request.
// Idle connections are evicted in the order of these constants.
type clientKind int32

const (
	userClient clientKind = iota // a user, a health check, or one without a request yet
	workerClient
	clientKindCount
)

// evictionLogPeriod keeps the log short while connections are at their limit.
const evictionLogPeriod = 10 * time.Second

// boundedListener bounds the open connections of a listener, since the platform's limit
// would make accepting fail, and with it health checks and workers. At the limit the
// connection that has been idle longest is evicted, users' before workers'; when none is
// idle, accepting waits.
type boundedListener struct {
	net.Listener
	limit int
	log   *slog.Logger
	// retryAccept wakes an Accept that waits at the limit.
	retryAccept chan struct{}

	mu       sync.Mutex
	open     int
	idle     [clientKindCount]*list.List // of *boundedConn, the longest idle first
	evicted  int                         // connections evicted since that was last logged
	loggedAt time.Time
}

func newBoundedListener(listener net.Listener, limit int, log *slog.Logger) *boundedListener {
	return &boundedListener{
		Listener:    listener,
		limit:       limit,
		log:         log,
		retryAccept: make(chan struct{}, 1),
		idle:        [clientKindCount]*list.List{list.New(), list.New()},
	}
}

// boundedConn is an accepted connection.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	kind     atomic.Int32 // a clientKind

	// The fields below are guarded by the listener's mutex.

	idleElement *list.Element // in the idle list of idleKind; nil while the connection is busy
	idleKind    clientKind
	closed      bool
}

// Accept waits until the connections are below their limit, and then for the next one.
func (l *boundedListener) Accept() (net.Conn, error) {
	for !l.reserve() {
		<-l.retryAccept
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &boundedConn{Conn: conn, listener: l}, nil
}

// reserve counts one more connection, for which an idle one may have to be evicted. It
// reports false if the connections are at their limit and none is idle.
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
		_ = victim.Close()
	}
}

// longestIdle returns the next connection to evict, nil if none is idle. The mutex must
// be held.
func (l *boundedListener) longestIdle() *boundedConn {
	for _, idle := range l.idle {
		if front := idle.Front(); front != nil {
			return front.Value.(*boundedConn)
		}
	}
	return nil
}

// logEviction counts an evicted connection, and logs their number once in a while. The
// mutex must be held.
func (l *boundedListener) logEviction() {
	l.evicted++
	now := time.Now()
	if now.Sub(l.loggedAt) <= evictionLogPeriod {
		return
	}
	l.log.Info("idle connections closed", "reason", "connections are at their limit", "limit", l.limit, "closed", l.evicted)
	l.loggedAt = now
	l.evicted = 0
}

// release counts one connection fewer.
func (l *boundedListener) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.wake()
}

// wake makes a waiting Accept try again.
func (l *boundedListener) wake() {
	select {
	case l.retryAccept <- struct{}{}:
	default:
	}
}

// Close closes the connection. Only the first call counts it out.
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

// markBusy takes the connection out of the idle ones. The listener's mutex must be held.
func (c *boundedConn) markBusy() {
	if c.idleElement != nil {
		c.listener.idle[c.idleKind].Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markIdle makes the connection the last to be evicted of its kind. The listener's mutex
// must be held.
func (c *boundedConn) markIdle() {
	c.idleKind = clientKind(c.kind.Load())
	c.idleElement = c.listener.idle[c.idleKind].PushBack(c)
}

// connState is the server's ConnState hook.
func (l *boundedListener) connState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*boundedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	c.markBusy()
	if state == http.StateIdle && !c.closed {
		c.markIdle()
	}
	l.mu.Unlock()
	if state == http.StateIdle {
		l.wake()
	}
}

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// connContext is the server's ConnContext hook, by which handlers learn a request's
// connection.
func (l *boundedListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// classify returns a handler that sets the kind of a request's connection first.
func (l *boundedListener) classify(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connContextKey{}).(*boundedConn); ok {
			conn.kind.Store(int32(kindOfClient(r)))
		}
		handler.ServeHTTP(w, r)
	})
}

// kindOfClient returns the kind of client that sends a request.
func kindOfClient(r *http.Request) clientKind {
	if strings.HasPrefix(r.URL.Path, heartbeatPath) {
		return workerClient
	}
	return userClient
}
