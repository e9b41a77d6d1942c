// Package schedulingtest provides a small cluster for the tests of scheduling decisions.
package schedulingtest

import (
	"testing"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// Token is the fencing token of the term.
const Token wire.FencingToken = 50

// MapOrderRepeats is how often a test repeats a decision that must not depend on the
// iteration order of a map.
const MapOrderRepeats = 50

// Now is the time of all decisions of a test.
var Now = time.Now()

// Cluster is the state of a term that began ten minutes ago, with two machine types and no
// jobs or machines. The team red is guaranteed 16 CPUs and limited to 40, the team blue is
// guaranteed 8 and has no limit.
type Cluster struct {
	// State is the state of the cluster.
	State *cluster.State
	// Tracker records the scale-out and scale-in requests to the cloud.
	Tracker *scaling.Tracker
	// Tuning are the values that operators may set.
	Tuning *tuning.Current

	t testing.TB
}

// New returns a cluster.
func New(t testing.TB) *Cluster {
	settings := &config.Settings{
		Size:  3,
		Zones: []wire.Zone{"a", "b"},
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 16, MaxCPUs: 40, MaxGPUs: 4},
			{Name: "blue", GuaranteedCPUs: 8},
		},
		Workers: config.Workers{HeartbeatInterval: 2, Lease: 16, CancelTimeout: 41, GangWait: 45, GangPeerTimeout: 8},
		Cloud:   config.CloudLimits{ListLag: 4},
	}
	catalog := &cluster.MachineCatalog{}
	catalog.Set([]wire.MachineSpec{
		{Name: "c4", CPUs: 4, MemoryGB: 16, DiskGB: 50, FetchGBPerSecond: 1, OnDemandPrice: 0.4, SpotPrice: 0.1, BootTime: 10, Zones: settings.Zones},
		{Name: "c16", CPUs: 16, MemoryGB: 64, DiskGB: 50, FetchGBPerSecond: 2, OnDemandPrice: 1.2, SpotPrice: 0.8, BootTime: 20, Zones: []wire.Zone{"a"}},
	})
	return &Cluster{
		State:   cluster.NewState(settings, catalog, Now.Add(-10*time.Minute), Token),
		Tracker: scaling.NewTracker(Token),
		Tuning:  tuning.NewCurrent(),
		t:       t,
	}
}

// AddMachine adds a usable machine.
func (c *Cluster) AddMachine(id wire.MachineID, machineType wire.MachineType, zone wire.Zone) *cluster.Machine {
	machine := c.State.GetOrAddMachine(id)
	machine.MachineType, machine.Zone, machine.Token = machineType, zone, Token
	machine.RequestedAt, machine.FirstHeartbeatAt = Now.Add(-5*time.Minute), Now.Add(-4*time.Minute)
	machine.LastUsedAt, machine.LastMessageAt = Now.Add(-time.Minute), Now.Add(-time.Second)
	return machine
}

// AddJob adds a job that was accepted just now. The team defaults to red, the priority to
// standard.
func (c *Cluster) AddJob(spec wire.JobSpec) *cluster.Job {
	return c.AddJobAcceptedAt(spec, Now)
}

// AddJobAcceptedAt adds a job that was accepted at a given time, with the defaults of AddJob.
func (c *Cluster) AddJobAcceptedAt(spec wire.JobSpec, acceptedAt time.Time) *cluster.Job {
	if spec.Team == "" {
		spec.Team = "red"
	}
	if spec.Priority == "" {
		spec.Priority = wire.PriorityStandard
	}
	job := cluster.NewJob(store.JobRecord{Spec: spec, AcceptedAt: wire.TimestampOf(acceptedAt)}, 1)
	job.AcceptedAt = acceptedAt
	c.State.Jobs[spec.ID] = job
	return job
}

// RunTask adds an attempt of the first pending task of a job that has been running on a
// machine since a given time. The test fails if no task is pending.
func (c *Cluster) RunTask(job *cluster.Job, machine *cluster.Machine, since time.Time) *cluster.Attempt {
	c.t.Helper()
	var attempt *cluster.Attempt
	job.ForEachPendingTask(1, func(chunk *cluster.Chunk, index int) {
		attempt = &cluster.Attempt{
			Job: job, Chunk: chunk, Index: index, Number: chunk.NextAttempt, Machine: machine,
			ScheduledAt: since, RunningSince: since, ImageReadyAt: since,
		}
		chunk.NextAttempt++
		chunk.AddAttempt(attempt)
	})
	if attempt == nil {
		c.t.Fatalf("no task of %s is pending", job.Spec.ID)
	}
	return attempt
}

// Array returns the description of a job array with tasks of one CPU.
func Array(id wire.JobID, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: id, Kind: wire.KindArray, Tasks: tasks, CPUs: 1, MemoryGB: 1, ExpectedRunTime: 60}
}

// Gang returns the description of a gang with tasks of two CPUs.
func Gang(id wire.JobID, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: id, Class: "sweep", Kind: wire.KindGang, Tasks: tasks, CPUs: 2, MemoryGB: 4, ExpectedRunTime: 60}
}

// Service returns the description of a production service with replicas of two CPUs.
func Service(id wire.JobID, replicas int) wire.JobSpec {
	return wire.JobSpec{ID: id, Kind: wire.KindService, Priority: wire.PriorityProd, Tasks: replicas, CPUs: 2, MemoryGB: 4}
}
