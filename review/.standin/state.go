package main

import (
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// stateService is a small state service by the protocol page. It is reached at one address for
// each controller, so that faults can hit one controller alone.
type stateService struct {
	record  *recorder
	valueKB float64
	txnOps  int

	mu        sync.Mutex
	ledger    uint64
	keys      map[string]*stateKey
	grants    map[uint64]*stateGrant
	nextGrant uint64
	changes   []stateChange
	wake      chan struct{}
	outage    bool // all requests are answered 503

	// fault, if set, may handle a request in another way; it returns true if it has.
	fault func(node int, w http.ResponseWriter, r *http.Request, raw []byte) bool
}

type stateKey struct {
	value cbor.RawMessage
	stamp uint64
	grant uint64
}

type stateGrant struct {
	life time.Duration
	ends time.Time
}

type stateChange struct {
	Put   string          `cbor:"put,omitempty"`
	Drop  string          `cbor:"drop,omitempty"`
	Value cbor.RawMessage `cbor:"v,omitempty"`
	Stamp uint64          `cbor:"stamp"`
}

type txn struct {
	Guards []struct {
		Key   string `cbor:"k"`
		Stamp uint64 `cbor:"stamp"`
	} `cbor:"guards"`
	Writes []struct {
		Put    string          `cbor:"put"`
		Value  cbor.RawMessage `cbor:"v"`
		Permit uint64          `cbor:"permit"`
		Drop   string          `cbor:"drop"`
	} `cbor:"writes"`
}

func newStateService(record *recorder, valueKB float64, txnOps int) *stateService {
	return &stateService{record: record, valueKB: valueKB, txnOps: txnOps, keys: map[string]*stateKey{}, grants: map[uint64]*stateGrant{}, nextGrant: 1, wake: make(chan struct{})}
}

// handler serves one controller.
func (s *stateService) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		fault, outage := s.fault, s.outage
		s.mu.Unlock()
		if fault != nil && fault(node, w, r, raw) {
			return
		}
		if outage && r.URL.Path != "/changes" {
			writeCBOR(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
			return
		}
		s.serve(w, r, raw)
	})
}

// setOutage begins or ends an outage. After it every lease has its full time again.
func (s *stateService) setOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	if !outage {
		for _, g := range s.grants {
			g.ends = time.Now().Add(g.life)
		}
		close(s.wake)
		s.wake = make(chan struct{})
	}
}

func (s *stateService) serve(w http.ResponseWriter, r *http.Request, raw []byte) {
	path := r.URL.Path
	switch {
	case path == "/changes":
		s.serveChanges(w, r)
	case path == "/kv":
		s.serveList(w, r)
	case strings.HasPrefix(path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/txn":
		status, body := s.commit(raw)
		writeCBOR(w, status, body)
	case path == "/grants":
		s.serveNewGrant(w, raw)
	case strings.HasPrefix(path, "/grants/"):
		s.serveGrant(w, r)
	default:
		writeCBOR(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
	}
}

// endGrants ends the grants that were not renewed in time; the caller holds the lock.
func (s *stateService) endGrants() {
	if s.outage {
		return
	}
	for id, g := range s.grants {
		if time.Now().After(g.ends) {
			s.endGrant(id)
		}
	}
}

func (s *stateService) endGrant(id uint64) {
	delete(s.grants, id)
	var keys []string
	for k, e := range s.keys {
		if e.grant == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.ledger++
	sort.Strings(keys)
	for _, k := range keys {
		delete(s.keys, k)
		s.note(stateChange{Drop: k, Stamp: s.ledger})
	}
	s.notify()
}

func (s *stateService) note(c stateChange) {
	s.changes = append(s.changes, c)
	if len(s.changes) > 10_000 {
		s.changes = slices.Clone(s.changes[len(s.changes)-10_000:])
	}
}

func (s *stateService) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *stateService) serveGet(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.endGrants()
	e, ledger := s.keys[key], s.ledger
	var body map[string]any
	if e != nil {
		body = map[string]any{"k": key, "v": e.value, "stamp": e.stamp}
		if e.grant != 0 {
			body["permit"] = e.grant
		}
	}
	s.mu.Unlock()
	if e == nil {
		writeCBOR(w, http.StatusNotFound, map[string]any{"ledger": ledger})
		return
	}
	writeCBOR(w, http.StatusOK, body)
}

func (s *stateService) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	under, after := query.Get("under"), query.Get("after")
	page, _ := strconv.Atoi(query.Get("page"))
	if page <= 0 || page > 1000 {
		page = 1000
	}
	s.mu.Lock()
	s.endGrants()
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, under) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	entries, size, truncated := []map[string]any{}, 0, false
	for _, k := range keys {
		e := s.keys[k]
		if size += 3 * len(e.value) / 2; len(entries) == page || size > 512<<10 && len(entries) > 0 {
			truncated = true
			break
		}
		entries = append(entries, map[string]any{"k": k, "v": e.value, "stamp": e.stamp})
	}
	ledger := s.ledger
	s.mu.Unlock()
	writeCBOR(w, http.StatusOK, map[string]any{"entries": entries, "truncated": truncated, "ledger": ledger})
}

func (s *stateService) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	under := query.Get("under")
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	block, _ := strconv.Atoi(query.Get("blockMs"))
	deadline := time.After(time.Duration(block) * time.Millisecond)
	for {
		s.mu.Lock()
		s.endGrants()
		if len(s.changes) == 10_000 && after < s.changes[0].Stamp-1 {
			s.mu.Unlock()
			writeCBOR(w, http.StatusGone, map[string]any{})
			return
		}
		news := []stateChange{}
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Stamp > after })
		for _, c := range s.changes[first:] {
			if strings.HasPrefix(c.Put+c.Drop, under) {
				news = append(news, c)
			}
		}
		ledger, wake, outage := s.ledger, s.wake, s.outage
		s.mu.Unlock()
		if !outage && (len(news) > 0 || block == 0) {
			writeCBOR(w, http.StatusOK, map[string]any{"ledger": ledger, "news": news})
			return
		}
		if outage && block == 0 {
			writeCBOR(w, http.StatusServiceUnavailable, map[string]any{"error": "trouble"})
			return
		}
		select {
		case <-deadline:
			if !outage {
				writeCBOR(w, http.StatusOK, map[string]any{"ledger": ledger, "news": news})
				return
			}
			deadline = nil // during an outage open watches stay open
		case <-wake:
		case <-time.After(50 * time.Millisecond): // lets leases end
		case <-r.Context().Done():
			return
		}
	}
}

// commit executes a transaction.
func (s *stateService) commit(raw []byte) (int, any) {
	var t txn
	malformed := map[string]any{"error": "malformed"}
	if cbor.Unmarshal(raw, &t) != nil || len(t.Writes) > s.txnOps || len(t.Guards) > 4*s.txnOps {
		return http.StatusBadRequest, malformed
	}
	for _, write := range t.Writes {
		var value any
		if write.Put != "" && (cbor.Unmarshal(write.Value, &value) != nil || jsonSize(textKeys(value)) > int(s.valueKB*1024)) {
			return http.StatusBadRequest, malformed
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endGrants()
	for _, write := range t.Writes {
		if write.Permit != 0 && s.grants[write.Permit] == nil {
			return http.StatusBadRequest, map[string]any{"error": "no such lease"}
		}
	}
	var failed []string
	for _, g := range t.Guards {
		var stamp uint64
		if e := s.keys[g.Key]; e != nil {
			stamp = e.stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, map[string]any{"failed": failed, "ledger": s.ledger}
	}
	if len(t.Writes) == 0 {
		return http.StatusOK, map[string]any{"ledger": s.ledger}
	}
	s.ledger++
	for _, write := range t.Writes {
		if write.Put != "" {
			s.keys[write.Put] = &stateKey{write.Value, s.ledger, write.Permit}
			s.note(stateChange{Put: write.Put, Value: write.Value, Stamp: s.ledger})
		} else if s.keys[write.Drop] != nil {
			delete(s.keys, write.Drop)
			s.note(stateChange{Drop: write.Drop, Stamp: s.ledger})
		}
	}
	s.notify()
	return http.StatusOK, map[string]any{"ledger": s.ledger}
}

// textKeys converts decoded maps to a form that can be encoded as JSON.
func textKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, e := range v {
			name, _ := k.(string)
			out[name] = textKeys(e)
		}
		return out
	case []any:
		for i := range v {
			v[i] = textKeys(v[i])
		}
	}
	return v
}

func (s *stateService) serveNewGrant(w http.ResponseWriter, raw []byte) {
	var body struct {
		LifeMs int64 `cbor:"lifeMs"`
	}
	if cbor.Unmarshal(raw, &body) != nil || body.LifeMs < 100 || body.LifeMs > 600_000 {
		writeCBOR(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	id, life := s.nextGrant, time.Duration(body.LifeMs)*time.Millisecond
	s.nextGrant++
	s.grants[id] = &stateGrant{life, time.Now().Add(life)}
	s.mu.Unlock()
	writeCBOR(w, http.StatusOK, map[string]any{"permit": id})
}

func (s *stateService) serveGrant(w http.ResponseWriter, r *http.Request) {
	rest, _ := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/renew")
	id, _ := strconv.ParseUint(rest, 10, 64)
	s.mu.Lock()
	s.endGrants()
	g := s.grants[id]
	if g != nil {
		if r.Method == http.MethodDelete {
			s.endGrant(id)
		} else {
			g.ends = time.Now().Add(g.life)
		}
	}
	s.mu.Unlock()
	if g == nil {
		writeCBOR(w, http.StatusNotFound, map[string]any{})
		return
	}
	writeCBOR(w, http.StatusOK, map[string]any{})
}

// leader returns the node that holds the service's record of the leader, "" if none does.
func (s *stateService) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endGrants()
	e := s.keys["lead"]
	if e == nil {
		return ""
	}
	var record struct {
		Node string `cbor:"node"`
	}
	_ = cbor.Unmarshal(e.value, &record)
	return record.Node
}
