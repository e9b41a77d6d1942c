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

// clientKind is the kind of client that a connection belongs to, as its last request shows.
// Idle connections are evicted in the order of these constants.
type clientKind int32

const (
	userClient clientKind = iota // also health checks, and connections without a request yet
	agentClient
	clientKindCount
)

// evictionLogPeriod is the least time between two log lines about evicted connections.
const evictionLogPeriod = 10 * time.Second

// boundedListener limits the number of open connections of a listener. Without this, the
// process would reach the platform's limit, and accepting connections would fail, also for
// health checks and agents. At the limit, the connection that has been idle longest is
// evicted, users' connections before agents'. If none is idle, Accept waits.
type boundedListener struct {
	net.Listener
	limit int
	log   *slog.Logger
	// retryAccept wakes an Accept that is waiting at the limit.
	retryAccept chan struct{}

	mu       sync.Mutex
	open     int                         // connections, including one that Accept waits for
	idle     [clientKindCount]*list.List // of *boundedConn, the longest idle first
	evicted  int                         // connections evicted since the last log line about them
	loggedAt time.Time                   // time of that log line
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

// boundedConn is an accepted connection, which counts towards its listener's limit.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	kind     atomic.Int32 // a clientKind

	// The fields below are guarded by the listener's mutex.

	idleElement *list.Element // in the idle list of idleKind; nil while the connection is busy
	idleKind    clientKind
	closed      bool
}

// Accept waits until the number of connections is below the limit, and then for the next
// connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	for !l.reserveSlot() {
		<-l.retryAccept
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.releaseSlot()
		return nil, err
	}
	return &boundedConn{Conn: conn, listener: l}, nil
}

// reserveSlot counts one more connection, and evicts an idle one for it if necessary. It
// reports false if the number of connections is at the limit and none is idle.
func (l *boundedListener) reserveSlot() bool {
	for {
		l.mu.Lock()
		if l.open < l.limit {
			l.open++
			l.mu.Unlock()
			return true
		}
		victim := l.nextVictim()
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

// nextVictim returns the connection to evict next, or nil if none is idle. The caller holds the
// mutex.
func (l *boundedListener) nextVictim() *boundedConn {
	for _, idle := range l.idle {
		if front := idle.Front(); front != nil {
			return front.Value.(*boundedConn)
		}
	}
	return nil
}

// logEviction counts an evicted connection, and logs the count at most once in
// evictionLogPeriod. The caller holds the mutex.
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

// releaseSlot counts one connection fewer, and wakes a waiting Accept.
func (l *boundedListener) releaseSlot() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	l.wakeAccept()
}

// wakeAccept makes a waiting Accept try again.
func (l *boundedListener) wakeAccept() {
	select {
	case l.retryAccept <- struct{}{}:
	default:
	}
}

// Close closes the connection. Only the first call releases its slot.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	firstCall := !c.closed
	c.closed = true
	c.markBusy()
	c.listener.mu.Unlock()
	err := c.Conn.Close()
	if firstCall {
		c.listener.releaseSlot()
	}
	return err
}

// markBusy removes the connection from the list of idle ones that it is in, if any. The
// caller holds the listener's mutex.
func (c *boundedConn) markBusy() {
	if c.idleElement != nil {
		c.listener.idle[c.idleKind].Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markIdle appends the connection to the idle ones of its kind, as the last to be evicted. The
// caller holds the listener's mutex.
func (c *boundedConn) markIdle() {
	c.idleKind = clientKind(c.kind.Load())
	c.idleElement = c.listener.idle[c.idleKind].PushBack(c)
}

// connState is the server's ConnState hook. It tracks which connections are idle.
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
		l.wakeAccept()
	}
}

// connContextKey is the key of a request's connection in its context.
type connContextKey struct{}

// connContext is the server's ConnContext hook. It puts the connection into the context of
// its requests, where classify finds it.
func (l *boundedListener) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// classify returns a handler that first notes the client's kind on the request's connection.
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
		return agentClient
	}
	return userClient
}
