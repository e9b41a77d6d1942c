package simulator

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"lilaclead/internal/wire"
)

// TxnFault is what the state service does to some transactions: it gives no
// answer, and carries them out at once or, with Late, some time later, when
// newer ones have been carried out.
type TxnFault struct {
	Hosts  []string // of these clients; nil: of all
	Prefix string   // those that change a key with this prefix
	Share  float64  // so many of them; 0: all
	Most   int      // no more than this; 0: any number
	// Late is the shortest and the longest delay; zero: at once.
	Late [2]time.Duration
	// Hang: the client always waits until it gives up; else every other
	// connection breaks at once.
	Hang bool
}

// Fate of a transaction that a fault hit.
type Fate struct {
	From string
	Keys []string // that it changes
	Sent time.Time
	Late bool
	// Done is when it was carried out or refused; zero: not yet. Status is what
	// the answer would have been, Failed the guards that failed.
	Done   time.Time
	Status int
	Failed []string
	// Newer counts the transactions of the same client that were carried out
	// in between.
	Newer int
}

// Changes tells whether the transaction changes a key with the prefix.
func (f *Fate) Changes(prefix string) bool {
	return slices.ContainsFunc(f.Keys, func(k string) bool { return strings.HasPrefix(k, prefix) })
}

// lateWrites is the part of the service that makes such trouble. The service's
// lock guards it.
type lateWrites struct {
	rng    *rand.Rand
	faults []TxnFault
	fates  []*Fate
	slow   map[string]time.Duration // by client; "" stands for all
	unsaid map[string][]string      // by client: keys changed by what is not answered yet
	count  map[string]int           // by client: transactions carried out
}

func (l *lateWrites) ran(from string) {
	if l.count == nil {
		l.count = map[string]int{}
	}
	l.count[from]++
}

// Trouble puts these faults in place of the former ones; without any it ends
// them. What is on its way is carried out all the same.
func (s *State) Trouble(seed uint64, faults ...TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late.rng, s.late.faults = rand.New(rand.NewPCG(seed, 11)), faults
}

// Slow delays every answer to a host, "" for all, after what was asked for has
// been done.
func (s *State) Slow(host string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late.slow == nil {
		s.late.slow = map[string]time.Duration{}
	}
	s.late.slow[host] = by
}

// Fates of the transactions that were hit so far, in the order of their coming.
func (s *State) Fates() []Fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Fate, len(s.late.fates))
	for i, f := range s.late.fates {
		out[i] = *f
	}
	return out
}

// unsaid notes what a transaction has changed until it is answered.
func (s *State) unsaid(from string, t *wire.Txn) (said func()) {
	keys := keysOf(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late.unsaid == nil {
		s.late.unsaid = map[string][]string{}
	}
	s.late.unsaid[from] = append(s.late.unsaid[from], keys...)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		left := s.late.unsaid[from]
		for _, k := range keys {
			if i := slices.Index(left, k); i >= 0 {
				left = slices.Delete(left, i, i+1)
			}
		}
		s.late.unsaid[from] = left
	}
}

// Unsaid counts the keys with a prefix that a host has changed without having
// its answer yet, the service being slow.
func (s *State) Unsaid(host, prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.late.unsaid[host] {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func keysOf(t *wire.Txn) []string {
	var out []string
	for _, x := range t.Writes {
		out = append(out, x.Put+x.Delete)
	}
	return out
}

// troubled tells whether a fault hits the transaction, and plays it.
func (s *State) troubled(r *http.Request, t *wire.Txn) bool {
	from := hostOf(r.RemoteAddr)
	f := &Fate{From: from, Keys: keysOf(t), Sent: time.Now()}
	s.mu.Lock()
	l := &s.late
	i := slices.IndexFunc(l.faults, func(x TxnFault) bool {
		return (x.Hosts == nil || slices.Contains(x.Hosts, from)) && f.Changes(x.Prefix) && (x.Share == 0 || l.rng.Float64() < x.Share)
	})
	if i < 0 {
		s.mu.Unlock()
		return false
	}
	x := l.faults[i]
	if x.Most == 1 {
		l.faults = slices.Delete(l.faults, i, i+1)
	} else if x.Most > 1 {
		l.faults[i].Most--
	}
	l.fates = append(l.fates, f)
	before := l.count[from]
	carryOut := func() {
		s.expire()
		f.Newer = l.count[from] - before
		var answer any
		f.Status, answer = s.execute(from, t)
		f.Done = time.Now()
		if res, ok := answer.(wire.TxnResult); ok {
			f.Failed = res.Failed
		}
	}
	if f.Late = x.Late[1] > 0; f.Late {
		time.AfterFunc(x.Late[0]+time.Duration(l.rng.Float64()*float64(x.Late[1]-x.Late[0])), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			carryOut()
		})
	} else {
		carryOut()
	}
	hang := l.rng.IntN(2) == 0 || x.Hang
	s.mu.Unlock()
	if hang { // until the client gives up; else the connection breaks at once
		<-r.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

// slowly is the writer through which an answer goes to a slow service's client.
func (s *State) slowly(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	s.mu.Lock()
	defer s.mu.Unlock()
	by := max(s.late.slow[""], s.late.slow[hostOf(r.RemoteAddr)])
	if by == 0 {
		return w
	}
	return &slowWriter{ResponseWriter: w, by: by}
}

type slowWriter struct {
	http.ResponseWriter
	by time.Duration
}

func (w *slowWriter) WriteHeader(status int) {
	time.Sleep(w.by)
	w.by = 0
	w.ResponseWriter.WriteHeader(status)
}

func (w *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(w.by)
	w.by = 0
	return w.ResponseWriter.Write(b)
}

// QuickBoots lets machines be up within two seconds of their rental, or no more.
func (w *World) QuickBoots(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bootFactor = 1; on {
		w.bootFactor = 0.1
	}
}

// Newest tells of the newest machine that is up how long ago it was rented and how
// long after that it was up; zero if there is none.
func (w *World) Newest() (age, boot time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if old := time.Since(m.rented); m.up && (boot == 0 || old < age) {
			age, boot = old, m.upAt.Sub(m.rented)
		}
	}
	return
}

// Know makes a job known to the workers and the checker; the test itself is its
// user.
func (w *World) Know(t Truth) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truths[t.Spec.ID] = &t
	w.check.Submitted(t.Spec)
}

// Said is what users were told of a job so far: 0 nothing, 1 that it is accepted,
// 2 that it is over.
func (c *Checker) Said(id wire.JobID) int {
	switch j := c.jobs[id]; {
	case j == nil:
		return 0
	case j.told != "":
		return 2
	case j.accepted:
		return 1
	}
	return 0
}
