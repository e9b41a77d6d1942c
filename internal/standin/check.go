package standin

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
	Kit     wire.Kit
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
	Breaks  []Break

	jobs map[wire.JobID]*seen
	on   map[wire.Task]Place
	runs int
	// again counts the starts of tasks that had been started before.
	again int
	ever  map[wire.Task]bool
	// lastAnswered is when a user's poll was last answered.
	lastAnswered time.Time
	// calm is since when all troubles are over; zero: not yet.
	calm time.Time
}

type seen struct {
	spec      wire.Spec
	accepted  bool
	told      wire.Status // the final state that a user was told
	cancelReq bool
	cancelled time.Time // when a user was told
	done      map[int]bool
	unread    time.Time // since when every poll failed
	at        time.Time // of the acceptance
	began     time.Time // of the first task
	news      news
}

// NewChecker makes a checker.
func NewChecker(cancelS time.Duration, limits map[wire.TeamID]Limit) *Checker {
	return &Checker{CancelS: cancelS, Limits: limits, jobs: map[wire.JobID]*seen{}, on: map[wire.Task]Place{}, ever: map[wire.Task]bool{}}
}

func (c *Checker) broke(at time.Time, r Rule, format string, args ...any) {
	c.Breaks = append(c.Breaks, Break{r, fmt.Sprintf(format, args...), at})
}

// Submitted notes a user's attempt to submit.
func (c *Checker) Submitted(s wire.Spec) {
	if c.jobs[s.ID] == nil {
		c.jobs[s.ID] = &seen{spec: s, done: map[int]bool{}}
	}
}

// Accepted notes a 201 or 200 to a submission.
func (c *Checker) Accepted(id wire.JobID, now time.Time) {
	if j := c.jobs[id]; j != nil {
		if !j.accepted {
			j.accepted, j.at = true, now
		}
		j.unread = time.Time{}
	} else {
		c.broke(now, Invented, "%s accepted", id)
	}
}

// Refused notes the answer to a submission that is not retried.
func (c *Checker) Refused(id wire.JobID, status int, now time.Time) {
	if j := c.jobs[id]; j != nil && j.accepted && (status == 400 || status == 422) {
		c.broke(now, Forgotten, "repeated submission of %s answered %d", id, status)
	}
}

// CancelAsked notes that a user asks to cancel.
func (c *Checker) CancelAsked(id wire.JobID) {
	if j := c.jobs[id]; j != nil {
		j.cancelReq = true
	}
}

// Polled notes a poll's answer; status 0: none.
func (c *Checker) Polled(id wire.JobID, status int, st wire.Status, now time.Time) {
	j := c.jobs[id]
	switch {
	case status == 200 && j == nil:
		c.broke(now, Invented, "%s answered %s", id, st)
	case status == 404 && j != nil && j.accepted:
		c.broke(now, Forgotten, "%s answered 404", id)
	case status == 200:
		c.lastAnswered = now
		j.unread = time.Time{}
		c.Told(id, st, now)
	case j != nil && j.accepted:
		if j.unread.IsZero() {
			j.unread = now
		}
		others := now.Sub(j.unread) > 90*time.Second && now.Sub(c.lastAnswered) < 10*time.Second
		calm := !c.calm.IsZero() && now.Sub(c.calm) > 75*time.Second && now.Sub(j.unread) > 75*time.Second
		if others || calm {
			c.broke(now, Forgotten, "every poll for %s fails", id)
			j.unread = time.Time{}
		}
	}
}

// Told notes a state that a user was told, by whatever answer.
func (c *Checker) Told(id wire.JobID, st wire.Status, now time.Time) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	if j.told != "" && st != j.told {
		c.broke(now, WentBack, "%s was %s and is called %s", id, j.told, st)
	}
	switch st {
	case wire.Done:
		if len(j.done) < j.spec.Parts {
			c.broke(now, NotDone, "%s called done with %d of %d tasks", id, len(j.done), j.spec.Parts)
		}
		j.told = st
	case wire.Cancelled:
		if !j.cancelReq {
			c.broke(now, WentBack, "%s called cancelled, which nobody asked for", id)
		}
		if j.told == "" {
			j.cancelled = now
		}
		j.told = st
	}
}

// Started notes that a task is on a machine now.
func (c *Checker) Started(t wire.Task, p Place, now time.Time) {
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
	if at, on := c.on[t]; on && at.Machine != p.Machine {
		c.broke(now, RanTwice, "%s runs on %s and is started on %s", t, at.Machine, p.Machine)
	}
	c.on[t] = p
	if j.began.IsZero() {
		j.began = now
	}
	s := &j.spec
	if p.Spot && !s.Standby || s.Site != "" && s.Site != p.Zone || s.Kits != nil && !slices.Contains(s.Kits, p.Kit) {
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
		if oj.spec.Owner == s.Owner {
			used.CPUs += oj.spec.CPUs
			used.Cards += oj.spec.Cards
		}
	}
	if s.Apart && inZone > (s.Parts+1)/2 || s.SamePlace && elsewhere > 0 {
		c.broke(now, WrongPlace, "%s in %s with %d there and %d elsewhere", t, p.Zone, inZone-1, elsewhere)
	}
	if l := c.Limits[s.Owner]; l.CPUs > 0 && used.CPUs > l.CPUs+wire.Eps || l.Cards > 0 && used.Cards > l.Cards+wire.Eps {
		c.broke(now, Quota, "team %s uses %.1f cpus", s.Owner, used.CPUs)
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > c.CancelS {
		c.broke(now, RanCancelled, "%s starts on %s", t, p.Machine)
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
	for t, p := range c.on {
		if j := c.jobs[t.Job]; !j.cancelled.IsZero() && now.Sub(j.cancelled) > c.CancelS {
			c.broke(now, RanCancelled, "%s still on %s", t, p.Machine)
			j.cancelled = now // once is enough
		}
	}
}

// Calm notes that all troubles are over from now on.
func (c *Checker) Calm(now time.Time) { c.calm = now }

// beginBy is when the largest jobs must have begun.
const beginBy = 4 * time.Minute

// served checks that no class, team or size was left out.
func (c *Checker) served(now time.Time) {
	type tally struct{ all, served int }
	count := map[string]*tally{}
	add := func(what string, served bool) {
		k := count[what]
		if k == nil {
			k = &tally{}
			count[what] = k
		}
		k.all++
		if served {
			k.served++
		}
	}
	largest := map[string]int{}
	for _, j := range c.jobs {
		largest[j.spec.Lane] = max(largest[j.spec.Lane], j.spec.Parts)
	}
	for _, j := range c.jobs {
		if !j.accepted || j.cancelReq || now.Sub(j.at) < beginBy {
			continue
		}
		add("class "+j.spec.Lane, !j.began.IsZero())
		add("team "+string(j.spec.Owner), !j.began.IsZero())
		if j.spec.Parts*2 > largest[j.spec.Lane] {
			add("the largest of class "+j.spec.Lane, !j.began.IsZero() && j.began.Sub(j.at) <= beginBy)
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
	return j != nil && len(j.done) == j.spec.Parts
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

// Again counts the starts of tasks that had been started before.
func (c *Checker) Again() int { return c.again }
