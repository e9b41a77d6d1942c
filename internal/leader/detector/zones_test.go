package detector

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A zone from which nothing comes is partitioned once enough of its own heartbeats are
// missed, by what comes from the others. When nothing comes from anywhere it is this
// node that is slow. Small zones are judged only without their controllers.
func TestZoneIsPartitionedWhenItsHeartbeatsAreMissed(t *testing.T) {
	for name, c := range map[string]struct {
		counts     Counts
		heartbeats int           // that come from the other zone
		after      time.Duration // the last message of this one
		want       bool
	}{
		"half of the machines":          {Counts{Up: 10, AllUp: 20}, 24, 2 * time.Second, true},
		"one heartbeat short":           {Counts{Up: 10, AllUp: 20}, 23, 2 * time.Second, false},
		"a tenth of the machines":       {Counts{Up: 10, AllUp: 100}, 24, 2 * time.Second, false},
		"too early":                     {Counts{Up: 10, AllUp: 20}, 24, unresponsiveAfter, false},
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
		t.Run(name, func(t *testing.T) {
			zones := NewZones(start, 2*time.Second)
			lastHeard := start.Add(time.Minute)
			zones.RecordMessage("a", true, lastHeard)
			for range c.heartbeats {
				zones.RecordMessage("b", true, lastHeard)
			}
			now := lastHeard.Add(c.after)
			if got := zones.Judge("a", c.counts, now); got != c.want || zones.Partitioned("a", now) != c.want {
				t.Errorf("%+v: judged %v, partitioned %v, want %v", c.counts, got, zones.Partitioned("a", now), c.want)
			}
			if zones.Partitioned("b", now) {
				t.Errorf("%+v: the zone that is heard is partitioned", c.counts)
			}
		})
	}
}

// Answers to commands show that a zone is there, but not how many heartbeats are due
// from the others.
func TestAnswersToCommandsAreNoHeartbeats(t *testing.T) {
	zones := NewZones(start, 2*time.Second)
	zones.RecordMessage("a", true, start)
	for range 100 {
		zones.RecordMessage("b", false, start)
	}
	if zones.Judge("a", Counts{Up: 10, AllUp: 20}, start.Add(time.Minute)) {
		t.Error("partitioned by answers to commands")
	}
	if got := zones.Known(); len(got) != 2 {
		t.Errorf("knows %v, want two zones", got)
	}
}

// A partition ends soon after the zone last seemed partitioned. Its machines then have
// the time of a few heartbeats, and one that is seen again counts as back at once.
func TestPartitionEndsAndMachinesRecover(t *testing.T) {
	zones := NewZones(start, 2*time.Second)
	mostLost := Counts{Up: 10, Lost: 9, AllUp: 20}
	if !zones.Judge("a", mostLost, start) || zones.Judge("a", mostLost, start.Add(time.Second)) {
		t.Error("a partition doesn't begin once")
	}
	lastJudged := start.Add(time.Second)
	for _, c := range []struct {
		name                    string
		after                   time.Duration
		wantNow, wantRecentlySo bool
	}{
		{"at once", 0, true, true},
		{"just before it ends", partitionedFor - 1, true, true},
		{"when it ends", partitionedFor, false, true},
		{"just before its machines are due", 6*time.Second - 1, false, true},
		{"when its machines are due", 6 * time.Second, false, false},
	} {
		now := lastJudged.Add(c.after)
		partitioned, recently := zones.Partitioned("a", now), zones.RecentlyPartitioned("a", now)
		behind, seenAgain := zones.UnseenSincePartition("a", start, now), !zones.UnseenSincePartition("a", lastJudged, now)
		if partitioned != c.wantNow || recently != c.wantRecentlySo || behind != c.wantRecentlySo || !seenAgain {
			t.Errorf("%s, after %v: partitioned %v, recently %v, machine behind %v, one seen again %v, want %v, %v, %v, true",
				c.name, c.after, partitioned, recently, behind, seenAgain, c.wantNow, c.wantRecentlySo, c.wantRecentlySo)
		}
	}
	if !zones.Judge("a", mostLost, lastJudged.Add(time.Minute)) {
		t.Error("a second partition does not begin")
	}
}
