package simulator

import (
	"encoding/json"
	"math"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// State is the state service: revisions, guards, grants and watches.
type State struct {
	mu      sync.Mutex
	rev     wire.Revision
	keys    map[string]*entry
	grants  map[wire.GrantID]*grant
	next    wire.GrantID
	changes []change
	wake    chan struct{}
	// Faults.
	out     bool
	refused map[string]bool // hosts that get 503
	loseTxn int             // so many transactions are executed, and their answers lost
	dropTxn int             // so many are lost before they are executed
	late    lateWrites
	maxOps  int
	valueKB int
	// oversize counts the transactions that were refused for their size.
	oversize int
	limits   limits
	lag      time.Duration // of the answers to open watches
	cut      wire.Revision // the newest change that is no longer kept
}

type entry struct {
	v      wire.Raw
	stamp  wire.Revision
	permit wire.GrantID
}

type grant struct {
	life time.Duration
	ends time.Time
}

type change struct {
	rev wire.Revision
	c   wire.Change
}

// NewState makes an empty service.
func NewState(maxOps, valueKB int) *State {
	return &State{keys: map[string]*entry{}, grants: map[wire.GrantID]*grant{}, next: 1, wake: make(chan struct{}),
		refused: map[string]bool{}, maxOps: maxOps, valueKB: valueKB}
}

// Outage begins or ends an outage. After it every grant has its full time.
func (s *State) Outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.out = on
	if !on {
		for _, g := range s.grants {
			g.ends = time.Now().Add(g.life)
		}
	}
	s.bump()
}

// Refuse makes the service refuse one host only.
func (s *State) Refuse(host string, on bool) {
	s.mu.Lock()
	s.refused[host] = on
	s.mu.Unlock()
}

// LoseAnswers makes the next transactions take effect without an answer.
func (s *State) LoseAnswers(n int) {
	s.mu.Lock()
	s.loseTxn = n
	s.mu.Unlock()
}

// DropRequests makes the next transactions vanish without effect or answer.
func (s *State) DropRequests(n int) {
	s.mu.Lock()
	s.dropTxn = n
	s.mu.Unlock()
}

// Put writes a key as some client would, for tests.
func (s *State) Put(key string, v any) wire.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.keys[key] = &entry{v: wire.Encode(v), stamp: s.rev}
	s.changes = append(s.changes, change{s.rev, wire.Change{Put: key, Value: wire.Encode(v), Revision: s.rev}})
	s.bump()
	return s.rev
}

func (s *State) bump() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// expire ends grants; during an outage nothing ends.
func (s *State) expire() {
	if s.out {
		return
	}
	now := time.Now()
	for id, g := range s.grants {
		if !now.Before(g.ends) {
			s.end(id)
		}
	}
}

func (s *State) end(id wire.GrantID) {
	delete(s.grants, id)
	var dead []string
	for k, e := range s.keys {
		if e.permit == id {
			dead = append(dead, k)
		}
	}
	if len(dead) == 0 {
		return
	}
	s.rev++
	sort.Strings(dead)
	for _, k := range dead {
		delete(s.keys, k)
		s.changes = append(s.changes, change{s.rev, wire.Change{Delete: k, Revision: s.rev}})
	}
	s.bump()
}

// Keys lists the keys with a prefix, for tests.
func (s *State) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

type ledger struct {
	Ledger wire.Revision `cbor:"ledger"`
}

func (s *State) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, err := wire.ReadBody(r.Body, wire.MaxBody)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	s.expire()
	refuse := s.out || s.refused[hostOf(r.RemoteAddr)]
	s.mu.Unlock()
	if !refuse && !s.limits.admits(1, 0) {
		wire.Answer(w, http.StatusTooManyRequests, wire.Reason{Error: "too many requests"})
		return
	}
	w = s.slowly(w, r)
	if r.URL.Path == "/changes" {
		s.watch(w, r)
		return
	}
	if refuse {
		wire.Answer(w, http.StatusServiceUnavailable, wire.Reason{Error: "trouble"})
		return
	}
	bad := func() { wire.Answer(w, http.StatusBadRequest, wire.Reason{Error: "malformed"}) }
	switch {
	case r.URL.Path == "/kv":
		s.list(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		k := strings.TrimPrefix(r.URL.Path, "/kv/")
		s.limits.read(k)
		s.mu.Lock()
		e, rev := s.keys[k], s.rev
		var out wire.Entry
		if e != nil {
			out = wire.Entry{Key: k, Value: e.v, Revision: e.stamp, Grant: e.permit}
		}
		s.mu.Unlock()
		if e == nil {
			wire.Answer(w, http.StatusNotFound, ledger{rev})
			return
		}
		wire.Answer(w, http.StatusOK, out)
	case r.URL.Path == "/txn" && r.Method == "POST":
		var t wire.Txn
		if wire.Decode(raw, &t) != nil || !s.allows(&t, len(raw)) {
			bad()
			return
		}
		if !s.limits.admits(0, len(t.Writes)) {
			wire.Answer(w, http.StatusTooManyRequests, wire.Reason{Error: "too many changes"})
			return
		}
		s.limits.await(&t)
		if !s.troubled(r, &t) {
			s.txn(w, hostOf(r.RemoteAddr), &t)
		}
	case r.URL.Path == "/grants" && r.Method == "POST":
		var a wire.GrantRequest
		if wire.Decode(raw, &a) != nil || a.TTLMillis < 100 || a.TTLMillis > 600_000 {
			bad()
			return
		}
		s.mu.Lock()
		id := s.next
		s.next++
		life := time.Duration(a.TTLMillis) * time.Millisecond
		s.grants[id] = &grant{life, time.Now().Add(life)}
		s.mu.Unlock()
		wire.Answer(w, http.StatusOK, wire.GrantResult{Grant: id})
	case strings.HasPrefix(r.URL.Path, "/grants/"):
		rest, renew := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/grants/"), "/renew")
		n, _ := strconv.ParseUint(rest, 10, 64)
		s.mu.Lock()
		g := s.grants[wire.GrantID(n)]
		switch {
		case g == nil:
		case renew:
			g.ends = time.Now().Add(g.life)
		case r.Method == "DELETE":
			s.end(wire.GrantID(n))
		}
		s.mu.Unlock()
		if g == nil {
			wire.Answer(w, http.StatusNotFound, wire.Reason{Error: "no such lease"})
			return
		}
		wire.Answer(w, http.StatusOK, wire.GrantResult{Grant: wire.GrantID(n)})
	default:
		bad()
	}
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("page"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	most = s.limits.paged(most)
	s.mu.Lock()
	var ks []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
			ks = append(ks, k)
		}
	}
	sort.Strings(ks)
	page := wire.EntryPage{Entries: []wire.Entry{}, Revision: s.rev}
	for _, k := range ks {
		if len(page.Entries) == most {
			page.Truncated = true
			break
		}
		e := s.keys[k]
		page.Entries = append(page.Entries, wire.Entry{Key: k, Value: e.v, Revision: e.stamp, Grant: e.permit})
	}
	s.mu.Unlock()
	s.limits.hold()
	wire.Answer(w, http.StatusOK, page)
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

var valueMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{DefaultMapType: reflect.TypeFor[map[string]any]()}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (s *State) txn(w http.ResponseWriter, from string, t *wire.Txn) {
	s.mu.Lock()
	if s.dropTxn > 0 {
		s.dropTxn--
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.execute(from, t)
	lose := status == http.StatusOK && s.loseTxn > 0
	if lose {
		s.loseTxn--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusOK {
		defer s.unsaid(from, t)()
	}
	wire.Answer(w, status, answer)
}

// execute carries a transaction out; call with the lock held.
func (s *State) execute(from string, t *wire.Txn) (status int, answer any) {
	// An expired lease is told first, whatever the conditions.
	for _, x := range t.Writes {
		if x.Put != "" && x.Grant != 0 && s.grants[x.Grant] == nil {
			return http.StatusBadRequest, wire.Reason{Error: "no such lease"}
		}
	}
	var failed []string
	for _, g := range t.Guards {
		e := s.keys[g.Key]
		if e == nil && g.Revision != 0 || e != nil && e.stamp != g.Revision {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		s.limits.fails(t)
		return http.StatusConflict, wire.TxnResult{Revision: s.rev, Failed: failed}
	}
	if len(t.Writes) > 0 {
		s.rev++
		for _, x := range t.Writes {
			if x.Delete != "" {
				delete(s.keys, x.Delete)
				s.changes = append(s.changes, change{s.rev, wire.Change{Delete: x.Delete, Revision: s.rev}})
				continue
			}
			s.keys[x.Put] = &entry{append(wire.Raw(nil), x.Value...), s.rev, x.Grant}
			s.changes = append(s.changes, change{s.rev, wire.Change{Put: x.Put, Value: append(wire.Raw(nil), x.Value...), Revision: s.rev}})
		}
		if keep := s.limits.kept(); len(s.changes) > keep {
			s.cut = s.changes[len(s.changes)-keep-1].rev
			s.changes = append([]change(nil), s.changes[len(s.changes)-keep:]...)
		}
		s.late.ran(from)
		s.bump()
	}
	return http.StatusOK, wire.TxnResult{Revision: s.rev}
}

func (s *State) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	until := time.After(time.Duration(min(block, 60_000)) * time.Millisecond)
	timeUp := false
	for {
		s.mu.Lock()
		s.expire()
		res := wire.Changes{Revision: s.rev, Events: []wire.Change{}}
		silent := s.out || s.refused[hostOf(r.RemoteAddr)]
		if s.cut > wire.Revision(after) {
			s.mu.Unlock()
			wire.Answer(w, http.StatusGone, wire.Reason{Error: "too old"})
			return
		}
		if !silent {
			for _, c := range s.changes {
				if c.rev > wire.Revision(after) && strings.HasPrefix(c.c.Put+c.c.Delete, q.Get("under")) {
					res.Events = append(res.Events, c.c)
				}
			}
		}
		wake, lag := s.wake, s.lag
		s.mu.Unlock()
		slices.Reverse(res.Events) // as in the page's example, which promises no order
		if len(res.Events) > 0 || timeUp && !silent {
			s.limits.hold()
			if block > 0 {
				time.Sleep(lag)
			}
			wire.Answer(w, http.StatusOK, res)
			return
		}
		select {
		case <-wake:
		case <-time.After(200 * time.Millisecond): // grants end by time
		case <-until:
			timeUp = true
		case <-r.Context().Done():
			return
		}
	}
}
