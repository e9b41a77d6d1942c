// Package netio is what the program asks of a network, so that tests and
// embedding programs can put another one under it.
package netio

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// Net dials and listens.
type Net struct {
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(network, addr string) (net.Listener, error)
}

const (
	// dialTimeout bounds the attempt to connect to a host that does not answer.
	dialTimeout = 2 * time.Second
	// keepAlive finds connections whose other end is gone.
	keepAlive = 15 * time.Second
	// idleTimeout gives back connections that are not used.
	idleTimeout = 25 * time.Second
)

// Real is the machine's own network.
func Real() Net {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return Net{Dial: d.DialContext, Listen: net.Listen}
}

// Bounded is the network with a limit on the connections to others at a time,
// those included that are still being opened: a client's requests may be given
// up long before the network gives up on their connections.
func (n Net) Bounded(limit int, within time.Duration) Net {
	slots := make(chan struct{}, limit)
	dial := n.Dial
	n.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, within)
		defer cancel()
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			<-slots
			return nil, err
		}
		return &slotConn{Conn: c, release: sync.OnceFunc(func() { <-slots })}, nil
	}
	return n
}

type slotConn struct {
	net.Conn
	release func()
}

func (c *slotConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// Transport is an HTTP/1.1 transport over the network with a bound on the
// connections to one host.
func (n Net) Transport(perHost, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         n.Dial,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: min(perHost, idle),
		MaxIdleConns:        idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Call makes one request with a CBOR body (none if nil; bytes go as they
// are) and reads the whole answer of at most maxAnswer bytes. It never sends a
// request twice by itself: its caller decides on retries.
func Call(ctx context.Context, hc *http.Client, method, url string, body any, maxAnswer int64) (status int, answer []byte, h http.Header, err error) {
	raw, isBytes := body.([]byte)
	if body != nil && !isBytes {
		raw = wire.Encode(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	req.GetBody = nil
	resp, err := hc.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	answer, err = wire.ReadBody(resp.Body, maxAnswer)
	return resp.StatusCode, answer, resp.Header, err
}
