package main

import (
	"fmt"
	"strings"
	"time"

	"lilaclead/internal/config"
	"lilaclead/internal/wire"
)

// cases are the cases of the review, by name.
var cases = map[string]struct {
	settings config.Settings
	specs    []wire.MachineSpec
	run      func(w *world, trouble bool)
}{
	"copy-after-restart": {aarenfeldFleet, aarenfeldMachines, copyAfterRestart},
	"copy-in-election":   {kowhaiFleet, kowhaiMachines, copyInElection},
	"copy-of-cancelled":  {kowhaiFleet, kowhaiMachines, copyOfCancelled},
	"old-report":         {kowhaiFleet, kowhaiMachines, oldReportAfterElection},
}

// aarenfeldFleet are the settings of aarenfeld-meters-fleet.
var aarenfeldFleet = config.Settings{
	Size: 5, Zones: []wire.Zone{"aarau-nord", "brugg-sued", "rathaus-keller"}, MaxClockSkewMillis: 250,
	Teams: []config.Team{
		{Name: "zaehlerteam", GuaranteedCPUs: 1800, MaxCPUs: 6000}, {Name: "abrechnung", GuaranteedCPUs: 2500, MaxCPUs: 7000},
		{Name: "netzbetrieb", GuaranteedCPUs: 2500, MaxCPUs: 5000},
	},
	Objectives: []config.Objective{
		{Kind: "wait", Class: "ingest-live", Within: 5, Share: 0.93}, {Kind: "deadline", Class: "billing-recon", Share: 0.975, DeadlineMultiple: 1},
		{Kind: "guarantee", Within: 10, Share: 0.98},
	},
	Workers: config.Workers{HeartbeatInterval: 10, Lease: 45, CancelTimeout: 70, GangWait: 45, GangPeerTimeout: 8},
	State:   config.StoreLimits{RPS: 150, WriteRPS: 50, ValueKB: 32, TxnOps: 12},
	Cloud:   config.CloudLimits{RPS: 6, ListLag: 4},
	Limits:  config.ProcessLimits{Cores: 0.204, MemoryMB: 322, FDLimit: 4296},
}

var aarenfeldMachines = []wire.MachineSpec{{
	Name: "klein4", CPUs: 4, MemoryGB: 32, DiskGB: 50, FetchGBPerSecond: 0.25, OnDemandPrice: 0.28, SpotPrice: 0.12, BootTime: 35,
	Zones: []wire.Zone{"aarau-nord", "brugg-sued", "rathaus-keller"},
}}

// billing is an array of billing-recon with one task.
func billing(n int) wire.JobSpec {
	return wire.JobSpec{ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "billing-recon", Team: "abrechnung", Kind: wire.KindArray, Priority: wire.PriorityStandard,
		Tasks: 1, CPUs: 4, MemoryGB: 29, Image: "img-billing", ImageGB: 1, ExpectedRunTime: 28, Deadline: 80}
}

// ingest is a service of ingest-live with one replica.
func ingest(n int) wire.JobSpec {
	return wire.JobSpec{ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "ingest-live", Team: "netzbetrieb", Kind: wire.KindService, Priority: wire.PriorityProd,
		Tasks: 1, CPUs: 1, MemoryGB: 4.8, Image: "img-ingest", ImageGB: 1, Spread: true}
}

// startAll starts the controllers, with machines that are up already.
func (w *world) startAll(machines int, bootTime time.Duration) {
	w.mu.Lock()
	w.bootTime = bootTime
	for i := range machines {
		zone := w.settings.Zones[i%len(w.settings.Zones)]
		w.newWorkerLocked(&w.specs[0], zone, false, 10*time.Minute).bootLocked()
	}
	w.mu.Unlock()
	for _, n := range w.nodes {
		w.start(n)
	}
}

// onMachinesLocked returns the attempts of tasks that are on machines, by task.
func (w *world) onMachinesLocked() map[string]launched {
	out := map[string]launched{}
	for _, m := range w.workers {
		for _, r := range m.tasks {
			if r.onIt {
				out[r.task] = launched{m, r.attempt}
			}
		}
	}
	return out
}

// launched is an attempt on a machine.
type launched struct {
	machine *worker
	attempt wire.AttemptNumber
}

// fleetSize is how many machines there are, so that one of them is a smaller share than the pages'
// troubles take at a time.
const fleetSize = 16

// movedTask fills the machines with arrays of one task and has a replica displace one of them. It
// returns where the displaced task was, and waits until it runs on another machine.
func (w *world) movedTask(array, service func(n int) wire.JobSpec, runTime time.Duration) (task string, first launched) {
	for n := range fleetSize {
		w.submit(array(n+1), runTime)
	}
	var before map[string]launched
	w.await("a task runs on each machine", 40*time.Second, func() bool {
		before = w.onMachinesLocked()
		return len(before) == fleetSize
	})
	time.Sleep(2 * time.Second)
	w.submit(service(fleetSize+1), 0)
	w.await("a task was stopped and runs on another machine", 60*time.Second, func() bool {
		for id, now := range w.onMachinesLocked() {
			if was, ok := before[id]; ok && now.machine != was.machine {
				task, first = id, was
				return true
			}
		}
		return false
	})
	w.say("%s was on %s as attempt %d and runs elsewhere now", task, first.machine.id, first.attempt)
	return task, first
}

// directLaunch returns the direct request that carried the launch of an attempt.
func (w *world) directLaunch(task string, attempt wire.AttemptNumber) launch {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, direct := w.launches[key(task, attempt)]
	if !direct {
		giveUp("the launch of %s was not sent by POST /commands", key(task, attempt))
	}
	return l
}

// copyAfterRestart: the machine that a task was moved from is back after a fraction of a second. The
// leader learns of it and asks the cloud to delete the machine, but the cloud's interface is down. A copy
// of the launch that the machine executed earlier follows.
func copyAfterRestart(w *world, trouble bool) {
	w.startAll(fleetSize, 35*time.Second)
	task, first := w.movedTask(billing, ingest, 28*time.Second)
	l := w.directLaunch(task, first.attempt)
	if trouble {
		w.mu.Lock()
		w.cloudOutage = true
		w.mu.Unlock()
		w.say("the cloud's interface is down")
		time.Sleep(time.Second)
		first.machine.restart(300 * time.Millisecond)
		w.await("the leader asks the cloud to delete the machine", 20*time.Second, func() bool { return w.unwanted[first.machine.id] })
		time.Sleep(time.Second)
		w.deliverCopy(l)
	}
	time.Sleep(12 * time.Second)
	w.mu.Lock()
	w.cloudOutage = false
	w.mu.Unlock()
	time.Sleep(5 * time.Second)
}

// kowhaiFleet are the settings of kowhai-timetables-fleet.
var kowhaiFleet = config.Settings{
	Size: 7, Zones: []wire.Zone{"akl-dc", "chc-dc"}, MaxClockSkewMillis: 1000,
	Teams: []config.Team{{Name: "timetable-ops"}},
	Objectives: []config.Objective{
		{Kind: "wait", Class: "portal-web", Within: 1, Share: 0.93}, {Kind: "deadline", Class: "solve-term", Share: 0.985, DeadlineMultiple: 1},
	},
	Workers: config.Workers{HeartbeatInterval: 3, Lease: 17.5, CancelTimeout: 42.5, GangWait: 50, GangPeerTimeout: 8},
	State:   config.StoreLimits{RPS: 700, WriteRPS: 70, ValueKB: 16, TxnOps: 16},
	Cloud:   config.CloudLimits{RPS: 12, ListLag: 8},
	Limits:  config.ProcessLimits{Cores: 0.468, MemoryMB: 322, FDLimit: 2900},
}

var kowhaiMachines = []wire.MachineSpec{{
	Name: "kereru", CPUs: 4, MemoryGB: 16, DiskGB: 70, FetchGBPerSecond: 0.8, OnDemandPrice: 0.26, SpotPrice: 0.1, BootTime: 15,
	Zones: []wire.Zone{"akl-dc", "chc-dc"},
}}

// solve is an array of solve-term with one task that takes all of a kereru.
func solve(n int) wire.JobSpec {
	return wire.JobSpec{ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "solve-term", Team: "timetable-ops", Kind: wire.KindArray, Priority: wire.PriorityStandard,
		Tasks: 1, CPUs: 4, MemoryGB: 11.4, Image: "img-solve", ImageGB: 0.8, ExpectedRunTime: 35, Deadline: 100}
}

// portal is a service of portal-web with one replica.
func portal(n int) wire.JobSpec {
	return wire.JobSpec{ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "portal-web", Team: "timetable-ops", Kind: wire.KindService, Priority: wire.PriorityProd,
		Tasks: 1, CPUs: 1, MemoryGB: 3.2, Image: "img-portal", ImageGB: 0.8, Spread: true}
}

// copyInElection: the leader ends, the machine that a task was moved from is back after a fraction
// of a second in the middle of the election, and a copy of the launch that it executed earlier
// follows.
func copyInElection(w *world, trouble bool) {
	w.startAll(0, 15*time.Second)
	task, first := w.movedTask(solve, portal, 35*time.Second)
	l := w.directLaunch(task, first.attempt)
	if trouble {
		leader := w.leader()
		if leader == nil {
			giveUp("nobody leads")
		}
		w.say("the leader %s is killed", leader.name)
		w.kill(leader)
		w.startLater(leader, 6*time.Second)
		time.Sleep(200 * time.Millisecond)
		first.machine.restart(300 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		w.deliverCopy(l)
	}
	time.Sleep(12 * time.Second)
}

// copyOfCancelled: a job is cancelled, and its task is stopped. Later than cancel_s the leader ends, and
// in the middle of the election the task's machine is back after a fraction of a second and a copy
// of the launch follows.
func copyOfCancelled(w *world, trouble bool) {
	w.startAll(0, 15*time.Second)
	tasks := w.solveRound(1, 100*time.Second)
	task := tasks[0]
	array := wire.JobID(strings.TrimSuffix(task, "/0"))
	w.mu.Lock()
	first := w.onMachinesLocked()[task]
	w.mu.Unlock()
	l := w.directLaunch(task, first.attempt)
	time.Sleep(time.Second)
	w.cancel(array)
	time.Sleep(w.settings.Workers.CancelTimeout.Duration() + time.Second)
	if trouble {
		leader := w.leader()
		if leader == nil {
			giveUp("nobody leads")
		}
		w.say("the leader %s is killed", leader.name)
		w.kill(leader)
		w.startLater(leader, 6*time.Second)
		time.Sleep(200 * time.Millisecond)
		first.machine.restart(300 * time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		w.deliverCopy(l)
	}
	time.Sleep(10 * time.Second)
}

// shortSolve is an array of solve-term with one task that takes half of a kereru.
func shortSolve(n int) wire.JobSpec {
	spec := solve(n)
	spec.CPUs, spec.MemoryGB = 2, 5.7
	return spec
}

// solveRound submits arrays of one task that fill the machines, waits until all of them run, and returns their tasks.
func (w *world) solveRound(first int, runTime time.Duration) []string {
	tasks := []string{}
	for n := first; n < first+2*fleetSize; n++ {
		spec := shortSolve(n)
		tasks = append(tasks, string(spec.ID)+"/0")
		w.submit(spec, runTime)
	}
	w.awaitTasks("all tasks of the round run", 40*time.Second, tasks...)
	return tasks
}

// awaitTasks waits until all of the tasks are on machines.
func (w *world) awaitTasks(what string, limit time.Duration, tasks ...string) {
	w.await(what, limit, func() bool {
		now := w.onMachinesLocked()
		for _, task := range tasks {
			if now[task].machine == nil {
				return false
			}
		}
		return true
	})
}

// awaitIdle waits until no task is on a machine.
func (w *world) awaitIdle(limit time.Duration) {
	w.await("no task runs", limit, func() bool { return len(w.onMachinesLocked()) == 0 })
}

// oldReportAfterElection: the leader ends and is back after a fraction of a second, and so is a machine in the middle
// of the election. When its tasks run there again, a copy of a report that it sent before arrives at the leader.
func oldReportAfterElection(w *world, trouble bool) {
	w.startAll(0, 9*time.Second)
	for _, first := range []int{100, 200} {
		w.solveRound(first, 12*time.Second)
		w.awaitIdle(30 * time.Second)
	}
	tasks := w.solveRound(300, 35*time.Second)
	time.Sleep(4 * time.Second)
	w.mu.Lock()
	on := w.onMachinesLocked()
	machine, elsewhere := on[tasks[0]].machine, ""
	for _, task := range tasks {
		if on[task].machine != machine {
			elsewhere = task
		}
	}
	report := machine.answered
	w.mu.Unlock()
	if trouble {
		leader := w.leader()
		if leader == nil || report.to != leader {
			giveUp("%s reports to %v, and the leader is %v", machine.id, report.to, leader)
		}
		w.say("the leader %s is killed", leader.name)
		w.kill(leader)
		w.startLater(leader, 300*time.Millisecond)
		machine.restart(300 * time.Millisecond)
		w.awaitTasks("the tasks run again", 20*time.Second, tasks...)
		if w.leader() != leader {
			giveUp("another controller leads")
		}
	}
	time.Sleep(2 * time.Second)
	replica := portal(400)
	w.submit(replica, 0)
	w.awaitTasks("the replica runs", 20*time.Second, string(replica.ID)+"/0")
	w.cancel(replica.ID)
	w.awaitTasks("all tasks run again", 20*time.Second, tasks...)
	time.Sleep(1500 * time.Millisecond)
	w.cancel(wire.JobID(strings.TrimSuffix(elsewhere, "/0")))
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		w.mu.Lock()
		reported := machine.tally
		w.mu.Unlock()
		if report.seq <= reported {
			giveUp("%s has sent %d reports since it is back, and the old one was the %dth", machine.id, reported, report.seq)
		}
		w.deliverReport(report)
	}
	time.Sleep(8 * time.Second)
}
