package cancels

import (
	"time"

	"lilaclead/internal/wire"
)

// driftDivisor gives what a span by another node's clock may be off by: 1/500, twice what
// two clocks can differ in rate (0.05% each).
const driftDivisor = 500

// drift returns what a span by another node's clock may be off by.
func drift(span time.Duration) time.Duration { return span / driftDivisor }

// RecordRead raises the watermark to when a read of the key-value store began,
// after all that it showed has been added.
func (l *Log) RecordRead(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raiseWatermark(began)
}

func (l *Log) raiseWatermark(to time.Time) {
	if to.After(l.watermark) {
		l.watermark = to
	}
}

// Watermark returns the time before which every cancellation that any node confirmed is
// known; zero: none are. What this node confirmed itself it knows; its former process
// counts as another node until the first read.
func (l *Log) Watermark() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watermarkAt(time.Now())
}

// watermarkAt returns the later of two times: that of reads and of the watermarks that
// peers stated, and the earliest of the watermarks of all peers. It is zero until the first
// read, or the first watermark of a peer.
func (l *Log) watermarkAt(now time.Time) time.Time {
	if l.watermark.IsZero() {
		return l.watermark
	}
	ofPeers := l.earliestPeerWatermark(now)
	if ofPeers.After(l.watermark) {
		return ofPeers
	}
	return l.watermark
}

// earliestPeerWatermark returns the time before which every cancellation that any peer
// confirmed is known; now, if there is no peer.
func (l *Log) earliestPeerWatermark(now time.Time) time.Time {
	earliest := now
	for _, watermark := range l.peerWatermarks {
		if watermark.Before(earliest) {
			earliest = watermark
		}
	}
	return earliest
}

// raisePeerWatermark raises a peer's watermark by its own span, stated after sent. The
// span covers what the peer confirmed from its beginning until after sent: if all from
// before the beginning is known, all until sent is. The span of a node that has restarted
// is too short for that, since it has forgotten what it confirmed between its last
// update and its end.
func (l *Log) raisePeerWatermark(peer wire.NodeID, sent, now time.Time, span time.Duration) {
	known, isPeer := l.peerWatermarks[peer]
	if !isPeer {
		return
	}
	if l.watermark.After(known) {
		known = l.watermark
	}
	begin := now.Add(-span + drift(span))
	knownToBegin := span > 0 && !known.Before(begin)
	if knownToBegin && sent.After(known) {
		known = sent
	}
	l.peerWatermarks[peer] = known
}
