package scenarios_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lilaclead/internal/simulator"
	"lilaclead/internal/wire"
)

// array returns a job of independent tasks that run for so many seconds. They may use spot
// machines.
func array(number, tasks int, seconds float64) simulator.JobScript {
	return simulator.JobScript{RunTime: seconds, Spec: wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", number)), Class: "solve", Team: "red", Kind: wire.KindArray, Priority: wire.PriorityStandard,
		Tasks: tasks, CPUs: 2, MemoryGB: 4, Image: "img-a", ImageGB: 1, SpotAllowed: true, ExpectedRunTime: wire.Seconds(seconds)}}
}

// service returns a job of replicas that run until it is cancelled.
func service(number, replicas int) simulator.JobScript {
	return simulator.JobScript{Spec: wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", number)), Class: "portal", Team: "blue", Kind: wire.KindService, Priority: wire.PriorityProd,
		Tasks: replicas, CPUs: 1, MemoryGB: 3, Image: "img-b", ImageGB: 1, Spread: true}}
}

// gang returns a job whose tasks start together or not at all, run for so many seconds and save
// checkpoints.
func gang(number, tasks int, seconds float64) simulator.JobScript {
	return simulator.JobScript{RunTime: seconds, Spec: wire.JobSpec{
		ID: wire.JobID(fmt.Sprintf("req-%06d", number)), Class: "clash", Team: "red", Kind: wire.KindGang, Priority: wire.PriorityUrgent,
		Tasks: tasks, CPUs: 2, MemoryGB: 6, Image: "img-g", ImageGB: 1, SameZone: true, ExpectedRunTime: wire.Seconds(seconds),
		CheckpointInterval: 20, CheckpointTime: 2}}
}

// arrayOfSmallTasks returns an array of which many tasks fit on one machine.
func arrayOfSmallTasks(number, tasks int, seconds float64) simulator.JobScript {
	j := array(number, tasks, seconds)
	j.Spec.CPUs, j.Spec.MemoryGB = 0.1, 0.3
	return j
}

// randomDelay returns a function that draws a delay shorter than maxSeconds.
func randomDelay(rng *rand.Rand) func(maxSeconds int) time.Duration {
	return func(maxSeconds int) time.Duration { return time.Duration(rng.IntN(1000*maxSeconds)) * time.Millisecond }
}

// randomCancelDelay draws the delay after which a user cancels a job; 0 means never.
func randomCancelDelay(rng *rand.Rand) time.Duration {
	if rng.IntN(3) != 0 {
		return 0
	}
	return time.Second + randomDelay(rng)(40)
}
