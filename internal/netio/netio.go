// Package netio defines the network that a node uses, which tests and embedding programs can replace,
// and makes HTTP requests over it.
package netio

import (
	"context"
	"net"
	"time"
)

// Network is a network on which connections are opened and accepted.
type Network struct {
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Listen opens a listener that accepts connections at an address.
	Listen func(network, addr string) (net.Listener, error)
}

const (
	// dialTimeout bounds the time for opening a connection, for hosts that don't answer.
	dialTimeout = 2 * time.Second
	// keepAlivePeriod is the period of the TCP keep-alive probes, which detect connections whose
	// other end no longer exists.
	keepAlivePeriod = 15 * time.Second
)

// HostNetwork returns the network of the machine that the process runs on.
func HostNetwork() Network {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return Network{Dial: dialer.DialContext, Listen: net.Listen}
}
