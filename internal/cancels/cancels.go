// Package cancels keeps what a node knows of the cancellations that users were
// told of, and up to when it knows all of them, whoever told. On that rests the
// one rule by which a worker's lease may be renewed:
//
//	A node may renew a worker's lease at t only if it knows every cancellation
//	that any node confirmed before t - D, where D is cancel_s less the lease,
//	drift and margin.
//
// It knows them from the state service, by a read that began then, or from the
// word of every other node, each of which vouches for what it confirmed itself
// in its own unbroken life. What it knows it halts in the same answer that
// renews the lease; what it does not know yet ends with the lease.
package cancels

import (
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// Entry is one cancelled job, as nodes tell each other.
type Entry struct {
	Job wire.JobID    `cbor:"j"`
	Age time.Duration `cbor:"a"` // since its user was told, at the most
}

// Word is what one node tells another in an answer.
type Update struct {
	// Cancelled are those that the other was not told yet on the same stream.
	Cancelled []Entry `cbor:"cancelled,omitempty"`
	// Vouches: the other has been told of every cancellation that this node
	// confirmed in so long; 0: no word.
	OwnSpan time.Duration `cbor:"vouches,omitempty"`
	// Knew: and of every one that anybody confirmed until so long ago; 0: no
	// word.
	WatermarkAge time.Duration `cbor:"knew,omitempty"`
}

const (
	// most bounds what is kept; beyond it a node vouches for less.
	maxRecords = 8192
	// wordMost bounds one word; the rest follows in the next.
	maxUpdateEntries = 300
	// drift is more than two clocks' difference in rate.
	driftDivisor = 500
)

type record struct {
	job         wire.JobID
	confirmedAt time.Time // when its user was told, at the earliest
	addedAt     time.Time // when it was noted here
}

// Ledger is safe for concurrent use.
type Log struct {
	retention time.Duration

	mu             sync.Mutex
	records        []record
	firstNumber    uint64 // the number of log[0]; numbers start at 1
	confirmedAt    map[wire.JobID]time.Time
	completeSince  time.Time // all that was noted here since then is in the log
	watermark      time.Time // every cancellation confirmed before is known; zero: not even that of an earlier life
	peerWatermarks map[wire.NodeID]time.Time
}

// New makes an empty ledger. What it holds is kept for twice the time that a
// cancelled task may last.
func New(others []wire.NodeID, cancel time.Duration) *Log {
	l := &Log{retention: 2 * cancel, firstNumber: 1, confirmedAt: map[wire.JobID]time.Time{}, completeSince: time.Now(), peerWatermarks: map[wire.NodeID]time.Time{}}
	for _, id := range others {
		l.peerWatermarks[id] = time.Time{}
	}
	return l
}

// Note notes a cancellation that was confirmed so long ago. A node that
// confirms one calls it before its user has the answer.
func (l *Log) Add(id wire.JobID, ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(id, ago, time.Now())
}

func (l *Log) add(id wire.JobID, ago time.Duration, now time.Time) {
	if _, ok := l.confirmedAt[id]; ok {
		return
	}
	at := now.Add(-max(0, ago))
	l.confirmedAt[id] = at
	l.records = append(l.records, record{id, at, now})
	l.prune(now)
}

// prune drops what is old, and what is too much: then less is vouched for.
func (l *Log) prune(now time.Time) {
	n := 0
	for n < len(l.records) && (now.Sub(l.records[n].addedAt) > l.retention || len(l.records)-n > maxRecords) {
		delete(l.confirmedAt, l.records[n].job)
		if at := l.records[n].addedAt; at.After(l.completeSince) {
			l.completeSince = at
		}
		n++
	}
	if n > 0 {
		l.records = append([]record(nil), l.records[n:]...)
		l.firstNumber += uint64(n)
	}
}

// Read notes that the state service was read, by a request that began then,
// after all that it told has been noted.
func (l *Log) RecordRead(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raiseWatermark(began)
}

func (l *Log) raiseWatermark(at time.Time) {
	if at.After(l.watermark) {
		l.watermark = at
	}
}

// Known is up to when every cancellation that any node confirmed is known;
// zero: none are. What this node confirmed itself it knows; an earlier life of
// it counts as another node until the first read.
func (l *Log) Watermark() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.watermarkAt(time.Now())
}

func (l *Log) watermarkAt(now time.Time) time.Time {
	if l.watermark.IsZero() {
		return l.watermark
	}
	least := now
	for _, at := range l.peerWatermarks {
		if at.Before(least) {
			least = at
		}
	}
	if least.After(l.watermark) {
		return least
	}
	return l.watermark
}

// At is when a job's user was told that it is cancelled, as far as is known.
func (l *Log) ConfirmedAt(id wire.JobID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.confirmedAt[id]
	return at, ok
}

// Since lists what was noted after the cursor, and the next cursor. It starts
// at 0.
func (l *Log) Since(cursor uint64) ([]wire.JobID, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wire.JobID
	for n := max(cursor, l.firstNumber); n < l.firstNumber+uint64(len(l.records)); n++ {
		out = append(out, l.records[n-l.firstNumber].job)
	}
	return out, l.firstNumber + uint64(len(l.records))
}

// Word is what to tell a node on a stream on which it was told all before the
// cursor, which starts at 0, and the next cursor.
func (l *Log) UpdateSince(cursor uint64) (Update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	var w Update
	next, end := max(cursor, l.firstNumber), l.firstNumber+uint64(len(l.records))
	for ; next < end && len(w.Cancelled) < maxUpdateEntries; next++ {
		i := l.records[next-l.firstNumber]
		w.Cancelled = append(w.Cancelled, Entry{i.job, now.Sub(i.confirmedAt)})
	}
	if next < end {
		return w, next // the rest first
	}
	// What is older than keep is gone from the log and from all machines.
	since := l.completeSince
	if now.Sub(since) > l.retention {
		since = now.Add(-l.retention)
	}
	w.OwnSpan = max(1, now.Sub(since))
	if at := l.watermarkAt(now); !at.IsZero() && now.Sub(at) < l.retention && len(l.records) < maxRecords {
		w.WatermarkAge = max(1, now.Sub(at))
	}
	return w, next
}

// Heard takes in another node's word, in answer to what was sent then.
func (l *Log) Apply(from wire.NodeID, sent time.Time, w *Update) {
	if len(w.Cancelled) == 0 && w.OwnSpan == 0 && w.WatermarkAge == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, e := range w.Cancelled {
		l.add(e.Job, max(0, e.Age)+now.Sub(sent), now)
	}
	if w.WatermarkAge > 0 {
		l.raiseWatermark(sent.Add(-w.WatermarkAge - w.WatermarkAge/driftDivisor))
	}
	// The word covers what was confirmed there from a while ago until after
	// sent. If we know all from before that while, we know all until sent. A
	// node that has started since vouches for less: what it confirmed between
	// its last word and its end it has forgotten.
	at, ok := l.peerWatermarks[from]
	if l.watermark.After(at) {
		at = l.watermark
	}
	if from := now.Add(-w.OwnSpan + w.OwnSpan/driftDivisor); ok && w.OwnSpan > 0 && !at.Before(from) && sent.After(at) {
		at = sent
	}
	if ok {
		l.peerWatermarks[from] = at
	}
}
