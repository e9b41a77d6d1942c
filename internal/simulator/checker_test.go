package simulator

import (
	"net/http"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// freeMachine is a machine with room for two tasks of the tests' job.
var freeMachine = MachineRoom{Place: Place{Machine: "n-1", Type: "c4", Zone: "a"}, Usable: true, CPUs: 8, MemoryGB: 8, DiskGB: 20}

// observeRoom shows that machine, and no fault, for some seconds.
func observeRoom(c *Checker, seconds int) {
	t0 := time.Unix(1000, 0)
	for s := range seconds {
		c.ObserveFaults(t0, true)
		c.ObserveRoom([]MachineRoom{freeMachine}, t0.Add(time.Duration(s)*time.Second))
	}
}

// encodedSubmission is a submission as a user sends it.
func encodedSubmission(s wire.JobSpec) []byte { return wire.Encode(Submission(s)) }

// encodedSummary is an answer about a job.
func encodedSummary(id wire.JobID, st wire.Status) []byte {
	return wire.Encode(wire.JobSummary{ID: id, Status: st})
}

// A checker that can't fail proves nothing: each rule is broken here once,
// deliberately, and must be the one that is noted.
func TestEveryRuleCanBeViolated(t *testing.T) {
	t0 := time.Unix(1000, 0)
	spec := wire.JobSpec{ID: "req-1", Team: "red", Tasks: 4, CPUs: 4, Spread: true}
	here := Place{Machine: "n-1", Type: "c4", Zone: "a"}
	there := Place{Machine: "n-2", Type: "c4", Zone: "b"}
	task := func(i int) wire.TaskID { return wire.TaskID{Job: "req-1", Index: i} }
	cases := map[string]struct {
		rule    Rule
		violate func(c *Checker)
	}{
		"on two machines": {RanTwice, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.TaskStarted(task(0), there, t0) }},
		"over the limit": {Quota, func(c *Checker) {
			c.TaskStarted(task(0), here, t0)
			c.TaskStarted(task(1), there, t0)
			c.TaskStarted(task(2), there, t0)
		}},
		"spot not allowed": {WrongPlace, func(c *Checker) { c.TaskStarted(task(0), Place{Machine: "n-3", Zone: "a", Spot: true}, t0) }},
		"too many in a zone": {WrongPlace, func(c *Checker) {
			c.Limits = nil
			for i := range 3 {
				c.TaskStarted(task(i), here, t0)
			}
		}},
		"starts after a cancel": {RanCancelled, func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.TaskStarted(task(0), here, t0.Add(11*time.Second))
		}},
		"stays after a cancel": {RanCancelled, func(c *Checker) {
			c.TaskStarted(task(0), here, t0)
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.Tick(t0.Add(11 * time.Second))
		}},
		"answered 404":        {Forgotten, func(c *Checker) { c.PollAnsweredNow("req-1", 404, "", t0) }},
		"repeat answered 422": {Forgotten, func(c *Checker) { c.Refused("req-1", 422, t0) }},
		"never submitted":     {Invented, func(c *Checker) { c.PollAnsweredNow("req-9", 200, wire.StatusQueued, t0) }},
		"done too early":      {NotDone, func(c *Checker) { c.PollAnsweredNow("req-1", 200, wire.StatusDone, t0) }},
		"cancelled by nobody": {WentBack, func(c *Checker) { c.PollAnsweredNow("req-1", 200, wire.StatusCancelled, t0) }},
		"final and then otherwise": {WentBack, func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.PollAnsweredNow("req-1", 200, wire.StatusRunning, t0)
		}},
		"polls fail when all is well": {Forgotten, func(c *Checker) {
			c.FaultsOver(t0)
			for s := range 80 {
				c.PollAnsweredNow("req-1", 503, "", t0.Add(time.Duration(s)*time.Second))
			}
		}},
		"a class never begins": {Unserved, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Class: "other", Team: "blue"})
			c.TaskStarted(wire.TaskID{Job: "req-2"}, here, t0)
			c.Finish(t0.Add(5 * time.Minute))
		}},
		"the largest begin late": {Unserved, func(c *Checker) {
			c.TaskStarted(task(0), here, t0.Add(250*time.Second))
			c.Finish(t0.Add(5 * time.Minute))
		}},
		"goes on elsewhere after a hang": {RanTwice, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.TaskResumed(task(0), there, t0) }},
		"goes on after a hang though cancelled": {RanCancelled, func(c *Checker) {
			c.TaskStarted(task(0), here, t0)
			c.TaskLeft(task(0), "n-1", false)
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.TaskResumed(task(0), here, t0.Add(11*time.Second))
		}},
		"one zone, elsewhere": {WrongPlace, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 2, CPUs: 1, SameZone: true})
			c.TaskStarted(wire.TaskID{Job: "req-2", Index: 0}, here, t0)
			c.TaskStarted(wire.TaskID{Job: "req-2", Index: 1}, there, t0)
		}},
		"wrong type": {WrongPlace, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 2, CPUs: 1, MachineTypes: []wire.MachineType{"c16"}})
			c.TaskStarted(wire.TaskID{Job: "req-2"}, here, t0)
		}},
		"wrong zone": {WrongPlace, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 2, CPUs: 1, Zone: "b"})
			c.TaskStarted(wire.TaskID{Job: "req-2"}, here, t0)
		}},
		"a service called done": {NotDone, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindService, Tasks: 1, CPUs: 1})
			c.TaskStarted(wire.TaskID{Job: "req-2"}, here, t0)
			c.TaskLeft(wire.TaskID{Job: "req-2"}, "n-1", true)
			c.StatusToldNow("req-2", wire.StatusDone, t0)
		}},
		"404 after a poll that knew it": {Forgotten, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 1, CPUs: 1})
			c.PollAnsweredNow("req-2", 200, wire.StatusQueued, t0)
			c.PollAnsweredNow("req-2", 404, "", t0.Add(time.Second))
		}},
		"cancellation answered 404": {Forgotten, func(c *Checker) { c.CancelAnswered("req-1", 404, nil, t0, t0) }},
		"accepted anew": {Forgotten, func(c *Checker) {
			c.SubmissionAnswered(encodedSubmission(spec), 201, encodedSummary("req-1", wire.StatusQueued), t0, t0)
		}},
		"a repeat is answered an older": {WentBack, func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.SubmissionAnswered(encodedSubmission(spec), 200, encodedSummary("req-1", wire.StatusQueued), t0, t0)
		}},
		"asked before, and two ends": {WentBack, func(c *Checker) {
			c.CancelRequested("req-1")
			for i := range 4 {
				c.TaskStarted(task(i), Place{Machine: "n-1", Zone: wire.Zone(rune('a' + i))}, t0)
				c.TaskLeft(task(i), "n-1", true)
			}
			c.StatusToldNow("req-1", wire.StatusDone, t0.Add(2*time.Second))
			c.PollAnswered("req-1", 200, wire.StatusCancelled, t0, t0.Add(3*time.Second))
		}},
		"cancellation of nothing": {Invented, func(c *Checker) {
			c.CancelAnswered("req-9", 200, encodedSummary("req-9", wire.StatusCancelled), t0, t0)
		}},
		"accepts what nobody sent": {Invented, func(c *Checker) { c.Accepted("req-9", t0) }},
		"polls fail although few others do": {Forgotten, func(c *Checker) {
			for s := range 100 {
				now := t0.Add(time.Duration(s) * time.Second)
				c.PollAnsweredNow("req-1", 503, "", now)
				if s < 60 {
					c.PollAnsweredNow("req-9", 404, "", now)
					c.PollAnsweredNow("req-9", 404, "", now)
				}
			}
		}},
		"unknown team": {AcceptedWrongly, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "green", Tasks: 1, CPUs: 1})
			c.Accepted("req-2", t0)
		}},
		"fits no type": {AcceptedWrongly, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 1, CPUs: 1, MemoryGB: 99})
			c.Accepted("req-2", t0)
		}},
		"fits no allowed type": {AcceptedWrongly, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 1, CPUs: 1, MachineTypes: []wire.MachineType{"g8"}})
			c.Accepted("req-2", t0)
		}},
		"a task over the limit": {AcceptedWrongly, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 1, CPUs: 9})
			c.Accepted("req-2", t0)
		}},
		"a service over the limit": {AcceptedWrongly, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Kind: wire.KindService, Tasks: 3, CPUs: 4})
			c.Accepted("req-2", t0)
		}},
		"what could run is refused": {RefusedWrongly, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 3, CPUs: 4})
			c.Refused("req-2", 422, t0)
		}},
		"left waiting": {LeftWaiting, func(c *Checker) { observeRoom(c, 100) }},
		"left waiting, its results lost": {LeftWaiting, func(c *Checker) {
			for i := range 4 {
				c.TaskLeft(task(i), "n-9", true)
			}
			c.Tick(t0)
			for s := range 110 {
				now := t0.Add(time.Duration(s) * time.Second)
				c.PollAnsweredNow("req-1", 200, wire.StatusQueued, now)
				c.ObserveFaults(t0, true)
				c.ObserveRoom([]MachineRoom{freeMachine}, now)
			}
		}},
		"left waiting after a trouble": {LeftWaiting, func(c *Checker) {
			observeRoom(c, 80)
			c.ObserveFaults(time.Time{}, false)
			c.ObserveRoom([]MachineRoom{freeMachine}, t0)
			if len(c.Violations) > 0 {
				return
			}
			observeRoom(c, 100)
		}},
		"nothing ran": {NothingRan, func(c *Checker) { c.Finish(t0) }},
		"polls fail": {Forgotten, func(c *Checker) {
			other := spec
			other.ID = "req-2"
			c.Submitted(other)
			c.Accepted("req-2", t0)
			for s := range 100 {
				now := t0.Add(time.Duration(s) * time.Second)
				c.PollAnsweredNow("req-1", 503, "", now)
				c.PollAnsweredNow("req-2", 200, wire.StatusQueued, now)
			}
		}},
	}
	for name, test := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]TeamLimit{"red": {CPUs: 8}})
		c.MachineSpecs = []wire.MachineSpec{{Name: "c4", CPUs: 16, MemoryGB: 16, DiskGB: 20, Zones: []wire.Zone{"a", "b"}}}
		c.Submitted(spec)
		c.Accepted("req-1", t0)
		test.violate(c)
		if len(c.Violations) == 0 || c.Violations[0].Rule != test.rule {
			t.Errorf("%s: noted %v, want %s", name, c.Violations, test.rule)
		}
	}
}

// What breaks no rule must not be noted, or the tests would be eased.
func TestAllowedBehaviourIsNoViolation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	after := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	task := wire.TaskID{Job: "req-1", Index: 0}
	here := Place{Machine: "n-1", Type: "c4", Zone: "a"}
	with := func(change func(r *MachineRoom)) MachineRoom {
		r := freeMachine
		change(&r)
		return r
	}
	waiting := func(r MachineRoom) func(*Checker) {
		return func(c *Checker) {
			for s := range 200 {
				c.ObserveFaults(t0, true)
				c.ObserveRoom([]MachineRoom{r}, after(float64(s)))
			}
		}
	}
	cases := map[string]func(c *Checker){
		"an answer on its way while a newer one came": func(c *Checker) {
			c.CancelRequested("req-1")
			c.PollAnswered("req-1", 200, wire.StatusCancelled, after(1), after(2))
			c.PollAnswered("req-1", 200, wire.StatusRunning, after(1), after(3))
		},
		"a 404 that was on its way": func(c *Checker) { c.PollAnswered("req-1", 404, "", after(-1), after(1)) },
		"no room":                   waiting(with(func(r *MachineRoom) { r.CPUs = 3 })),
		"no memory":                 waiting(with(func(r *MachineRoom) { r.MemoryGB = 3 })),
		"not up, or faulty":         waiting(with(func(r *MachineRoom) { r.Usable = false })),
		"a spot machine":            waiting(with(func(r *MachineRoom) { r.Spot = true })),
		"an image too large":        waiting(with(func(r *MachineRoom) { r.DiskGB = 0.5 })),
		"the team at its limit":     waiting(with(func(r *MachineRoom) { r.Tasks = []wire.TaskID{{Job: "req-2", Index: 0}, {Job: "req-2", Index: 1}} })),
		"half is there already":     waiting(with(func(r *MachineRoom) { r.Tasks = []wire.TaskID{{Job: "req-1", Index: 0}, {Job: "req-1", Index: 1}} })),
		"all of it runs": func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-3", Team: "blue", Tasks: 1, CPUs: 1})
			c.Accepted("req-3", t0)
			c.CancelRequested("req-1")
			waiting(with(func(r *MachineRoom) { r.Tasks = []wire.TaskID{{Job: "req-3"}} }))(c)
		},
		"something starts now and then": func(c *Checker) {
			for s := range 200 {
				c.ObserveFaults(t0, true)
				if s%80 == 79 {
					c.TaskStarted(task, here, after(float64(s)))
				}
				c.ObserveRoom([]MachineRoom{freeMachine}, after(float64(s)))
			}
		},
		"troubles between": func(c *Checker) {
			for s := range 200 {
				c.ObserveFaults(t0, s%80 != 79)
				c.ObserveRoom([]MachineRoom{freeMachine}, after(float64(s)))
			}
		},
		"all of it is done, and nobody asks": func(c *Checker) {
			for i := range 4 {
				c.TaskLeft(wire.TaskID{Job: "req-1", Index: i}, "n-9", true)
			}
			waiting(freeMachine)(c)
		},
		"its user gave up": func(c *Checker) { c.CancelRequested("req-1"); waiting(freeMachine)(c) },
	}
	for name, do := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]TeamLimit{"red": {CPUs: 8}, "blue": {}})
		c.MachineSpecs = []wire.MachineSpec{{Name: "c4", CPUs: 16, MemoryGB: 16, DiskGB: 20, Zones: []wire.Zone{"a", "b"}}}
		c.Submitted(wire.JobSpec{ID: "req-1", Team: "red", Tasks: 4, CPUs: 4, MemoryGB: 4, ImageGB: 1, Spread: true})
		c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 2, CPUs: 4})
		c.Accepted("req-1", t0)
		do(c)
		if len(c.Violations) > 0 {
			t.Errorf("%s: noted %v", name, c.Violations)
		}
	}
}

// Starts after a cancellation and polls that are not told done in time break no
// rule by themselves, and are counted.
func TestLateStartsAndPollsAreCounted(t *testing.T) {
	t0 := time.Unix(1000, 0)
	c := NewChecker(10*time.Second, nil)
	here := Place{Machine: "n-1", Type: "c4", Zone: "a"}
	for n, id := range []wire.JobID{"req-1", "req-2"} {
		c.Submitted(wire.JobSpec{ID: id, Tasks: 2, CPUs: 1})
		c.Accepted(id, t0)
		c.TaskStarted(wire.TaskID{Job: id}, here, t0)
		c.TaskLeft(wire.TaskID{Job: id}, "n-1", true)
		if n == 0 {
			c.TaskStarted(wire.TaskID{Job: id, Index: 1}, here, t0)
			c.TaskLeft(wire.TaskID{Job: id, Index: 1}, "n-1", true)
		}
	}
	c.Tick(t0)
	c.PollAnswered("req-1", 200, wire.StatusRunning, t0.Add(2*time.Second), t0.Add(4*time.Second))
	if c.LateDone() != 0 {
		t.Error("a poll 2 s after the end is counted")
	}
	c.PollAnswered("req-1", 200, wire.StatusRunning, t0.Add(4*time.Second), t0.Add(4*time.Second))
	c.PollAnswered("req-2", 200, wire.StatusRunning, t0.Add(4*time.Second), t0.Add(4*time.Second))
	c.CancelRequested("req-2")
	c.StatusToldNow("req-2", wire.StatusCancelled, t0.Add(5*time.Second))
	c.TaskStarted(wire.TaskID{Job: "req-2", Index: 1}, here, t0.Add(6*time.Second))
	if c.LateDone() != 1 || c.LateStarts() != 1 || len(c.Violations) > 0 {
		t.Errorf("%d late polls, %d late starts, %v", c.LateDone(), c.LateStarts(), c.Violations)
	}
}

// A submission that is malformed must not be accepted, whichever field is to
// blame, and one that is not must not be blamed.
func TestMalformedSubmissions(t *testing.T) {
	good := wire.JobSpec{ID: "req-000001", Class: "solve", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-a"}
	isViolation := func(body any) bool {
		c := NewChecker(time.Second, nil)
		c.SubmissionSent(bodyOf(body), 201, time.Unix(1000, 0))
		for _, violation := range c.Violations {
			if violation.Rule != AcceptedWrongly {
				t.Errorf("%v noted %v", body, violation)
			}
		}
		return len(c.Violations) > 0
	}
	if isViolation(Submission(good)) {
		t.Error("a good submission is blamed")
	}
	for name := range Submission(good) {
		fields := Submission(good)
		delete(fields, name)
		if nullable := name == "kits" || name == "site" || name == "dueS"; isViolation(fields) == nullable {
			t.Errorf("without %s", name)
		}
		fields[name] = []byte{1}
		if !isViolation(fields) {
			t.Errorf("a wrong %s", name)
		}
	}
	for name, value := range map[string]any{"nameId": "job-1", "shape": "choir", "urgency": "now", "parts": 100_001, "cpus": -1.0, "dueS": -1.0, "ramGb": "many"} {
		fields := Submission(good)
		if fields[name] = value; !isViolation(fields) {
			t.Errorf("%s %v", name, value)
		}
	}
	if !isViolation([]string{"a"}) || !isViolation([]byte{0xff, 1}) {
		t.Error("what is no map")
	}
}

func TestToldOfAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name         string
		httpStatus   int
		status       wire.Status
		want         Told
		wantAnswered bool
	}{
		{"job not known", http.StatusNotFound, "", ToldNothing, true},
		{"no answer", 0, "", ToldNothing, false},
		{"refused for now", http.StatusServiceUnavailable, "", ToldNothing, false},
		{"done", http.StatusOK, wire.StatusDone, ToldFinal, true},
		{"cancelled", http.StatusOK, wire.StatusCancelled, ToldFinal, true},
		{"not over", http.StatusOK, wire.StatusRunning, ToldAccepted, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, answered := ToldOf(c.httpStatus, c.status); got != c.want || answered != c.wantAnswered {
				t.Errorf("ToldOf(%d, %q) = %v, %v, want %v, %v", c.httpStatus, c.status, got, answered, c.want, c.wantAnswered)
			}
		})
	}
}
