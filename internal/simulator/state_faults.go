package simulator

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"lilaclead/internal/wire"
)

// SetOutage begins or ends an outage. At its end every grant gets its full TTL again.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.inOutage = on
	if !on {
		for _, g := range s.grants {
			g.expiresAt = time.Now().Add(g.ttl)
		}
	}
	s.notify()
}

// InOutage reports whether there is an outage now.
func (s *KVStore) InOutage() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inOutage
}

// RefuseClient makes the store refuse the requests of one host, or serve them again.
func (s *KVStore) RefuseClient(host string, on bool) {
	s.mu.Lock()
	s.refusedClients[host] = on
	s.mu.Unlock()
}

// LoseResponses makes the next n transactions take effect without a response.
func (s *KVStore) LoseResponses(n int) {
	s.mu.Lock()
	s.responsesToLose = n
	s.mu.Unlock()
}

// DropRequests makes the next n transactions have neither effect nor response.
func (s *KVStore) DropRequests(n int) {
	s.mu.Lock()
	s.requestsToDrop = n
	s.mu.Unlock()
}

// DelayWatches delays the responses to blocking watches, as the real store does at times.
func (s *KVStore) DelayWatches(d time.Duration) {
	s.mu.Lock()
	s.watchDelay = d
	s.mu.Unlock()
}

// faulty reports whether any fault of the store is active.
func (s *KVStore) faulty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inOutage || s.responsesToLose > 0 || s.requestsToDrop > 0 || anyTrue(s.refusedClients)
}

// TxnFault selects transactions that the key-value store does not answer. It executes them at
// once or, with Delay, after a delay, during which newer ones are executed.
type TxnFault struct {
	Hosts    []string // clients whose transactions are hit; nil: all
	Prefix   string   // only transactions that change a key with this prefix
	Share    float64  // share of these transactions; 0: all
	MaxCount int      // maximal number of transactions; 0: no limit
	// Delay is the shortest and the longest delay of the execution; zero: none.
	Delay [2]time.Duration
	// Hang makes every client wait until it gives up. Otherwise half of the connections, at
	// random, break at once.
	Hang bool
}

// TxnOutcome is the outcome of a transaction that a fault hit.
type TxnOutcome struct {
	Client string
	Keys   []string // keys that the transaction changes
	Sent   time.Time
	Late   bool // its execution was delayed
	// ExecutedAt is when the transaction was executed or refused; zero: not yet. Status is the
	// status that the response would have had, FailedKeys the keys of the guards that failed.
	ExecutedAt time.Time
	Status     int
	FailedKeys []string
	// NewerExecuted counts the transactions of the same client that were executed between the
	// arrival of this one and its execution.
	NewerExecuted int
}

// ChangesPrefix reports whether the transaction changes a key with the prefix.
func (o *TxnOutcome) ChangesPrefix(prefix string) bool {
	return slices.ContainsFunc(o.Keys, func(k string) bool { return strings.HasPrefix(k, prefix) })
}

// txnFaults is the part of the store that injects faults into transactions. The store's lock
// guards it.
type txnFaults struct {
	rng            *rand.Rand
	faults         []TxnFault
	outcomes       []*TxnOutcome
	responseDelay  map[string]time.Duration // by client; "": all clients
	unansweredKeys map[string][]string      // by client: keys changed by transactions not answered yet
	executedCount  map[string]int           // by client: executed transactions that write
}

// countExecuted counts an executed transaction of a client.
func (f *txnFaults) countExecuted(from string) {
	if f.executedCount == nil {
		f.executedCount = map[string]int{}
	}
	f.executedCount[from]++
}

// InjectTxnFaults replaces the faults of transactions; without arguments it ends them.
// Transactions that were already delayed are still executed.
func (s *KVStore) InjectTxnFaults(seed uint64, faults ...TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txnFaults.rng, s.txnFaults.faults = rand.New(rand.NewPCG(seed, 11)), faults
}

// TxnOutcomes returns the outcomes of the transactions that a fault has hit, in order of arrival.
func (s *KVStore) TxnOutcomes() []TxnOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]TxnOutcome, len(s.txnFaults.outcomes))
	for i, outcome := range s.txnFaults.outcomes {
		out[i] = *outcome
	}
	return out
}

// injectFault returns false if no fault applies to the transaction. Otherwise it executes the
// transaction as the fault says, and aborts the request without a response.
func (s *KVStore) injectFault(r *http.Request, t *wire.Txn) bool {
	from := hostOf(r.RemoteAddr)
	outcome := &TxnOutcome{Client: from, Keys: keysOf(t), Sent: time.Now()}
	s.mu.Lock()
	injector := &s.txnFaults
	index := slices.IndexFunc(injector.faults, func(fault TxnFault) bool {
		return (fault.Hosts == nil || slices.Contains(fault.Hosts, from)) && outcome.ChangesPrefix(fault.Prefix) && (fault.Share == 0 || injector.rng.Float64() < fault.Share)
	})
	if index < 0 {
		s.mu.Unlock()
		return false
	}
	fault := injector.faults[index]
	if fault.MaxCount == 1 {
		injector.faults = slices.Delete(injector.faults, index, index+1)
	} else if fault.MaxCount > 1 {
		injector.faults[index].MaxCount--
	}
	injector.outcomes = append(injector.outcomes, outcome)
	before := injector.executedCount[from]
	execute := func() {
		s.expire()
		outcome.NewerExecuted = injector.executedCount[from] - before
		var body any
		outcome.Status, body = s.execute(from, t)
		outcome.ExecutedAt = time.Now()
		if response, ok := body.(wire.TxnResponse); ok {
			outcome.FailedKeys = response.FailedKeys
		}
	}
	if outcome.Late = fault.Delay[1] > 0; outcome.Late {
		time.AfterFunc(fault.Delay[0]+time.Duration(injector.rng.Float64()*float64(fault.Delay[1]-fault.Delay[0])), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			execute()
		})
	} else {
		execute()
	}
	hang := injector.rng.IntN(2) == 0 || fault.Hang
	s.mu.Unlock()
	if hang { // until the client gives up; otherwise the connection breaks at once
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// keysOf lists the keys that a transaction changes.
func keysOf(t *wire.Txn) []string {
	var out []string
	for _, write := range t.Writes {
		out = append(out, write.PutKey+write.DeleteKey)
	}
	return out
}

// DelayResponses delays every response to a host, "" for all hosts, after the request has been
// executed.
func (s *KVStore) DelayResponses(host string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txnFaults.responseDelay == nil {
		s.txnFaults.responseDelay = map[string]time.Duration{}
	}
	s.txnFaults.responseDelay[host] = delay
}

// delayed returns a writer that delays the response if responses to the client are delayed, else
// w.
func (s *KVStore) delayed(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := max(s.txnFaults.responseDelay[""], s.txnFaults.responseDelay[hostOf(r.RemoteAddr)])
	if delay == 0 {
		return w
	}
	return &slowWriter{ResponseWriter: w, delay: delay}
}

// slowWriter delays a response.
type slowWriter struct {
	http.ResponseWriter
	delay time.Duration
}

func (w *slowWriter) WriteHeader(status int) {
	time.Sleep(w.delay)
	w.delay = 0
	w.ResponseWriter.WriteHeader(status)
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.delay)
	w.delay = 0
	return w.ResponseWriter.Write(b)
}

// trackUnanswered records the keys that a transaction changed as unanswered, until the returned
// function is called.
func (s *KVStore) trackUnanswered(from string, t *wire.Txn) (answered func()) {
	keys := keysOf(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txnFaults.unansweredKeys == nil {
		s.txnFaults.unansweredKeys = map[string][]string{}
	}
	s.txnFaults.unansweredKeys[from] = append(s.txnFaults.unansweredKeys[from], keys...)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		remaining := s.txnFaults.unansweredKeys[from]
		for _, k := range keys {
			if i := slices.Index(remaining, k); i >= 0 {
				remaining = slices.Delete(remaining, i, i+1)
			}
		}
		s.txnFaults.unansweredKeys[from] = remaining
	}
}

// UnansweredWrites counts the keys with a prefix that a host has changed and whose transactions
// are not answered yet because responses are delayed.
func (s *KVStore) UnansweredWrites(host, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.txnFaults.unansweredKeys[host] {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}
