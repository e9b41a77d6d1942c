package duty_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/autoscaler"
	"lilaclead/internal/netio"
	"lilaclead/internal/store"
	"lilaclead/internal/wire"
)

// shortLease is the timing of a lease that expires soon enough for a test in real time.
var shortLease = duty.Timing{
	TTL:          300 * time.Millisecond,
	RenewEvery:   40 * time.Millisecond,
	RenewTimeout: 100 * time.Millisecond,
	Poll:         15 * time.Millisecond,
	PollJitter:   10 * time.Millisecond,
	Margin:       30 * time.Millisecond,
	Drift:        0.002,
}

// maxValueBytes is the size limit of the store for a value.
const maxValueBytes = 16 << 10

// holder is a process under test: it campaigns for the lease and, while it holds the lease,
// carries out acts of all duties, one after the other, as fast as it can.
type holder struct {
	receiversAddr string
	// fenced tells whether it asks for permits and records its intents. Without fencing it
	// acts until a renewal finds that the lease has expired, and checks nothing before an act.
	fenced     bool
	httpClient *http.Client // to the cloud and the worker
	store      gatedStore
	gate       *gate
	candidate  *duty.Candidate

	// The fields below belong to the current lease.
	lease           *duty.Lease
	scaleOutIntents *duty.Intents[duty.ScaleOut, autoscaler.ScaleOutIntent]
	scaleInIntents  *duty.Intents[duty.ScaleIn, wire.MachineID]
	machines        []string // those listed at takeover, then those added
	scaleOutCount   int      // requests to scale out under a new name, so far
}

func newHolder(node, addr string, fenced bool, mode freezeMode) *holder {
	h := &holder{receiversAddr: addr, fenced: fenced, gate: newGate(mode)}
	h.httpClient = &http.Client{Transport: h.gate}
	limits := config.StoreLimits{RPS: 1e6, WriteRPS: 1e6, ValueKB: maxValueBytes >> 10, TxnOps: 12}
	h.store = gatedStore{store.New(addr, limits, 1, netio.HostNetwork()), h.gate}
	h.candidate = duty.NewCandidate(duty.Options{Key: leaseKey, Node: duty.NodeID(node), Store: h.store, Timing: shortLease})
	return h
}

// run acquires the lease and acts under it, repeatedly, until the context ends.
func (h *holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		lease := h.candidate.Campaign(ctx)
		if lease == nil {
			return
		}
		h.serveTerm(ctx, lease)
	}
}

// serveTerm acts under a lease and renews it. The term ends when the lease is lost or the
// context ends.
func (h *holder) serveTerm(ctx context.Context, lease *duty.Lease) {
	ctx, cancel := context.WithCancel(ctx)
	var renewal sync.WaitGroup
	renewal.Go(func() {
		defer cancel()
		lease.KeepAlive(ctx, func(time.Time) {}) //nolint:errcheck // either way the term ends
	})
	h.act(ctx, lease)
	cancel()
	renewal.Wait()
}

// errTermEnded is the error of an act that is abandoned because the term has ended.
var errTermEnded = errors.New("the term has ended")

// act takes over from an earlier holder and then carries out acts until the term ends.
func (h *holder) act(ctx context.Context, lease *duty.Lease) {
	h.lease = lease
	h.scaleOutIntents = duty.NewIntents[duty.ScaleOut, autoscaler.ScaleOutIntent](lease, maxValueBytes)
	h.scaleInIntents = duty.NewIntents[duty.ScaleIn, wire.MachineID](lease, maxValueBytes)
	h.machines, h.scaleOutCount = nil, 0
	if h.takeOver(ctx) != nil {
		return
	}
	acts := []func(context.Context) error{h.scaleOutUnderNewName, h.preempt, h.cleanUp, h.scaleInOldest}
	for n := 0; ctx.Err() == nil; n++ {
		if err := acts[n%len(acts)](ctx); endsTerm(err) {
			return
		}
	}
}

// endsTerm reports whether the error of an act means that the term has ended.
func endsTerm(err error) bool {
	return errors.Is(err, duty.ErrNotHeld) || errors.Is(err, duty.ErrHeldByOther) || errors.Is(err, errTermEnded)
}

// takeOver sends the new token to the worker, completes the intents that an earlier holder
// left open, and launches a task on each machine that the cloud then lists.
func (h *holder) takeOver(ctx context.Context) error {
	if err := h.preempt(ctx); err != nil {
		return err
	}
	if h.fenced {
		if err := h.completeOpenIntents(ctx); err != nil {
			return err
		}
	}
	listed, err := h.sendRequest(ctx, listPath, "")
	if err != nil {
		return err
	}
	h.machines = listed
	return h.launchOn(ctx, listed)
}

// completeOpenIntents repeats the requests that an earlier holder recorded as open.
func (h *holder) completeOpenIntents(ctx context.Context) error {
	scaleOuts, err := h.scaleOutIntents.Load(ctx)
	if err != nil {
		return err
	}
	scaleIns, err := h.scaleInIntents.Load(ctx)
	if err != nil {
		return err
	}
	for _, intent := range scaleOuts.Open {
		if err := h.scaleOut(ctx, intent.Request.Name); err != nil {
			return err
		}
	}
	for _, machine := range scaleIns.Open {
		if err := h.scaleIn(ctx, machine); err != nil {
			return err
		}
	}
	return nil
}

// launchOn writes a record to the store and then launches a task on each machine. If the
// holder is fenced, it launches nothing if the write fails because the lease was lost.
func (h *holder) launchOn(ctx context.Context, machines []string) error {
	if err := h.cleanUp(ctx); err != nil {
		return err
	}
	for _, machine := range machines {
		if _, err := h.sendRequest(ctx, launchPath, machine); err != nil {
			return err
		}
	}
	return nil
}

// performAct carries out an act of the duty D: under a permit, or without one if the holder
// is not fenced.
func performAct[D duty.Duty](ctx context.Context, h *holder, act func(context.Context) error) error {
	if !h.fenced {
		return act(ctx)
	}
	permit, err := duty.PermitFor[D](h.lease)
	if err != nil {
		return err
	}
	return permit.Do(ctx, act)
}

// performActUntilDone retries an act of the duty D until it succeeds or the term ends.
func performActUntilDone[D duty.Duty](ctx context.Context, h *holder, act func(context.Context) error) error {
	for ctx.Err() == nil {
		err := performAct[D](ctx, h, act)
		if err == nil || errors.Is(err, duty.ErrNotHeld) {
			return err
		}
	}
	return errTermEnded
}

func (h *holder) scaleOutUnderNewName(ctx context.Context) error {
	h.scaleOutCount++
	return h.scaleOut(ctx, fmt.Sprintf("b-%d-%d", h.lease.Token(), h.scaleOutCount))
}

// scaleOut requests machines under a name. A request that is repeated under the same name
// adds no more machines.
func (h *holder) scaleOut(ctx context.Context, name string) error {
	if h.fenced {
		// One request is open at a time, so this record can replace the last one: an earlier
		// holder's request is either the one recorded here or already completed.
		request := wire.ScaleOutRequest{Name: name, Type: "c4", Zone: "a", Count: 2}
		if err := h.scaleOutIntents.Record(ctx, []autoscaler.ScaleOutIntent{{Request: request}}); err != nil {
			return err
		}
	}
	return performActUntilDone[duty.ScaleOut](ctx, h, func(ctx context.Context) error {
		machines, err := h.sendRequest(ctx, scaleOutPath, name)
		h.machines = append(h.machines, machines...)
		return err
	})
}

// scaleInOldest scales in the machine that it has known longest, if there are more than two.
func (h *holder) scaleInOldest(ctx context.Context) error {
	if len(h.machines) <= 2 {
		return nil
	}
	oldest := h.machines[0]
	h.machines = h.machines[1:]
	return h.scaleIn(ctx, wire.MachineID(oldest))
}

// scaleIn returns a machine to the cloud.
func (h *holder) scaleIn(ctx context.Context, machine wire.MachineID) error {
	if h.fenced {
		if err := h.scaleInIntents.Record(ctx, []wire.MachineID{machine}); err != nil {
			return err
		}
	}
	return performActUntilDone[duty.ScaleIn](ctx, h, func(ctx context.Context) error {
		_, err := h.sendRequest(ctx, scaleInPath, string(machine))
		return err
	})
}

// preempt stops a task on the worker, which learns the holder's token from the request.
func (h *holder) preempt(ctx context.Context) error {
	return performAct[duty.Preemption](ctx, h, func(ctx context.Context) error {
		_, err := h.sendRequest(ctx, preemptPath, "task")
		return err
	})
}

// cleanUp writes to the store a record whose key contains the lease's first token.
func (h *holder) cleanUp(ctx context.Context) error {
	key := cleanupPrefix + strconv.FormatUint(uint64(h.lease.FirstToken()), 10)
	txn := duty.Txn{Writes: []duty.Write{{PutKey: key, Value: wire.Encode(time.Now().UnixNano())}}}
	if !h.fenced {
		_, err := h.store.Commit(ctx, store.ClassCritical, txn)
		return err
	}
	permit, err := duty.PermitFor[duty.Cleanup](h.lease)
	if err != nil {
		return err
	}
	_, err = permit.Commit(ctx, store.ClassCritical, txn)
	return err
}

// sendRequest sends one request to the cloud or the worker and returns the decoded response.
func (h *holder) sendRequest(ctx context.Context, path, name string) (result []string, err error) {
	body, err := json.Marshal(actRequest{name})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.receiversAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(tokenHeader, strconv.FormatUint(uint64(h.lease.Token()), 10))
	response, err := h.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return result, json.NewDecoder(response.Body).Decode(&result)
}
