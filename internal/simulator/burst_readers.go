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

// The times: not at all, at once after the acceptance, at the end of the last
// task, and when the job is over.
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

// BurstReaders are users who ask all nodes about their jobs again and again within
// milliseconds, whenever there is news, and repeat the submission then.
type BurstReaders struct {
	sim    *Simulation
	mu     sync.Mutex
	counts map[string]int
	// BurstInterval is the time between two questions to a controller, BurstLength
	// for how long they come after each change, and PollInterval the time between
	// the polls that find the end of a job.
	BurstInterval, BurstLength, PollInterval time.Duration
}

// NewBurstReaders returns burst readers with the default intervals.
func (sim *Simulation) NewBurstReaders() *BurstReaders {
	return &BurstReaders{sim: sim, counts: map[string]int{}, BurstInterval: 7 * time.Millisecond, BurstLength: 150 * time.Millisecond, PollInterval: 400 * time.Millisecond}
}

// Count tells how often a question was answered with a status, that left
// within 50 ms after the news ("done submit 200"), or after the end of the last
// task and before anybody was told ("ending submit 200").
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

// knownStatus returns what users know of a job now and since when; the caller holds the simulation's lock.
func (sim *Simulation) knownStatus(id wire.JobID) (knownStatus, time.Time) {
	j := sim.checker.jobs[id]
	if j == nil {
		return knownStatus{}, time.Time{}
	}
	return knownStatus{j.accepted, j.finalStatus}, j.completion.statusChangedAt
}

// Ask sends one request about a job to a node and checks the answer.
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
	changed := b.checkAnswer(id, op, sent.before, status, state.Status, header.Get("Retry-After") != "")
	b.countAnswer(op, sent, status)
	if changed {
		b.AskAllRepeatedly(script)
	}
	return status, state
}

// question is what was known when a question left.
type sentRequest struct {
	before            knownStatus
	afterStatusChange bool // it left just after the news
	afterCompletion   bool // it left just after the last task's end, of which nobody was told
}

// justAfter is how long after an event a question counts as one that met it.
const justAfterWindow = 50 * time.Millisecond

// recordQuestion records what is known of a job as a question about it is sent.
func (b *BurstReaders) recordRequest(id wire.JobID, op Operation) (sent sentRequest) {
	b.sim.mu.Lock()
	defer b.sim.mu.Unlock()
	before, changedAt := b.sim.knownStatus(id)
	if op == CancelOperation {
		b.sim.checker.CancelRequested(id)
	}
	sent.before, sent.afterStatusChange = before, before.accepted && time.Since(changedAt) < justAfterWindow
	if job := b.sim.checker.jobs[id]; job != nil && before.final == "" && !job.completion.endedAt.IsZero() {
		sent.afterCompletion = time.Since(job.completion.endedAt) < justAfterWindow
	}
	return sent
}

// checkAnswer has the checker look at an answer, and reports whether it brought news.
func (b *BurstReaders) checkAnswer(id wire.JobID, op Operation, before knownStatus, status int, reported wire.Status, retryAfter bool) bool {
	sim, now := b.sim, time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	previous, _ := sim.knownStatus(id)
	sim.checker.answered(id, before, op, status, reported, now)
	if (status == 429 || status == 503) && !retryAfter {
		sim.checker.violated(now, MissingRetryAfter, "%s of %s answered %d", op, id, status)
	}
	current, _ := sim.knownStatus(id)
	if current != previous {
		sim.checker.jobs[id].completion.statusChangedAt = now
	}
	return current != previous
}

// countAnswer counts an answer by what its question met.
func (b *BurstReaders) countAnswer(op Operation, sent sentRequest, status int) {
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

// AskAllRepeatedly asks all nodes again and again for a while, without waiting for the
// answers, and repeats the submission.
func (b *BurstReaders) AskAllRepeatedly(script JobScript) {
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

// until repeats a request at all nodes in turn until it is answered.
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

// Submit plays such a user: it submits, cancels as said (so long after the
// moment), finds the end by polls, and asks to cancel what is done.
func (b *BurstReaders) Submit(script JobScript, cancelTime CancelTime, after time.Duration) {
	sim, id := b.sim, script.Spec.ID
	sim.mu.Lock()
	sim.scripts[id] = &script
	sim.checker.Submitted(script.Spec)
	ended := make(chan struct{})
	sim.checker.jobs[id].completion.done = ended
	sim.mu.Unlock()
	sim.spawn(func() {
		// What is drawn is the job's own, so that it depends on no order.
		n, _ := strconv.Atoi(string(id)[len("req-"):])
		rng := rand.New(rand.NewPCG(uint64(n), 11))
		turn := rng.IntN(len(sim.controllers))
		if b.retryUntilAnswered(SubmitOperation, script, turn).Status == "" {
			return
		}
		sim.spawn(func() { b.pollUntilOver(script, cancelTime, turn) })
		sim.spawn(func() {
			if b.awaitEnd(ended) {
				b.AskAllRepeatedly(script)
			}
		})
		if cancelTime != CancelAtOnce && cancelTime != CancelAtEnd || cancelTime == CancelAtEnd && !b.awaitEnd(ended) {
			return
		}
		sleep(sim.ctx, after)
		state := b.retryUntilAnswered(CancelOperation, script, turn+1)
		b.mu.Lock()
		b.counts["cancels "+string(state.Status)]++
		b.mu.Unlock()
	})
}

// awaitEnd waits until the last task has completed; false: until all is over.
func (b *BurstReaders) awaitEnd(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-b.sim.ctx.Done():
		return false
	}
}

// pollUntilOver polls a job until it is over, and then has bursts of questions come
// again.
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
	// Once more when the job's final record has taken its place.
	sleep(sim.ctx, 4*time.Second)
	b.AskAllRepeatedly(script)
}
