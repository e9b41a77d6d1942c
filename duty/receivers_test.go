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
	// launchDuty is not a duty of the package. It marks an act by which a holder launches a
	// task on a machine that it considers its own.
	launchDuty duty.Name = "launching"
	// cleanupPrefix starts the keys that a clean-up writes. The token under which it writes
	// follows.
	cleanupPrefix = "fact/"
	// tokenHeader names the token under which a request was sent, for the record of the
	// act. Only the workers check it: the real protocol has no token in requests to the
	// cloud.
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

// act is a change that a holder requested of a receiver.
type act struct {
	duty     duty.Name
	token    duty.FencingToken
	target   string // name of a request to scale out, or a machine, task or key
	accepted bool   // it changed something
	at       time.Time
}

// receivers are the fakes that receive a holder's requests: the store, a cloud that doesn't
// check fencing tokens, and a worker that does. One lock orders all requests.
type receivers struct {
	store *simulator.KVStore
	// workerChecksTokens is false in the control test, where nothing is fenced.
	workerChecksTokens bool

	mu                sync.Mutex
	acts              []act
	machinesByRequest map[string][]string // machines by the name of the request to scale out
	machines          map[string]bool
	lastLaunchToken   map[string]duty.FencingToken // token of the last accepted launch, by machine
	lastID            int
	// workerToken is the highest token that the worker has seen.
	workerToken duty.FencingToken
	// cleanupRevisions are the revisions of the records that clean-ups wrote, by key.
	cleanupRevisions map[string]duty.Revision
	acquisitionState
}

// acquisitionState is the state of the receivers when the lease was last acquired.
type acquisitionState struct {
	holderToken   duty.FencingToken
	actsBefore    int // acts that had arrived by then
	openScaleOuts map[string]bool
	openScaleIns  map[string]bool
}

func newReceivers(workerChecksTokens bool) *receivers {
	return &receivers{
		store:              simulator.NewKVStore(12, maxValueBytes>>10),
		workerChecksTokens: workerChecksTokens,
		machinesByRequest:  map[string][]string{},
		machines:           map[string]bool{},
		lastLaunchToken:    map[string]duty.FencingToken{},
		cleanupRevisions:   map[string]duty.Revision{},
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

// serveStore passes a request on to the store. If the lease's key has a new revision it
// records the new holder's token and the state that this holder finds.
func (r *receivers) serveStore(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.ServeHTTP(w, request)
	r.recordCleanups()
	if token := duty.FencingToken(r.store.Revision(leaseKey)); token > r.holderToken {
		r.acquisitionState = r.newAcquisitionState(token)
	}
}

// newAcquisitionState returns the present state, for a lease that was just acquired under
// the token.
func (r *receivers) newAcquisitionState(token duty.FencingToken) acquisitionState {
	state := acquisitionState{holderToken: token, actsBefore: len(r.acts), openScaleOuts: map[string]bool{}, openScaleIns: map[string]bool{}}
	var scaleOuts duty.IntentRecord[autoscaler.ScaleOutIntent]
	decodeIntents(r.store.Value(duty.IntentKey("renting")), &scaleOuts)
	for _, intent := range scaleOuts.Open {
		state.openScaleOuts[intent.Request.Name] = true
	}
	var scaleIns duty.IntentRecord[wire.MachineID]
	decodeIntents(r.store.Value(duty.IntentKey("returning")), &scaleIns)
	for _, machine := range scaleIns.Open {
		state.openScaleIns[string(machine)] = true
	}
	return state
}

// recordCleanups adds an act for each record that a clean-up has written since the last
// call. The caller holds the lock.
func (r *receivers) recordCleanups() {
	for _, key := range r.store.Keys(cleanupPrefix) {
		revision := r.store.Revision(key)
		if revision == r.cleanupRevisions[key] {
			continue
		}
		r.cleanupRevisions[key] = revision
		token, _ := strconv.ParseUint(key[len(cleanupPrefix):], 10, 64)
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
	status, result := r.execute(request.URL.Path, duty.FencingToken(token), body.Name)
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(result) //nolint:errcheck // the client may have gone
}

// execute carries out the request with this path and records it as an act, unless it only
// lists machines. The caller holds the lock.
func (r *receivers) execute(path string, token duty.FencingToken, target string) (status int, result []string) {
	if path == listPath {
		return http.StatusOK, r.listMachines()
	}
	a := act{token: token, target: target, at: time.Now()}
	status, result = http.StatusOK, []string{}
	switch path {
	case scaleOutPath:
		a.duty = duty.ScaleOut{}.Name()
		result, a.accepted = r.scaleOut(target)
	case scaleInPath:
		a.duty = duty.ScaleIn{}.Name()
		a.accepted = r.machines[target]
		delete(r.machines, target)
	case launchPath:
		a.duty = launchDuty
		a.accepted = r.launch(target, token)
	case preemptPath:
		a.duty = duty.Preemption{}.Name()
		a.accepted = r.preempt(token)
		if !a.accepted {
			status = http.StatusConflict
		}
	}
	r.acts = append(r.acts, a)
	return status, result
}

func (r *receivers) listMachines() []string {
	machines := []string{}
	for id := range r.machines {
		machines = append(machines, id)
	}
	return machines
}

// scaleOut adds two machines. A repeated request returns the same ones and adds none.
func (r *receivers) scaleOut(name string) (machines []string, added bool) {
	if known, ok := r.machinesByRequest[name]; ok {
		return known, false
	}
	for range 2 {
		r.lastID++
		id := "n-" + strconv.Itoa(r.lastID)
		machines = append(machines, id)
		r.machines[id] = true
	}
	r.machinesByRequest[name] = machines
	return machines, true
}

// launch launches a task on a machine and reports whether it was accepted. The machine's
// worker checks tokens too.
func (r *receivers) launch(machine string, token duty.FencingToken) bool {
	accepted := r.machines[machine] && (!r.workerChecksTokens || token >= r.lastLaunchToken[machine])
	if accepted {
		r.lastLaunchToken[machine] = token
	}
	return accepted
}

// preempt stops a task and reports whether the worker accepted that.
func (r *receivers) preempt(token duty.FencingToken) bool {
	accepted := !r.workerChecksTokens || token >= r.workerToken
	r.workerToken = max(r.workerToken, token)
	return accepted
}

// lateActs are the acts of earlier holders that arrived after the last holder had acquired
// the lease.
type lateActs struct {
	arrived int
	// completed counts the accepted acts that carried out an intent which the successor
	// found open.
	completed int
	// beforeSuccessor counts the acts that a worker accepted before the successor's first
	// request to it. Until then the worker can't know the successor's token.
	beforeSuccessor int
	// stale are all other accepted acts: the ones that fencing has to prevent.
	stale []act
}

// classifyLateActs classifies the acts that have arrived late so far.
func (r *receivers) classifyLateActs() lateActs {
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

// completesIntent reports whether a late act carried out an intent that the successor found
// open. It isn't one if it returns a machine on which the successor has launched a task.
func (r *receivers) completesIntent(a act) bool {
	switch a.duty {
	case duty.ScaleOut{}.Name():
		return r.openScaleOuts[a.target]
	case duty.ScaleIn{}.Name():
		return r.openScaleIns[a.target] && r.lastLaunchToken[a.target] != r.holderToken
	}
	return false
}

// precedesSuccessor reports whether a late act reached a worker before the successor's first
// request to that worker.
func (r *receivers) precedesSuccessor(a act, workerKnowsSuccessor bool) bool {
	switch a.duty {
	case duty.Preemption{}.Name():
		return !workerKnowsSuccessor
	case launchDuty:
		return r.lastLaunchToken[a.target] != r.holderToken
	}
	return false
}

// firstActAfter returns the time of the last holder's first act after the given time.
func (r *receivers) firstActAfter(after time.Time) (at time.Time, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.acts {
		if a.token == r.holderToken && a.at.After(after) {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// currentToken returns the token under which the lease was last acquired.
func (r *receivers) currentToken() duty.FencingToken {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holderToken
}

// countActs returns how many acts have arrived at the receivers.
func (r *receivers) countActs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.acts)
}
