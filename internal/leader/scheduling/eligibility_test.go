package scheduling

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/wire"
)

func TestSchedulable(t *testing.T) {
	cases := []struct {
		name   string
		spec   wire.JobSpec
		change func(s *testScheduler, job *cluster.Job)
		want   bool
	}{
		{"a waiting array", array("req-1", 2), func(*testScheduler, *cluster.Job) {}, true},
		{"cancelled", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.Cancelled = true }, false},
		{"finished", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.Finished = true }, false},
		{"being archived", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.Archiving = true }, false},
		{"its record has changed", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.RecordOutdated = true }, false},
		{"quarantined", array("req-1", 2), func(s *testScheduler, _ *cluster.Job) { s.state.QuarantinedJobs["req-1"] = true }, false},
		{"all tasks done", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.DoneTasks = 2 }, false},
		{"backed off from", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.StartNotBefore = testNow.Add(1) }, false},
		{"backoff just over", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.StartNotBefore = testNow }, true},
		{"an array with an active task", array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.ActiveTasks = 1 }, true},
		{"a gang with an active task", gang("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.ActiveTasks = 1 }, false},
		{"a gang without one", gang("req-1", 2), func(*testScheduler, *cluster.Job) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			job := s.addJob(c.spec)
			c.change(s, job)
			if got := s.Schedulable(job, testNow); got != c.want {
				t.Errorf("%s: schedulable %v, want %v", c.name, got, c.want)
			}
		})
	}
}

func TestUsable(t *testing.T) {
	const maxSilence = 5 * time.Second // two heartbeat intervals and a second
	cases := []struct {
		name   string
		change func(s *testScheduler, machine *cluster.Machine)
		want   bool
	}{
		{"in service", func(*testScheduler, *cluster.Machine) {}, true},
		{"booting", func(_ *testScheduler, m *cluster.Machine) { m.Booting = true }, false},
		{"without a heartbeat", func(_ *testScheduler, m *cluster.Machine) { m.FirstHeartbeatAt = time.Time{} }, false},
		{"draining", func(_ *testScheduler, m *cluster.Machine) { m.DrainReason = cluster.DrainSlow }, false},
		{"scaling in", func(_ *testScheduler, m *cluster.Machine) { m.ScalingIn = true }, false},
		{"with an earlier token", func(_ *testScheduler, m *cluster.Machine) { m.Token = testToken - 1 }, false},
		{"with a later token", func(_ *testScheduler, m *cluster.Machine) { m.Token = testToken + 1 }, true},
		{"with an unanswered probe", func(_ *testScheduler, m *cluster.Machine) { m.UnansweredProbes = 1 }, false},
		{"behind a partition", func(s *testScheduler, m *cluster.Machine) {
			s.state.ZoneDetector.Judge(m.Zone, detector.Counts{Up: 4, Lost: 4, AllUp: 8}, testNow)
		}, false},
		{"its heartbeats don't arrive", func(_ *testScheduler, m *cluster.Machine) {
			m.HeartbeatsMissingSince = testNow.Add(-time.Minute)
		}, false},
		{"has refused a task", func(_ *testScheduler, m *cluster.Machine) { m.RefusedUntil = testNow.Add(1) }, false},
		{"has refused one long ago", func(_ *testScheduler, m *cluster.Machine) { m.RefusedUntil = testNow }, true},
		{"nearly overdue", func(_ *testScheduler, m *cluster.Machine) { m.LastMessageAt = testNow.Add(1 - maxSilence) }, true},
		{"overdue", func(_ *testScheduler, m *cluster.Machine) { m.LastMessageAt = testNow.Add(-maxSilence) }, false},
		{"cordoned", func(_ *testScheduler, m *cluster.Machine) { m.Cordoned = true }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			machine := s.addMachine("n-1", "c4", "a")
			c.change(s, machine)
			if got := s.Usable(machine, testNow); got != c.want {
				t.Errorf("%s: usable %v, want %v", c.name, got, c.want)
			}
		})
	}
}
