// Package cancels keeps the cancellations that users were told of, and a
// completeness watermark: the time up to which this node knows all of them,
// whichever node confirmed them. On the watermark rests the one rule by which a
// worker's lease may be renewed:
//
//	A node may renew a worker's lease at t only if it knows every cancellation
//	that any node confirmed before t - D, where D is cancel_s less the lease,
//	drift and margin.
//
// The watermark rises by a read of the key-value store, to when the read began,
// and by the updates that the nodes send each other. In these each node states
// for how long all that it confirmed itself has been in its log; one that has
// restarted starts from nothing. A task of a cancellation that is known is
// stopped in the same answer that renews the lease; one of a cancellation that is
// not known yet ends by lease expiry.
package cancels

import (
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// maxRecords bounds what is kept, at 100 cancellations a second for more than
// a minute; beyond it the span that a node states of itself is shorter.
const maxRecords = 8192

// record is one cancellation in the log.
type record struct {
	job         wire.JobID
	confirmedAt time.Time // when its user was told, at the earliest
	addedAt     time.Time // when it was added here
}

// Log keeps cancellations in the order in which they were added, numbered from
// 1, so that readers can continue from a cursor. It is safe for concurrent use.
type Log struct {
	retention time.Duration

	mu            sync.Mutex
	records       []record
	firstNumber   uint64 // of records[0]
	confirmedAt   map[wire.JobID]time.Time
	completeSince time.Time // all that was added since then is in records
	// watermark is the time before which every confirmed cancellation is known, by
	// reads and by the watermarks of peers; zero: there was no read yet, and not even
	// those of this node's former process are known.
	watermark time.Time
	// peerWatermarks are, by peer, the time before which every cancellation that this
	// peer confirmed is known.
	peerWatermarks map[wire.NodeID]time.Time
}

// New returns an empty log. What is added to it is kept for twice the time within which a
// cancelled task must have ended.
func New(peers []wire.NodeID, cancelTime time.Duration) *Log {
	l := &Log{
		retention:      2 * cancelTime,
		firstNumber:    1,
		confirmedAt:    map[wire.JobID]time.Time{},
		completeSince:  time.Now(),
		peerWatermarks: map[wire.NodeID]time.Time{},
	}
	for _, peer := range peers {
		l.peerWatermarks[peer] = time.Time{}
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
	if _, known := l.confirmedAt[id]; known {
		return
	}
	confirmedAt := now.Add(-max(0, ago))
	l.confirmedAt[id] = confirmedAt
	l.records = append(l.records, record{id, confirmedAt, now})
	l.prune(now)
}

// prune drops the records that are too old, and the oldest where there are too many.
func (l *Log) prune(now time.Time) {
	dropped := 0
	for dropped < len(l.records) && l.mustDrop(dropped, now) {
		l.drop(l.records[dropped])
		dropped++
	}
	if dropped > 0 {
		l.records = append([]record(nil), l.records[dropped:]...)
		l.firstNumber += uint64(dropped)
	}
}

// mustDrop reports whether the record at the index is too old, or has too many after it.
func (l *Log) mustDrop(index int, now time.Time) bool {
	age := now.Sub(l.records[index].addedAt)
	return age > l.retention || len(l.records)-index > maxRecords
}

// drop forgets a record; the log is complete only since that was added.
func (l *Log) drop(r record) {
	delete(l.confirmedAt, r.job)
	if r.addedAt.After(l.completeSince) {
		l.completeSince = r.addedAt
	}
}

// nextNumber is the number of the next record that is added.
func (l *Log) nextNumber() uint64 { return l.firstNumber + uint64(len(l.records)) }

// ConfirmedAt returns when a job's user was told that it is cancelled, if that is known.
func (l *Log) ConfirmedAt(id wire.JobID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.confirmedAt[id]
	return at, ok
}

// Since returns the jobs that were added after the cursor, and the next cursor. The first
// cursor is 0.
func (l *Log) Since(cursor uint64) ([]wire.JobID, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []wire.JobID
	for number := max(cursor, l.firstNumber); number < l.nextNumber(); number++ {
		jobs = append(jobs, l.records[number-l.firstNumber].job)
	}
	return jobs, l.nextNumber()
}
