package cancels

import (
	"time"

	"lilaclead/internal/wire"
)

const (
	// maxUpdateEntries bounds one update to about 10 KB. Further entries follow in the next
	// update.
	maxUpdateEntries = 300
	// minSpan is the shortest span that an update states, since 0 means that it states none.
	minSpan = time.Nanosecond
)

// Entry is one cancelled job in an update.
type Entry struct {
	Job wire.JobID    `cbor:"j"`
	Age time.Duration `cbor:"a"` // upper bound of the time since its user was told
}

// Update is what one node tells another about cancellations. Updates are sent in the
// responses of a stream, each with what is new since the previous one.
type Update struct {
	// Cancelled has the jobs that were not sent yet on the same stream.
	Cancelled []Entry `cbor:"cancelled,omitempty"`
	// OwnSpan is a period that ends now: the receiver has been sent every cancellation
	// that the sender itself confirmed within it. 0: nothing is stated, as more entries
	// follow.
	OwnSpan time.Duration `cbor:"vouches,omitempty"`
	// WatermarkAge is the age of the sender's watermark: the receiver has been sent every
	// cancellation that any node confirmed before the watermark. 0: nothing is stated.
	WatermarkAge time.Duration `cbor:"knew,omitempty"`
}

// isEmpty reports whether the update states nothing. Updates from nodes of older versions
// state nothing.
func (u *Update) isEmpty() bool {
	return len(u.Cancelled) == 0 && u.OwnSpan == 0 && u.WatermarkAge == 0
}

// UpdateSince returns the next update of a stream on which everything before the cursor has
// been sent, and the next cursor. The first cursor is 0.
func (l *Log) UpdateSince(cursor uint64) (Update, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	entries, cursor := l.entriesSince(cursor, now)
	update := Update{Cancelled: entries}
	if cursor < l.nextNumber() {
		return update, cursor // spans are stated only once all entries are sent
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

// ownSpan returns the length of the period until now for which every cancellation that this
// node confirmed itself is in the log.
func (l *Log) ownSpan(now time.Time) time.Duration {
	span := now.Sub(l.completeSince)
	// A cancellation older than the retention is no longer in the log, and its tasks are no
	// longer on any machine.
	return max(minSpan, min(span, l.retention))
}

// watermarkAge returns the age of the watermark. It returns 0, which states nothing, if
// there is no watermark or if records from before it may no longer be in the log.
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

// MergeUpdate adds the update of another node. It came in the response to a request that
// was sent at sentAt.
func (l *Log) MergeUpdate(sender wire.NodeID, sentAt time.Time, update *Update) {
	if update.isEmpty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, entry := range update.Cancelled {
		l.add(entry.Job, max(0, entry.Age)+now.Sub(sentAt), now)
	}
	if update.WatermarkAge > 0 {
		l.raiseWatermark(sentAt.Add(-update.WatermarkAge - maxDrift(update.WatermarkAge)))
	}
	l.raisePeerWatermark(sender, sentAt, now, update.OwnSpan)
}
