package netio

import (
	"context"
	"net"
	"sync"
	"time"
)

// Bounded returns the network with a limit on the connections that are open or being opened at a time. Those being opened
// count because a client's requests may be given up long before the network gives up on their connections. Beyond the limit
// a dial waits for another connection to end; the wait and the dial together take no longer than the timeout.
func (n Net) Bounded(limit int, timeout time.Duration) Net {
	slots := make(connectionSlots, limit)
	dial := n.Dial
	n.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		if err := slots.acquire(ctx); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		conn, err := dial(ctx, network, addr)
		if err != nil {
			slots.release()
			return nil, err
		}
		return &slotConn{Conn: conn, releaseOnce: sync.OnceFunc(slots.release)}, nil
	}
	return n
}

// connectionSlots holds one element for each connection that is open or being opened.
type connectionSlots chan struct{}

// acquire waits for a free slot until the context ends.
func (s connectionSlots) acquire(ctx context.Context) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release frees a slot that was acquired.
func (s connectionSlots) release() { <-s }

// slotConn is a connection that frees its slot when it is closed for the first time.
type slotConn struct {
	net.Conn
	releaseOnce func()
}

// Close closes the connection and frees its slot.
func (c *slotConn) Close() error {
	defer c.releaseOnce()
	return c.Conn.Close()
}
