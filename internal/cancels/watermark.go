package cancels

import (
	"time"

	"lilaclead/internal/wire"
)

// driftDivisor bounds the error of a time span that another node measured, to 1/500 of the
// span. This is twice the largest difference in rate of two clocks, which may each be off
// by 0.05%.
const driftDivisor = 500

// maxDrift returns the largest error of a time span that another node measured.
func maxDrift(span time.Duration) time.Duration { return span / driftDivisor }

// RecordRead raises the watermark to the time when a read of the key-value store began. It
// is called after every cancellation that the read returned has been added.
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
// known; zero: there is no such time yet. The node always knows what it has confirmed itself
// since its start; its former process counts as another node until the first read.
func (l *Log) Watermark() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watermarkAt(time.Now())
}

// watermarkAt returns the later of two times: the watermark from reads and from the
// watermarks that peers stated, and the earliest of peerWatermarks. It returns zero until
// the first read, or until a peer first states its watermark.
func (l *Log) watermarkAt(now time.Time) time.Time {
	if l.watermark.IsZero() {
		return l.watermark
	}
	earliestOfPeers := l.earliestPeerWatermark(now)
	if earliestOfPeers.After(l.watermark) {
		return earliestOfPeers
	}
	return l.watermark
}

// earliestPeerWatermark returns the time before which every cancellation that any peer
// itself confirmed is known; now, if there is no peer.
func (l *Log) earliestPeerWatermark(now time.Time) time.Time {
	earliest := now
	for _, watermark := range l.peerWatermarks {
		if watermark.Before(earliest) {
			earliest = watermark
		}
	}
	return earliest
}

// raisePeerWatermark raises a peer's watermark to l.watermark, and further to sentAt if the
// span that the peer stated of its own cancellations allows it. The peer stated the span after
// sentAt, so the span covers what the peer confirmed from the span's start to sentAt. If
// everything from before the start is known too, everything up to sentAt is. The span of a
// restarted peer is too short for this: the peer has lost what its former process confirmed
// between its last update and its end.
func (l *Log) raisePeerWatermark(peer wire.NodeID, sentAt, now time.Time, span time.Duration) {
	knownUntil, isPeer := l.peerWatermarks[peer]
	if !isPeer {
		return
	}
	if l.watermark.After(knownUntil) {
		knownUntil = l.watermark
	}
	spanStart := now.Add(-span + maxDrift(span))
	isKnownToStart := span > 0 && !knownUntil.Before(spanStart)
	if isKnownToStart && sentAt.After(knownUntil) {
		knownUntil = sentAt
	}
	l.peerWatermarks[peer] = knownUntil
}
