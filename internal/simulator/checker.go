package simulator

import (
	"fmt"
	"time"

	"lilaclead/internal/wire"
)

// Rule identifies an invariant that the checker enforces.
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

// MissingRetryAfter is broken by a refusal for now that does not say when to come back.
const MissingRetryAfter Rule = "no_retry_after"

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule
	What string
	At   time.Time
}

// Place is the identity of a machine and the properties that placement rules depend on.
type Place struct {
	Machine wire.MachineID
	Type    wire.MachineType
	Zone    wire.Zone
	Spot    bool
}

// TeamLimit is the quota of a team; 0 means no limit.
type TeamLimit struct{ CPUs, GPUs float64 }

// Checker watches what the fakes see and notes every broken rule. It is
// fed by calls only and takes the time from its caller.
type Checker struct {
	CancelTimeout time.Duration
	Limits        map[wire.TeamID]TeamLimit
	MachineSpecs  []wire.MachineSpec // nil: not known, and what fits is not judged
	Violations    []Violation

	jobs    map[wire.JobID]*jobHistory
	placeOf map[wire.TaskID]Place
	starts  int
	// again counts the starts of tasks that had been started before.
	restarts    int
	everStarted map[wire.TaskID]bool
	// lastAnswered is when a user's poll was last answered.
	lastAnswered time.Time
	// polls of all users.
	polls pollCount
	// calm is since when all faults are over, by the test's word; zero: not
	// yet. quiet is the same by what the simulation sees.
	faultsOverSince, noFaultSince time.Time
	// late counts starts after a cancellation was confirmed, lateDone polls
	// that were not told done in time.
	lateStarts, lateDone int
	// latestTime is the latestTime time that the checker was told.
	latestTime time.Time
	// submittedIDs are the ids that some submission named, in whatever form.
	submittedIDs map[wire.JobID]bool
}

// jobHistory is what the checker knows of a job.
type jobHistory struct {
	spec              wire.JobSpec
	accepted          bool
	finalStatus       wire.Status // the final state that a user was told
	finalToldAt       time.Time
	cancelRequested   bool
	cancelRequestedAt time.Time // when its user first asked to cancel
	cancelToldAt      time.Time // when a user was told
	overstayRecorded  bool      // noted that it outlives its cancellation
	completedTasks    map[int]bool
	completionSeenAt  time.Time // of the last task
	notDoneToldAt     time.Time // when a user was told last that it goes on nevertheless
	unansweredSince   time.Time // since when every poll failed
	pollsBaseline     pollCount // all polls until then, and its own since
	submittedAt       time.Time // of the first attempt to submit
	acceptedAt        time.Time // of the acceptance
	startedAt         time.Time // of the first task
	completion        endHistory
	waits             waitHistory
}

// pollCount counts polls by whether they were answered.
type pollCount struct{ answered, failed int }

// NewChecker returns a checker for jobs whose tasks must be gone within the cancel timeout.
func NewChecker(cancelTimeout time.Duration, limits map[wire.TeamID]TeamLimit) *Checker {
	return &Checker{CancelTimeout: cancelTimeout, Limits: limits, jobs: map[wire.JobID]*jobHistory{}, placeOf: map[wire.TaskID]Place{}, everStarted: map[wire.TaskID]bool{}, submittedIDs: map[wire.JobID]bool{}}
}

// observeTime advances the latest time that the checker knows.
func (c *Checker) observeTime(now time.Time) {
	if now.After(c.latestTime) {
		c.latestTime = now
	}
}

// violated records a violation.
func (c *Checker) violated(at time.Time, rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, fmt.Sprintf(format, args...), at})
}

// FaultsOver records that no fault lasts from now on.
func (c *Checker) FaultsOver(now time.Time) { c.faultsOverSince = now }

// ObserveFaults notes whether the simulation sees a fault now; over since a time.
func (c *Checker) ObserveFaults(since time.Time, noFault bool) {
	if !noFault {
		since = time.Time{}
	}
	c.noFaultSince = since
}

// faultsOverFor reports whether all faults have been over for so long.
func (c *Checker) faultsOverFor(now time.Time, duration time.Duration) bool {
	return !c.faultsOverSince.IsZero() && now.Sub(c.faultsOverSince) > duration || !c.noFaultSince.IsZero() && now.Sub(c.noFaultSince) > duration
}

// largestStartWithin is when the largest jobs must have begun.
const largestStartWithin = 4 * time.Minute

// checkAllServed checks that no class, team or size was left out.
func (c *Checker) checkAllServed(now time.Time) {
	type tally struct{ all, served int }
	tallies := map[string]*tally{}
	count := func(what string, served bool) {
		t := tallies[what]
		if t == nil {
			t = &tally{}
			tallies[what] = t
		}
		t.all++
		if served {
			t.served++
		}
	}
	largest := map[string]int{}
	for _, j := range c.jobs {
		largest[j.spec.Class] = max(largest[j.spec.Class], j.spec.Tasks)
	}
	for _, j := range c.jobs {
		// A job whose user gave it up in time, or that is too young, tells
		// nothing.
		if !j.accepted || j.cancelRequested && j.cancelRequestedAt.Sub(j.submittedAt) < largestStartWithin || now.Sub(j.submittedAt) < largestStartWithin {
			continue
		}
		count("class "+j.spec.Class, !j.startedAt.IsZero())
		count("team "+string(j.spec.Team), !j.startedAt.IsZero())
		if j.spec.Tasks*2 > largest[j.spec.Class] {
			count("the largest of class "+j.spec.Class, !j.startedAt.IsZero() && j.startedAt.Sub(j.submittedAt) <= largestStartWithin)
		}
	}
	for what, t := range tallies {
		if t.served*2 < t.all {
			c.violated(now, Unserved, "%s: %d of %d", what, t.served, t.all)
		}
	}
}

// Finish makes the checks that need the whole run.
func (c *Checker) Finish(now time.Time) {
	c.checkAllServed(now)
	if c.starts == 0 {
		c.violated(now, NothingRan, "no task was started")
	}
}
