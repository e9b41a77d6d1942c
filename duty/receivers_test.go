package duty_test

import (
	"encoding/json"
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

const (
	leaseKey = store.LeaderKey
	// launching is no duty of the package: it stands for what a holder does with a machine
	// that it believes to be its own.
	launching duty.Name = "launching"
	// factPrefix starts the keys that clean-up writes, which are named by the token under
	// which it does.
	factPrefix = "fact/"
	// tokenHeader tells the fakes under which token a request was sent. They decide
	// nothing by it unless the protocol has a token there.
	tokenHeader = "X-Token"
)

// Paths of the fake cloud and the fake worker.
const (
	scaleOutPath = "/cloud/scale-out"
	scaleInPath  = "/cloud/scale-in"
	launchPath   = "/cloud/launch"
	listPath     = "/cloud/list"
	preemptPath  = "/worker/preempt"
)

// actRequest is the body of a request to the cloud or the worker.
type actRequest struct {
	Name string `json:"name"`
}

// act is something that a receiver was asked to do.
type act struct {
	duty     duty.Name
	token    duty.FencingToken
	target   string // request to scale out, machine, task or key
	accepted bool   // it changed something
	at       time.Time
}

// receivers are the fakes that a holder acts upon: the store, a cloud that checks no
// tokens, and a worker that does. One lock orders all that they do.
type receivers struct {
	store *simulator.KVStore
	// workerChecksTokens is false in the control, where nothing is fenced.
	workerChecksTokens bool

	mu         sync.Mutex
	acts       []act
	scaledOut  map[string][]string // machines by the name of the request
	machines   map[string]bool
	launchedBy map[string]duty.FencingToken // who used a machine last
	lastID     int
	// workerToken is the highest that the worker has seen.
	workerToken duty.FencingToken
	// facts are the revisions of the records that clean-up writes.
	facts map[string]duty.Revision
	tenureStart
}

// tenureStart is what there was when the lease was acquired last.
type tenureStart struct {
	holderToken   duty.FencingToken
	actsBefore    int
	openScaleOuts map[string]bool
	openScaleIns  map[string]bool
}

func newReceivers(workerChecksTokens bool) *receivers {
	return &receivers{
		store:              simulator.NewKVStore(12, recordLimit>>10),
		workerChecksTokens: workerChecksTokens,
		scaledOut:          map[string][]string{},
		machines:           map[string]bool{},
		launchedBy:         map[string]duty.FencingToken{},
		facts:              map[string]duty.Revision{},
	}
}

func (r *receivers) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case scaleOutPath, scaleInPath, launchPath, listPath, preemptPath:
		r.serveAct(w, request)
	default:
		r.serveStore(w, request)
	}
}

// serveStore passes a request on to the store and notices when the lease is acquired.
func (r *receivers) serveStore(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.ServeHTTP(w, request)
	r.recordCleanups()
	if token := duty.FencingToken(r.store.Revision(leaseKey)); token > r.holderToken {
		r.tenureStart = r.newTenureStart(token)
	}
}

// newTenureStart returns what there is now that the lease was acquired under a token.
func (r *receivers) newTenureStart(token duty.FencingToken) tenureStart {
	start := tenureStart{holderToken: token, actsBefore: len(r.acts), openScaleOuts: map[string]bool{}, openScaleIns: map[string]bool{}}
	var scaleOuts duty.IntentRecord[autoscaler.ScaleOutIntent]
	decodeIntents(r.store.Value(duty.IntentKey("renting")), &scaleOuts)
	for _, intent := range scaleOuts.Open {
		start.openScaleOuts[intent.Request.Name] = true
	}
	var scaleIns duty.IntentRecord[wire.MachineID]
	decodeIntents(r.store.Value(duty.IntentKey("returning")), &scaleIns)
	for _, machine := range scaleIns.Open {
		start.openScaleIns[string(machine)] = true
	}
	return start
}

// recordCleanups adds an act for each record that clean-up has written. The caller holds
// the lock.
func (r *receivers) recordCleanups() {
	for _, key := range r.store.Keys(factPrefix) {
		revision := r.store.Revision(key)
		if revision == r.facts[key] {
			continue
		}
		r.facts[key] = revision
		token, _ := strconv.ParseUint(key[len(factPrefix):], 10, 64)
		r.acts = append(r.acts, act{duty: duty.Cleanup{}.Name(), token: duty.FencingToken(token), target: key, accepted: true, at: time.Now()})
	}
}

func decodeIntents(raw []byte, record any) {
	if len(raw) > 0 && wire.Decode(raw, record) != nil {
		panic("a record of intents can't be decoded")
	}
}

func (r *receivers) serveAct(w http.ResponseWriter, request *http.Request) {
	var body actRequest
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(request.Header.Get(tokenHeader), 10, 64)
	r.mu.Lock()
	defer r.mu.Unlock()
	status, answer := r.execute(request.URL.Path, duty.FencingToken(token), body.Name)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(answer) //nolint:errcheck // the client may have gone
}

// execute carries out what a path stands for, and records it as an act if it is one. The
// caller holds the lock.
func (r *receivers) execute(path string, token duty.FencingToken, target string) (status int, answer []string) {
	if path == listPath {
		return http.StatusOK, r.listMachines()
	}
	a := act{token: token, target: target, at: time.Now()}
	status, answer = http.StatusOK, []string{}
	switch path {
	case scaleOutPath:
		a.duty = duty.ScaleOut{}.Name()
		answer, a.accepted = r.scaleOut(target)
	case scaleInPath:
		a.duty = duty.ScaleIn{}.Name()
		a.accepted = r.machines[target]
		delete(r.machines, target)
	case launchPath:
		a.duty = launching
		a.accepted = r.launch(target, token)
	case preemptPath:
		a.duty = duty.Preemption{}.Name()
		a.accepted = r.preempt(token)
		if !a.accepted {
			status = http.StatusConflict
		}
	}
	r.acts = append(r.acts, a)
	return status, answer
}

func (r *receivers) listMachines() []string {
	machines := []string{}
	for id := range r.machines {
		machines = append(machines, id)
	}
	return machines
}

// scaleOut adds two machines; a repeated request gets the same ones and adds none.
func (r *receivers) scaleOut(name string) (machines []string, added bool) {
	if known, ok := r.scaledOut[name]; ok {
		return known, false
	}
	for range 2 {
		r.lastID++
		id := "n-" + strconv.Itoa(r.lastID)
		machines = append(machines, id)
		r.machines[id] = true
	}
	r.scaledOut[name] = machines
	return machines, true
}

// launch reports whether a machine takes a task: its worker checks tokens too.
func (r *receivers) launch(machine string, token duty.FencingToken) bool {
	accepted := r.machines[machine] && (!r.workerChecksTokens || token >= r.launchedBy[machine])
	if accepted {
		r.launchedBy[machine] = token
	}
	return accepted
}

// preempt reports whether the worker stops a task.
func (r *receivers) preempt(token duty.FencingToken) bool {
	accepted := !r.workerChecksTokens || token >= r.workerToken
	r.workerToken = max(r.workerToken, token)
	return accepted
}

// lateActs are those of earlier holders that arrived after the last one had acquired the
// lease.
type lateActs struct {
	arrived int
	// completed are accepted ones that carried out an intent which the successor found
	// open.
	completed int
	// beforeSuccessor are those that a worker accepted before the successor had acted on
	// it, as the worker can't know of it yet.
	beforeSuccessor int
	// stale are all other accepted ones.
	stale []act
}

// lateActs classifies the late acts so far.
func (r *receivers) lateActs() lateActs {
	r.mu.Lock()
	defer r.mu.Unlock()
	var late lateActs
	workerKnowsSuccessor := false
	for _, a := range r.acts[r.actsBefore:] {
		if a.token == r.holderToken {
			workerKnowsSuccessor = workerKnowsSuccessor || a.duty == (duty.Preemption{}).Name()
			continue
		}
		late.arrived++
		switch {
		case !a.accepted:
		case r.completesIntent(a):
			late.completed++
		case r.precedesSuccessor(a, workerKnowsSuccessor):
			late.beforeSuccessor++
		default:
			late.stale = append(late.stale, a)
		}
	}
	return late
}

// completesIntent reports whether a late act is one that the successor found open. A
// machine that the successor uses is none of these.
func (r *receivers) completesIntent(a act) bool {
	switch a.duty {
	case duty.ScaleOut{}.Name():
		return r.openScaleOuts[a.target]
	case duty.ScaleIn{}.Name():
		return r.openScaleIns[a.target] && r.launchedBy[a.target] != r.holderToken
	}
	return false
}

// precedesSuccessor reports whether a late act came to a worker that the successor had not
// reached yet.
func (r *receivers) precedesSuccessor(a act, workerKnowsSuccessor bool) bool {
	switch a.duty {
	case duty.Preemption{}.Name():
		return !workerKnowsSuccessor
	case launching:
		return r.launchedBy[a.target] != r.holderToken
	}
	return false
}

// firstActAfter returns when the last holder acted first after a time.
func (r *receivers) firstActAfter(t time.Time) (at time.Time, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.acts {
		if a.token == r.holderToken && a.at.After(t) {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// currentToken returns the token of the last holder.
func (r *receivers) currentToken() duty.FencingToken {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holderToken
}

// countActs returns how many acts the receivers were asked for.
func (r *receivers) countActs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.acts)
}
