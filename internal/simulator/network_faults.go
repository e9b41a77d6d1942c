package simulator

import (
	"time"
)

// CutMode is the effect of a cut on packets and connections.
type CutMode string

// The modes.
const (
	// CutHeld: packets are held, and delivered in order after the cut.
	CutHeld CutMode = "held"
	// CutRefused: open connections are reset and new ones refused.
	CutRefused CutMode = "refused"
	// CutSilent: packets are lost silently. When the cut ends, the connections across it are
	// reset.
	CutSilent CutMode = "silent"
)

// CutModes lists all modes.
var CutModes = []CutMode{CutHeld, CutRefused, CutSilent}

// CutWithMode cuts two hosts off from each other, or ends the cut.
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

// Cut holds all packets between two hosts, or delivers them.
func (n *Network) Cut(a, b string, cut bool) {
	n.HoldPackets(a, b, cut)
	n.HoldPackets(b, a, cut)
}

// HoldPackets holds all packets from one host to another, or delivers them.
func (n *Network) HoldPackets(from, to string, hold bool) {
	n.mu.Lock()
	n.blockedLinks[[2]string{from, to}] = hold
	n.mu.Unlock()
	if !hold {
		n.deliverPending()
	}
}

// deliverPending delivers the packets on open connections that are due and no longer held.
func (n *Network) deliverPending() {
	for _, c := range n.connsWhere(anyConn) {
		c.in.deliver()
		c.out.deliver()
	}
}

// BlockInbound holds all packets to a host, or delivers them. Packets from the host arrive.
func (n *Network) BlockInbound(ip string, on bool) {
	n.mu.Lock()
	n.inboundBlocked[ip] = on
	n.mu.Unlock()
	if !on {
		n.deliverPending()
	}
}

// BlockOutbound keeps a host from opening connections and resets those that it opened, or allows
// new ones again.
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

// Isolate adds a host to those that reach only each other, or removes it.
func (n *Network) Isolate(ip string, on bool) {
	n.mu.Lock()
	n.isolatedHosts[ip] = on
	n.mu.Unlock()
	if !on {
		n.deliverPending()
	}
}

// SlowHost sets an extra latency of all packets to and from a host; 0 ends it.
func (n *Network) SlowHost(ip string, extra time.Duration) {
	n.mu.Lock()
	n.hostDelay[ip] = extra
	n.mu.Unlock()
}

// SlowLink sets an extra latency of the packets from one host to another; 0 ends it.
func (n *Network) SlowLink(from, to string, extra time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.linkDelay == nil {
		n.linkDelay = map[[2]string]time.Duration{}
	}
	n.linkDelay[[2]string{from, to}] = extra
}

// SetPowerOff makes a host neither send nor receive, or ends this.
func (n *Network) SetPowerOff(ip string, down bool) {
	n.mu.Lock()
	n.poweredOff[ip] = down
	n.mu.Unlock()
}

// Reset resets every connection and closes every listener of a host, as the end of its process
// does. Without this, a controller that restarts at once can find its address still in use by the
// previous process, and is then silently missing from a test.
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

// faulty reports whether any cut, refusal or block of the network is active.
func (n *Network) faulty() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return anyTrue(n.blockedLinks) || anyTrue(n.inboundBlocked) || anyTrue(n.isolatedHosts) || anyTrue(n.outboundBlocked) || anyTrue(n.refusedLinks)
}

// anyTrue reports whether any value of a map is true.
func anyTrue[K comparable](m map[K]bool) bool {
	for _, on := range m {
		if on {
			return true
		}
	}
	return false
}
