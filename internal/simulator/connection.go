package simulator

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipe is one direction of a connection.
type pipe struct {
	mu           sync.Mutex
	wake         chan struct{} // closed and replaced on every change
	buf          []byte
	inFlight     []packet // sent, not yet delivered
	closed       bool
	reset        bool
	from         string
	to           string
	network      *Network
	readDeadline time.Time
}

// packet is the data of one Write, or the end of the connection.
type packet struct {
	data []byte
	fin  bool
	due  time.Time
}

// notifyReader wakes the reader; the caller holds the lock.
func (p *pipe) notifyReader() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// deliver moves the packets that are due into the buffer, unless the link is blocked.
func (p *pipe) deliver() {
	p.network.mu.Lock()
	blocked := p.network.blocks(p.from, p.to)
	p.network.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	now, arrived := time.Now(), 0
	for arrived < len(p.inFlight) && !p.inFlight[arrived].due.After(now) {
		arrived++
	}
	if blocked || arrived == 0 {
		return
	}
	for _, pkt := range p.inFlight[:arrived] {
		p.buf = append(p.buf, pkt.data...)
		p.closed = p.closed || pkt.fin
	}
	p.inFlight = p.inFlight[arrived:]
	p.notifyReader()
}

// blocks reports whether packets from one host to another are held; the caller holds the
// network's lock.
func (n *Network) blocks(from, to string) bool {
	withoutPower := n.poweredOff[from] || n.poweredOff[to]
	acrossIsolation := n.isolatedHosts[from] != n.isolatedHosts[to]
	return withoutPower || acrossIsolation || n.inboundBlocked[to] || n.blockedLinks[[2]string{from, to}]
}

// send queues a packet, which is delivered after the delay of the link.
func (p *pipe) send(pkt packet) error {
	delay := p.network.delay(p.from, p.to)
	p.mu.Lock()
	if p.reset {
		p.mu.Unlock()
		return &net.OpError{Op: "write", Net: "tcp", Err: errors.New("connection reset")}
	}
	pkt.due = time.Now().Add(delay)
	p.inFlight = append(p.inFlight, pkt)
	p.mu.Unlock()
	time.AfterFunc(delay, p.deliver)
	return nil
}

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	local, remote addr
	network       *Network
	once          sync.Once
	done          chan struct{}
}

// pair returns both ends of a new connection: that of the host from, then that of the
// address to.
func (n *Network) pair(from, to string) (*conn, *conn) {
	forward := &pipe{wake: make(chan struct{}), network: n, from: from, to: hostOf(to)}
	backward := &pipe{wake: make(chan struct{}), network: n, from: hostOf(to), to: from}
	near := &conn{in: backward, out: forward, local: addr(from + ":0"), remote: addr(to), network: n, done: make(chan struct{})}
	far := &conn{in: forward, out: backward, local: addr(to), remote: addr(from + ":0"), network: n, done: make(chan struct{})}
	n.mu.Lock()
	n.conns[near], n.conns[far] = true, true
	n.mu.Unlock()
	return near, far
}

func (c *conn) Read(b []byte) (int, error) {
	p := c.in
	for {
		p.mu.Lock()
		if len(p.buf) > 0 {
			n := copy(b, p.buf)
			p.buf = p.buf[n:]
			p.mu.Unlock()
			return n, nil
		}
		wake, closed, reset, deadline := p.wake, p.closed, p.reset, p.readDeadline
		p.mu.Unlock()
		if reset {
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errors.New("connection reset")}
		}
		if closed {
			return 0, io.EOF
		}
		var timer <-chan time.Time
		if !deadline.IsZero() {
			remaining := time.Until(deadline)
			if remaining <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			timer = time.After(remaining)
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
		_ = c.out.send(packet{fin: true}) // fails only on a reset connection, which needs no FIN
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr { return c.local }

func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	c.in.readDeadline = t
	c.in.notifyReader()
	c.in.mu.Unlock()
	return nil
}

func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// abort closes a connection after applying mark to both of its directions.
func (c *conn) abort(mark func(*pipe)) {
	for _, p := range []*pipe{c.in, c.out} {
		p.mu.Lock()
		mark(p)
		p.notifyReader()
		p.mu.Unlock()
	}
	_ = c.Close()
}
