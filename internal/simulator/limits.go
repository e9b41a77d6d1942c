package simulator

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lilaclead/internal/wire"
)

// limits are what the state service can be given beside its faults: rates, as
// PROTOCOL says, short books, and delays of single transactions.
type limits struct {
	mu            sync.Mutex
	calls, writes *rate.Limiter // nil: no limit
	over          int           // requests refused for the rate
	most          float64       // most requests of any second
	second        time.Time
	inSecond      int
	keep, page    int // changes kept and entries of a page, 0: the usual ones
	delay         func(*wire.Txn) time.Duration
	slow          func(key string) time.Duration
	late          func() time.Duration
	lost          []wire.Txn // transactions whose guards failed
}

// Limit makes the service refuse what is above its rates.
func (s *State) Limit(rps, writeRPS float64) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	s.limits.calls = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.limits.writes = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
}

// Short makes the service keep only so many changes and list pages of so many
// entries at most, as if many more had been written.
func (s *State) Short(keep, page int) {
	s.limits.mu.Lock()
	s.limits.keep, s.limits.page = keep, page
	s.limits.mu.Unlock()
}

// Delay makes a transaction wait before it is looked at, for as long as f says.
func (s *State) Delay(f func(*wire.Txn) time.Duration) {
	s.limits.mu.Lock()
	s.limits.delay = f
	s.limits.mu.Unlock()
}

// SlowReads makes reads of a key wait before they are looked at, for as long as f says.
func (s *State) SlowReads(f func(key string) time.Duration) {
	s.limits.mu.Lock()
	s.limits.slow = f
	s.limits.mu.Unlock()
}

// Late makes answers that list keys or changes wait once they are made, for as
// long as f says: what they tell is that old when they arrive.
func (s *State) Late(f func() time.Duration) {
	s.limits.mu.Lock()
	s.limits.late = f
	s.limits.mu.Unlock()
}

// Over counts the requests that were refused for the rate, and the most that
// came within a second.
func (s *State) Over() (refused, most int) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.over, int(s.limits.most)
}

// Lost counts the transactions that pass the test and failed at a guard.
func (s *State) Lost(which func(*wire.Txn) bool) int {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	n := 0
	for i := range s.limits.lost {
		if which(&s.limits.lost[i]) {
			n++
		}
	}
	return n
}

// Drop removes a key as some client would, for tests.
func (s *State) Drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] == nil {
		return
	}
	s.rev++
	delete(s.keys, key)
	s.changes = append(s.changes, change{s.rev, wire.Change{Delete: key, Revision: s.rev}})
	s.bump()
}

// admits counts a request, or the changes of one, against the rates.
func (l *limits) admits(calls, writes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.second) >= time.Second {
		l.second, l.inSecond = now, 0
	}
	l.inSecond += calls
	l.most = max(l.most, float64(l.inSecond))
	if l.calls == nil || l.calls.AllowN(now, calls) && l.writes.AllowN(now, writes) {
		return true
	}
	l.over++
	return false
}

// await is the delay of a transaction.
func (l *limits) await(t *wire.Txn) {
	l.mu.Lock()
	f := l.delay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(t))
	}
}

// read is the delay of a read.
func (l *limits) read(key string) {
	l.mu.Lock()
	f := l.slow
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(key))
	}
}

// hold is the delay of an answer.
func (l *limits) hold() {
	l.mu.Lock()
	f := l.late
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f())
	}
}

func (l *limits) fails(t *wire.Txn) {
	l.mu.Lock()
	l.lost = append(l.lost, *t)
	l.mu.Unlock()
}

// kept is how many changes are kept.
func (l *limits) kept() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keep > 0 {
		return l.keep
	}
	return 10_000
}

// paged is how many entries a page may have.
func (l *limits) paged(most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.page > 0 {
		return min(l.page, most)
	}
	return most
}
