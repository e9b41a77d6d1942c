// Package cancels keeps the cancellations that users were told of, and a
// completeness watermark: the time up to which this node knows all of them,
// whichever node confirmed them. On the watermark rests the one rule by which a
// worker's lease may be renewed:
//
//	A node may renew a worker's lease at t only if it knows every cancellation
//	that any node confirmed before t - D, where D is cancel_s less the lease,
//	drift and margin.
//
// The watermark rises by a read of the state service, to when the read began,
// and by the updates that the nodes send each other. In these each node states
// for how long all that it confirmed itself has been in its log; one that has
// restarted starts from nothing. A task of a cancellation that is known is
// halted in the same answer that renews the lease; one of a cancellation that is
// not known yet ends with the lease.
package cancels

import (
	"sync"
	"time"

	"lilaclead/internal/wire"
)

const (
	// maxRecords bounds what is kept, at 100 cancellations a second for more than
	// a minute; beyond it a node's own span is shorter.
	maxRecords = 8192
	// maxUpdateEntries bounds one update, to some 10 KB; the rest follows in the
	// next.
	maxUpdateEntries = 300
	// driftDivisor: times from another node's clock are stretched by 1/500, twice
	// what two clocks can differ in rate (0.05% each).
	driftDivisor = 500
)

// Entry is one cancelled job, as nodes tell each other.
type Entry struct {
	Job wire.JobID    `cbor:"j"`
	Age time.Duration `cbor:"a"` // since its user was told, at the most
}

// Update is what one node tells another of cancellations. It is sent in the
// answers of a stream, each with what is new since the last.
type Update struct {
	// Cancelled are those that were not sent yet on the same stream.
	Cancelled []Entry `cbor:"cancelled,omitempty"`
	// OwnSpan: the receiver has been sent every cancellation that the sender
	// confirmed itself within this last span; 0: more follows, nothing is said.
	OwnSpan time.Duration `cbor:"vouches,omitempty"`
	// WatermarkAge: the receiver has been sent every cancellation that any node
	// confirmed before so long ago; 0: nothing is said.
	WatermarkAge time.Duration `cbor:"knew,omitempty"`
}

// empty tells whether the update says nothing, as those of older versions.
func (u *Update) empty() bool {
	return len(u.Cancelled) == 0 && u.OwnSpan == 0 && u.WatermarkAge == 0
}

// record is one cancellation in the log.
type record struct {
	job         wire.JobID
	confirmedAt time.Time // when its user was told, at the earliest
	addedAt     time.Time // when it was added here
}

// Log keeps cancellations in the order in which they were added, numbered from
// 1, so that readers can go on from a cursor. It is safe for concurrent use.
type Log struct {
	retention time.Duration

	mu            sync.Mutex
	records       []record
	firstNumber   uint64 // of records[0]
	confirmedAt   map[wire.JobID]time.Time
	completeSince time.Time // all that was added since then is in records
	// watermark: every cancellation confirmed before is known; zero: there was no
	// read yet, and not even those of this node's former process are known.
	watermark time.Time
	// peerWatermarks: every cancellation that this peer confirmed before is known.
	peerWatermarks map[wire.NodeID]time.Time
}

// New makes an empty log. What it holds is kept for twice the time that a
// cancelled task may last.
func New(peers []wire.NodeID, cancelTime time.Duration) *Log {
	l := &Log{
		retention:      2 * cancelTime,
		firstNumber:    1,
		confirmedAt:    map[wire.JobID]time.Time{},
		completeSince:  time.Now(),
		peerWatermarks: map[wire.NodeID]time.Time{},
	}
	for _, id := range peers {
		l.peerWatermarks[id] = time.Time{}
	}
	return l
}

// Add adds a cancellation that was confirmed so long ago. A node that confirms
// one calls it before its user has the answer.
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

// prune drops what is old, and what is too much: then the own span is shorter.
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

// next is the number that the next record will have.
func (l *Log) next() uint64 { return l.firstNumber + uint64(len(l.records)) }

// RecordRead raises the watermark to when a read of the state service began,
// after all that it showed has been added.
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

// Watermark is up to when every cancellation that any node confirmed is known;
// zero: none are. What this node confirmed itself it knows; its former process
// counts as another node until the first read.
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

// ConfirmedAt is when a job's user was told that it is cancelled, as far as is
// known.
func (l *Log) ConfirmedAt(id wire.JobID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.confirmedAt[id]
	return at, ok
}

// Since lists what was added after the cursor, and the next cursor. It starts
// at 0.
func (l *Log) Since(cursor uint64) ([]wire.JobID, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []wire.JobID
	for n := max(cursor, l.firstNumber); n < l.next(); n++ {
		jobs = append(jobs, l.records[n-l.firstNumber].job)
	}
	return jobs, l.next()
}

// UpdateSince is what to send on a stream on which all before the cursor was
// sent, and the next cursor. It starts at 0.
func (l *Log) UpdateSince(cursor uint64) (Update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	var u Update
	number := max(cursor, l.firstNumber)
	for ; number < l.next() && len(u.Cancelled) < maxUpdateEntries; number++ {
		r := l.records[number-l.firstNumber]
		u.Cancelled = append(u.Cancelled, Entry{r.job, now.Sub(r.confirmedAt)})
	}
	if number < l.next() {
		return u, number // spans are stated only once all is sent
	}
	// What is older than the retention is gone from the log and from all machines.
	since := l.completeSince
	if now.Sub(since) > l.retention {
		since = now.Add(-l.retention)
	}
	u.OwnSpan = max(1, now.Sub(since))
	if at := l.watermarkAt(now); !at.IsZero() && now.Sub(at) < l.retention && len(l.records) < maxRecords {
		u.WatermarkAge = max(1, now.Sub(at))
	}
	return u, number
}

// Apply takes in another node's update, in an answer to what was sent then.
func (l *Log) Apply(from wire.NodeID, sent time.Time, u *Update) {
	if u.empty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, e := range u.Cancelled {
		l.add(e.Job, max(0, e.Age)+now.Sub(sent), now)
	}
	if u.WatermarkAge > 0 {
		l.raiseWatermark(sent.Add(-u.WatermarkAge - u.WatermarkAge/driftDivisor))
	}
	l.raisePeerWatermark(from, sent, now, u.OwnSpan)
}

// raisePeerWatermark takes in a peer's own span, stated after sent. It covers
// what the peer confirmed from its beginning until after sent: if all from before
// the beginning is known, all until sent is. The span of a node that has restarted
// is too short for that, since it has forgotten what it confirmed between its last
// update and its end.
func (l *Log) raisePeerWatermark(peer wire.NodeID, sent, now time.Time, span time.Duration) {
	known, ok := l.peerWatermarks[peer]
	if !ok {
		return
	}
	if l.watermark.After(known) {
		known = l.watermark
	}
	begin := now.Add(-span + span/driftDivisor)
	if span > 0 && !known.Before(begin) && sent.After(known) {
		known = sent
	}
	l.peerWatermarks[peer] = known
}
