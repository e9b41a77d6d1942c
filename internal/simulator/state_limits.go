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

// stateLimits are what the key-value store can be given beside its faults: rates, as
// PROTOCOL says, a short history, and delays of single transactions.
type stateLimits struct {
	mu                           sync.Mutex
	requestLimiter, writeLimiter *rate.Limiter // nil: no limit
	rateRefusals                 int           // requests refused for the rate
	peakRate                     float64       // most requests of any second
	windowStart                  time.Time
	requestsInWindow             int
	historyLimit, pageLimit      int // changes kept and entries of a page, 0: the usual ones
	txnDelay                     func(*wire.Txn) time.Duration
	readDelay                    func(key string) time.Duration
	listDelay                    func() time.Duration
	failedTxns                   []wire.Txn // transactions whose guards failed
}

// SetRateLimits makes the service refuse what is above its rates.
func (s *KVStore) SetRateLimits(rps, writeRPS float64) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	s.limits.requestLimiter = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.limits.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
}

// LowerLimits gives the service smaller limits from now on, without notice: a larger
// value or transaction gets 400, changes beyond the rate 429. What is stored
// stays readable.
func (s *KVStore) LowerLimits(valueKB, maxOps int, rps, writeRPS float64) {
	s.mu.Lock()
	s.maxTxnOps, s.maxValueKB = maxOps, valueKB
	s.mu.Unlock()
	s.SetRateLimits(rps, writeRPS)
}

// allows reports whether a transaction is within the limits of size. What it
// refuses is counted.
func (s *KVStore) allows(t *wire.Txn, bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := len(t.Writes) <= s.maxTxnOps && len(t.Guards) <= 4*s.maxTxnOps && bytes <= 64<<10
	for _, write := range t.Writes {
		ok = ok && jsonSize(write.Value) <= s.maxValueKB<<10 && (write.PutKey == "") != (write.DeleteKey == "")
	}
	if !ok {
		s.oversizeRefusals++
	}
	return ok
}

// jsonSize returns the size of a value as the service counts it.
func jsonSize(v wire.RawValue) int {
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
func (s *KVStore) OversizeRefusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversizeRefusals
}

// RateRefusals counts the requests that were refused for the rate, and the most that
// came within a second.
func (s *KVStore) RateRefusals() (refused, peak int) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.rateRefusals, int(s.limits.peakRate)
}

// LimitHistory makes the service keep only so many changes and list pages of so many
// entries at most, as if many more had been written.
func (s *KVStore) LimitHistory(keep, page int) {
	s.limits.mu.Lock()
	s.limits.historyLimit, s.limits.pageLimit = keep, page
	s.limits.mu.Unlock()
}

// DelayTransactions makes a transaction wait before it is looked at, for as long as f says.
func (s *KVStore) DelayTransactions(f func(*wire.Txn) time.Duration) {
	s.limits.mu.Lock()
	s.limits.txnDelay = f
	s.limits.mu.Unlock()
}

// DelayReads makes reads of a key wait before they are looked at, for as long as f says.
func (s *KVStore) DelayReads(f func(key string) time.Duration) {
	s.limits.mu.Lock()
	s.limits.readDelay = f
	s.limits.mu.Unlock()
}

// DelayLists makes answers that list keys or changes wait once they are made, for as
// long as f says: what they tell is that old when they arrive.
func (s *KVStore) DelayLists(f func() time.Duration) {
	s.limits.mu.Lock()
	s.limits.listDelay = f
	s.limits.mu.Unlock()
}

// FailedAtGuard counts the transactions that pass the test and failed at a guard.
func (s *KVStore) FailedAtGuard(passes func(*wire.Txn) bool) int {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	n := 0
	for i := range s.limits.failedTxns {
		if passes(&s.limits.failedTxns[i]) {
			n++
		}
	}
	return n
}

// allow counts a request, or the changes of one, against the rates.
func (l *stateLimits) allow(requests, writes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.requestsInWindow = now, 0
	}
	l.requestsInWindow += requests
	l.peakRate = max(l.peakRate, float64(l.requestsInWindow))
	if l.requestLimiter == nil || l.requestLimiter.AllowN(now, requests) && l.writeLimiter.AllowN(now, writes) {
		return true
	}
	l.rateRefusals++
	return false
}

// delayTxn waits for the delay of a transaction.
func (l *stateLimits) delayTxn(t *wire.Txn) {
	l.mu.Lock()
	f := l.txnDelay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(t))
	}
}

// delayRead waits for the delay of a read.
func (l *stateLimits) delayRead(key string) {
	l.mu.Lock()
	f := l.readDelay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(key))
	}
}

// delayList waits for the delay of an answer that lists keys or changes.
func (l *stateLimits) delayList() {
	l.mu.Lock()
	f := l.listDelay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f())
	}
}

// recordFailed records a transaction that failed at a guard.
func (l *stateLimits) recordFailed(t *wire.Txn) {
	l.mu.Lock()
	l.failedTxns = append(l.failedTxns, *t)
	l.mu.Unlock()
}

// historySize returns how many changes are kept.
func (l *stateLimits) historySize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.historyLimit > 0 {
		return l.historyLimit
	}
	return 10_000
}

// pageSize returns how many entries a page may have.
func (l *stateLimits) pageSize(requested int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pageLimit > 0 {
		return min(l.pageLimit, requested)
	}
	return requested
}
