// Package netio is what the program asks of a network, so that tests and
// embedding programs can put another one under it.
package netio

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Net dials and listens.
type Net struct {
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(network, addr string) (net.Listener, error)
}

// Real is the machine's own network.
func Real() Net {
	d := &net.Dialer{Timeout: 2 * time.Second, KeepAlive: 15 * time.Second}
	return Net{Dial: d.DialContext, Listen: net.Listen}
}

// Transport is an HTTP/1.1 transport over the network with a bound on the
// connections to one host.
func (n Net) Transport(perHost, idle int) *http.Transport {
	return &http.Transport{
		DialContext:         n.Dial,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: min(perHost, idle),
		MaxIdleConns:        idle,
		IdleConnTimeout:     25 * time.Second,
		DisableCompression:  true,
	}
}
