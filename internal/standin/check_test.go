package standin

import (
	"testing"
	"time"

	"lilaclead/internal/wire"
)

// A checker that can't fail proves nothing: each rule is broken here once,
// deliberately, and must be the one that is noted.
func TestEveryRuleCanBreak(t *testing.T) {
	t0 := time.Unix(1000, 0)
	spec := wire.Spec{ID: "req-1", Owner: "red", Parts: 4, CPUs: 4, Apart: true}
	here := Place{Machine: "n-1", Kit: "c4", Zone: "a"}
	there := Place{Machine: "n-2", Kit: "c4", Zone: "b"}
	task := func(i int) wire.Task { return wire.Task{Job: "req-1", Index: i} }
	cases := map[string]struct {
		rule Rule
		do   func(c *Checker)
	}{
		"on two machines": {RanTwice, func(c *Checker) { c.Started(task(0), here, t0); c.Started(task(0), there, t0) }},
		"over the limit": {Quota, func(c *Checker) {
			c.Started(task(0), here, t0)
			c.Started(task(1), there, t0)
			c.Started(task(2), there, t0)
		}},
		"spot not allowed": {WrongPlace, func(c *Checker) { c.Started(task(0), Place{Machine: "n-3", Zone: "a", Spot: true}, t0) }},
		"too many in a zone": {WrongPlace, func(c *Checker) {
			c.Limits = nil
			for i := range 3 {
				c.Started(task(i), here, t0)
			}
		}},
		"starts after a cancel": {RanCancelled, func(c *Checker) {
			c.CancelAsked("req-1")
			c.Told("req-1", wire.Cancelled, t0)
			c.Started(task(0), here, t0.Add(11*time.Second))
		}},
		"stays after a cancel": {RanCancelled, func(c *Checker) {
			c.Started(task(0), here, t0)
			c.CancelAsked("req-1")
			c.Told("req-1", wire.Cancelled, t0)
			c.Tick(t0.Add(11 * time.Second))
		}},
		"answered 404":        {Forgotten, func(c *Checker) { c.Polled("req-1", 404, "", t0) }},
		"repeat answered 422": {Forgotten, func(c *Checker) { c.Refused("req-1", 422, t0) }},
		"never submitted":     {Invented, func(c *Checker) { c.Polled("req-9", 200, wire.Queued, t0) }},
		"done too early":      {NotDone, func(c *Checker) { c.Polled("req-1", 200, wire.Done, t0) }},
		"cancelled by nobody": {WentBack, func(c *Checker) { c.Polled("req-1", 200, wire.Cancelled, t0) }},
		"final and then otherwise": {WentBack, func(c *Checker) {
			c.CancelAsked("req-1")
			c.Told("req-1", wire.Cancelled, t0)
			c.Polled("req-1", 200, wire.Running, t0)
		}},
		"polls fail when all is well": {Forgotten, func(c *Checker) {
			c.Calm(t0)
			for s := range 80 {
				c.Polled("req-1", 503, "", t0.Add(time.Duration(s)*time.Second))
			}
		}},
		"a class never begins": {Unserved, func(c *Checker) {
			c.Submitted(wire.Spec{ID: "req-2", Lane: "other", Owner: "blue"})
			c.Started(wire.Task{Job: "req-2"}, here, t0)
			c.End(t0.Add(5 * time.Minute))
		}},
		"the largest begin late": {Unserved, func(c *Checker) {
			c.Started(task(0), here, t0.Add(250*time.Second))
			c.End(t0.Add(5 * time.Minute))
		}},
		"nothing ran": {NothingRan, func(c *Checker) { c.End(t0) }},
		"polls fail": {Forgotten, func(c *Checker) {
			other := spec
			other.ID = "req-2"
			c.Submitted(other)
			c.Accepted("req-2", t0)
			for s := range 100 {
				now := t0.Add(time.Duration(s) * time.Second)
				c.Polled("req-1", 503, "", now)
				c.Polled("req-2", 200, wire.Queued, now)
			}
		}},
	}
	for name, k := range cases {
		c := NewChecker(10*time.Second, map[wire.TeamID]Limit{"red": {CPUs: 8}})
		c.Submitted(spec)
		c.Accepted("req-1", t0)
		k.do(c)
		if len(c.Breaks) == 0 || c.Breaks[0].Rule != k.rule {
			t.Errorf("%s: noted %v, want %s", name, c.Breaks, k.rule)
		}
	}
}
