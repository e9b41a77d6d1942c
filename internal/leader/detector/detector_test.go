package detector

import (
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A zone from which nothing comes is partitioned once enough of its own reports
// are missed, by what comes from the others; when nothing comes from anywhere it is
// this node that is slow. Small zones are judged only without their controllers.
func TestSilentZone(t *testing.T) {
	for name, c := range map[string]struct {
		counts  Counts
		reports int           // that come from the other zone
		in      time.Duration // after the last of this one
		want    bool
	}{
		"half of the machines":          {Counts{Up: 10, AllUp: 20}, 24, 2 * time.Second, true},
		"one report short":              {Counts{Up: 10, AllUp: 20}, 23, 2 * time.Second, false},
		"a tenth of the machines":       {Counts{Up: 10, AllUp: 100}, 24, 2 * time.Second, false},
		"too early":                     {Counts{Up: 10, AllUp: 20}, 24, silentAfter, false},
		"nothing from anywhere":         {Counts{Up: 10, AllUp: 20}, 0, time.Minute, false},
		"a small zone":                  {Counts{Up: 3, AllUp: 20}, 200, time.Minute, false},
		"and its controllers are lost":  {Counts{Up: 3, AllUp: 20, ControllersLost: true}, 14, 2 * time.Second, true},
		"controllers lost, one short":   {Counts{Up: 3, AllUp: 20, ControllersLost: true}, 13, 2 * time.Second, false},
		"most of it lost":               {Counts{Up: 7, Lost: 4, AllUp: 100}, 0, time.Second, true},
		"half of it lost":               {Counts{Up: 8, Lost: 4, AllUp: 100}, 0, time.Second, false},
		"most of a small zone lost":     {Counts{Up: 3, Lost: 3, AllUp: 100}, 0, time.Second, false},
		"and that without controllers":  {Counts{Up: 3, Lost: 3, AllUp: 100, ControllersLost: true}, 0, time.Second, true},
		"a machine, without controller": {Counts{Up: 1, Lost: 1, AllUp: 100, ControllersLost: true}, 0, time.Second, false},
	} {
		z := NewZones(start, 2*time.Second)
		now := start.Add(time.Minute)
		z.Heard("a", true, now)
		for range c.reports {
			z.Heard("b", true, now)
		}
		if got := z.Judge("a", c.counts, now.Add(c.in)); got != c.want || z.Partitioned("a", now.Add(c.in)) != c.want {
			t.Errorf("%s: judged %v, partitioned %v", name, got, z.Partitioned("a", now.Add(c.in)))
		}
		if z.Partitioned("b", now.Add(c.in)) {
			t.Errorf("%s: the zone that reports is partitioned", name)
		}
	}
}

// Answers to commands are no reports: they show that a zone is there, but not how
// many reports are due from the others.
func TestAnswersAreNoReports(t *testing.T) {
	z := NewZones(start, 2*time.Second)
	z.Heard("a", true, start)
	for range 100 {
		z.Heard("b", false, start)
	}
	if z.Judge("a", Counts{Up: 10, AllUp: 20}, start.Add(time.Minute)) {
		t.Error("partitioned by answers to commands")
	}
	if len(z.Known()) != 2 {
		t.Errorf("knows %v", z.Known())
	}
}

// A partition ends soon after it last seemed there; its machines then have a few
// reports' time, and one that is seen again counts as back at once.
func TestPartitionEnds(t *testing.T) {
	z := NewZones(start, 2*time.Second)
	most := Counts{Up: 10, Lost: 9, AllUp: 20}
	if !z.Judge("a", most, start) || z.Judge("a", most, start.Add(time.Second)) {
		t.Error("a partition begins once")
	}
	at := start.Add(time.Second)
	for _, c := range []struct {
		after       time.Duration
		now, lately bool
	}{{0, true, true}, {partitionedFor - 1, true, true}, {partitionedFor, false, true}, {6*time.Second - 1, false, true}, {6 * time.Second, false, false}} {
		now := at.Add(c.after)
		if z.Partitioned("a", now) != c.now || z.LatelyPartitioned("a", now) != c.lately || z.Behind("a", start, now) != c.lately || z.Behind("a", at, now) {
			t.Errorf("after %v: partitioned %v, lately %v, behind %v, seen again %v", c.after, z.Partitioned("a", now), z.LatelyPartitioned("a", now), z.Behind("a", start, now), z.Behind("a", at, now))
		}
	}
	if !z.Judge("a", most, at.Add(time.Minute)) {
		t.Error("a second partition does not begin")
	}
}

// A path is lost when two answers in a row have no effect, or one has and a direct
// command gets no answer; anything that arrives restores it.
func TestInbound(t *testing.T) {
	const token = 50
	none := func() bool { return false }
	misses := func() bool { return true }
	report := func(session wire.AgentEpoch, sequence wire.Sequence, token wire.FencingToken) *wire.Heartbeat {
		return &wire.Heartbeat{Epoch: session, Sequence: sequence, Token: token}
	}
	type step struct {
		report   *wire.Heartbeat
		evidence Evidence
		command  bool // a direct command is not answered, before the report
		want     Change
	}
	quiet, lacks := Evidence{token, true, none}, Evidence{token, true, misses}
	for name, steps := range map[string][]step{
		"shows what it was told":      {{report(1, 11, token), quiet, false, Unchanged}, {report(1, 12, token), quiet, false, Unchanged}},
		"one answer has no effect":    {{report(1, 11, token), lacks, false, Unchanged}, {report(1, 12, token), quiet, false, Unchanged}},
		"two have none":               {{report(1, 11, token), lacks, false, Unchanged}, {report(1, 12, token), lacks, false, Lost}, {report(1, 13, token), lacks, false, Unchanged}},
		"one, and a command":          {{report(1, 11, token), lacks, true, Lost}},
		"an older token":              {{report(1, 11, token-1), quiet, false, Unchanged}, {report(1, 12, token-1), quiet, false, Lost}},
		"its lease ran out":           {{report(2, 1, token), quiet, false, Lost}},
		"and no answer was due":       {{report(2, 1, token), Evidence{token, false, misses}, false, Unchanged}},
		"made before the answer":      {{report(1, 10, token), lacks, false, Unchanged}, {report(1, 9, token), lacks, true, Unchanged}},
		"a higher token comes back":   {{report(1, 11, token), lacks, true, Lost}, {report(1, 12, token+1), lacks, false, Restored}, {report(1, 13, token), lacks, false, Unchanged}},
		"the first token it is shown": {{report(1, 11, token), Evidence{0, true, misses}, true, Lost}},
	} {
		var p Inbound
		if p.Reported(report(1, 9, 0), lacks, start) != Unchanged {
			t.Errorf("%s: judged before any answer", name)
		}
		p.Answered(token, 1, 10)
		for i, s := range steps {
			if s.command {
				p.Unanswered()
			}
			if got := p.Reported(s.report, s.evidence, start.Add(time.Duration(i)*time.Second)); got != s.want {
				t.Errorf("%s: report %d changes it to %d", name, i, got)
			}
		}
	}
	var p Inbound
	p.Answered(token, 1, 10)
	p.Unanswered()
	p.Reported(report(1, 11, token), lacks, start)
	if got := fmt.Sprint(p.Works(), p.CommandsFail(), p.LostFor(start.Add(time.Second))); got != "false true 1s" {
		t.Errorf("lost: %s", got)
	}
	if p.Received() != Restored || p.Received() != Unchanged {
		t.Error("is restored once")
	}
	if got := fmt.Sprint(p.Works(), p.CommandsFail(), p.LostFor(start.Add(time.Second))); got != "true false 0s" {
		t.Errorf("restored: %s", got)
	}
}
