package simulator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// CancelTime is the moment at which a user of BurstReaders cancels a job.
type CancelTime int

// The values: not at all, at once after the acceptance, when the last task has completed, and
// after a user was told a final status.
const (
	NeverCancel CancelTime = iota
	CancelAtOnce
	CancelAtEnd
	CancelAfterEnd
)

// Operation is a kind of request that a user makes about a job.
type Operation string

// The operations.
const (
	PollOperation   Operation = "poll"
	SubmitOperation Operation = "submit"
	CancelOperation Operation = "cancel"
)

// BurstReaders are users who, whenever a response brings a newer status of a job, poll all
// controllers every few milliseconds for a while, and repeat the submission among the polls.
type BurstReaders struct {
	sim    *Simulation
	mu     sync.Mutex
	counts map[string]int
	// BurstInterval is the time between two requests of a burst to a controller, BurstLength
	// the duration of a burst, and PollInterval the time between the polls that find the end
	// of a job.
	BurstInterval, BurstLength, PollInterval time.Duration
}

// NewBurstReaders returns burst readers with the default intervals.
func (sim *Simulation) NewBurstReaders() *BurstReaders {
	return &BurstReaders{sim: sim, counts: map[string]int{}, BurstInterval: 7 * time.Millisecond, BurstLength: 150 * time.Millisecond, PollInterval: 400 * time.Millisecond}
}

// Count returns how often requests of an operation were answered with an HTTP status: all of
// them ("submit 200"), those that were sent within 50 ms after users were told a job status
// ("done submit 200"), or those that were sent within 50 ms after the last task completed and
// before users were told a final status ("ending submit 200"). It also returns how often a
// cancellation was answered with a job status ("cancels done"; "cancels " if with none).
func (b *BurstReaders) Count(what string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[what]
}

// Counts returns all counts as text, for failure messages.
func (b *BurstReaders) Counts() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprint(b.counts)
}

// toldStatus returns what users were told of a job so far, and when it last changed; the caller
// holds the lock.
func (sim *Simulation) toldStatus(id wire.JobID) (toldStatus, time.Time) {
	j := sim.checker.jobs[id]
	if j == nil {
		return toldStatus{}, time.Time{}
	}
	return toldStatus{j.accepted, j.finalStatus}, j.completion.statusChangedAt
}

// Ask sends one request about a job to the i-th controller and checks the response. If the
// response brings a newer status, it starts a burst.
func (b *BurstReaders) Ask(i int, op Operation, script JobScript) (int, wire.JobState) {
	sim, id := b.sim, script.Spec.ID
	method, path, body := "GET", jobsPath+"/"+string(id), any(nil)
	switch op {
	case SubmitOperation:
		method, path, body = "POST", jobsPath, Submission(script.Spec)
	case CancelOperation:
		method, path = "POST", path+"/cancel"
	}
	sent := b.recordRequest(id, op)
	status, raw, header := sim.ask(i, method, path, body)
	if sim.ctx.Err() != nil {
		return 0, wire.JobState{}
	}
	var state wire.JobState
	if (status == 200 || status == 201) && wire.Decode(raw, &state) != nil {
		status = 0
	}
	changed := b.checkResponse(id, op, sent.before, status, state.Status, header.Get("Retry-After") != "")
	b.countResponse(op, sent, status)
	if changed {
		b.SendBurst(script)
	}
	return status, state
}

// sentRequest is what was known of a job when a request was sent.
type sentRequest struct {
	before            toldStatus
	afterStatusChange bool // within justAfterWindow after users were told a newer status
	afterCompletion   bool // within justAfterWindow after the last task completed, no final status told yet
}

// justAfterWindow is the time after an event in which a request counts as sent just after it.
const justAfterWindow = 50 * time.Millisecond

// recordRequest records a cancellation in the checker, and returns what is known of a job as a
// request about it is sent.
func (b *BurstReaders) recordRequest(id wire.JobID, op Operation) (sent sentRequest) {
	b.sim.mu.Lock()
	defer b.sim.mu.Unlock()
	before, changedAt := b.sim.toldStatus(id)
	if op == CancelOperation {
		b.sim.checker.CancelRequested(id)
	}
	sent.before, sent.afterStatusChange = before, before.accepted && time.Since(changedAt) < justAfterWindow
	if job := b.sim.checker.jobs[id]; job != nil && before.final == "" && !job.completion.endedAt.IsZero() {
		sent.afterCompletion = time.Since(job.completion.endedAt) < justAfterWindow
	}
	return sent
}

// checkResponse has the checker check a response, and reports whether it told users a newer
// status.
func (b *BurstReaders) checkResponse(id wire.JobID, op Operation, before toldStatus, status int, reported wire.Status, retryAfter bool) bool {
	sim, now := b.sim, time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	previous, _ := sim.toldStatus(id)
	sim.checker.checkBurstResponse(id, before, op, status, reported, now)
	if (status == 429 || status == 503) && !retryAfter {
		sim.checker.violated(now, MissingRetryAfter, "%s of %s answered %d", op, id, status)
	}
	current, _ := sim.toldStatus(id)
	if current != previous {
		sim.checker.jobs[id].completion.statusChangedAt = now
	}
	return current != previous
}

// countResponse counts a response by operation, status and when its request was sent: see Count.
func (b *BurstReaders) countResponse(op Operation, sent sentRequest, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[fmt.Sprint(op, " ", status)]++
	if sent.afterStatusChange {
		b.counts[fmt.Sprint(sent.before, " ", op, " ", status)]++
	}
	if sent.afterCompletion {
		b.counts[fmt.Sprint("ending ", op, " ", status)]++
	}
}

// SendBurst sends a burst of polls to all controllers without waiting for the responses.
// Every fourth request repeats the submission instead.
func (b *BurstReaders) SendBurst(script JobScript) {
	if b.BurstLength == 0 {
		return
	}
	for i := range b.sim.controllers {
		b.sim.spawn(func() {
			for k := 0; time.Duration(k)*b.BurstInterval < b.BurstLength && b.sim.ctx.Err() == nil; k++ {
				op := PollOperation
				if k%4 == i%4 {
					op = SubmitOperation
				}
				b.sim.spawn(func() { b.Ask(i, op, script) })
				sleep(b.sim.ctx, b.BurstInterval)
			}
		})
	}
}

// retryUntilAnswered sends a request to each controller in turn, for up to a minute, until it
// succeeds or is refused for good.
func (b *BurstReaders) retryUntilAnswered(op Operation, script JobScript, turn int) wire.JobState {
	for begin := time.Now(); b.sim.ctx.Err() == nil && time.Since(begin) < time.Minute; turn++ {
		status, state := b.Ask(turn%len(b.sim.controllers), op, script)
		switch status {
		case 200, 201:
			return state
		case 400, 422:
			return wire.JobState{}
		}
		sleep(b.sim.ctx, time.Second)
	}
	return wire.JobState{}
}

// Submit simulates one of these users, who submits a job and polls until it is over. The user
// cancels the job at cancelTime; CancelAtOnce and CancelAtEnd are delayed by cancelDelay.
func (b *BurstReaders) Submit(script JobScript, cancelTime CancelTime, cancelDelay time.Duration) {
	sim, id := b.sim, script.Spec.ID
	sim.mu.Lock()
	sim.scripts[id] = &script
	sim.checker.Submitted(script.Spec)
	ended := make(chan struct{})
	sim.checker.jobs[id].completion.done = ended
	sim.mu.Unlock()
	sim.spawn(func() {
		// Each job has its own random numbers, so that they don't depend on the order of jobs.
		n, _ := strconv.Atoi(string(id)[len("req-"):])
		rng := rand.New(rand.NewPCG(uint64(n), 11))
		turn := rng.IntN(len(sim.controllers))
		if b.retryUntilAnswered(SubmitOperation, script, turn).Status == "" {
			return
		}
		sim.spawn(func() { b.pollUntilOver(script, cancelTime, turn) })
		sim.spawn(func() {
			if b.awaitEnd(ended) {
				b.SendBurst(script)
			}
		})
		if cancelTime != CancelAtOnce && cancelTime != CancelAtEnd || cancelTime == CancelAtEnd && !b.awaitEnd(ended) {
			return
		}
		sleep(sim.ctx, cancelDelay)
		state := b.retryUntilAnswered(CancelOperation, script, turn+1)
		b.mu.Lock()
		b.counts["cancels "+string(state.Status)]++
		b.mu.Unlock()
	})
}

// awaitEnd waits until the last task has completed, and returns false if the simulation ended
// first.
func (b *BurstReaders) awaitEnd(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-b.sim.ctx.Done():
		return false
	}
}

// pollUntilOver polls a job until it is over, cancels it then if cancelTime says so, and sends
// another burst.
func (b *BurstReaders) pollUntilOver(script JobScript, cancelTime CancelTime, turn int) {
	sim := b.sim
	for sim.ctx.Err() == nil {
		sleep(sim.ctx, b.PollInterval)
		turn++
		if _, state := b.Ask(turn%len(sim.controllers), PollOperation, script); state.Status.IsFinal() {
			break
		}
	}
	sleep(sim.ctx, b.BurstLength+time.Second)
	if cancelTime == CancelAfterEnd {
		b.retryUntilAnswered(CancelOperation, script, turn)
	}
	// After 4 s the job's final record has replaced the record of the live job.
	sleep(sim.ctx, 4*time.Second)
	b.SendBurst(script)
}
