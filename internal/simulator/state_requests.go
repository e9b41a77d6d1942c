package simulator

import (
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"lilaclead/internal/wire"
)

// missingKey is the response to a read of a key that does not exist, with the store's revision.
type missingKey struct {
	Revision wire.Revision `cbor:"ledger"`
}

// ServeHTTP serves the API of the key-value store.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBodyBytes)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	s.expire()
	refuse := s.inOutage || s.refusedClients[hostOf(r.RemoteAddr)]
	s.mu.Unlock()
	if !refuse && !s.limits.withinRates(1, 0) {
		wire.WriteResponse(w, http.StatusTooManyRequests, wire.ErrorBody{Error: "too many requests"})
		return
	}
	w = s.delayed(w, r)
	if r.URL.Path == "/changes" {
		s.watch(w, r)
		return
	}
	if refuse {
		wire.WriteResponse(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "trouble"})
		return
	}
	switch {
	case r.URL.Path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		s.read(w, strings.TrimPrefix(r.URL.Path, "/kv/"))
	case r.URL.Path == "/txn" && r.Method == "POST":
		s.serveTxn(w, r, raw)
	case r.URL.Path == "/grants" && r.Method == "POST":
		s.newGrant(w, raw)
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		s.renewOrEndGrant(w, r)
	default:
		malformedRequest(w)
	}
}

func malformedRequest(w http.ResponseWriter) {
	wire.WriteResponse(w, http.StatusBadRequest, wire.ErrorBody{Error: "malformed"})
}

// read answers with the entry of one key.
func (s *KVStore) read(w http.ResponseWriter, key string) {
	s.limits.delayRead(key)
	s.mu.Lock()
	e, rev := s.keys[key], s.revision
	var out wire.Entry
	if e != nil {
		out = wire.Entry{Key: key, Value: e.value, Revision: e.revision, Grant: e.grant}
	}
	s.mu.Unlock()
	if e == nil {
		wire.WriteResponse(w, http.StatusNotFound, missingKey{rev})
		return
	}
	wire.WriteResponse(w, http.StatusOK, out)
}

// serveTxn executes a transaction that is within the limits, unless a fault is injected.
func (s *KVStore) serveTxn(w http.ResponseWriter, r *http.Request, raw []byte) {
	var t wire.Txn
	if wire.Decode(raw, &t) != nil || !s.withinSizeLimits(&t, len(raw)) {
		malformedRequest(w)
		return
	}
	if !s.limits.withinRates(0, len(t.Writes)) {
		wire.WriteResponse(w, http.StatusTooManyRequests, wire.ErrorBody{Error: "too many changes"})
		return
	}
	s.limits.delayTxn(&t)
	if !s.injectFault(r, &t) {
		s.txn(w, hostOf(r.RemoteAddr), &t)
	}
}

// newGrant creates a grant with the requested TTL.
func (s *KVStore) newGrant(w http.ResponseWriter, raw []byte) {
	var request wire.GrantRequest
	if wire.Decode(raw, &request) != nil || request.TTLMillis < 100 || request.TTLMillis > 600_000 {
		malformedRequest(w)
		return
	}
	s.mu.Lock()
	ttl := time.Duration(request.TTLMillis) * time.Millisecond
	id := s.createGrant(ttl)
	s.copyGrant(ttl)
	s.mu.Unlock()
	wire.WriteResponse(w, http.StatusOK, wire.GrantResponse{Grant: id})
}

// createGrant creates a grant; the caller holds the lock.
func (s *KVStore) createGrant(ttl time.Duration) wire.GrantID {
	id := s.nextGrant
	s.nextGrant++
	s.grants[id] = &storeGrant{ttl, time.Now().Add(ttl)}
	return id
}

// renewOrEndGrant renews or ends a grant, as the path and the method say.
func (s *KVStore) renewOrEndGrant(w http.ResponseWriter, r *http.Request) {
	rest, renew := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/renew")
	id, _ := strconv.ParseUint(rest, 10, 64)
	s.mu.Lock()
	grant := s.grants[wire.GrantID(id)]
	switch {
	case grant == nil:
	case renew:
		grant.expiresAt = time.Now().Add(grant.ttl)
		s.copyRenewal(wire.GrantID(id))
	case r.Method == "DELETE":
		s.endGrant(wire.GrantID(id))
		s.copyRevocation(wire.GrantID(id))
	}
	s.mu.Unlock()
	if grant == nil {
		wire.WriteResponse(w, http.StatusNotFound, wire.ErrorBody{Error: "no such lease"})
		return
	}
	wire.WriteResponse(w, http.StatusOK, wire.GrantResponse{Grant: wire.GrantID(id)})
}

// list answers with a page of the entries whose keys have a prefix.
func (s *KVStore) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("page"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	limit = s.limits.pageSize(limit)
	s.mu.Lock()
	var matching []string
	for k := range s.keys {
		if strings.HasPrefix(k, query.Get("under")) && k > query.Get("after") {
			matching = append(matching, k)
		}
	}
	sort.Strings(matching)
	page := wire.EntryPage{Entries: []wire.Entry{}, Revision: s.revision}
	for _, k := range matching {
		if len(page.Entries) == limit {
			page.Truncated = true
			break
		}
		e := s.keys[k]
		page.Entries = append(page.Entries, wire.Entry{Key: k, Value: e.value, Revision: e.revision, Grant: e.grant})
	}
	s.mu.Unlock()
	s.limits.delayList()
	wire.WriteResponse(w, http.StatusOK, page)
}

// txn executes a transaction and answers, unless the request or the response is to be lost.
func (s *KVStore) txn(w http.ResponseWriter, from string, t *wire.Txn) {
	s.mu.Lock()
	if s.requestsToDrop > 0 {
		s.requestsToDrop--
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, response := s.execute(from, t)
	if status == http.StatusOK && len(t.Writes) > 0 {
		s.copyTxn(from, t)
	}
	responseLost := status == http.StatusOK && s.responsesToLose > 0
	if responseLost {
		s.responsesToLose--
	}
	s.mu.Unlock()
	if responseLost {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusOK {
		defer s.trackUnanswered(from, t)()
	}
	wire.WriteResponse(w, status, response)
}

// execute executes a transaction; the caller holds the lock.
func (s *KVStore) execute(from string, t *wire.Txn) (status int, response any) {
	// An ended grant is reported before failed guards.
	for _, write := range t.Writes {
		if write.PutKey != "" && write.Grant != 0 && s.grants[write.Grant] == nil {
			return http.StatusBadRequest, wire.ErrorBody{Error: "no such lease"}
		}
	}
	var failed []string
	for _, guard := range t.Guards {
		entry := s.keys[guard.Key]
		if entry == nil && guard.Revision != 0 || entry != nil && entry.revision != guard.Revision {
			failed = append(failed, guard.Key)
		}
	}
	if failed != nil {
		s.limits.recordFailed(t)
		return http.StatusConflict, wire.TxnResponse{Revision: s.revision, FailedKeys: failed}
	}
	if len(t.Writes) > 0 {
		s.revision++
		for _, write := range t.Writes {
			if write.DeleteKey != "" {
				delete(s.keys, write.DeleteKey)
				s.changes = append(s.changes, storeChange{s.revision, wire.WatchEvent{DeletedKey: write.DeleteKey, Revision: s.revision}})
				continue
			}
			s.keys[write.PutKey] = &storeEntry{append(wire.RawValue(nil), write.Value...), s.revision, write.Grant}
			s.changes = append(s.changes, storeChange{s.revision, wire.WatchEvent{PutKey: write.PutKey, Value: append(wire.RawValue(nil), write.Value...), Revision: s.revision}})
		}
		if keep := s.limits.historySize(); len(s.changes) > keep {
			s.discardedUpTo = s.changes[len(s.changes)-keep-1].revision
			s.changes = append([]storeChange(nil), s.changes[len(s.changes)-keep:]...)
		}
		s.txnFaults.countExecuted(from)
		s.notify()
	}
	return http.StatusOK, wire.TxnResponse{Revision: s.revision}
}

// watch answers with the changes after a revision. It blocks until there are any, for at most
// the requested time.
func (s *KVStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	blockMillis, _ := strconv.Atoi(query.Get("blockMs"))
	timeUp := blockMillis <= 0
	var blockEnd <-chan time.Time // nil if not blocking: see sleep for why
	if !timeUp {
		blockEnd = time.After(time.Duration(min(blockMillis, 60_000)) * time.Millisecond)
	}
	for {
		s.mu.Lock()
		s.expire()
		response := wire.WatchResponse{Revision: s.revision, Events: []wire.WatchEvent{}}
		refusing := s.inOutage || s.refusedClients[hostOf(r.RemoteAddr)]
		if s.discardedUpTo > wire.Revision(after) {
			s.mu.Unlock()
			wire.WriteResponse(w, http.StatusGone, wire.ErrorBody{Error: "too old"})
			return
		}
		if !refusing {
			for _, c := range s.changes {
				if c.revision > wire.Revision(after) && strings.HasPrefix(c.change.PutKey+c.change.DeletedKey, query.Get("under")) {
					response.Events = append(response.Events, c.change)
				}
			}
		}
		wake, delay := s.wake, s.watchDelay
		s.mu.Unlock()
		slices.Reverse(response.Events) // the API promises no order; its example has the newest first
		if len(response.Events) > 0 || timeUp && !refusing {
			s.limits.delayList()
			if blockMillis > 0 {
				time.Sleep(delay)
			}
			wire.WriteResponse(w, http.StatusOK, response)
			return
		}
		select {
		case <-wake:
		case <-time.After(200 * time.Millisecond): // grants expire without a notification
		case <-blockEnd:
			timeUp = true
		case <-r.Context().Done():
			return
		}
	}
}
