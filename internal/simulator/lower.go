package simulator

import (
	"lilaclead/internal/config"
	"lilaclead/internal/wire"
)

// Lower gives the service smaller limits from now on, without notice: a larger
// value or transaction gets 400, changes beyond the rate 429. What is stored
// stays readable.
func (s *State) Lower(valueKB, maxOps int, rps, writeRPS float64) {
	s.mu.Lock()
	s.maxOps, s.valueKB = maxOps, valueKB
	s.mu.Unlock()
	s.Limit(rps, writeRPS)
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

// Oversize counts the transactions that were refused for their size.
func (s *State) Oversize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oversize
}

// LargestValue is the size of the largest value under a prefix.
func (s *State) LargestValue(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k, e := range s.keys {
		if len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			n = max(n, jsonSize(e.v))
		}
	}
	return n
}

// Configure changes the settings that a node starts with the next time.
func (w *World) Configure(i int, f func(*config.Settings)) { f(&w.nodes[i].cfg.Settings) }
