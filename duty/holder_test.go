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

// shortLease is the timing of a lease whose end a test can wait for in real time.
var shortLease = duty.Timing{
	TTL:          300 * time.Millisecond,
	RenewEvery:   40 * time.Millisecond,
	RenewTimeout: 100 * time.Millisecond,
	Poll:         15 * time.Millisecond,
	PollJitter:   10 * time.Millisecond,
	Margin:       30 * time.Millisecond,
	Drift:        0.002,
}

// recordLimit is the largest value of the store, in bytes.
const recordLimit = 16 << 10

// holder is a program that carries out all duties while it holds the lease, one act after
// the other, as fast as it can.
type holder struct {
	receiversAddr string
	// fenced: it asks for permits and records its intents. If not, it acts as long as it
	// believes that it holds the lease, by what it found when it acquired it.
	fenced    bool
	http      *http.Client
	store     gatedStore
	gate      *gate
	candidate *duty.Candidate

	// The fields below belong to the current lease.
	lease     *duty.Lease
	scaleOuts *duty.Intents[duty.ScaleOut, autoscaler.ScaleOutIntent]
	scaleIns  *duty.Intents[duty.ScaleIn, wire.MachineID]
	machines  []string
	requests  int // to scale out, so far
}

func newHolder(node, addr string, fenced bool, mode freezeMode) *holder {
	h := &holder{receiversAddr: addr, fenced: fenced, gate: newGate(mode)}
	h.http = &http.Client{Transport: h.gate}
	limits := config.StoreLimits{RPS: 1e6, WriteRPS: 1e6, ValueKB: recordLimit >> 10, TxnOps: 12}
	h.store = gatedStore{store.New(addr, limits, 1, netio.Real()), h.gate}
	h.candidate = duty.NewCandidate(duty.Options{Key: leaseKey, Node: duty.NodeID(node), Store: h.store, Timing: shortLease})
	return h
}

// run acquires the lease and acts under it, again and again, until the context ends.
func (h *holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		lease := h.candidate.Campaign(ctx)
		if lease == nil {
			return
		}
		h.serveTerm(ctx, lease)
	}
}

// serveTerm acts under a lease and renews it until it is lost.
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

// errTermEnded ends an act whose term has ended.
var errTermEnded = errors.New("the term has ended")

// act takes over from an earlier holder and then acts until the lease is lost.
func (h *holder) act(ctx context.Context, lease *duty.Lease) {
	h.lease = lease
	h.scaleOuts = duty.NewIntents[duty.ScaleOut, autoscaler.ScaleOutIntent](lease, recordLimit)
	h.scaleIns = duty.NewIntents[duty.ScaleIn, wire.MachineID](lease, recordLimit)
	h.machines, h.requests = nil, 0
	if h.recover(ctx) != nil {
		return
	}
	acts := []func(context.Context) error{h.scaleOutAnew, h.preempt, h.cleanUp, h.scaleInOldest}
	for n := 0; ctx.Err() == nil; n++ {
		if err := acts[n%len(acts)](ctx); endsTerm(err) {
			return
		}
	}
}

// endsTerm reports whether an error means that the lease gives no right to act any more.
func endsTerm(err error) bool {
	return errors.Is(err, duty.ErrNotHeld) || errors.Is(err, duty.ErrHeldByOther) || errors.Is(err, errTermEnded)
}

// recover shows the new token to the worker, completes what an earlier holder left open,
// and uses all other machines.
func (h *holder) recover(ctx context.Context) error {
	if err := h.preempt(ctx); err != nil {
		return err
	}
	if h.fenced {
		if err := h.completeOpenIntents(ctx); err != nil {
			return err
		}
	}
	listed, err := h.request(ctx, listPath, "")
	if err != nil {
		return err
	}
	h.machines = listed
	return h.launchOn(ctx, listed)
}

// completeOpenIntents repeats the requests that an earlier holder has recorded.
func (h *holder) completeOpenIntents(ctx context.Context) error {
	scaleOuts, err := h.scaleOuts.Load(ctx)
	if err != nil {
		return err
	}
	scaleIns, err := h.scaleIns.Load(ctx)
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

// launchOn records that machines are used, and then uses them.
func (h *holder) launchOn(ctx context.Context, machines []string) error {
	if err := h.cleanUp(ctx); err != nil {
		return err
	}
	for _, machine := range machines {
		if _, err := h.request(ctx, launchPath, machine); err != nil {
			return err
		}
	}
	return nil
}

// permitted carries out an act under a permit or, if the holder is unfenced, without.
func permitted[D duty.Duty](ctx context.Context, h *holder, act func(context.Context) error) error {
	if !h.fenced {
		return act(ctx)
	}
	permit, err := duty.PermitFor[D](h.lease)
	if err != nil {
		return err
	}
	return permit.Do(ctx, act)
}

// permittedUntilDone repeats an act until it succeeds or the term ends.
func permittedUntilDone[D duty.Duty](ctx context.Context, h *holder, act func(context.Context) error) error {
	for ctx.Err() == nil {
		err := permitted[D](ctx, h, act)
		if err == nil || errors.Is(err, duty.ErrNotHeld) {
			return err
		}
	}
	return errTermEnded
}

// scaleOutAnew requests machines under a new name.
func (h *holder) scaleOutAnew(ctx context.Context) error {
	h.requests++
	return h.scaleOut(ctx, fmt.Sprintf("b-%d-%d", h.lease.Token(), h.requests))
}

// scaleOut requests machines under a name.
func (h *holder) scaleOut(ctx context.Context, name string) error {
	if h.fenced {
		// One request is open at a time; an earlier holder's was this one, or is done.
		request := wire.ScaleOutRequest{Name: name, Type: "c4", Zone: "a", Count: 2}
		if err := h.scaleOuts.Record(ctx, []autoscaler.ScaleOutIntent{{Request: request}}); err != nil {
			return err
		}
	}
	return permittedUntilDone[duty.ScaleOut](ctx, h, func(ctx context.Context) error {
		machines, err := h.request(ctx, scaleOutPath, name)
		h.machines = append(h.machines, machines...)
		return err
	})
}

// scaleInOldest returns the machine that was added first, if there are more than two.
func (h *holder) scaleInOldest(ctx context.Context) error {
	if len(h.machines) <= 2 {
		return nil
	}
	oldest := h.machines[0]
	h.machines = h.machines[1:]
	return h.scaleIn(ctx, wire.MachineID(oldest))
}

// scaleIn returns a machine.
func (h *holder) scaleIn(ctx context.Context, machine wire.MachineID) error {
	if h.fenced {
		if err := h.scaleIns.Record(ctx, []wire.MachineID{machine}); err != nil {
			return err
		}
	}
	return permittedUntilDone[duty.ScaleIn](ctx, h, func(ctx context.Context) error {
		_, err := h.request(ctx, scaleInPath, string(machine))
		return err
	})
}

// preempt stops a task on the worker, which then knows the holder's token.
func (h *holder) preempt(ctx context.Context) error {
	return permitted[duty.Preemption](ctx, h, func(ctx context.Context) error {
		_, err := h.request(ctx, preemptPath, "task")
		return err
	})
}

// cleanUp writes a record that is named by the token.
func (h *holder) cleanUp(ctx context.Context) error {
	key := factPrefix + strconv.FormatUint(uint64(h.lease.FirstToken()), 10)
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

// request sends one request to the cloud or the worker.
func (h *holder) request(ctx context.Context, path, name string) (answer []string, err error) {
	body, err := json.Marshal(actRequest{name})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.receiversAddr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(tokenHeader, strconv.FormatUint(uint64(h.lease.Token()), 10))
	response, err := h.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}
