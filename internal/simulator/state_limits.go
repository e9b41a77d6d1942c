package simulator

import (
	"encoding/json"
	"math"
	"reflect"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"
	"lilaclead/internal/wire"
)

// stateLimits are what the state service can be given beside its faults: rates, as
// PROTOCOL says, a short history, and delays of single transactions.
type stateLimits struct {
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

// SetRateLimits makes the service refuse what is above its rates.
func (s *State) SetRateLimits(rps, writeRPS float64) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	s.limits.calls = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.limits.writes = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
}

// LowerLimits gives the service smaller limits from now on, without notice: a larger
// value or transaction gets 400, changes beyond the rate 429. What is stored
// stays readable.
func (s *State) LowerLimits(valueKB, maxOps int, rps, writeRPS float64) {
	s.mu.Lock()
	s.maxOps, s.valueKB = maxOps, valueKB
	s.mu.Unlock()
	s.SetRateLimits(rps, writeRPS)
}

// allows tells whether a transaction is within the limits of size. What it
// refuses is counted.
func (s *State) allows(t *wire.Txn, bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := len(t.Writes) <= s.maxOps && len(t.Guards) <= 4*s.maxOps && bytes <= 64<<10
	for _, x := range t.Writes {
		ok = ok && jsonSize(x.Value) <= s.valueKB<<10 && (x.Put == "") != (x.Delete == "")
	}
	if !ok {
		s.oversize++
	}
	return ok
}

// jsonSize is the size of a value as the service counts it.
func jsonSize(v wire.Raw) int {
	if len(v) == 0 {
		return 0
	}
	var x any
	b, err := []byte(nil), valueMode.Unmarshal(v, &x)
	if err == nil {
		b, err = json.Marshal(x)
	}
	if err != nil {
		return math.MaxInt
	}
	return len(b)
}

// valueMode decodes values so that they can be written as JSON.
var valueMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// OversizeRefusals counts the transactions that were refused for their size.
func (s *State) OversizeRefusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversize
}

// RateRefusals counts the requests that were refused for the rate, and the most that
// came within a second.
func (s *State) RateRefusals() (refused, most int) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.over, int(s.limits.most)
}

// LimitHistory makes the service keep only so many changes and list pages of so many
// entries at most, as if many more had been written.
func (s *State) LimitHistory(keep, page int) {
	s.limits.mu.Lock()
	s.limits.keep, s.limits.page = keep, page
	s.limits.mu.Unlock()
}

// DelayTransactions makes a transaction wait before it is looked at, for as long as f says.
func (s *State) DelayTransactions(f func(*wire.Txn) time.Duration) {
	s.limits.mu.Lock()
	s.limits.delay = f
	s.limits.mu.Unlock()
}

// DelayReads makes reads of a key wait before they are looked at, for as long as f says.
func (s *State) DelayReads(f func(key string) time.Duration) {
	s.limits.mu.Lock()
	s.limits.slow = f
	s.limits.mu.Unlock()
}

// DelayLists makes answers that list keys or changes wait once they are made, for as
// long as f says: what they tell is that old when they arrive.
func (s *State) DelayLists(f func() time.Duration) {
	s.limits.mu.Lock()
	s.limits.late = f
	s.limits.mu.Unlock()
}

// FailedAtGuard counts the transactions that pass the test and failed at a guard.
func (s *State) FailedAtGuard(which func(*wire.Txn) bool) int {
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

// admits counts a request, or the changes of one, against the rates.
func (l *stateLimits) admits(calls, writes int) bool {
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
func (l *stateLimits) await(t *wire.Txn) {
	l.mu.Lock()
	f := l.delay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(t))
	}
}

// read is the delay of a read.
func (l *stateLimits) read(key string) {
	l.mu.Lock()
	f := l.slow
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(key))
	}
}

// hold is the delay of an answer.
func (l *stateLimits) hold() {
	l.mu.Lock()
	f := l.late
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f())
	}
}

// fails notes a transaction that failed at a guard.
func (l *stateLimits) fails(t *wire.Txn) {
	l.mu.Lock()
	l.lost = append(l.lost, *t)
	l.mu.Unlock()
}

// kept is how many changes are kept.
func (l *stateLimits) kept() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keep > 0 {
		return l.keep
	}
	return 10_000
}

// paged is how many entries a page may have.
func (l *stateLimits) paged(most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.page > 0 {
		return min(l.page, most)
	}
	return most
}
