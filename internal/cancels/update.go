package cancels

import (
	"time"

	"lilaclead/internal/wire"
)

const (
	// maxUpdateEntries bounds one update, to some 10 KB; the rest follows in the
	// next.
	maxUpdateEntries = 300
	// minSpan is the shortest span that an update states, since 0 stands for none.
	minSpan = time.Nanosecond
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
	// OwnSpan states that the receiver has been sent every cancellation that the sender
	// confirmed itself within this last span; 0: more follows, nothing is stated.
	OwnSpan time.Duration `cbor:"vouches,omitempty"`
	// WatermarkAge states that the receiver has been sent every cancellation that any
	// node confirmed before so long ago; 0: nothing is stated.
	WatermarkAge time.Duration `cbor:"knew,omitempty"`
}

// isEmpty reports whether the update states nothing, as those of older versions do.
func (u *Update) isEmpty() bool {
	return len(u.Cancelled) == 0 && u.OwnSpan == 0 && u.WatermarkAge == 0
}

// UpdateSince returns what to send on a stream on which all before the cursor was
// sent, and the next cursor. The first cursor is 0.
func (l *Log) UpdateSince(cursor uint64) (Update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	entries, cursor := l.entriesSince(cursor, now)
	update := Update{Cancelled: entries}
	if cursor < l.nextNumber() {
		return update, cursor // spans are stated only once all is sent
	}
	update.OwnSpan = l.ownSpan(now)
	update.WatermarkAge = l.watermarkAge(now)
	return update, cursor
}

// entriesSince returns the entries of one update from the cursor on, and the next cursor.
func (l *Log) entriesSince(cursor uint64, now time.Time) ([]Entry, uint64) {
	var entries []Entry
	number := max(cursor, l.firstNumber)
	for ; number < l.nextNumber() && len(entries) < maxUpdateEntries; number++ {
		r := l.records[number-l.firstNumber]
		entries = append(entries, Entry{Job: r.job, Age: now.Sub(r.confirmedAt)})
	}
	return entries, number
}

// ownSpan returns for how long all that this node confirmed itself has been in the log.
func (l *Log) ownSpan(now time.Time) time.Duration {
	span := now.Sub(l.completeSince)
	// What is older than the retention is no longer in the log, nor on any machine.
	return max(minSpan, min(span, l.retention))
}

// watermarkAge returns how long ago the watermark is; 0: it can't be stated, since records
// from before it may no longer be in the log.
func (l *Log) watermarkAge(now time.Time) time.Duration {
	watermark := l.watermarkAt(now)
	if watermark.IsZero() {
		return 0
	}
	age := now.Sub(watermark)
	if age >= l.retention || len(l.records) >= maxRecords {
		return 0
	}
	return max(minSpan, age)
}

// MergeUpdate adds another node's update, which came in an answer to what was sent then.
func (l *Log) MergeUpdate(from wire.NodeID, sent time.Time, update *Update) {
	if update.isEmpty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, entry := range update.Cancelled {
		l.add(entry.Job, max(0, entry.Age)+now.Sub(sent), now)
	}
	if update.WatermarkAge > 0 {
		l.raiseWatermark(sent.Add(-update.WatermarkAge - drift(update.WatermarkAge)))
	}
	l.raisePeerWatermark(from, sent, now, update.OwnSpan)
}
