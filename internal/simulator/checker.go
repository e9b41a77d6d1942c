package simulator

import (
	"fmt"
	"time"

	"lilaclead/internal/wire"
)

// Rule identifies an invariant that the checker enforces.
type Rule string

// The rules, each named after its violation.
const (
	RanTwice     Rule = "ran_twice"     // a task was on two machines at once
	Quota        Rule = "quota"         // a team used more than its limit
	WrongPlace   Rule = "wrong_place"   // a task was on a machine that its job doesn't allow
	RanCancelled Rule = "ran_cancelled" // a cancelled task was on a machine after the cancel timeout
	Forgotten    Rule = "forgotten"     // an accepted job was unknown, refused or created again, or all polls for it failed
	Invented     Rule = "invented"      // a request about a job that was never submitted succeeded
	NotDone      Rule = "not_done"      // a job with tasks left, or a service, was called done
	WentBack     Rule = "went_back"     // a status contradicted an earlier one, or called a job cancelled that nobody asked to cancel
	NothingRan   Rule = "nothing_ran"   // no task was started in the whole run
	// Unserved: by the end of a run, less than half of the jobs of a class or of a team had
	// started, or less than half of the largest jobs of a class within four minutes.
	Unserved Rule = "unserved"
	// AcceptedWrongly: a submission that is malformed or can never run was accepted.
	// RefusedWrongly: one that is neither was answered 400 or 422.
	AcceptedWrongly Rule = "accepted_wrongly"
	RefusedWrongly  Rule = "refused_wrongly"
	// LeftWaiting: while there was no fault, a job started no task although a suitable
	// machine had enough free capacity all that time and the job's team was below its limit.
	LeftWaiting Rule = "left_waiting"
	// AttemptRepeated: an attempt that had ended began again, by a late copy of its launch.
	AttemptRepeated Rule = "attempt_repeated"
	// HalfRun: a gang ran without some of its tasks.
	HalfRun Rule = "half_run"
)

// MissingRetryAfter is broken by a response 429 or 503 to BurstReaders without a Retry-After
// header.
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

// Checker records every violation of a rule. It acts only when the fakes report to it what they
// see, and takes the time from its caller, except for the time of a job's completion.
type Checker struct {
	CancelTimeout time.Duration
	Limits        map[wire.TeamID]TeamLimit
	MachineSpecs  []wire.MachineSpec // nil: unknown; nothing is checked against machine sizes
	Violations    []Violation

	jobs    map[wire.JobID]*jobHistory
	placeOf map[wire.TaskID]Place
	starts  int
	// restarts counts the starts of tasks that had been started before.
	restarts    int
	everStarted map[wire.TaskID]bool
	// lastAnswered is when a poll, or any request of BurstReaders, last succeeded.
	lastAnswered time.Time
	// polls counts the polls of all users.
	polls pollCount
	// faultsOverSince is when the test reported that all faults are over; zero: it has not.
	// noFaultSince is since when the simulation has seen no fault; zero: it sees one.
	faultsOverSince, noFaultSince time.Time
	// lateStarts counts the starts after a cancellation was confirmed, latePolls the polls
	// that were not answered with a job's final status in time.
	lateStarts, latePolls int
	// latestTime is the latest time that a caller passed.
	latestTime time.Time
	// submittedIDs are the job IDs of all submissions, also of malformed ones.
	submittedIDs map[wire.JobID]bool
}

// jobHistory is what the checker knows of a job.
type jobHistory struct {
	spec              wire.JobSpec
	accepted          bool
	finalStatus       wire.Status // the final status that a user was told
	finalToldAt       time.Time
	cancelRequested   bool
	cancelRequestedAt time.Time // when its user first asked to cancel
	cancelToldAt      time.Time // when a user was told of the cancellation
	overstayRecorded  bool      // a violation was recorded for tasks left after the cancel timeout
	completedTasks    map[int]bool
	completionSeenAt  time.Time // when Tick first saw all tasks completed
	notDoneToldAt     time.Time // when a late poll was last answered with a status that is not final
	unansweredSince   time.Time // since when every poll for the job has failed
	pollsBaseline     pollCount // all polls before unansweredSince, and the job's own since
	submittedAt       time.Time // when its user first tried to submit it
	acceptedAt        time.Time // when a user was first told that it is accepted
	startedAt         time.Time // of its first task; of a gang: when all its tasks first ran
	completion        completionHistory
	waits             waitHistory
}

// pollCount counts polls that were answered 200 or 404, and all others.
type pollCount struct{ answered, failed int }

// NewChecker returns a checker. The tasks of a cancelled job must be gone within the cancel
// timeout.
func NewChecker(cancelTimeout time.Duration, limits map[wire.TeamID]TeamLimit) *Checker {
	return &Checker{CancelTimeout: cancelTimeout, Limits: limits, jobs: map[wire.JobID]*jobHistory{}, placeOf: map[wire.TaskID]Place{}, everStarted: map[wire.TaskID]bool{}, submittedIDs: map[wire.JobID]bool{}}
}

// observeTime advances the latest time that a caller passed.
func (c *Checker) observeTime(now time.Time) {
	if now.After(c.latestTime) {
		c.latestTime = now
	}
}

// violated records a violation.
func (c *Checker) violated(at time.Time, rule Rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, fmt.Sprintf(format, args...), at})
}

// FaultsOver records that all faults are over from now on.
func (c *Checker) FaultsOver(now time.Time) { c.faultsOverSince = now }

// ObserveFaults records since when the simulation has seen no fault, or that it sees one now.
func (c *Checker) ObserveFaults(since time.Time, noFault bool) {
	if !noFault {
		since = time.Time{}
	}
	c.noFaultSince = since
}

// faultsOverFor reports whether all faults have been over for more than a duration, as the test
// reports or as the simulation sees.
func (c *Checker) faultsOverFor(now time.Time, duration time.Duration) bool {
	return !c.faultsOverSince.IsZero() && now.Sub(c.faultsOverSince) > duration || !c.noFaultSince.IsZero() && now.Sub(c.noFaultSince) > duration
}

// largestStartWithin is how soon after their submission the largest jobs must have started:
// those with more than half as many tasks as the largest job of their class.
const largestStartWithin = 4 * time.Minute

// checkAllServed checks the rule Unserved.
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
		// Jobs that were cancelled early or submitted late had no time to start.
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

// Finish makes the checks that need the whole run, at its end.
func (c *Checker) Finish(now time.Time) {
	c.checkAllServed(now)
	if c.starts == 0 {
		c.violated(now, NothingRan, "no task was started")
	}
}
