// Package netio is the network that a node is given, so that tests and embedding programs can put another one under it, and
// HTTP requests over that network.
package netio

import (
	"context"
	"net"
	"time"
)

// Net is a network that connections are opened and accepted on.
type Net struct {
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Listen accepts connections at an address.
	Listen func(network, addr string) (net.Listener, error)
}

const (
	// dialTimeout bounds the attempt to connect to a host that does not answer.
	dialTimeout = 2 * time.Second
	// keepAlivePeriod is the period of the probes that find connections whose other end no longer exists.
	keepAlivePeriod = 15 * time.Second
)

// Real returns the machine's own network.
func Real() Net {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return Net{Dial: dialer.DialContext, Listen: net.Listen}
}
