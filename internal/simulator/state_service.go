package simulator

import (
	"sort"
	"strings"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// KVStore is the fake key-value store, with revisions, guarded transactions, grants and watches.
type KVStore struct {
	mu        sync.Mutex
	revision  wire.Revision
	keys      map[string]*storeEntry
	grants    map[wire.GrantID]*storeGrant
	nextGrant wire.GrantID
	changes   []storeChange
	wake      chan struct{}
	// Faults and limits.
	inOutage        bool
	refusedClients  map[string]bool // hosts that are answered 503
	responsesToLose int             // number of next transactions that are executed and not answered
	requestsToDrop  int             // number of next transactions that are neither executed nor answered
	txnFaults       txnFaults
	copies          requestCopies
	renewalCopies   requestCopies
	maxTxnOps       int
	maxValueKB      int
	// oversizeRefusals counts the transactions that were refused as malformed or over a limit.
	oversizeRefusals int
	limits           storeLimits
	watchDelay       time.Duration // extra delay of the responses to blocking watches
	discardedUpTo    wire.Revision // the revision of the newest change that was discarded
}

// storeEntry is the value of a key, with the revision and the grant of its last write.
type storeEntry struct {
	value    wire.RawValue
	revision wire.Revision
	grant    wire.GrantID
}

// storeGrant is a grant. Keys that were written under it are removed when it ends.
type storeGrant struct {
	ttl       time.Duration
	expiresAt time.Time
}

// storeChange is a change that is kept for watches.
type storeChange struct {
	revision wire.Revision
	change   wire.WatchEvent
}

// NewKVStore returns an empty key-value store that limits the writes of a transaction and the
// size of a value.
func NewKVStore(maxOps, valueKB int) *KVStore {
	return &KVStore{keys: map[string]*storeEntry{}, grants: map[wire.GrantID]*storeGrant{}, nextGrant: 1, wake: make(chan struct{}),
		refusedClients: map[string]bool{}, maxTxnOps: maxOps, maxValueKB: valueKB}
}

// Put writes a key as a client would, for tests.
func (s *KVStore) Put(key string, v any) wire.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.keys[key] = &storeEntry{value: wire.Encode(v), revision: s.revision}
	s.changes = append(s.changes, storeChange{s.revision, wire.WatchEvent{PutKey: key, Value: wire.Encode(v), Revision: s.revision}})
	s.notify()
	return s.revision
}

// Delete removes a key as a client would, for tests.
func (s *KVStore) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys[key] == nil {
		return
	}
	s.revision++
	delete(s.keys, key)
	s.changes = append(s.changes, storeChange{s.revision, wire.WatchEvent{DeletedKey: key, Revision: s.revision}})
	s.notify()
}

// Revision returns the revision of a key, 0 if the key does not exist, for tests.
func (s *KVStore) Revision(key string) wire.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return e.revision
	}
	return 0
}

// Changes counts the kept changes of keys with a prefix.
func (s *KVStore) Changes(prefix string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if strings.HasPrefix(c.change.PutKey+c.change.DeletedKey, prefix) {
			n++
		}
	}
	return n
}

// LastRevision returns the revision of the newest change.
func (s *KVStore) LastRevision() wire.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Value returns the value of a key, nil if the key does not exist, for tests.
func (s *KVStore) Value(key string) wire.RawValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return e.value
	}
	return nil
}

// Keys lists the keys with a prefix, for tests.
func (s *KVStore) Keys(prefix string) []string {
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

// LargestValue returns the size of the largest value under a prefix, in bytes as JSON.
func (s *KVStore) LargestValue(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := 0
	for k, e := range s.keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			largest = max(largest, jsonSize(e.value))
		}
	}
	return largest
}

// notify wakes all blocking watches; the caller holds the lock.
func (s *KVStore) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// expire ends the grants that have expired; during an outage none ends. The caller holds the
// lock.
func (s *KVStore) expire() {
	if s.inOutage {
		return
	}
	now := time.Now()
	for id, g := range s.grants {
		if !now.Before(g.expiresAt) {
			s.endGrant(id)
		}
	}
}

// endGrant ends a grant and removes its keys; the caller holds the lock.
func (s *KVStore) endGrant(id wire.GrantID) {
	delete(s.grants, id)
	var removed []string
	for k, e := range s.keys {
		if e.grant == id {
			removed = append(removed, k)
		}
	}
	if len(removed) == 0 {
		return
	}
	s.revision++
	sort.Strings(removed)
	for _, k := range removed {
		delete(s.keys, k)
		s.changes = append(s.changes, storeChange{s.revision, wire.WatchEvent{DeletedKey: k, Revision: s.revision}})
	}
	s.notify()
}
