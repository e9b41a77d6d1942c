package scheduling

import (
	"testing"
	"time"

	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/detector"
	"lilaclead/internal/leader/scheduling/schedulingtest"
	"lilaclead/internal/wire"
)

func TestOnlyUnfinishedJobsWithStartableTasksAreSchedulable(t *testing.T) {
	cases := []struct {
		name   string
		spec   wire.JobSpec
		change func(s *testScheduler, job *cluster.Job)
		want   bool
	}{
		{"a waiting array", schedulingtest.Array("req-1", 2), func(*testScheduler, *cluster.Job) {}, true},
		{"cancelled", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.Cancelled = true }, false},
		{"finished", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.Finished = true }, false},
		{"being archived", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.Archiving = true }, false},
		{"record outdated", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.RecordOutdated = true }, false},
		{"quarantined", schedulingtest.Array("req-1", 2), func(s *testScheduler, _ *cluster.Job) { s.State.QuarantinedJobs["req-1"] = true }, false},
		{"all tasks done", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.DoneTasks = 2 }, false},
		{"start delay not over", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.StartNotBefore = schedulingtest.Now.Add(1) }, false},
		{"start delay just over", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.StartNotBefore = schedulingtest.Now }, true},
		{"an array with an active task", schedulingtest.Array("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.ActiveTasks = 1 }, true},
		{"a gang with an active task", schedulingtest.Gang("req-1", 2), func(_ *testScheduler, job *cluster.Job) { job.ActiveTasks = 1 }, false},
		{"a gang without an active task", schedulingtest.Gang("req-1", 2), func(*testScheduler, *cluster.Job) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			job := s.AddJob(c.spec)
			c.change(s, job)
			if got := s.Schedulable(job, schedulingtest.Now); got != c.want {
				t.Errorf("%s: schedulable %v, want %v", c.name, got, c.want)
			}
		})
	}
}

func TestOnlyReachableMachinesInServiceAreUsable(t *testing.T) {
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
		{"with an earlier token", func(_ *testScheduler, m *cluster.Machine) { m.Token = schedulingtest.Token - 1 }, false},
		{"with a later token", func(_ *testScheduler, m *cluster.Machine) { m.Token = schedulingtest.Token + 1 }, true},
		{"with an unanswered command", func(_ *testScheduler, m *cluster.Machine) { m.UnansweredCommands = 1 }, false},
		{"behind a partition", func(s *testScheduler, m *cluster.Machine) {
			s.State.ZoneDetector.CheckZone(m.Zone, detector.ZoneCounts{Machines: 4, LostMachines: 4, AllMachines: 8}, schedulingtest.Now)
		}, false},
		{"its heartbeats don't arrive", func(_ *testScheduler, m *cluster.Machine) {
			m.HeartbeatsMissingSince = schedulingtest.Now.Add(-time.Minute)
		}, false},
		{"start delay after a refused task not over", func(_ *testScheduler, m *cluster.Machine) { m.StartNotBefore = schedulingtest.Now.Add(1) }, false},
		{"start delay after a refused task just over", func(_ *testScheduler, m *cluster.Machine) { m.StartNotBefore = schedulingtest.Now }, true},
		{"last message nearly too old", func(_ *testScheduler, m *cluster.Machine) { m.LastMessageAt = schedulingtest.Now.Add(1 - maxSilence) }, true},
		{"last message too old", func(_ *testScheduler, m *cluster.Machine) { m.LastMessageAt = schedulingtest.Now.Add(-maxSilence) }, false},
		{"cordoned", func(_ *testScheduler, m *cluster.Machine) { m.Cordoned = true }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler(t)
			machine := s.AddMachine("n-1", "c4", "a")
			c.change(s, machine)
			if got := s.Usable(machine, schedulingtest.Now); got != c.want {
				t.Errorf("%s: usable %v, want %v", c.name, got, c.want)
			}
		})
	}
}
