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
type Word struct {
	// Cancelled are those that the other was not told yet on the same stream.
	Cancelled []Entry `cbor:"cancelled,omitempty"`
	// Vouches: the other has been told of every cancellation that this node
	// confirmed in so long; 0: no word.
	Vouches time.Duration `cbor:"vouches,omitempty"`
	// Knew: and of every one that anybody confirmed until so long ago; 0: no
	// word.
	Knew time.Duration `cbor:"knew,omitempty"`
}

const (
	// most bounds what is kept; beyond it a node vouches for less.
	most = 8192
	// wordMost bounds one word; the rest follows in the next.
	wordMost = 300
	// drift is more than two clocks' difference in rate.
	drift = 500
)

type item struct {
	job wire.JobID
	at  time.Time // when its user was told, at the earliest
	in  time.Time // when it was noted here
}

// Ledger is safe for concurrent use.
type Ledger struct {
	keep time.Duration

	mu    sync.Mutex
	log   []item
	first uint64 // the number of log[0]; numbers start at 1
	known map[wire.JobID]time.Time
	whole time.Time // all that was noted here since then is in the log
	all   time.Time // every cancellation confirmed before is known; zero: not even that of an earlier life
	by    map[wire.NodeID]time.Time
}

// New makes an empty ledger. What it holds is kept for twice the time that a
// cancelled task may last.
func New(others []wire.NodeID, cancel time.Duration) *Ledger {
	l := &Ledger{keep: 2 * cancel, first: 1, known: map[wire.JobID]time.Time{}, whole: time.Now(), by: map[wire.NodeID]time.Time{}}
	for _, id := range others {
		l.by[id] = time.Time{}
	}
	return l
}

// Note notes a cancellation that was confirmed so long ago. A node that
// confirms one calls it before its user has the answer.
func (l *Ledger) Note(id wire.JobID, ago time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(id, ago, time.Now())
}

func (l *Ledger) note(id wire.JobID, ago time.Duration, now time.Time) {
	if _, ok := l.known[id]; ok {
		return
	}
	at := now.Add(-max(0, ago))
	l.known[id] = at
	l.log = append(l.log, item{id, at, now})
	l.prune(now)
}

// prune drops what is old, and what is too much: then less is vouched for.
func (l *Ledger) prune(now time.Time) {
	n := 0
	for n < len(l.log) && (now.Sub(l.log[n].in) > l.keep || len(l.log)-n > most) {
		delete(l.known, l.log[n].job)
		if at := l.log[n].in; at.After(l.whole) {
			l.whole = at
		}
		n++
	}
	if n > 0 {
		l.log = append([]item(nil), l.log[n:]...)
		l.first += uint64(n)
	}
}

// Read notes that the state service was read, by a request that began then,
// after all that it told has been noted.
func (l *Ledger) Read(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allUntil(began)
}

func (l *Ledger) allUntil(at time.Time) {
	if at.After(l.all) {
		l.all = at
	}
}

// Known is up to when every cancellation that any node confirmed is known;
// zero: none are. What this node confirmed itself it knows; an earlier life of
// it counts as another node until the first read.
func (l *Ledger) Known() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownUntil(time.Now())
}

func (l *Ledger) knownUntil(now time.Time) time.Time {
	if l.all.IsZero() {
		return l.all
	}
	least := now
	for _, at := range l.by {
		if at.Before(least) {
			least = at
		}
	}
	if least.After(l.all) {
		return least
	}
	return l.all
}

// At is when a job's user was told that it is cancelled, as far as is known.
func (l *Ledger) At(id wire.JobID) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.known[id]
	return at, ok
}

// Since lists what was noted after the cursor, and the next cursor. It starts
// at 0.
func (l *Ledger) Since(cursor uint64) ([]wire.JobID, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []wire.JobID
	for n := max(cursor, l.first); n < l.first+uint64(len(l.log)); n++ {
		out = append(out, l.log[n-l.first].job)
	}
	return out, l.first + uint64(len(l.log))
}

// Word is what to tell a node on a stream on which it was told all before the
// cursor, which starts at 0, and the next cursor.
func (l *Ledger) Word(cursor uint64) (Word, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	var w Word
	next, end := max(cursor, l.first), l.first+uint64(len(l.log))
	for ; next < end && len(w.Cancelled) < wordMost; next++ {
		i := l.log[next-l.first]
		w.Cancelled = append(w.Cancelled, Entry{i.job, now.Sub(i.at)})
	}
	if next < end {
		return w, next // the rest first
	}
	// What is older than keep is gone from the log and from all machines.
	since := l.whole
	if now.Sub(since) > l.keep {
		since = now.Add(-l.keep)
	}
	w.Vouches = max(1, now.Sub(since))
	if at := l.knownUntil(now); !at.IsZero() && now.Sub(at) < l.keep && len(l.log) < most {
		w.Knew = max(1, now.Sub(at))
	}
	return w, next
}

// Heard takes in another node's word, in answer to what was sent then.
func (l *Ledger) Heard(from wire.NodeID, sent time.Time, w *Word) {
	if len(w.Cancelled) == 0 && w.Vouches == 0 && w.Knew == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, e := range w.Cancelled {
		l.note(e.Job, max(0, e.Age)+now.Sub(sent), now)
	}
	if w.Knew > 0 {
		l.allUntil(sent.Add(-w.Knew - w.Knew/drift))
	}
	// The word covers what was confirmed there from a while ago until after
	// sent. If we know all from before that while, we know all until sent. A
	// node that has started since vouches for less: what it confirmed between
	// its last word and its end it has forgotten.
	at, ok := l.by[from]
	if l.all.After(at) {
		at = l.all
	}
	if from := now.Add(-w.Vouches + w.Vouches/drift); ok && w.Vouches > 0 && !at.Before(from) && sent.After(at) {
		at = sent
	}
	if ok {
		l.by[from] = at
	}
}
