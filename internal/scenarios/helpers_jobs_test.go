package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// array is a job of independent tasks, which may use spot machines.
func array(n, tasks int, run float64) simulator.JobScript {
	return simulator.JobScript{RunTime: run, Spec: wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "solve", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard,
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img-a", ImageGB: 1, SpotAllowed: true, ExpectedRunTime: wire.Seconds(run)}}
}

// service is a job of replicas that run until it is cancelled.
func service(n, tasks int) simulator.JobScript {
	return simulator.JobScript{Spec: wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "portal", Team: "blue", Kind: wire.KindService, Priority: wire.PriorityProd,
		Tasks: tasks, CPUs: 1, MemoryGB: 3, Image: "img-b", ImageGB: 1, Spread: true}}
}

// gang is a job whose tasks start together or never, and save.
func gang(n, tasks int, run float64) simulator.JobScript {
	return simulator.JobScript{RunTime: run, Spec: wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", n)), Class: "clash", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityUrgent,
		Tasks: tasks, CPUs: 2, MemoryGB: 6, Image: "img-g", ImageGB: 1, SameZone: true, ExpectedRunTime: wire.Seconds(run),
		CheckpointInterval: 20, CheckpointTime: 2}}
}

// arrayOfSmallTasks is an array of many small tasks.
func arrayOfSmallTasks(n, tasks int, run float64) simulator.JobScript {
	j := array(n, tasks, run)
	j.Spec.CPUs, j.Spec.MemoryGB = 0.1, 0.3
	return j
}

// randomDelay returns a function that draws a time of up to so many seconds.
func randomDelay(rng *rand.Rand) func(seconds int) time.Duration {
	return func(most int) time.Duration { return time.Duration(rng.IntN(1000*most)) * time.Millisecond }
}

// randomCancelDelay draws when a job is cancelled; 0 means never.
func randomCancelDelay(rng *rand.Rand) time.Duration {
	if rng.IntN(3) != 0 {
		return 0
	}
	return time.Second + randomDelay(rng)(40)
}
