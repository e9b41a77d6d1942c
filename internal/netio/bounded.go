package netio

import (
	"context"
	"net"
	"sync"
	"time"
)

// WithConnectionLimit returns the network with a limit on the number of connections that are open or
// being opened. Those being opened count because a client may cancel its requests long before the
// network gives up opening their connections. At the limit, a dial waits until another connection is
// closed. The wait and the dial together take no longer than the timeout.
func (n Network) WithConnectionLimit(limit int, timeout time.Duration) Network {
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

// acquire waits for a free slot and occupies it, or fails when the context ends.
func (s connectionSlots) acquire(ctx context.Context) error {
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release frees an acquired slot.
func (s connectionSlots) release() { <-s }

// slotConn is a connection that frees its slot when it is closed for the first time.
type slotConn struct {
	net.Conn
	releaseOnce func()
}

// Close closes the connection. The first call also frees the slot.
func (c *slotConn) Close() error {
	defer c.releaseOnce()
	return c.Conn.Close()
}
