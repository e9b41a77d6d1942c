package placement

import (
	"fmt"
	"math"
	"testing"

	"lilaclead/internal/wire"
)

func TestUnitsInIsLimitedByScarcestResource(t *testing.T) {
	for name, c := range map[string]struct {
		amount, free Resources
		want         int
	}{
		"CPUs are scarce":          {Resources{CPUs: 2, MemoryGB: 1}, Resources{CPUs: 5, MemoryGB: 16}, 2},
		"memory is scarce":         {Resources{CPUs: 1, MemoryGB: 8}, Resources{CPUs: 5, MemoryGB: 16}, 2},
		"GPUs are scarce":          {Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}, Resources{CPUs: 5, MemoryGB: 16}, 0},
		"exactly one fits":         {Resources{CPUs: 0.30000000000000004, MemoryGB: 1}, Resources{CPUs: 0.3, MemoryGB: 1}, 1}, // sums of decimal fractions have rounding errors
		"more is used than exists": {Resources{CPUs: 1, MemoryGB: 1}, Resources{CPUs: -1, MemoryGB: 16}, 0},
		"no task fits":             {Resources{Tasks: 1}, Resources{CPUs: 1, Tasks: -MaxTasksPerMachine}, 0},
		"tasks are scarce":         {Resources{CPUs: 0.001, Tasks: 1}, Resources{CPUs: 5, Tasks: 3 - MaxTasksPerMachine}, 3},
		"two tasks of a unit":      {Resources{Tasks: 2}, Resources{Tasks: 3 - MaxTasksPerMachine}, 1},
		"an amount of 0":           {Resources{}, Resources{CPUs: 1, GPUs: 1, MemoryGB: 1}, maxUnits},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.amount.UnitsIn(c.free); got != c.want {
				t.Errorf("%+v in %+v: %d units, want %d", c.amount, c.free, got, c.want)
			}
			if got, want := c.amount.FitsIn(c.free), c.want > 0; got != want {
				t.Errorf("%+v in %+v: fits %v, want %v", c.amount, c.free, got, want)
			}
		})
	}
}

func TestHeartbeatOfMostTasksFitsInABody(t *testing.T) {
	notice := wire.Seconds(119.99999999999999)
	heartbeat := wire.Heartbeat{
		Machine: "n-999999", Addr: "255.255.255.255:65535", Type: "a-machine-type-of-32-characters.", Zone: "a-zone-of-32-characters.........", Spot: true,
		Epoch: math.MaxUint64, Sequence: math.MaxUint64, Token: math.MaxUint64, SpotNotice: &notice,
	}
	for index := range MaxTasksPerMachine {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{
			Task: fmt.Sprintf("req-999999/%d", 99999-index), Attempt: math.MaxUint64, Phase: wire.PhaseExited, Cause: wire.CauseGangBroken, CheckpointSaved: true,
		})
	}
	if size := wire.MaxJSONSize(heartbeat); size > wire.MaxBodyBytes {
		t.Errorf("heartbeat with %d tasks: got %d bytes, want at most %d", MaxTasksPerMachine, size, wire.MaxBodyBytes)
	}
}
