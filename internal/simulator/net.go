// Package simulator holds fakes of everything outside a node: a network,
// the state service, the cloud, the workers and the users, with a checker
// for the rules of PROTOCOL. They are written from the protocol's page, for
// tests and for trying the program out. Time is whatever the time package
// says, so that a test can run them in virtual time.
package simulator

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"lilaclead/internal/netio"
)

// Network is an in-memory network whose links can be held up or cut.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	down      map[string]bool             // hosts without power: silent
	held      map[[2]string]bool          // from, to: packets wait
	deaf      map[string]bool             // hosts that nothing reaches, though they are heard
	island    map[string]bool             // hosts that reach only each other
	filtered  map[[2]string]bool          // from, to: connections are refused
	slow      map[string]time.Duration    // hosts to and from which all takes so much longer
	mute      map[string]bool             // hosts that can open no connection
	lag       map[[2]string]time.Duration // from, to: so much longer
	latency   time.Duration
}

// NewNetwork makes a network.
func NewNetwork(latency time.Duration) *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, down: map[string]bool{}, held: map[[2]string]bool{}, deaf: map[string]bool{}, island: map[string]bool{}, filtered: map[[2]string]bool{}, slow: map[string]time.Duration{}, latency: latency}
}

// Host is the network as one host sees it.
func (n *Network) Host(ip string) netio.Net {
	return netio.Net{
		Dial:   func(ctx context.Context, _, addr string) (net.Conn, error) { return n.dial(ctx, ip, addr) },
		Listen: func(_, addr string) (net.Listener, error) { return n.listen(addr) },
	}
}

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

type listener struct {
	n      *Network
	addr   string
	queue  chan *conn
	closed chan struct{}
	once   sync.Once
}

func (n *Network) listen(at string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[at] != nil {
		return nil, errors.New("address in use: " + at)
	}
	l := &listener{n: n, addr: at, queue: make(chan *conn, 64), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		if l.n.listeners[l.addr] == l {
			delete(l.n.listeners, l.addr)
		}
		l.n.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

func hostOf(a string) string {
	h, _, err := net.SplitHostPort(a)
	if err != nil {
		return a
	}
	return h
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	fail := func(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(to), Err: err} }
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	for {
		n.mu.Lock()
		silent := n.down[from] || n.mute[from] || n.down[hostOf(to)] || n.deaf[hostOf(to)] || n.held[[2]string{from, hostOf(to)}] || n.held[[2]string{hostOf(to), from}] ||
			n.island[from] != n.island[hostOf(to)]
		l, filtered := n.listeners[to], n.filtered[[2]string{from, hostOf(to)}]
		n.mu.Unlock()
		if !silent {
			if l == nil || filtered {
				return nil, fail(errors.New("connection refused"))
			}
			a, b := n.pair(from, to)
			select {
			case l.queue <- b:
				return a, nil
			case <-l.closed:
				return nil, fail(errors.New("connection refused"))
			case <-ctx.Done():
				return nil, fail(ctx.Err())
			}
		}
		select {
		case <-ctx.Done():
			return nil, fail(ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// pipe is one direction of a connection.
type pipe struct {
	mu     sync.Mutex
	wake   chan struct{} // closed and replaced on every change
	buf    []byte
	late   []packet // on their way
	closed bool
	reset  bool
	timer  *time.Timer
	from   string
	to     string
	n      *Network
	read   time.Time // read deadline
}

type packet struct {
	data []byte
	fin  bool
	due  time.Time
}

func (p *pipe) change() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// arrive moves what is on its way into the buffer, unless the link is held.
func (p *pipe) arrive() {
	p.n.mu.Lock()
	blocked := p.n.held[[2]string{p.from, p.to}] || p.n.down[p.to] || p.n.down[p.from] || p.n.deaf[p.to] || p.n.island[p.from] != p.n.island[p.to]
	p.n.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	now, n := time.Now(), 0
	for n < len(p.late) && !p.late[n].due.After(now) {
		n++
	}
	if blocked || n == 0 {
		return
	}
	for _, k := range p.late[:n] {
		p.buf = append(p.buf, k.data...)
		p.closed = p.closed || k.fin
	}
	p.late = p.late[n:]
	p.change()
}

func (p *pipe) send(k packet) error {
	takes := p.n.takes(p.from, p.to)
	p.mu.Lock()
	if p.reset {
		p.mu.Unlock()
		return &net.OpError{Op: "write", Net: "tcp", Err: errors.New("connection reset")}
	}
	k.due = time.Now().Add(takes)
	p.late = append(p.late, k)
	p.mu.Unlock()
	time.AfterFunc(takes, p.arrive)
	return nil
}

type conn struct {
	in, out       *pipe
	local, remote addr
	n             *Network
	once          sync.Once
	done          chan struct{}
}

func (n *Network) pair(from, to string) (*conn, *conn) {
	ab := &pipe{wake: make(chan struct{}), n: n, from: from, to: hostOf(to)}
	ba := &pipe{wake: make(chan struct{}), n: n, from: hostOf(to), to: from}
	a := &conn{in: ba, out: ab, local: addr(from + ":0"), remote: addr(to), n: n, done: make(chan struct{})}
	b := &conn{in: ab, out: ba, local: addr(to), remote: addr(from + ":0"), n: n, done: make(chan struct{})}
	n.mu.Lock()
	n.conns[a], n.conns[b] = true, true
	n.mu.Unlock()
	return a, b
}

func (c *conn) Read(b []byte) (int, error) {
	p := c.in
	for {
		p.mu.Lock()
		if len(p.buf) > 0 {
			k := copy(b, p.buf)
			p.buf = p.buf[k:]
			p.mu.Unlock()
			return k, nil
		}
		wake, closed, reset, until := p.wake, p.closed, p.reset, p.read
		p.mu.Unlock()
		if reset {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection reset")}
		}
		if closed {
			return 0, io.EOF
		}
		var timer <-chan time.Time
		if !until.IsZero() {
			left := time.Until(until)
			if left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			timer = time.After(left)
		}
		select {
		case <-wake:
		case <-timer:
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	if err := c.out.send(packet{data: append([]byte(nil), b...)}); err != nil {
		return 0, err
	}
	return len(b), nil
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.out.send(packet{fin: true}) //nolint:errcheck // a reset link needs no end
		c.n.mu.Lock()
		delete(c.n.conns, c)
		c.n.mu.Unlock()
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	c.in.read = t
	c.in.change()
	c.in.mu.Unlock()
	return nil
}

func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// matching lists the open connections that pass the test.
func (n *Network) matching(which func(*conn) bool) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*conn
	for c := range n.conns {
		if which(c) {
			out = append(out, c)
		}
	}
	return out
}

func every(*conn) bool { return true }

// shut ends a connection after marking both of its directions.
func (c *conn) shut(mark func(*pipe)) {
	for _, p := range []*pipe{c.in, c.out} {
		p.mu.Lock()
		mark(p)
		p.change()
		p.mu.Unlock()
	}
	c.Close()
}

// Reset breaks every connection and listener of a host, as its end does. (A
// node that was up again at once could find its address still in use by its
// last life, and was then silently missing from a test.)
func (n *Network) Reset(ip string) {
	n.mu.Lock()
	var ls []*listener
	for at, l := range n.listeners {
		if hostOf(at) == ip {
			ls = append(ls, l)
		}
	}
	n.mu.Unlock()
	for _, l := range ls {
		l.Close()
	}
	for _, c := range n.matching(func(c *conn) bool { return hostOf(string(c.local)) == ip || hostOf(string(c.remote)) == ip }) {
		c.shut(func(p *pipe) { p.reset = true })
	}
}

// Down takes a host's power, or gives it back.
func (n *Network) Down(ip string, down bool) {
	n.mu.Lock()
	n.down[ip] = down
	n.mu.Unlock()
}

// Hold holds up all packets from one host to another, or lets them through,
// with everything that waited.
func (n *Network) Hold(from, to string, hold bool) {
	n.mu.Lock()
	n.held[[2]string{from, to}] = hold
	n.mu.Unlock()
	if !hold {
		n.flow()
	}
}

// flow lets what waited on open connections through.
func (n *Network) flow() {
	for _, c := range n.matching(every) {
		c.in.arrive()
		c.out.arrive()
	}
}

// Deafen makes a host one that nothing reaches, while what it sends arrives.
func (n *Network) Deafen(ip string, on bool) {
	n.mu.Lock()
	n.deaf[ip] = on
	n.mu.Unlock()
	if !on {
		n.flow()
	}
}

// Island makes a host one of those that reach only each other, or no more.
func (n *Network) Island(ip string, on bool) {
	n.mu.Lock()
	n.island[ip] = on
	n.mu.Unlock()
	if !on {
		n.flow()
	}
}

// Cut holds up both directions.
func (n *Network) Cut(a, b string, cut bool) {
	n.Hold(a, b, cut)
	n.Hold(b, a, cut)
}

// Close ends every connection.
func (n *Network) Close() {
	for _, c := range n.matching(every) {
		c.shut(func(p *pipe) { p.closed = true })
	}
}
