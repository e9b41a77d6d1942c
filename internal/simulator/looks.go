package simulator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"lilaclead/internal/wire"
)

// Unasked: a refusal for now doesn't say when to come back.
const Unasked Rule = "no_retry_after"

// news is what the checker keeps of a job for nosy users.
type news struct {
	ended   chan struct{} // closed when the last task has completed
	endedAt time.Time
	at      time.Time // when the newest answer arrived
}

// finish notes that the last task has completed.
func (j *seen) finish() {
	if len(j.done) == j.spec.Tasks && j.news.endedAt.IsZero() {
		j.news.endedAt = time.Now()
		if j.news.ended != nil {
			close(j.news.ended)
		}
	}
}

// mark is the newest that users had been told of a job when a question left.
type mark struct {
	accepted bool
	final    wire.Status
}

func (m mark) String() string {
	switch {
	case m.final != "":
		return string(m.final)
	case m.accepted:
		return "accepted"
	}
	return "new"
}

// answered checks an answer against what had been told when its question left.
// Answers to questions that crossed each other may come in either order, but
// there is one end only.
func (c *Checker) answered(id wire.JobID, m mark, op string, status int, st wire.Status, now time.Time) {
	j := c.jobs[id]
	switch {
	case j == nil:
		if status == 200 || status == 201 {
			c.broke(now, Invented, "%s answered %d to %s", id, status, op)
		}
		return
	case status == 404 && m.accepted, (status == 400 || status == 422) && m.accepted:
		c.broke(now, Forgotten, "%s was %s and %s is answered %d", id, m, op, status)
	case status == 201 && m.accepted:
		c.broke(now, WentBack, "%s was %s and is accepted again", id, m)
	case status == 200 && m.final != "" && st != m.final:
		c.broke(now, WentBack, "%s was %s and %s is answered %s", id, m, op, st)
	case status == 200 && st.Final():
		c.Told(id, st, now)
	}
	if status == 200 || status == 201 {
		if op != "cancel" {
			c.Accepted(id, now)
		}
		c.lastAnswered, j.unread = now, time.Time{}
	}
}

// Cancel says when a nosy user cancels.
type Cancel int

// The times: not at all, at once after the acceptance, at the end of the last
// task, and when the job is over.
const (
	Never Cancel = iota
	AtOnce
	AtEnd
	AfterEnd
)

// Looks are users who ask all nodes about their jobs again and again within
// milliseconds, whenever there is news, and repeat the submission then.
type Looks struct {
	w  *World
	mu sync.Mutex
	n  map[string]int
	// Every is the time between two questions to a node, For how long they
	// come after each news, and Polls the time between the polls that find
	// the end of a job.
	Every, For, Polls time.Duration
}

// Looks makes nosy users.
func (w *World) Looks() *Looks {
	return &Looks{w: w, n: map[string]int{}, Every: 7 * time.Millisecond, For: 150 * time.Millisecond, Polls: 400 * time.Millisecond}
}

// Count tells how often a question was answered with a status, that left
// within 50 ms after the news ("done submit 200"), or after the end of the last
// task and before anybody was told ("ending submit 200").
func (l *Looks) Count(what string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n[what]
}

// Counts are all counts.
func (l *Looks) Counts() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.n)
}

// mark of a job now; call with the lock of the world held.
func (w *World) mark(id wire.JobID) (mark, time.Time) {
	j := w.check.jobs[id]
	if j == nil {
		return mark{}, time.Time{}
	}
	return mark{j.accepted, j.told}, j.news.at
}

// Ask makes one request about a job to a node and checks the answer.
func (l *Looks) Ask(i int, op string, t Truth) (int, wire.JobState) {
	w, id := l.w, t.Spec.ID
	method, path, body := "GET", "/v1/jobs/"+string(id), any(nil)
	switch op {
	case "submit":
		method, path, body = "POST", "/v1/jobs", Submission(t.Spec)
	case "cancel":
		method, path = "POST", path+"/cancel"
	}
	w.mu.Lock()
	before, at := w.mark(id)
	if op == "cancel" {
		w.check.CancelAsked(id)
	}
	fresh := before.accepted && time.Since(at) < 50*time.Millisecond
	atEnd := false
	if j := w.check.jobs[id]; j != nil && before.final == "" && !j.news.endedAt.IsZero() {
		atEnd = time.Since(j.news.endedAt) < 50*time.Millisecond
	}
	w.mu.Unlock()
	status, raw, h := w.ask(i, method, path, body)
	if w.ctx.Err() != nil {
		return 0, wire.JobState{}
	}
	var s wire.JobState
	if (status == 200 || status == 201) && wire.Decode(raw, &s) != nil {
		status = 0
	}
	now := time.Now()
	w.mu.Lock()
	was, _ := w.mark(id)
	w.check.answered(id, before, op, status, s.Status, now)
	if (status == 429 || status == 503) && h.Get("Retry-After") == "" {
		w.check.broke(now, Unasked, "%s of %s answered %d", op, id, status)
	}
	is, _ := w.mark(id)
	if is != was {
		w.check.jobs[id].news.at = now
	}
	w.mu.Unlock()
	l.mu.Lock()
	l.n[fmt.Sprint(op, " ", status)]++
	if fresh {
		l.n[fmt.Sprint(before, " ", op, " ", status)]++
	}
	if atEnd {
		l.n[fmt.Sprint("ending ", op, " ", status)]++
	}
	l.mu.Unlock()
	if is != was {
		l.Swarm(t)
	}
	return status, s
}

// Swarm asks all nodes again and again for a while, without waiting for the
// answers, and repeats the submission.
func (l *Looks) Swarm(t Truth) {
	if l.For == 0 {
		return
	}
	for i := range l.w.nodes {
		l.w.spawn(func() {
			for k := 0; time.Duration(k)*l.Every < l.For && l.w.ctx.Err() == nil; k++ {
				op := "poll"
				if k%4 == i%4 {
					op = "submit"
				}
				l.w.spawn(func() { l.Ask(i, op, t) })
				sleep(l.w.ctx, l.Every)
			}
		})
	}
}

// until repeats a request at all nodes in turn until it is answered.
func (l *Looks) until(op string, t Truth, turn int) wire.JobState {
	for begin := time.Now(); l.w.ctx.Err() == nil && time.Since(begin) < time.Minute; turn++ {
		status, s := l.Ask(turn%len(l.w.nodes), op, t)
		switch status {
		case 200, 201:
			return s
		case 400, 422:
			return wire.JobState{}
		}
		sleep(l.w.ctx, time.Second)
	}
	return wire.JobState{}
}

// Submit plays a nosy user: it submits, cancels as said (so long after the
// moment), finds the end by polls, and asks to cancel what is done.
func (l *Looks) Submit(t Truth, c Cancel, after time.Duration) {
	w, id := l.w, t.Spec.ID
	w.mu.Lock()
	w.truths[id] = &t
	w.check.Submitted(t.Spec)
	ended := make(chan struct{})
	w.check.jobs[id].news.ended = ended
	w.mu.Unlock()
	w.spawn(func() {
		// What is drawn is the job's own, so that it depends on no order.
		n, _ := strconv.Atoi(string(id)[len("req-"):])
		rng := rand.New(rand.NewPCG(uint64(n), 11))
		turn := rng.IntN(len(w.nodes))
		if l.until("submit", t, turn).Status == "" {
			return
		}
		w.spawn(func() {
			for w.ctx.Err() == nil {
				sleep(w.ctx, l.Polls)
				turn++
				if _, s := l.Ask(turn%len(w.nodes), "poll", t); s.Status.Final() {
					break
				}
			}
			sleep(w.ctx, l.For+time.Second)
			if c == AfterEnd {
				l.until("cancel", t, turn)
			}
			// Once more when the job's final record has taken its place.
			sleep(w.ctx, 4*time.Second)
			l.Swarm(t)
		})
		w.spawn(func() {
			select {
			case <-ended:
				l.Swarm(t)
			case <-w.ctx.Done():
			}
		})
		switch c {
		case AtEnd:
			select {
			case <-ended:
			case <-w.ctx.Done():
				return
			}
		case AtOnce:
		default:
			return
		}
		sleep(w.ctx, after)
		s := l.until("cancel", t, turn+1)
		l.mu.Lock()
		l.n["cancels "+string(s.Status)]++
		l.mu.Unlock()
	})
}

// EndedAt tells when a job's last task completed, Began when its first began and
// Told how it ended by its user's knowledge.
func (c *Checker) EndedAt(id wire.JobID) time.Time { return c.jobs[id].news.endedAt }

// Waited is how long a job waited for its first task; false: it still waits.
func (c *Checker) Waited(id wire.JobID) (time.Duration, bool) {
	j := c.jobs[id]
	return j.began.Sub(j.at), !j.began.IsZero()
}

// Final is the end of a job as far as users were told.
func (c *Checker) Final(id wire.JobID) wire.Status { return c.jobs[id].told }

// Ended counts the jobs of which users were told the end.
func (w *World) Ended(jobs []Truth) (done, cancelled int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range jobs {
		switch w.check.jobs[t.Spec.ID].told {
		case wire.Done:
			done++
		case wire.Cancelled:
			cancelled++
		}
	}
	return
}
