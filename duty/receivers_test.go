package duty_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// tokenHeader tells the fakes under which token a request was sent. They note it and
// decide nothing by it, unless the protocol has a token there.
const tokenHeader = "X-Token"

// act is something that a receiver was asked to do.
type act struct {
	duty   duty.Name
	token  duty.FencingToken
	what   string // booking, machine, worker or key
	effect bool   // it changed something
	at     time.Time
}

// receivers are the fakes that a holder acts upon: the state service, a cloud that
// checks no tokens, and a worker that does. One lock orders all that they do.
type receivers struct {
	state *simulator.State
	// checks tells whether the worker checks tokens.
	checks bool

	mu       sync.Mutex
	acts     []act
	bookings map[string][]string
	machines map[string]bool
	used     map[string]duty.FencingToken // by whom a machine was last used
	nextID   int
	highest  duty.FencingToken // that the worker has seen
	// promoted is when the lease was last taken, and by which token.
	promoted    duty.FencingToken
	promotedAt  time.Time
	actsBefore  int                      // acts until then
	facts       map[string]duty.Revision // of the records that clean-up writes
	openRentals map[string]bool          // recorded when it was taken
	openReturns map[string]bool
}

func newReceivers(checks bool) *receivers {
	return &receivers{state: simulator.NewState(12, 16), checks: checks, bookings: map[string][]string{}, machines: map[string]bool{}, used: map[string]duty.FencingToken{}, facts: map[string]duty.Revision{}}
}

func (r *receivers) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/cloud/rent", "/cloud/return", "/cloud/use", "/cloud/list", "/worker/halt":
		r.serveAct(w, q)
	default:
		r.serveState(w, q)
	}
}

// serveState passes on to the state service and notes when the lease is taken.
func (r *receivers) serveState(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.ServeHTTP(w, q)
	r.noteFacts()
	if now := duty.FencingToken(r.state.Revision(leaseKey)); now > r.promoted {
		r.promoted, r.promotedAt, r.actsBefore = now, time.Now(), len(r.acts)
		r.openRentals, r.openReturns = map[string]bool{}, map[string]bool{}
		var rentals duty.IntentRecord[autoscaler.ScaleOutIntent]
		var returns duty.IntentRecord[wire.MachineID]
		decode(r.state.Value(duty.IntentKey("renting")), &rentals)
		decode(r.state.Value(duty.IntentKey("returning")), &returns)
		for _, i := range rentals.Open {
			r.openRentals[i.Request.Name] = true
		}
		for _, id := range returns.Open {
			r.openReturns[string(id)] = true
		}
	}
}

// noteFacts notes which records clean-up has written; call with the lock held.
func (r *receivers) noteFacts() {
	for _, key := range r.state.Keys(factPrefix) {
		revision := r.state.Revision(key)
		if revision == r.facts[key] {
			continue
		}
		r.facts[key] = revision
		token, _ := strconv.ParseUint(key[len(factPrefix):], 10, 64)
		r.acts = append(r.acts, act{duty: duty.Cleanup{}.Name(), token: duty.FencingToken(token), what: key, effect: true, at: time.Now()})
	}
}

func decode(raw []byte, v any) {
	if len(raw) > 0 && wire.Decode(raw, v) != nil {
		panic("a record of intents can't be decoded")
	}
}

// request to the cloud or the worker.
type request struct {
	Name string `json:"name"`
}

func (r *receivers) serveAct(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	var in request
	if err != nil || json.Unmarshal(raw, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(q.Header.Get(tokenHeader), 10, 64)
	a := act{token: duty.FencingToken(token), what: in.Name, at: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	status, answer := http.StatusOK, []string{}
	switch q.URL.Path {
	case "/cloud/rent":
		a.duty = duty.ScaleOut{}.Name()
		answer, a.effect = r.rent(in.Name)
	case "/cloud/return":
		a.duty = duty.ScaleIn{}.Name()
		a.effect = r.machines[in.Name]
		delete(r.machines, in.Name)
	case "/cloud/use":
		// A launch: that machine's worker checks tokens too.
		a.duty, a.effect = launching, r.machines[in.Name] && (!r.checks || a.token >= r.used[in.Name])
		if a.effect {
			r.used[in.Name] = a.token
		}
	case "/cloud/list":
		for id := range r.machines {
			answer = append(answer, id)
		}
	case "/worker/halt":
		a.duty = duty.Preemption{}.Name()
		a.effect = !r.checks || a.token >= r.highest
		r.highest = max(r.highest, a.token)
		if !a.effect {
			status = http.StatusConflict
		}
	}
	if a.duty != "" {
		r.acts = append(r.acts, a)
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(answer) //nolint:errcheck // the client has gone
}

// rent gives two machines; a repeated booking the same ones.
func (r *receivers) rent(booking string) (machines []string, made bool) {
	if known, ok := r.bookings[booking]; ok {
		return known, false
	}
	for range 2 {
		r.nextID++
		id := "n-" + strconv.Itoa(r.nextID)
		machines = append(machines, id)
		r.machines[id] = true
	}
	r.bookings[booking] = machines
	return machines, true
}

// staleActs lists what was accepted of earlier holders after the last one had taken
// the lease, and counts what of theirs arrived; what was carried out for it, intents
// that it found; and what a worker accepted before the last one had acted on it, as
// the worker can't know of it yet.
func (r *receivers) staleActs() (stale []act, arrived, completed, inWindow int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	shown := false // the last holder has acted on the worker
	for _, a := range r.acts[r.actsBefore:] {
		if a.duty == (duty.Preemption{}).Name() && a.token == r.promoted {
			shown = true
		}
		if a.token == r.promoted {
			continue
		}
		arrived++
		if !a.effect {
			continue
		}
		switch a.duty {
		case duty.ScaleOut{}.Name():
			if r.openRentals[a.what] {
				completed++
				continue
			}
		case duty.ScaleIn{}.Name():
			if r.openReturns[a.what] && r.used[a.what] != r.promoted {
				completed++
				continue
			}
		case duty.Preemption{}.Name():
			if !shown {
				inWindow++
				continue
			}
		case launching:
			if r.used[a.what] != r.promoted {
				inWindow++
				continue
			}
		}
		stale = append(stale, a)
	}
	return stale, arrived, completed, inWindow
}

// firstActAfter is the first act of the last holder.
func (r *receivers) firstActAfter(t time.Time) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.acts {
		if a.token == r.promoted && a.at.After(t) {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// holder is the token of who holds the lease.
func (r *receivers) holder() duty.FencingToken {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.promoted
}

const (
	leaseKey = store.LeaderKey
	// launching is no duty of the package: it stands for what a holder does with a
	// machine that it believes to be its own.
	launching duty.Name = "launching"
	// factPrefix is of the records that clean-up writes, named by the token under which
	// it does.
	factPrefix = "fact/"
)
