package core

import (
	"testing"
	"time"
)

func TestRaiseIsDueByRequest(t *testing.T) {
	begin := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	const pause = 8 * time.Second
	cases := []struct {
		name    string
		request func(f *Fencing)
		after   time.Duration // since the last raise
		want    bool
	}{
		{"nothing requested", func(*Fencing) {}, time.Hour, false},
		{"requested, within the pause", func(f *Fencing) { f.RaiseRequested = true }, pause, false},
		{"requested, after the pause", func(f *Fencing) { f.RaiseRequested = true }, pause + 1, true},
		{"requested by a later time", func(f *Fencing) { f.RequestRaiseBy(begin.Add(time.Minute)) }, time.Minute - 1, false},
		{"requested by a time that has come", func(f *Fencing) { f.RequestRaiseBy(begin.Add(time.Minute)) }, time.Minute, true},
		{"the earlier of two times counts", func(f *Fencing) {
			f.RequestRaiseBy(begin.Add(time.Minute))
			f.RequestRaiseBy(begin.Add(time.Hour))
		}, time.Minute, true},
		{"requested by a time within the pause", func(f *Fencing) { f.RequestRaiseBy(begin.Add(time.Second)) }, pause, false},
		{"a launch waits, too early", func(f *Fencing) { f.LaunchesWait = true }, minRaiseInterval - 1, false},
		{"an agent shows a higher token, too early", func(f *Fencing) { f.Surpassed = true }, minSurpassedInterval - 1, false},
		{"an agent shows a higher token", func(f *Fencing) { f.Surpassed = true }, minSurpassedInterval, true},
		{"a launch waits", func(f *Fencing) { f.LaunchesWait = true }, minRaiseInterval, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var f Fencing
			f.BeginRaise(begin, pause)
			tc.request(&f)
			now := begin.Add(tc.after)
			if got := f.RaiseDue(now); got != tc.want {
				t.Errorf("raise due %v after the last: got %v, want %v", tc.after, got, tc.want)
			}
			f.BeginRaise(now, pause)
			if f.RaiseDue(now.Add(time.Hour)) {
				t.Error("raise due after the next has begun: got true, want false")
			}
		})
	}
}
