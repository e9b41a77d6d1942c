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
func (l *BurstReaders) Count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[what]
}

// Counts returns all counts as text, for failure messages.
func (l *BurstReaders) Counts() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.counts)
}

// knownStatus returns what users know of a job now and since when; the caller holds the simulation's lock.
func (sim *Simulation) knownStatus(id wire.JobID) (knownStatus, time.Time) {
	j := sim.checker.jobs[id]
	if j == nil {
		return knownStatus{}, time.Time{}
	}
	return knownStatus{j.accepted, j.finalStatus}, j.end.at
}

// Ask sends one request about a job to a node and checks the answer.
func (l *BurstReaders) Ask(i int, op Operation, t JobScript) (int, wire.JobState) {
	sim, id := l.sim, t.Spec.ID
	method, path, body := "GET", jobsPath+"/"+string(id), any(nil)
	switch op {
	case SubmitOperation:
		method, path, body = "POST", jobsPath, Submission(t.Spec)
	case CancelOperation:
		method, path = "POST", path+"/cancel"
	}
	q := l.recordQuestion(id, op)
	status, raw, h := sim.ask(i, method, path, body)
	if sim.ctx.Err() != nil {
		return 0, wire.JobState{}
	}
	var s wire.JobState
	if (status == 200 || status == 201) && wire.Decode(raw, &s) != nil {
		status = 0
	}
	news := l.checkAnswer(id, op, q.before, status, s.Status, h.Get("Retry-After") != "")
	l.countAnswer(op, q, status)
	if news {
		l.AskAllRepeatedly(t)
	}
	return status, s
}

// question is what was known when a question left.
type question struct {
	before knownStatus
	fresh  bool // it left just after the news
	atEnd  bool // it left just after the last task's end, of which nobody was told
}

// justAfter is how long after an event a question counts as one that met it.
const justAfter = 50 * time.Millisecond

// recordQuestion records what is known of a job as a question about it is sent.
func (l *BurstReaders) recordQuestion(id wire.JobID, op Operation) (q question) {
	l.sim.mu.Lock()
	defer l.sim.mu.Unlock()
	before, at := l.sim.knownStatus(id)
	if op == CancelOperation {
		l.sim.checker.CancelRequested(id)
	}
	q.before, q.fresh = before, before.accepted && time.Since(at) < justAfter
	if j := l.sim.checker.jobs[id]; j != nil && before.final == "" && !j.end.endedAt.IsZero() {
		q.atEnd = time.Since(j.end.endedAt) < justAfter
	}
	return q
}

// checkAnswer has the checker look at an answer, and reports whether it brought news.
func (l *BurstReaders) checkAnswer(id wire.JobID, op Operation, before knownStatus, status int, said wire.Status, retryAfter bool) bool {
	sim, now := l.sim, time.Now()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	was, _ := sim.knownStatus(id)
	sim.checker.answered(id, before, op, status, said, now)
	if (status == 429 || status == 503) && !retryAfter {
		sim.checker.violated(now, MissingRetryAfter, "%s of %s answered %d", op, id, status)
	}
	is, _ := sim.knownStatus(id)
	if is != was {
		sim.checker.jobs[id].end.at = now
	}
	return is != was
}

// countAnswer counts an answer by what its question met.
func (l *BurstReaders) countAnswer(op Operation, q question, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[fmt.Sprint(op, " ", status)]++
	if q.fresh {
		l.counts[fmt.Sprint(q.before, " ", op, " ", status)]++
	}
	if q.atEnd {
		l.counts[fmt.Sprint("ending ", op, " ", status)]++
	}
}

// AskAllRepeatedly asks all nodes again and again for a while, without waiting for the
// answers, and repeats the submission.
func (l *BurstReaders) AskAllRepeatedly(t JobScript) {
	if l.BurstLength == 0 {
		return
	}
	for i := range l.sim.controllers {
		l.sim.spawn(func() {
			for k := 0; time.Duration(k)*l.BurstInterval < l.BurstLength && l.sim.ctx.Err() == nil; k++ {
				op := PollOperation
				if k%4 == i%4 {
					op = SubmitOperation
				}
				l.sim.spawn(func() { l.Ask(i, op, t) })
				sleep(l.sim.ctx, l.BurstInterval)
			}
		})
	}
}

// until repeats a request at all nodes in turn until it is answered.
func (l *BurstReaders) until(op Operation, t JobScript, turn int) wire.JobState {
	for begin := time.Now(); l.sim.ctx.Err() == nil && time.Since(begin) < time.Minute; turn++ {
		status, s := l.Ask(turn%len(l.sim.controllers), op, t)
		switch status {
		case 200, 201:
			return s
		case 400, 422:
			return wire.JobState{}
		}
		sleep(l.sim.ctx, time.Second)
	}
	return wire.JobState{}
}

// Submit plays such a user: it submits, cancels as said (so long after the
// moment), finds the end by polls, and asks to cancel what is done.
func (l *BurstReaders) Submit(t JobScript, c CancelTime, after time.Duration) {
	sim, id := l.sim, t.Spec.ID
	sim.mu.Lock()
	sim.scripts[id] = &t
	sim.checker.Submitted(t.Spec)
	ended := make(chan struct{})
	sim.checker.jobs[id].end.ended = ended
	sim.mu.Unlock()
	sim.spawn(func() {
		// What is drawn is the job's own, so that it depends on no order.
		n, _ := strconv.Atoi(string(id)[len("req-"):])
		rng := rand.New(rand.NewPCG(uint64(n), 11))
		turn := rng.IntN(len(sim.controllers))
		if l.until(SubmitOperation, t, turn).Status == "" {
			return
		}
		sim.spawn(func() { l.pollUntilOver(t, c, turn) })
		sim.spawn(func() {
			if l.awaitEnd(ended) {
				l.AskAllRepeatedly(t)
			}
		})
		if c != CancelAtOnce && c != CancelAtEnd || c == CancelAtEnd && !l.awaitEnd(ended) {
			return
		}
		sleep(sim.ctx, after)
		s := l.until(CancelOperation, t, turn+1)
		l.mu.Lock()
		l.counts["cancels "+string(s.Status)]++
		l.mu.Unlock()
	})
}

// awaitEnd waits until the last task has completed; false: until all is over.
func (l *BurstReaders) awaitEnd(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-l.sim.ctx.Done():
		return false
	}
}

// pollUntilOver polls a job until it is over, and then has bursts of questions come
// again.
func (l *BurstReaders) pollUntilOver(t JobScript, c CancelTime, turn int) {
	sim := l.sim
	for sim.ctx.Err() == nil {
		sleep(sim.ctx, l.PollInterval)
		turn++
		if _, s := l.Ask(turn%len(sim.controllers), PollOperation, t); s.Status.IsFinal() {
			break
		}
	}
	sleep(sim.ctx, l.BurstLength+time.Second)
	if c == CancelAfterEnd {
		l.until(CancelOperation, t, turn)
	}
	// Once more when the job's final record has taken its place.
	sleep(sim.ctx, 4*time.Second)
	l.AskAllRepeatedly(t)
}
