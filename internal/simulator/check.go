package simulator

import (
	"fmt"
	"slices"
	"time"

	"lilaclead/internal/wire"
)

// Rule of PROTOCOL's list.
type Rule string

// The rules.
const (
	RanTwice     Rule = "ran_twice"
	Quota        Rule = "quota"
	WrongPlace   Rule = "wrong_place"
	RanCancelled Rule = "ran_cancelled"
	Forgotten    Rule = "forgotten"
	Invented     Rule = "invented"
	NotDone      Rule = "not_done"
	WentBack     Rule = "went_back"
	NothingRan   Rule = "nothing_ran"
	// Unserved is checked at the end of a day: half of each class, of each
	// team and of each class's largest jobs must have begun, the largest ones
	// within four minutes.
	Unserved Rule = "unserved"
	// AcceptedWrongly: a submission that is malformed or can never run was
	// accepted; RefusedWrongly: one that is neither was answered 400 or 422.
	AcceptedWrongly Rule = "accepted_wrongly"
	RefusedWrongly  Rule = "refused_wrongly"
	// LeftWaiting: while all was calm a job started nothing although a machine
	// that fits had room all that time and its team was under its limit.
	LeftWaiting Rule = "left_waiting"
	// HalfRun: a gang ran without some of its tasks.
	HalfRun Rule = "half_run"
)

// Break of a rule.
type Break struct {
	Rule Rule
	What string
	At   time.Time
}

// Place of a machine, as far as rules care.
type Place struct {
	Machine wire.MachineID
	Kit     wire.MachineType
	Zone    wire.Zone
	Spot    bool
}

// Limit of a team; 0: none.
type Limit struct{ CPUs, Cards float64 }

// Checker watches what the stand-ins see and notes every broken rule. It is
// fed by calls only and takes the time from its caller.
type Checker struct {
	CancelS time.Duration
	Limits  map[wire.TeamID]Limit
	Flavors []wire.MachineSpec // nil: not known, and what fits is not judged
	Breaks  []Break

	jobs map[wire.JobID]*seen
	on   map[wire.Task]Place
	runs int
	// again counts the starts of tasks that had been started before.
	again int
	ever  map[wire.Task]bool
	// lastAnswered is when a user's poll was last answered.
	lastAnswered time.Time
	// polls of all users.
	polls tally
	// calm is since when all troubles are over, by the test's word; zero: not
	// yet. quiet is the same by what the world sees.
	calm, quiet time.Time
	// late counts starts after a cancellation was confirmed, lateDone polls
	// that were not told done in time.
	late, lateDone int
	// latest is the latest time that the checker was told.
	latest time.Time
	// posted are the ids that some submission named, in whatever form.
	posted map[wire.JobID]bool
}

type seen struct {
	spec      wire.Spec
	accepted  bool
	told      wire.Status // the final state that a user was told
	toldAt    time.Time
	cancelReq bool
	askedAt   time.Time // when its user first asked to cancel
	cancelled time.Time // when a user was told
	overstay  bool      // noted that it outlives its cancellation
	done      map[int]bool
	completed time.Time // of the last task
	openAt    time.Time // when a user was told last that it goes on nevertheless
	unread    time.Time // since when every poll failed
	others    tally     // all polls until then, and its own since
	tried     time.Time // of the first attempt to submit
	at        time.Time // of the acceptance
	began     time.Time // of the first task
	news      news
	waits     waits
}

// tally of polls.
type tally struct{ answered, failed int }

// NewChecker makes a checker.
func NewChecker(cancelS time.Duration, limits map[wire.TeamID]Limit) *Checker {
	return &Checker{CancelS: cancelS, Limits: limits, jobs: map[wire.JobID]*seen{}, on: map[wire.Task]Place{}, ever: map[wire.Task]bool{}, posted: map[wire.JobID]bool{}}
}

// clock notes how late it is.
func (c *Checker) clock(now time.Time) {
	if now.After(c.latest) {
		c.latest = now
	}
}

func (c *Checker) broke(at time.Time, r Rule, format string, args ...any) {
	c.Breaks = append(c.Breaks, Break{r, fmt.Sprintf(format, args...), at})
}

// Submitted notes a user's attempt to submit.
func (c *Checker) Submitted(s wire.Spec) {
	if c.jobs[s.ID] == nil {
		c.jobs[s.ID] = &seen{spec: s, done: map[int]bool{}, tried: c.latest}
	}
}

// Accepted notes a 201 or 200 to a submission.
func (c *Checker) Accepted(id wire.JobID, now time.Time) {
	c.clock(now)
	j := c.jobs[id]
	if j == nil {
		if !c.posted[id] {
			c.broke(now, Invented, "%s accepted", id)
		}
		return
	}
	if why := c.never(&j.spec); why != "" && !j.accepted {
		c.broke(now, AcceptedWrongly, "%s accepted, but %s", id, why)
	}
	c.known(j, now)
	j.unread = time.Time{}
}

// known notes that a user knows that the job is accepted.
func (c *Checker) known(j *seen, now time.Time) {
	if !j.accepted {
		j.accepted, j.at = true, now
		if j.tried.IsZero() {
			j.tried = now
		}
	}
}

// Refused notes the answer to a submission that is not retried.
func (c *Checker) Refused(id wire.JobID, status int, now time.Time) {
	c.clock(now)
	j := c.jobs[id]
	if j == nil || status != 400 && status != 422 {
		return
	}
	if j.accepted {
		c.broke(now, Forgotten, "repeated submission of %s answered %d", id, status)
	} else if c.Flavors != nil && c.never(&j.spec) == "" {
		c.broke(now, RefusedWrongly, "%s answered %d", id, status)
	}
}

// CancelAsked notes that a user asks to cancel.
func (c *Checker) CancelAsked(id wire.JobID) {
	if j := c.jobs[id]; j != nil && !j.cancelReq {
		j.cancelReq, j.askedAt = true, c.latest
	}
}

// Replied notes the answer to a submission that was sent at a certain time.
func (c *Checker) Replied(body []byte, status int, answer []byte, asked, now time.Time) {
	var sent, got wire.JobSummary
	if wire.Decode(body, &sent) != nil || c.jobs[sent.ID] == nil {
		return
	}
	j := c.jobs[sent.ID]
	switch {
	case status != 200 && status != 201:
		c.Refused(sent.ID, status, now)
		return
	case status == 201 && j.accepted && !asked.Before(j.at):
		c.broke(now, Forgotten, "%s accepted anew", sent.ID)
	}
	c.Accepted(sent.ID, now)
	if wire.Decode(answer, &got) == nil && got.ID == sent.ID {
		c.ToldSince(sent.ID, got.Status, asked, now)
	}
}

// CancelAnswered notes the answer to a request to cancel.
func (c *Checker) CancelAnswered(id wire.JobID, status int, answer []byte, asked, now time.Time) {
	c.clock(now)
	j := c.jobs[id]
	switch {
	case status == 404 && j != nil && j.accepted && !asked.Before(j.at):
		c.broke(now, Forgotten, "cancellation of %s answered 404", id)
	case status == 200 && j == nil && !c.posted[id]:
		c.broke(now, Invented, "cancellation of %s answered 200", id)
	case status == 200 && j != nil:
		var got wire.JobSummary
		if wire.Decode(answer, &got) == nil {
			c.ToldSince(id, got.Status, asked, now)
		}
	}
}

// Polled notes the answer of now to a poll of now; status 0: none.
func (c *Checker) Polled(id wire.JobID, status int, st wire.Status, now time.Time) {
	c.Answered(id, status, st, now, now)
}

// Answered notes the answer to a poll that was sent at a certain time; status
// 0: none.
func (c *Checker) Answered(id wire.JobID, status int, st wire.Status, asked, now time.Time) {
	c.clock(now)
	j := c.jobs[id]
	if status == 200 || status == 404 {
		c.polls.answered++
	} else {
		c.polls.failed++
	}
	switch {
	case status == 200 && j == nil:
		if !c.posted[id] {
			c.broke(now, Invented, "%s answered %s", id, st)
		}
	case status == 404 && j != nil && j.accepted:
		// Not so if the question was on its way when its user was told.
		if !asked.Before(j.at) {
			c.broke(now, Forgotten, "%s answered 404", id)
		}
	case status == 200:
		c.lastAnswered = now
		j.unread = time.Time{}
		c.ToldSince(id, st, asked, now)
		if !st.Final() && !j.cancelReq && !j.completed.IsZero() && asked.Sub(j.completed) > 3*time.Second {
			c.lateDone++
			j.openAt = now
		}
	case j != nil && j.accepted:
		if j.unread.IsZero() {
			j.unread, j.others = asked, tally{c.polls.answered, c.polls.failed - 1}
		}
		j.others.failed++ // its own
		spell := now.Sub(j.unread)
		most := c.polls.answered-j.others.answered > c.polls.failed-j.others.failed
		others := spell > 90*time.Second && (most || now.Sub(c.lastAnswered) < 10*time.Second)
		calm := c.settled(now, 75*time.Second) && spell > 75*time.Second
		if others || calm {
			c.broke(now, Forgotten, "every poll for %s fails", id)
			j.unread = time.Time{}
		}
	}
}

// settled tells whether all troubles have been over for so long.
func (c *Checker) settled(now time.Time, long time.Duration) bool {
	return !c.calm.IsZero() && now.Sub(c.calm) > long || !c.quiet.IsZero() && now.Sub(c.quiet) > long
}

// Told notes a state that a user was told now, by whatever answer.
func (c *Checker) Told(id wire.JobID, st wire.Status, now time.Time) {
	c.ToldSince(id, st, now, now)
}

// ToldSince notes a state that a user was told in answer to a question that
// was sent at a certain time: what was on its way when a newer answer arrived
// may be older. Final states exclude each other whenever they were asked for.
func (c *Checker) ToldSince(id wire.JobID, st wire.Status, asked, now time.Time) {
	c.clock(now)
	j := c.jobs[id]
	if j == nil {
		return
	}
	c.known(j, now)
	if j.told != "" && st != j.told && (st.Final() || !asked.Before(j.toldAt)) {
		c.broke(now, WentBack, "%s was %s and is called %s", id, j.told, st)
	}
	switch st {
	case wire.Done:
		if len(j.done) < j.spec.Tasks || j.spec.Service() {
			c.broke(now, NotDone, "%s called done with %d of %d tasks", id, len(j.done), j.spec.Tasks)
		}
	case wire.Cancelled:
		if !j.cancelReq {
			c.broke(now, WentBack, "%s called cancelled, which nobody asked for", id)
		}
		if j.told == "" {
			j.cancelled = now
		}
	}
	if st.Final() && j.told != st {
		j.told, j.toldAt = st, now
	}
}

// Started notes that a task is on a machine now.
func (c *Checker) Started(t wire.Task, p Place, now time.Time) {
	c.clock(now)
	c.runs++
	if c.ever[t] {
		c.again++
	}
	c.ever[t] = true
	j := c.jobs[t.Job]
	if j == nil {
		c.broke(now, WrongPlace, "%s was never submitted", t)
		return
	}
	j.waits.end()
	if !j.cancelled.IsZero() {
		c.late++
	}
	c.goesOn(t, j, p, now, "starts")
	if j.began.IsZero() && !j.spec.Gang() {
		j.began = now // a gang begins when all of it runs
	}
	s := &j.spec
	if p.Spot && !s.SpotAllowed || s.Zone != "" && s.Zone != p.Zone || s.MachineTypes != nil && !slices.Contains(s.MachineTypes, p.Kit) {
		c.broke(now, WrongPlace, "%s on %v", t, p)
	}
	inZone, elsewhere := 0, 0
	var used Limit
	for o, at := range c.on {
		oj := c.jobs[o.Job]
		if o.Job == t.Job {
			if at.Zone == p.Zone {
				inZone++
			} else {
				elsewhere++
			}
		}
		if oj.spec.Team == s.Team {
			used.CPUs += oj.spec.CPUs
			used.Cards += oj.spec.GPUs
		}
	}
	if s.Spread && inZone > (s.Tasks+1)/2 || s.SameZone && elsewhere > 0 {
		c.broke(now, WrongPlace, "%s in %s with %d there and %d elsewhere", t, p.Zone, inZone-1, elsewhere)
	}
	if l := c.Limits[s.Team]; l.CPUs > 0 && used.CPUs > l.CPUs+wire.Eps || l.Cards > 0 && used.Cards > l.Cards+wire.Eps {
		c.broke(now, Quota, "team %s uses %.1f cpus", s.Team, used.CPUs)
	}
}

// Resumed notes that a task goes on after its machine hung: like a start, but
// for what depends on where it was started.
func (c *Checker) Resumed(t wire.Task, p Place, now time.Time) {
	c.clock(now)
	if j := c.jobs[t.Job]; j != nil {
		c.goesOn(t, j, p, now, "goes on")
	}
}

func (c *Checker) goesOn(t wire.Task, j *seen, p Place, now time.Time, what string) {
	if at, on := c.on[t]; on && at.Machine != p.Machine {
		c.broke(now, RanTwice, "%s is on %s and %s on %s", t, at.Machine, what, p.Machine)
	}
	c.on[t] = p
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > c.CancelS {
		c.broke(now, RanCancelled, "%s %s on %s", t, what, p.Machine)
	}
}

// Left notes that a task is no longer on a machine.
func (c *Checker) Left(t wire.Task, m wire.MachineID, done bool) {
	if at, on := c.on[t]; on && at.Machine == m {
		delete(c.on, t)
	}
	if j := c.jobs[t.Job]; j != nil && done {
		j.done[t.Index] = true
		j.finish()
	}
}

// Tick looks for tasks of cancelled jobs that are still on a machine.
func (c *Checker) Tick(now time.Time) {
	c.clock(now)
	for t, p := range c.on {
		// Once for each job is enough.
		if j := c.jobs[t.Job]; !j.overstay && !j.cancelled.IsZero() && now.Sub(j.cancelled) > c.CancelS {
			c.broke(now, RanCancelled, "%s still on %s", t, p.Machine)
			j.overstay = true
		}
	}
	for _, j := range c.jobs {
		if j.completed.IsZero() && len(j.done) >= j.spec.Tasks {
			j.completed = now
		}
	}
}

// Calm notes that all troubles are over from now on.
func (c *Checker) Calm(now time.Time) { c.calm = now }

// Quiet notes whether the world sees a trouble now; over since a time.
func (c *Checker) Quiet(since time.Time, quiet bool) {
	if !quiet {
		since = time.Time{}
	}
	c.quiet = since
}

// beginBy is when the largest jobs must have begun.
const beginBy = 4 * time.Minute

// served checks that no class, team or size was left out.
func (c *Checker) served(now time.Time) {
	type share struct{ all, served int }
	count := map[string]*share{}
	add := func(what string, served bool) {
		k := count[what]
		if k == nil {
			k = &share{}
			count[what] = k
		}
		k.all++
		if served {
			k.served++
		}
	}
	largest := map[string]int{}
	for _, j := range c.jobs {
		largest[j.spec.Class] = max(largest[j.spec.Class], j.spec.Tasks)
	}
	for _, j := range c.jobs {
		// A job whose user gave it up in time, or that is too young, tells
		// nothing.
		if !j.accepted || j.cancelReq && j.askedAt.Sub(j.tried) < beginBy || now.Sub(j.tried) < beginBy {
			continue
		}
		add("class "+j.spec.Class, !j.began.IsZero())
		add("team "+string(j.spec.Team), !j.began.IsZero())
		if j.spec.Tasks*2 > largest[j.spec.Class] {
			add("the largest of class "+j.spec.Class, !j.began.IsZero() && j.began.Sub(j.tried) <= beginBy)
		}
	}
	for what, k := range count {
		if k.served*2 < k.all {
			c.broke(now, Unserved, "%s: %d of %d", what, k.served, k.all)
		}
	}
}

// End closes the books.
func (c *Checker) End(now time.Time) {
	c.served(now)
	if c.runs == 0 {
		c.broke(now, NothingRan, "no task was started")
	}
}

// Complete tells whether every task of the job has completed.
func (c *Checker) Complete(id wire.JobID) bool {
	j := c.jobs[id]
	return j != nil && len(j.done) == j.spec.Tasks
}

// Finished counts the jobs that users were told the end of.
func (c *Checker) Finished() (done, cancelled int) {
	for _, j := range c.jobs {
		switch j.told {
		case wire.Done:
			done++
		case wire.Cancelled:
			cancelled++
		}
	}
	return
}

// On counts the tasks of a job that are on machines.
func (c *Checker) On(id wire.JobID) int {
	n := 0
	for t := range c.on {
		if t.Job == id {
			n++
		}
	}
	return n
}

// LateStarts counts the starts after a user was told that the job is cancelled,
// also those within the time in which its tasks must be gone.
func (c *Checker) LateStarts() int { return c.late }

// LateDone counts the polls that were sent more than 3 s after a job's last task
// had completed and were not answered with its end.
func (c *Checker) LateDone() int { return c.lateDone }

// Again counts the starts of tasks that had been started before.
func (c *Checker) Again() int { return c.again }
