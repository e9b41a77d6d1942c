package lilaclead

import (
	"container/list"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lilaclead/internal/config"
)

// sockets is how a process's limit of sockets is split.
type sockets struct {
	front  int // accepted from workers, users and health checks
	direct int // to workers, for commands
	own    int // to state service, cloud and the other controllers, and to spare
	// memoryNeeded is what that many connections take, in MB.
	memoryNeeded float64
}

// usersShare is the part of the accepted connections that is not counted on
// for workers.
const usersShare = 0.1

// What a process takes, in MB: by itself, and for each connection with what is
// known of the machine behind it. Measured at 1.5 times the largest deployment:
// 165 MB with 3,400 connections, 217 MB with 4,296, 12 MB with 120.
const (
	baseMB = 12
	connMB = 0.048
)

// splitSockets splits the limit. One controller may be left with every worker:
// each holds one accepted connection, and commands need a few more at a time,
// which share theirs.
func splitSockets(lim config.Limits, nodes int) sockets {
	var s sockets
	s.memoryNeeded = (baseMB + connMB*float64(lim.FDLimit)) / 0.9
	limit := max(64, min(lim.FDLimit, int(min(1e9, (lim.MemoryMB*0.9-baseMB)/connMB))))
	// The state service's 16, the cloud's 4, a stream each way to every other
	// controller and as much again while they are opened anew, both listeners,
	// and a spare for what is being closed.
	s.own = min(limit/3, 16+4+4*(nodes-1)+2+16)
	s.direct = max(16, (limit-s.own)/6)
	s.front = max(16, limit-s.own-s.direct)
	return s
}

// workers is how many workers one controller can hold alone.
func (s sockets) workers() int { return int(float64(s.front) * (1 - usersShare)) }

// needed is the limit that so many workers would need.
func needed(workers int, lim config.Limits, nodes int) int {
	lim.MemoryMB = math.Inf(1)
	for lim.FDLimit = workers; splitSockets(lim, nodes).workers() < workers; {
		lim.FDLimit += max(1, lim.FDLimit/50)
	}
	return lim.FDLimit
}

// kind of a connection, by its last request.
type kind int32

const (
	visitor kind = iota // a user, a health check, or nobody yet
	worker
	kinds
)

// door bounds the open connections of a listener, since the platform's limit
// would make accepting fail, and with it health checks and workers. When it is
// full the connection that has been idle longest makes room, users' before
// workers'; when none is idle, new ones wait.
type door struct {
	net.Listener
	most  int
	log   *slog.Logger
	freed chan struct{}

	mu     sync.Mutex
	open   int
	idle   [kinds]*list.List // of *doorConn, the longest idle first
	shut   int               // closed to make room, since it was last said
	saidAt time.Time
}

func newDoor(l net.Listener, most int, log *slog.Logger) *door {
	return &door{Listener: l, most: most, log: log, freed: make(chan struct{}, 1), idle: [kinds]*list.List{list.New(), list.New()}}
}

// doorConn is one accepted connection.
type doorConn struct {
	net.Conn
	d      *door
	kind   atomic.Int32
	at     *list.Element // while idle
	in     kind          // the list that it is in
	closed bool
}

// Accept waits for a place first.
func (d *door) Accept() (net.Conn, error) {
	for !d.enter() {
		<-d.freed
	}
	c, err := d.Listener.Accept()
	if err != nil {
		d.leave()
		return nil, err
	}
	return &doorConn{Conn: c, d: d}, nil
}

// enter takes a place, which it may have to make.
func (d *door) enter() bool {
	d.mu.Lock()
	if d.open < d.most {
		d.open++
		d.mu.Unlock()
		return true
	}
	var out *doorConn
	for _, l := range d.idle {
		if e := l.Front(); e != nil {
			out = e.Value.(*doorConn)
			break
		}
	}
	if out != nil {
		d.shut++
		if now := time.Now(); now.Sub(d.saidAt) > 10*time.Second {
			d.log.Info("connections are at their limit; idle ones make room", "limit", d.most, "closed", d.shut)
			d.saidAt, d.shut = now, 0
		}
	}
	d.mu.Unlock()
	if out == nil {
		return false
	}
	out.Close()
	return d.enter()
}

func (d *door) leave() {
	d.mu.Lock()
	d.open--
	d.mu.Unlock()
	d.wake()
}

func (d *door) wake() {
	select {
	case d.freed <- struct{}{}:
	default:
	}
}

// Close leaves the door.
func (c *doorConn) Close() error {
	c.d.mu.Lock()
	first := !c.closed
	c.closed = true
	c.busy()
	c.d.mu.Unlock()
	err := c.Conn.Close()
	if first {
		c.d.leave()
	}
	return err
}

// busy takes the connection out of the idle; call with the lock held.
func (c *doorConn) busy() {
	if c.at != nil {
		c.d.idle[c.in].Remove(c.at)
		c.at = nil
	}
}

// state follows the server's word on a connection.
func (d *door) state(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*doorConn)
	if !ok {
		return
	}
	d.mu.Lock()
	c.busy()
	if s == http.StateIdle && !c.closed {
		c.in = kind(c.kind.Load())
		c.at = d.idle[c.in].PushBack(c)
	}
	d.mu.Unlock()
	if s == http.StateIdle {
		d.wake()
	}
}

type connKey struct{}

// context lets a request's handler know its connection.
func (d *door) context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// knows notes what kind of client a connection serves.
func (d *door) knows(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*doorConn); ok {
			k := visitor
			if strings.HasPrefix(r.URL.Path, "/hello") {
				k = worker
			}
			c.kind.Store(int32(k))
		}
		h.ServeHTTP(w, r)
	})
}

// String is for the log.
func (s sockets) String() string {
	return fmt.Sprintf("%d accepted, %d to workers, %d of its own", s.front, s.direct, s.own)
}
