package simulator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// CancelTime says when a user of BurstReaders cancels.
type CancelTime int

// The times: not at all, at once after the acceptance, at the end of the last
// task, and when the job is over.
const (
	NeverCancel CancelTime = iota
	CancelAtOnce
	CancelAtEnd
	CancelAfterEnd
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

// NewBurstReaders makes burst readers.
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

// Counts are all counts.
func (l *BurstReaders) Counts() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.counts)
}

// knownStatus of a job now; call with the simulation's lock held.
func (sim *Simulation) knownStatus(id wire.JobID) (knownStatus, time.Time) {
	j := sim.checker.jobs[id]
	if j == nil {
		return knownStatus{}, time.Time{}
	}
	return knownStatus{j.accepted, j.finalStatus}, j.end.at
}

// Ask makes one request about a job to a node and checks the answer.
func (l *BurstReaders) Ask(i int, op string, t JobScript) (int, wire.JobState) {
	sim, id := l.sim, t.Spec.ID
	method, path, body := "GET", "/v1/jobs/"+string(id), any(nil)
	switch op {
	case "submit":
		method, path, body = "POST", "/v1/jobs", Submission(t.Spec)
	case "cancel":
		method, path = "POST", path+"/cancel"
	}
	sim.mu.Lock()
	before, at := sim.knownStatus(id)
	if op == "cancel" {
		sim.checker.CancelRequested(id)
	}
	fresh := before.accepted && time.Since(at) < 50*time.Millisecond
	atEnd := false
	if j := sim.checker.jobs[id]; j != nil && before.final == "" && !j.end.endedAt.IsZero() {
		atEnd = time.Since(j.end.endedAt) < 50*time.Millisecond
	}
	sim.mu.Unlock()
	status, raw, h := sim.ask(i, method, path, body)
	if sim.ctx.Err() != nil {
		return 0, wire.JobState{}
	}
	var s wire.JobState
	if (status == 200 || status == 201) && wire.Decode(raw, &s) != nil {
		status = 0
	}
	now := time.Now()
	sim.mu.Lock()
	was, _ := sim.knownStatus(id)
	sim.checker.answered(id, before, op, status, s.Status, now)
	if (status == 429 || status == 503) && h.Get("Retry-After") == "" {
		sim.checker.violated(now, NoRetryAfter, "%s of %s answered %d", op, id, status)
	}
	is, _ := sim.knownStatus(id)
	if is != was {
		sim.checker.jobs[id].end.at = now
	}
	sim.mu.Unlock()
	l.mu.Lock()
	l.counts[fmt.Sprint(op, " ", status)]++
	if fresh {
		l.counts[fmt.Sprint(before, " ", op, " ", status)]++
	}
	if atEnd {
		l.counts[fmt.Sprint("ending ", op, " ", status)]++
	}
	l.mu.Unlock()
	if is != was {
		l.AskAllRepeatedly(t)
	}
	return status, s
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
				op := "poll"
				if k%4 == i%4 {
					op = "submit"
				}
				l.sim.spawn(func() { l.Ask(i, op, t) })
				sleep(l.sim.ctx, l.BurstInterval)
			}
		})
	}
}

// until repeats a request at all nodes in turn until it is answered.
func (l *BurstReaders) until(op string, t JobScript, turn int) wire.JobState {
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
		if l.until("submit", t, turn).Status == "" {
			return
		}
		sim.spawn(func() {
			for sim.ctx.Err() == nil {
				sleep(sim.ctx, l.PollInterval)
				turn++
				if _, s := l.Ask(turn%len(sim.controllers), "poll", t); s.Status.Final() {
					break
				}
			}
			sleep(sim.ctx, l.BurstLength+time.Second)
			if c == CancelAfterEnd {
				l.until("cancel", t, turn)
			}
			// Once more when the job's final record has taken its place.
			sleep(sim.ctx, 4*time.Second)
			l.AskAllRepeatedly(t)
		})
		sim.spawn(func() {
			select {
			case <-ended:
				l.AskAllRepeatedly(t)
			case <-sim.ctx.Done():
			}
		})
		switch c {
		case CancelAtEnd:
			select {
			case <-ended:
			case <-sim.ctx.Done():
				return
			}
		case CancelAtOnce:
		default:
			return
		}
		sleep(sim.ctx, after)
		s := l.until("cancel", t, turn+1)
		l.mu.Lock()
		l.counts["cancels "+string(s.Status)]++
		l.mu.Unlock()
	})
}
