package simulator

import (
	"time"
)

// CutMode is what a cut does with packets and connections.
type CutMode string

// The modes.
const (
	// CutHeld: packets wait and come in order after the cut.
	CutHeld CutMode = "held"
	// CutRefused: open connections are reset, new ones refused.
	CutRefused CutMode = "refused"
	// CutSilent: packets are lost without a word; when the cut is over, the
	// connections that it broke are found reset.
	CutSilent CutMode = "silent"
)

// CutModes lists them.
var CutModes = []CutMode{CutHeld, CutRefused, CutSilent}

// CutWithMode cuts two hosts from each other, or ends the cut.
func (n *Network) CutWithMode(a, b string, mode CutMode, on bool) {
	if mode == CutRefused {
		n.mu.Lock()
		if n.refusedLinks == nil {
			n.refusedLinks = map[[2]string]bool{}
		}
		n.refusedLinks[[2]string{a, b}], n.refusedLinks[[2]string{b, a}] = on, on
		n.mu.Unlock()
	}
	if mode == CutSilent && !on || mode == CutRefused && on {
		for _, c := range n.connsWhere(func(c *conn) bool {
			x, y := hostOf(string(c.local)), hostOf(string(c.remote))
			return x == a && y == b || x == b && y == a
		}) {
			c.abort(func(p *pipe) { p.reset = true })
		}
	}
	if mode != CutRefused {
		n.Cut(a, b, on)
	}
}

// IsCut reports whether connections between two hosts are cut now.
func (n *Network) IsCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refusedLinks[[2]string{a, b}] || n.blockedLinks[[2]string{a, b}] && n.blockedLinks[[2]string{b, a}]
}

// Cut holds up both directions.
func (n *Network) Cut(a, b string, cut bool) {
	n.Hold(a, b, cut)
	n.Hold(b, a, cut)
}

// Hold holds up all packets from one host to another, or lets them through,
// with everything that waited.
func (n *Network) Hold(from, to string, hold bool) {
	n.mu.Lock()
	n.blockedLinks[[2]string{from, to}] = hold
	n.mu.Unlock()
	if !hold {
		n.deliverPending()
	}
}

// deliverPending delivers what waited on open connections.
func (n *Network) deliverPending() {
	for _, c := range n.connsWhere(anyConn) {
		c.in.deliver()
		c.out.deliver()
	}
}

// BlockInbound blocks all packets to a host, while those that it sends arrive.
func (n *Network) BlockInbound(ip string, on bool) {
	n.mu.Lock()
	n.inboundBlocked[ip] = on
	n.mu.Unlock()
	if !on {
		n.deliverPending()
	}
}

// BlockOutbound makes a host one that can open no connection, and ends those that it
// opened, or lets it again.
func (n *Network) BlockOutbound(ip string, on bool) {
	n.mu.Lock()
	if n.outboundBlocked == nil {
		n.outboundBlocked = map[string]bool{}
	}
	n.outboundBlocked[ip] = on
	n.mu.Unlock()
	if on {
		for _, c := range n.connsWhere(func(c *conn) bool { return string(c.local) == ip+":0" }) {
			c.abort(func(p *pipe) { p.reset = true })
		}
	}
}

// Isolate makes a host one of those that reach only each other, or no more.
func (n *Network) Isolate(ip string, on bool) {
	n.mu.Lock()
	n.isolatedHosts[ip] = on
	n.mu.Unlock()
	if !on {
		n.deliverPending()
	}
}

// SlowHost makes everything to and from a host take so much longer; 0: no more.
func (n *Network) SlowHost(ip string, by time.Duration) {
	n.mu.Lock()
	n.hostDelay[ip] = by
	n.mu.Unlock()
}

// SlowLink makes what one host sends to another take so much longer; 0: as usual.
func (n *Network) SlowLink(from, to string, by time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.linkDelay == nil {
		n.linkDelay = map[[2]string]time.Duration{}
	}
	n.linkDelay[[2]string{from, to}] = by
}

// SetPowerOff takes a host's power, or gives it back.
func (n *Network) SetPowerOff(ip string, down bool) {
	n.mu.Lock()
	n.poweredOff[ip] = down
	n.mu.Unlock()
}

// Reset breaks every connection and listener of a host, as its end does. (A
// node that was up again at once could find its address still in use by its
// last life, and was then silently missing from a test.)
func (n *Network) Reset(ip string) {
	n.mu.Lock()
	var listeners []*listener
	for at, l := range n.listeners {
		if hostOf(at) == ip {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range n.connsWhere(func(c *conn) bool { return hostOf(string(c.local)) == ip || hostOf(string(c.remote)) == ip }) {
		c.abort(func(p *pipe) { p.reset = true })
	}
}

// faulty reports whether any fault of the network lasts.
func (n *Network) faulty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return anyTrue(n.blockedLinks) || anyTrue(n.inboundBlocked) || anyTrue(n.isolatedHosts) || anyTrue(n.outboundBlocked) || anyTrue(n.refusedLinks)
}

// anyTrue reports whether any entry is true.
func anyTrue[K comparable](m map[K]bool) bool {
	for _, on := range m {
		if on {
			return true
		}
	}
	return false
}
