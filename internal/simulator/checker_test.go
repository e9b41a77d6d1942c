package simulator

import (
	"net/http"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// freeMachine is a machine with free capacity for two tasks of the jobs under test.
var freeMachine = MachineCapacity{Place: Place{Machine: "n-1", Type: "c4", Zone: "a"}, Usable: true, CPUs: 8, MemoryGB: 8, DiskGB: 20}

// observeFreeMachine shows freeMachine and no fault to the checker for some seconds.
func observeFreeMachine(c *Checker, seconds int) {
	t0 := time.Unix(1000, 0)
	for s := range seconds {
		c.ObserveFaults(t0, true)
		c.ObserveCapacity([]MachineCapacity{freeMachine}, t0.Add(time.Duration(s)*time.Second))
	}
}

// encodedSubmission returns the body of a request to submit a job.
func encodedSubmission(s wire.JobSpec) []byte { return wire.Encode(Submission(s)) }

// encodedSummary returns the body of a response about a job.
func encodedSummary(id wire.JobID, st wire.Status) []byte {
	return wire.Encode(wire.JobSummary{ID: id, Status: st})
}

// The checker must record each rule as the first violation when a case violates it.
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
		"starts after the cancel timeout": {RanCancelled, func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.TaskStarted(task(0), here, t0.Add(11*time.Second))
		}},
		"stays after the cancel timeout": {RanCancelled, func(c *Checker) {
			c.TaskStarted(task(0), here, t0)
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.Tick(t0.Add(11 * time.Second))
		}},
		"poll answered 404":                {Forgotten, func(c *Checker) { c.PollAnsweredNow("req-1", 404, "", t0) }},
		"repeated submission answered 422": {Forgotten, func(c *Checker) { c.Refused("req-1", 422, t0) }},
		"never submitted":                  {Invented, func(c *Checker) { c.PollAnsweredNow("req-9", 200, wire.StatusQueued, t0) }},
		"done before its tasks":            {NotDone, func(c *Checker) { c.PollAnsweredNow("req-1", 200, wire.StatusDone, t0) }},
		"cancelled without a request":      {WentBack, func(c *Checker) { c.PollAnsweredNow("req-1", 200, wire.StatusCancelled, t0) }},
		"not final after a final status": {WentBack, func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.PollAnsweredNow("req-1", 200, wire.StatusRunning, t0)
		}},
		"polls fail without a fault": {Forgotten, func(c *Checker) {
			c.FaultsOver(t0)
			for s := range 80 {
				c.PollAnsweredNow("req-1", 503, "", t0.Add(time.Duration(s)*time.Second))
			}
		}},
		"a class never starts": {Unserved, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Class: "other", Team: "blue"})
			c.TaskStarted(wire.TaskID{Job: "req-2"}, here, t0)
			c.Finish(t0.Add(5 * time.Minute))
		}},
		"the largest jobs start late": {Unserved, func(c *Checker) {
			c.TaskStarted(task(0), here, t0.Add(250*time.Second))
			c.Finish(t0.Add(5 * time.Minute))
		}},
		"resumes elsewhere after a hang": {RanTwice, func(c *Checker) { c.TaskStarted(task(0), here, t0); c.TaskResumed(task(0), there, t0) }},
		"resumes after a hang though cancelled": {RanCancelled, func(c *Checker) {
			c.TaskStarted(task(0), here, t0)
			c.TaskLeft(task(0), "n-1", false)
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.TaskResumed(task(0), here, t0.Add(11*time.Second))
		}},
		"tasks of a same-zone job in two zones": {WrongPlace, func(c *Checker) {
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
		"404 after a poll was answered 200": {Forgotten, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 1, CPUs: 1})
			c.PollAnsweredNow("req-2", 200, wire.StatusQueued, t0)
			c.PollAnsweredNow("req-2", 404, "", t0.Add(time.Second))
		}},
		"cancellation answered 404": {Forgotten, func(c *Checker) { c.CancelAnswered("req-1", 404, nil, t0, t0) }},
		"accepted anew": {Forgotten, func(c *Checker) {
			c.SubmissionAnswered(encodedSubmission(spec), 201, encodedSummary("req-1", wire.StatusQueued), t0, t0)
		}},
		"a repeated submission is answered an older status": {WentBack, func(c *Checker) {
			c.CancelRequested("req-1")
			c.StatusToldNow("req-1", wire.StatusCancelled, t0)
			c.SubmissionAnswered(encodedSubmission(spec), 200, encodedSummary("req-1", wire.StatusQueued), t0, t0)
		}},
		"poll sent before, answered another final status": {WentBack, func(c *Checker) {
			c.CancelRequested("req-1")
			for i := range 4 {
				c.TaskStarted(task(i), Place{Machine: "n-1", Zone: wire.Zone(rune('a' + i))}, t0)
				c.TaskLeft(task(i), "n-1", true)
			}
			c.StatusToldNow("req-1", wire.StatusDone, t0.Add(2*time.Second))
			c.PollAnswered("req-1", 200, wire.StatusCancelled, t0, t0.Add(3*time.Second))
		}},
		"cancellation of an unknown job succeeds": {Invented, func(c *Checker) {
			c.CancelAnswered("req-9", 200, encodedSummary("req-9", wire.StatusCancelled), t0, t0)
		}},
		"accepted without a submission": {Invented, func(c *Checker) { c.Accepted("req-9", t0) }},
		"polls fail while most others succeed": {Forgotten, func(c *Checker) {
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
		"a job that can run is refused": {RefusedWrongly, func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 3, CPUs: 4})
			c.Refused("req-2", 422, t0)
		}},
		"left waiting": {LeftWaiting, func(c *Checker) { observeFreeMachine(c, 100) }},
		"left waiting after its completions were lost": {LeftWaiting, func(c *Checker) {
			for i := range 4 {
				c.TaskLeft(task(i), "n-9", true)
			}
			c.Tick(t0)
			for s := range 110 {
				now := t0.Add(time.Duration(s) * time.Second)
				c.PollAnsweredNow("req-1", 200, wire.StatusQueued, now)
				c.ObserveFaults(t0, true)
				c.ObserveCapacity([]MachineCapacity{freeMachine}, now)
			}
		}},
		"left waiting after a fault": {LeftWaiting, func(c *Checker) {
			observeFreeMachine(c, 80)
			c.ObserveFaults(time.Time{}, false)
			c.ObserveCapacity([]MachineCapacity{freeMachine}, t0)
			if len(c.Violations) > 0 {
				return
			}
			observeFreeMachine(c, 100)
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
			t.Errorf("%s: recorded %v, want %s first", name, c.Violations, test.rule)
		}
	}
}

// The checker must record no violation for allowed behaviour. Otherwise tests would fail without a
// fault, and would have to be weakened.
func TestAllowedBehaviourIsNoViolation(t *testing.T) {
	t0 := time.Unix(1000, 0)
	after := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	task := wire.TaskID{Job: "req-1", Index: 0}
	here := Place{Machine: "n-1", Type: "c4", Zone: "a"}
	with := func(change func(r *MachineCapacity)) MachineCapacity {
		r := freeMachine
		change(&r)
		return r
	}
	waiting := func(r MachineCapacity) func(*Checker) {
		return func(c *Checker) {
			for s := range 200 {
				c.ObserveFaults(t0, true)
				c.ObserveCapacity([]MachineCapacity{r}, after(float64(s)))
			}
		}
	}
	cases := map[string]func(c *Checker){
		"an older response arrives after a newer one": func(c *Checker) {
			c.CancelRequested("req-1")
			c.PollAnswered("req-1", 200, wire.StatusCancelled, after(1), after(2))
			c.PollAnswered("req-1", 200, wire.StatusRunning, after(1), after(3))
		},
		"404 to a poll sent before the acceptance": func(c *Checker) { c.PollAnswered("req-1", 404, "", after(-1), after(1)) },
		"too few free CPUs":                        waiting(with(func(r *MachineCapacity) { r.CPUs = 3 })),
		"too little free memory":                   waiting(with(func(r *MachineCapacity) { r.MemoryGB = 3 })),
		"not up, or faulty":                        waiting(with(func(r *MachineCapacity) { r.Usable = false })),
		"a spot machine":                           waiting(with(func(r *MachineCapacity) { r.Spot = true })),
		"an image too large":                       waiting(with(func(r *MachineCapacity) { r.DiskGB = 0.5 })),
		"the team at its limit":                    waiting(with(func(r *MachineCapacity) { r.Tasks = []wire.TaskID{{Job: "req-2", Index: 0}, {Job: "req-2", Index: 1}} })),
		"a zone has its share of a spread job":     waiting(with(func(r *MachineCapacity) { r.Tasks = []wire.TaskID{{Job: "req-1", Index: 0}, {Job: "req-1", Index: 1}} })),
		"all its tasks run": func(c *Checker) {
			c.Submitted(wire.JobSpec{ID: "req-3", Team: "blue", Tasks: 1, CPUs: 1})
			c.Accepted("req-3", t0)
			c.CancelRequested("req-1")
			waiting(with(func(r *MachineCapacity) { r.Tasks = []wire.TaskID{{Job: "req-3"}} }))(c)
		},
		"a task starts now and then": func(c *Checker) {
			for s := range 200 {
				c.ObserveFaults(t0, true)
				if s%80 == 79 {
					c.TaskStarted(task, here, after(float64(s)))
				}
				c.ObserveCapacity([]MachineCapacity{freeMachine}, after(float64(s)))
			}
		},
		"faults now and then": func(c *Checker) {
			for s := range 200 {
				c.ObserveFaults(t0, s%80 != 79)
				c.ObserveCapacity([]MachineCapacity{freeMachine}, after(float64(s)))
			}
		},
		"all its tasks have completed and nobody polls": func(c *Checker) {
			for i := range 4 {
				c.TaskLeft(wire.TaskID{Job: "req-1", Index: i}, "n-9", true)
			}
			waiting(freeMachine)(c)
		},
		"its user cancelled it": func(c *Checker) { c.CancelRequested("req-1"); waiting(freeMachine)(c) },
	}
	for name, do := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]TeamLimit{"red": {CPUs: 8}, "blue": {}})
		c.MachineSpecs = []wire.MachineSpec{{Name: "c4", CPUs: 16, MemoryGB: 16, DiskGB: 20, Zones: []wire.Zone{"a", "b"}}}
		c.Submitted(wire.JobSpec{ID: "req-1", Team: "red", Tasks: 4, CPUs: 4, MemoryGB: 4, ImageGB: 1, Spread: true})
		c.Submitted(wire.JobSpec{ID: "req-2", Team: "red", Tasks: 2, CPUs: 4})
		c.Accepted("req-1", t0)
		do(c)
		if len(c.Violations) > 0 {
			t.Errorf("%s: recorded %v, want none", name, c.Violations)
		}
	}
}

// Starts after a cancellation and polls that are not answered with the final status in time are
// counted; they are no violations by themselves.
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
	if c.LatePolls() != 0 {
		t.Error("poll sent 2 s after the last task completed is counted as late")
	}
	c.PollAnswered("req-1", 200, wire.StatusRunning, t0.Add(4*time.Second), t0.Add(4*time.Second))
	c.PollAnswered("req-2", 200, wire.StatusRunning, t0.Add(4*time.Second), t0.Add(4*time.Second))
	c.CancelRequested("req-2")
	c.StatusToldNow("req-2", wire.StatusCancelled, t0.Add(5*time.Second))
	c.TaskStarted(wire.TaskID{Job: "req-2", Index: 1}, here, t0.Add(6*time.Second))
	if c.LatePolls() != 1 || c.LateStarts() != 1 || len(c.Violations) > 0 {
		t.Errorf("got %d late polls, %d late starts, violations %v, want 1, 1, none", c.LatePolls(), c.LateStarts(), c.Violations)
	}
}

// The checker must record an accepted submission as a violation if any field is missing or
// malformed, and only then.
func TestAcceptedMalformedSubmissionIsViolation(t *testing.T) {
	good := wire.JobSpec{ID: "req-000001", Class: "solve", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-a"}
	isViolation := func(body any) bool {
		c := NewChecker(time.Second, nil)
		c.SubmissionSent(bodyOf(body), 201, time.Unix(1000, 0))
		for _, violation := range c.Violations {
			if violation.Rule != AcceptedWrongly {
				t.Errorf("%v: recorded %v, want only accepted_wrongly", body, violation)
			}
		}
		return len(c.Violations) > 0
	}
	if isViolation(Submission(good)) {
		t.Error("well-formed submission recorded as a violation")
	}
	for name := range Submission(good) {
		fields := Submission(good)
		delete(fields, name)
		if nullable := name == "kits" || name == "site" || name == "dueS"; isViolation(fields) == nullable {
			t.Errorf("submission without %s: a violation though it may be missing, or none though it is required", name)
		}
		fields[name] = []byte{1}
		if !isViolation(fields) {
			t.Errorf("malformed %s: no violation recorded", name)
		}
	}
	for name, value := range map[string]any{"nameId": "job-1", "shape": "choir", "urgency": "now", "parts": 100_001, "cpus": -1.0, "dueS": -1.0, "ramGb": "many"} {
		fields := Submission(good)
		if fields[name] = value; !isViolation(fields) {
			t.Errorf("invalid %s %v: no violation recorded", name, value)
		}
	}
	if !isViolation([]string{"a"}) || !isViolation([]byte{0xff, 1}) {
		t.Error("body that is no map: no violation recorded")
	}
}

func TestKnownStatusOf(t *testing.T) {
	for _, c := range []struct {
		name         string
		httpStatus   int
		status       wire.Status
		want         KnownStatus
		wantAnswered bool
	}{
		{"unknown job", http.StatusNotFound, "", KnownStatusNone, true},
		{"no response", 0, "", KnownStatusNone, false},
		{"refused for now", http.StatusServiceUnavailable, "", KnownStatusNone, false},
		{"done", http.StatusOK, wire.StatusDone, KnownStatusFinal, true},
		{"cancelled", http.StatusOK, wire.StatusCancelled, KnownStatusFinal, true},
		{"running", http.StatusOK, wire.StatusRunning, KnownStatusAccepted, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, answered := KnownStatusOf(c.httpStatus, c.status); got != c.want || answered != c.wantAnswered {
				t.Errorf("KnownStatusOf(%d, %q) = %v, %v, want %v, %v", c.httpStatus, c.status, got, answered, c.want, c.wantAnswered)
			}
		})
	}
}
