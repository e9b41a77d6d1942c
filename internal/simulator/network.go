package simulator

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"lilaclead/internal/netio"
)

// Network is an in-memory network on which packets can be delayed or held and connections
// refused or reset.
type Network struct {
	mu              sync.Mutex
	listeners       map[string]*listener
	conns           map[*conn]bool
	poweredOff      map[string]bool             // hosts that neither send nor receive
	blockedLinks    map[[2]string]bool          // [from, to]: packets are held
	inboundBlocked  map[string]bool             // hosts that send but receive nothing
	isolatedHosts   map[string]bool             // hosts that can reach only each other
	refusedLinks    map[[2]string]bool          // [from, to]: new connections are refused
	hostDelay       map[string]time.Duration    // extra latency of packets to and from a host
	outboundBlocked map[string]bool             // hosts that can't open connections
	linkDelay       map[[2]string]time.Duration // [from, to]: extra latency
	latency         time.Duration
}

// NewNetwork returns a network on which every packet takes the given latency.
func NewNetwork(latency time.Duration) *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, poweredOff: map[string]bool{}, blockedLinks: map[[2]string]bool{}, inboundBlocked: map[string]bool{}, isolatedHosts: map[string]bool{}, refusedLinks: map[[2]string]bool{}, hostDelay: map[string]time.Duration{}, latency: latency}
}

// Host returns the network as one host sees it.
func (n *Network) Host(ip string) netio.Network {
	return netio.Network{
		Dial:   func(ctx context.Context, _, addr string) (net.Conn, error) { return n.dial(ctx, ip, addr) },
		Listen: func(_, addr string) (net.Listener, error) { return n.listen(addr) },
	}
}

// addr is an address on the in-memory network.
type addr string

func (a addr) Network() string { return "tcp" }

func (a addr) String() string { return string(a) }

// listener accepts the connections to one address.
type listener struct {
	network *Network
	addr    string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

// listen starts to accept connections to an address.
func (n *Network) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	ln := &listener{network: n, addr: address, queue: make(chan *conn, 64), closed: make(chan struct{})}
	n.listeners[address] = ln
	return ln, nil
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
		l.network.mu.Lock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
		l.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

// hostOf returns the host of an address, without the port.
func hostOf(a string) string {
	h, _, err := net.SplitHostPort(a)
	if err != nil {
		return a
	}
	return h
}

// dial opens a connection. It waits while the link is blocked, for at most 2 s.
func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	fail := func(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(to), Err: err} }
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	host := hostOf(to)
	for {
		n.mu.Lock()
		responsesBlocked := n.blockedLinks[[2]string{host, from}]
		unreachable := n.outboundBlocked[from] || responsesBlocked || n.blocks(from, host)
		ln, refused := n.listeners[to], n.refusedLinks[[2]string{from, host}]
		n.mu.Unlock()
		if !unreachable {
			if ln == nil || refused {
				return nil, fail(errors.New("connection refused"))
			}
			local, remote := n.pair(from, to)
			select {
			case ln.queue <- remote:
				return local, nil
			case <-ln.closed:
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

// delay returns how long a packet takes from one host to another.
func (n *Network) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latency + n.hostDelay[from] + n.hostDelay[to] + n.linkDelay[[2]string{from, to}]
}

// connsWhere lists the open connections for which passes returns true.
func (n *Network) connsWhere(passes func(*conn) bool) []*conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*conn
	for c := range n.conns {
		if passes(c) {
			out = append(out, c)
		}
	}
	return out
}

// anyConn matches every connection.
func anyConn(*conn) bool { return true }

// Close closes every connection.
func (n *Network) Close() {
	for _, c := range n.connsWhere(anyConn) {
		c.abort(func(p *pipe) { p.closed = true })
	}
}
