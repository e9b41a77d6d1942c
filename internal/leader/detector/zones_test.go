package detector

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A silent zone is partitioned once enough of its heartbeats are missed, by the heartbeats that
// come from other zones. If nothing comes from any zone, this node itself is slow. A small zone
// can be partitioned only if its controllers are lost as well.
func TestZoneIsPartitionedWhenItsHeartbeatsAreMissed(t *testing.T) {
	for name, c := range map[string]struct {
		counts              ZoneCounts
		otherZoneHeartbeats int           // received from the other zone
		silence             time.Duration // since the last message from this zone
		want                bool
	}{
		"half of the machines":           {ZoneCounts{Machines: 10, AllMachines: 20}, 24, 2 * time.Second, true},
		"one heartbeat short":            {ZoneCounts{Machines: 10, AllMachines: 20}, 23, 2 * time.Second, false},
		"a tenth of the machines":        {ZoneCounts{Machines: 10, AllMachines: 100}, 24, 2 * time.Second, false},
		"too early":                      {ZoneCounts{Machines: 10, AllMachines: 20}, 24, unresponsiveAfter, false},
		"nothing from anywhere":          {ZoneCounts{Machines: 10, AllMachines: 20}, 0, time.Minute, false},
		"a small zone":                   {ZoneCounts{Machines: 3, AllMachines: 20}, 200, time.Minute, false},
		"a small zone, controllers lost": {ZoneCounts{Machines: 3, AllMachines: 20, ControllersLost: true}, 14, 2 * time.Second, true},
		"a small zone, controllers lost, one heartbeat short": {ZoneCounts{Machines: 3, AllMachines: 20, ControllersLost: true}, 13, 2 * time.Second, false},
		"most machines lost":                                  {ZoneCounts{Machines: 7, LostMachines: 4, AllMachines: 100}, 0, time.Second, true},
		"half of the machines lost":                           {ZoneCounts{Machines: 8, LostMachines: 4, AllMachines: 100}, 0, time.Second, false},
		"most of a small zone lost":                           {ZoneCounts{Machines: 3, LostMachines: 3, AllMachines: 100}, 0, time.Second, false},
		"most of a small zone and its controllers lost":       {ZoneCounts{Machines: 3, LostMachines: 3, AllMachines: 100, ControllersLost: true}, 0, time.Second, true},
		"the only machine of a zone and its controllers lost": {ZoneCounts{Machines: 1, LostMachines: 1, AllMachines: 100, ControllersLost: true}, 0, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			zones := NewZones(start, 2*time.Second)
			lastMessageAt := start.Add(time.Minute)
			zones.RecordMessage("a", true, lastMessageAt)
			for range c.otherZoneHeartbeats {
				zones.RecordMessage("b", true, lastMessageAt)
			}
			now := lastMessageAt.Add(c.silence)
			if got := zones.CheckZone("a", c.counts, now); got != c.want || zones.ZonePartitioned("a", now) != c.want {
				t.Errorf("%+v: CheckZone %v, partitioned %v, want %v", c.counts, got, zones.ZonePartitioned("a", now), c.want)
			}
			if zones.ZonePartitioned("b", now) {
				t.Errorf("%+v: the zone that sends heartbeats is partitioned", c.counts)
			}
		})
	}
}

// Responses to commands show that a zone is connected, but don't count among the heartbeats by
// which the missed ones of another zone are estimated.
func TestResponsesToCommandsAreNotCountedAsHeartbeats(t *testing.T) {
	zones := NewZones(start, 2*time.Second)
	zones.RecordMessage("a", true, start)
	for range 100 {
		zones.RecordMessage("b", false, start)
	}
	if zones.CheckZone("a", ZoneCounts{Machines: 10, AllMachines: 20}, start.Add(time.Minute)) {
		t.Error("zone a is partitioned although only responses to commands came from zone b")
	}
	if got := zones.KnownZones(); len(got) != 2 {
		t.Errorf("known zones %v, want two", got)
	}
}

// A partition ends a fixed time after a check last found the zone unreachable. Its machines
// have a few heartbeat intervals to be seen again. One that is seen counts as back at once.
func TestPartitionEndsAndMachinesRecover(t *testing.T) {
	zones := NewZones(start, 2*time.Second)
	mostLost := ZoneCounts{Machines: 10, LostMachines: 9, AllMachines: 20}
	if !zones.CheckZone("a", mostLost, start) || zones.CheckZone("a", mostLost, start.Add(time.Second)) {
		t.Error("CheckZone doesn't report the start of a partition exactly once")
	}
	lastCheckAt := start.Add(time.Second)
	for _, c := range []struct {
		name                          string
		after                         time.Duration
		wantPartitioned, wantRecently bool
	}{
		{"at once", 0, true, true},
		{"just before it ends", partitionedFor - 1, true, true},
		{"when it ends", partitionedFor, false, true},
		{"just before its machines are due", 6*time.Second - 1, false, true},
		{"when its machines are due", 6 * time.Second, false, false},
	} {
		now := lastCheckAt.Add(c.after)
		partitioned, recently := zones.ZonePartitioned("a", now), zones.ZoneRecentlyPartitioned("a", now)
		unseen, seenAgain := zones.UnseenSincePartition("a", start, now), !zones.UnseenSincePartition("a", lastCheckAt, now)
		if partitioned != c.wantPartitioned || recently != c.wantRecently || unseen != c.wantRecently || !seenAgain {
			t.Errorf("%s, after %v: partitioned %v, recently %v, machine unseen %v, one seen again %v, want %v, %v, %v, true",
				c.name, c.after, partitioned, recently, unseen, seenAgain, c.wantPartitioned, c.wantRecently, c.wantRecently)
		}
	}
	if !zones.CheckZone("a", mostLost, lastCheckAt.Add(time.Minute)) {
		t.Error("CheckZone doesn't report the start of a second partition")
	}
}
