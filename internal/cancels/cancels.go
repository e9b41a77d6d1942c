// Package cancels keeps a log of confirmed cancellations and a completeness watermark. A
// node confirms a cancellation by telling the user that the job is cancelled. The
// watermark is the time before which this node knows every cancellation, whichever node
// confirmed it. It decides whether an agent's lease may be renewed:
//
//	A node may renew an agent's lease at t only if it knows every cancellation
//	that any node confirmed before t - D, where D is cancel_s less the lease
//	duration, the clock drift and a margin.
//
// A read of the key-value store raises the watermark to the time when the read began. The
// updates that the nodes send each other raise it too: in an update, a node states the
// period for which every cancellation that it confirmed itself is in its log. This period
// starts anew when the node restarts.
//
// A task whose cancellation is known is stopped in the same response that renews the lease.
// A task whose cancellation is not known yet ends when its lease expires.
package cancels

import (
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// maxRecords bounds the log. It holds more than a minute of 100 cancellations per second;
// at higher rates the period that a node states for its own cancellations is shorter.
const maxRecords = 8192

// record is one cancellation in the log.
type record struct {
	job         wire.JobID
	confirmedAt time.Time // lower bound of the time when its user was told
	addedAt     time.Time // when it was added to this log
}

// Log keeps cancellations in the order in which they were added. They are numbered from 1,
// so that readers can continue from a cursor. Log is safe for concurrent use.
type Log struct {
	retention time.Duration

	mu            sync.Mutex
	records       []record
	firstNumber   uint64 // of records[0], or of the next record if there is none
	confirmedAt   map[wire.JobID]time.Time
	completeSince time.Time // every cancellation added since then is in records
	// watermark is the time before which every cancellation that any node confirmed is
	// known, from reads and from the watermarks that peers stated. Zero: neither has come
	// yet, and not even the cancellations of this node's former process are known.
	watermark time.Time
	// peerWatermarks has, for each peer, the time before which every cancellation that
	// this peer itself confirmed is known.
	peerWatermarks map[wire.NodeID]time.Time
}

// New returns an empty log. It keeps a cancellation for twice cancelTime, the time within
// which the tasks of a cancelled job must have ended.
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

// Add adds a cancellation, unless its job is in the log already. A node that confirms a
// cancellation calls Add before it responds to the user.
func (l *Log) Add(id wire.JobID, sinceConfirmed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(id, sinceConfirmed, time.Now())
}

func (l *Log) add(id wire.JobID, sinceConfirmed time.Duration, now time.Time) {
	if _, known := l.confirmedAt[id]; known {
		return
	}
	confirmedAt := now.Add(-max(0, sinceConfirmed))
	l.confirmedAt[id] = confirmedAt
	l.records = append(l.records, record{id, confirmedAt, now})
	l.prune(now)
}

// prune drops the records that are too old, and the oldest if there are too many.
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

// mustDrop reports whether the record at the index is too old, or is followed by too many.
func (l *Log) mustDrop(index int, now time.Time) bool {
	age := now.Sub(l.records[index].addedAt)
	return age > l.retention || len(l.records)-index > maxRecords
}

// drop removes a record from the index by job. From then on the log is complete only since
// the time when that record was added.
func (l *Log) drop(r record) {
	delete(l.confirmedAt, r.job)
	if r.addedAt.After(l.completeSince) {
		l.completeSince = r.addedAt
	}
}

// nextNumber returns the number that the next added record gets.
func (l *Log) nextNumber() uint64 { return l.firstNumber + uint64(len(l.records)) }

// ConfirmedAt returns a lower bound of the time when a job's user was told that the job is
// cancelled, and whether the job is in the log.
func (l *Log) ConfirmedAt(id wire.JobID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.confirmedAt[id]
	return at, ok
}

// Since returns the jobs added since the cursor was returned, and the next cursor. The
// first cursor is 0.
func (l *Log) Since(cursor uint64) ([]wire.JobID, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var jobs []wire.JobID
	for number := max(cursor, l.firstNumber); number < l.nextNumber(); number++ {
		jobs = append(jobs, l.records[number-l.firstNumber].job)
	}
	return jobs, l.nextNumber()
}
