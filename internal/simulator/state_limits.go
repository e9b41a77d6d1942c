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

// storeLimits are limits and delays of the key-value store: the rates of PROTOCOL, a short
// history, small pages, and delays of transactions, reads and lists.
type storeLimits struct {
	mu                           sync.Mutex
	requestLimiter, writeLimiter *rate.Limiter // nil: no limit
	rateRefusals                 int           // requests refused for the rate
	peakRate                     float64       // highest number of requests in one window of a second
	windowStart                  time.Time
	requestsInWindow             int
	historyLimit, pageLimit      int // changes kept and entries per page; 0: the defaults
	txnDelay                     func(*wire.Txn) time.Duration
	readDelay                    func(key string) time.Duration
	listDelay                    func() time.Duration
	failedTxns                   []wire.Txn // transactions whose guards failed
}

// SetRateLimits makes the store refuse requests and writes above the rates.
func (s *KVStore) SetRateLimits(rps, writeRPS float64) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	s.limits.requestLimiter = rate.NewLimiter(rate.Limit(rps), int(rps))
	s.limits.writeLimiter = rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))
}

// LowerLimits lowers the store's limits without notice. A larger value or transaction is
// then answered 400, requests and writes above the rates 429. Stored values stay readable.
func (s *KVStore) LowerLimits(valueKB, maxOps int, rps, writeRPS float64) {
	s.mu.Lock()
	s.maxTxnOps, s.maxValueKB = maxOps, valueKB
	s.mu.Unlock()
	s.SetRateLimits(rps, writeRPS)
}

// withinSizeLimits reports whether a transaction is well-formed and within the size limits, and
// counts those that are not.
func (s *KVStore) withinSizeLimits(t *wire.Txn, bytes int) bool {
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

// jsonSize returns the size of a value as JSON, which is what the store limits.
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

// valueMode decodes values to types that can be encoded as JSON.
var valueMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// OversizeRefusals counts the transactions that were refused as malformed or over a size limit.
func (s *KVStore) OversizeRefusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversizeRefusals
}

// RateRefusals returns how many requests were refused for their rate, and the highest number of
// requests within a second.
func (s *KVStore) RateRefusals() (refused, peak int) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.rateRefusals, int(s.limits.peakRate)
}

// LimitHistory limits the number of changes that the store keeps and of entries per page, so
// that a test reaches these limits with few writes.
func (s *KVStore) LimitHistory(keep, page int) {
	s.limits.mu.Lock()
	s.limits.historyLimit, s.limits.pageLimit = keep, page
	s.limits.mu.Unlock()
}

// DelayTransactions delays the execution of each transaction by what f returns.
func (s *KVStore) DelayTransactions(f func(*wire.Txn) time.Duration) {
	s.limits.mu.Lock()
	s.limits.txnDelay = f
	s.limits.mu.Unlock()
}

// DelayReads delays the execution of each read of a key by what f returns.
func (s *KVStore) DelayReads(f func(key string) time.Duration) {
	s.limits.mu.Lock()
	s.limits.readDelay = f
	s.limits.mu.Unlock()
}

// DelayLists delays each response that lists keys or changes by what f returns, after its content
// was read: the content is that old when it arrives.
func (s *KVStore) DelayLists(f func() time.Duration) {
	s.limits.mu.Lock()
	s.limits.listDelay = f
	s.limits.mu.Unlock()
}

// FailedAtGuard counts the transactions that failed at a guard and for which passes returns true.
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

// withinRates counts requests and writes, and reports whether they are within the rates.
func (l *storeLimits) withinRates(requests, writes int) bool {
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
func (l *storeLimits) delayTxn(t *wire.Txn) {
	l.mu.Lock()
	f := l.txnDelay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(t))
	}
}

// delayRead waits for the delay of a read.
func (l *storeLimits) delayRead(key string) {
	l.mu.Lock()
	f := l.readDelay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f(key))
	}
}

// delayList waits for the delay of a response that lists keys or changes.
func (l *storeLimits) delayList() {
	l.mu.Lock()
	f := l.listDelay
	l.mu.Unlock()
	if f != nil {
		time.Sleep(f())
	}
}

// recordFailed records a transaction that failed at a guard.
func (l *storeLimits) recordFailed(t *wire.Txn) {
	l.mu.Lock()
	l.failedTxns = append(l.failedTxns, *t)
	l.mu.Unlock()
}

// historySize returns the number of changes to keep.
func (l *storeLimits) historySize() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.historyLimit > 0 {
		return l.historyLimit
	}
	return 10_000
}

// pageSize returns how many entries a page may have if a client requests a number.
func (l *storeLimits) pageSize(requested int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pageLimit > 0 {
		return min(l.pageLimit, requested)
	}
	return requested
}
