package leader

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
)

func TestHigherTokenSupersedesUnlessTheTermRaisesIt(t *testing.T) {
	cases := []struct {
		name    string
		known   wire.FencingToken
		raising bool
		want    bool
	}{
		{"own token", 50, false, false},
		{"lower token", 49, false, false},
		{"higher token", 51, false, true},
		{"higher token while raising", 51, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, _, _ := newTestTerm(t)
			tm.Fencing.Raising = c.raising
			if got := tm.superseded(&peer.View{Token: c.known}); got != c.want {
				t.Errorf("superseded by token %d: got %v, want %v", c.known, got, c.want)
			}
		})
	}
}

func TestStoreAvailabilityFollowsTheLease(t *testing.T) {
	tm, _, _ := newTestTerm(t)
	start := time.Now()
	held := tm.Lease
	steps := []struct {
		name             string
		held             bool
		at               time.Time
		wantUnavailable  time.Time
		wantAvailable    time.Time
		wantCycleRequest bool
	}{
		{"lease held", true, start, time.Time{}, time.Time{}, false},
		{"lease not held", false, start.Add(time.Second), start.Add(time.Second), time.Time{}, false},
		{"still not held", false, start.Add(2 * time.Second), start.Add(time.Second), time.Time{}, false},
		{"held again", true, start.Add(3 * time.Second), time.Time{}, start.Add(3 * time.Second), true},
	}
	for _, s := range steps {
		tm.state.CycleTimer.Requested = false
		tm.Lease = held
		if !s.held {
			tm.Lease = newLease(tm.leader, 50, -time.Second)
		}
		tm.recordStoreAvailability(true, s.at)
		if got := tm.storeUnavailableSince; !got.Equal(s.wantUnavailable) {
			t.Errorf("%s: got unavailable since %v, want %v", s.name, got, s.wantUnavailable)
		}
		if got := tm.state.StoreAvailableSince; !got.Equal(s.wantAvailable) {
			t.Errorf("%s: got available since %v, want %v", s.name, got, s.wantAvailable)
		}
		if got := tm.state.CycleTimer.Requested; got != s.wantCycleRequest {
			t.Errorf("%s: got cycle requested %v, want %v", s.name, got, s.wantCycleRequest)
		}
	}
}

func TestSchedulingWaitsForTheFirstHeartbeats(t *testing.T) {
	heard := func(m *cluster.Machine) { m.Token = 50 }
	missing := func(m *cluster.Machine) { m.Token, m.Addr = 0, "10.1.0.1:9000" }
	booting := func(m *cluster.Machine) { missing(m); m.Booting = true }
	probeUnanswered := func(m *cluster.Machine) { missing(m); m.UnansweredCommands = 1 }
	unlisted := func(m *cluster.Machine) { m.Token, m.Addr = 0, "" }
	cases := []struct {
		name           string
		age            time.Duration // of the term
		recordsNotRead bool
		noList         bool
		heard          int                    // machines that have sent a heartbeat
		other          func(*cluster.Machine) // sets up one more machine, unless it is nil
		want           bool
	}{
		{name: "all heard", age: time.Second, heard: 3, want: true},
		{name: "records not read", age: time.Second, recordsNotRead: true, heard: 3},
		{name: "one missing", age: 3900 * time.Millisecond, heard: 3, other: missing},
		// The timeout is 4 s: the heartbeat interval of 2 s, a quarter of it, and 1.5 s.
		{name: "one missing after the timeout", age: 4100 * time.Millisecond, heard: 3, other: missing, want: true},
		{name: "the missing one boots", age: time.Second, heard: 3, other: booting, want: true},
		{name: "the missing one did not answer a probe", age: time.Second, heard: 3, other: probeUnanswered, want: true},
		{name: "the missing one is in no list", age: time.Second, heard: 3, other: unlisted, want: true},
		{name: "no list, one missing", age: 2 * time.Second, noList: true, heard: 3, other: unlisted},
		{name: "no list yet, all heard", age: 900 * time.Millisecond, noList: true, heard: 3},
		{name: "no list after a second, all heard", age: time.Second, noList: true, heard: 3, want: true},
		{name: "small deployment, one missing", age: time.Second, heard: largeDeployment, other: missing},
		{name: "large deployment, one missing", age: time.Second, heard: largeDeployment + 1, other: missing, want: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tm, m, _ := newTestTerm(t)
			delete(tm.state.Machines, m.ID)
			now := time.Now()
			tm.state.TermStartedAt = now.Add(-c.age)
			tm.state.RecordsRead = !c.recordsNotRead
			tm.state.MachineListReceived = !c.noList
			for i := range c.heard {
				heard(addMachineWithHeartbeat(tm, i))
			}
			if c.other != nil {
				c.other(addMachineWithHeartbeat(tm, c.heard))
			}
			tm.enableScheduling(now)
			if got := tm.state.SchedulingEnabled; got != c.want {
				t.Errorf("scheduling enabled: got %v, want %v", got, c.want)
			}
		})
	}
}
