package main

import (
	"net"
	"sync"
	"time"
)

// link is a path between two hosts: a proxy that can hold what is sent and deliver it later in order,
// or reset the connections.
type link struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	heldUntil time.Time
	conns     map[net.Conn]bool
}

func newLink(d *deployment, target string) *link {
	l := &link{listener: listenLoopback(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		<-d.ctx.Done()
		_ = l.listener.Close()
		l.reset()
	}()
	go func() {
		for {
			conn, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l
}

func (l *link) addr() string { return l.listener.Addr().String() }

// hold holds everything for a while.
func (l *link) hold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := time.Now().Add(d); until.After(l.heldUntil) {
		l.heldUntil = until
	}
}

// reset closes all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// pass waits while the link holds.
func (l *link) pass() {
	for {
		l.mu.Lock()
		rest := time.Until(l.heldUntil)
		l.mu.Unlock()
		if rest <= 0 {
			return
		}
		time.Sleep(min(rest, 100*time.Millisecond))
	}
}

func (l *link) serve(from net.Conn) {
	l.mu.Lock()
	held := time.Now().Before(l.heldUntil)
	l.mu.Unlock()
	if held { // an attempt to connect that is given up does not complete later
		_ = from.SetReadDeadline(time.Now().Add(5 * time.Second))
		l.pass()
		_ = from.Close()
		return
	}
	to, err := net.Dial("tcp4", l.target)
	if err != nil {
		_ = from.Close()
		return
	}
	l.mu.Lock()
	l.conns[from], l.conns[to] = true, true
	l.mu.Unlock()
	done := make(chan bool, 2)
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		go func() {
			defer func() { done <- true }()
			buffer := make([]byte, 64<<10)
			for {
				n, err := pair[0].Read(buffer)
				l.pass()
				if n > 0 {
					if _, err := pair[1].Write(buffer[:n]); err != nil {
						return
					}
				}
				if err != nil {
					if tcp, ok := pair[1].(*net.TCPConn); ok {
						_ = tcp.CloseWrite()
					}
					return
				}
			}
		}()
	}
	<-done
	<-done
	_ = from.Close()
	_ = to.Close()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}
