package fleet

import (
	"flag"
	"fmt"

	"pgregory.net/rapid"

	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// init fixes the seed, so that every run checks the same cases.
func init() { flag.Set("rapid.seed", "20261201") } //nolint:errcheck // rapid defines the flag

var machineTypes = map[wire.MachineType]placement.Resources{
	"c4":  {CPUs: 4, MemoryGB: 16},
	"c16": {CPUs: 16, MemoryGB: 64},
}

func drawType(t *rapid.T) wire.MachineType {
	return rapid.SampledFrom([]wire.MachineType{"c4", "c16"}).Draw(t, "type")
}

func drawZone(t *rapid.T) wire.Zone {
	return rapid.SampledFrom([]wire.Zone{"a", "b"}).Draw(t, "zone")
}

// drawSnapshot draws a small fleet with offers and demands of arrays and services.
func drawSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{MaxMachinesAdded: 8, MaxPriceRatio: 3, LowestUnitPrice: func(*wire.JobSpec) float64 { return 0.02 }}
	for i := range rapid.IntRange(0, 5).Draw(t, "machines") {
		s.Machines = append(s.Machines, drawMachine(t, i))
	}
	for range rapid.IntRange(0, 5).Draw(t, "offers") {
		s.Offers = append(s.Offers, drawOffer(t))
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "demands") {
		s.Demands = append(s.Demands, drawDemand(t, i))
	}
	return s
}

// drawMachine draws a machine that boots, is idle, or runs an array task.
func drawMachine(t *rapid.T, i int) Machine {
	machineType := drawType(t)
	m := Machine{
		ID:              wire.MachineID(fmt.Sprint("n-", i)),
		Type:            machineType,
		Zone:            drawZone(t),
		Spot:            rapid.Bool().Draw(t, "spot"),
		Total:           machineTypes[machineType],
		Free:            machineTypes[machineType],
		PricePerHour:    0.3,
		KeepIdleSeconds: 10,
	}
	switch rapid.IntRange(0, 2).Draw(t, "state") {
	case 0:
		m.Booting = true
	case 1:
		m.Idle = true
		m.IdleSeconds = float64(rapid.IntRange(0, 30).Draw(t, "idle"))
		m.PrepaidSeconds = float64(rapid.IntRange(-20, 20).Draw(t, "paid"))
	default:
		used := placement.Resources{CPUs: float64(rapid.IntRange(1, 4).Draw(t, "used")), MemoryGB: 4}
		m.Free, m.LargestBatchTask = m.Free.Minus(used), used
		m.ExpectedReleases = []ExpectedRelease{{InSeconds: float64(rapid.IntRange(1, 40).Draw(t, "free in")), Resources: used}}
	}
	return m
}

func drawOffer(t *rapid.T) Offer {
	machineType := drawType(t)
	return Offer{
		Type:             machineType,
		Zone:             drawZone(t),
		Spot:             rapid.Bool().Draw(t, "spot"),
		Total:            machineTypes[machineType],
		PricePerHour:     float64(rapid.IntRange(1, 90).Draw(t, "price")) / 100,
		FetchGBPerSecond: 1,
		MaxCount:         rapid.IntRange(0, 4).Draw(t, "max count"),
	}
}

func drawDemand(t *rapid.T, i int) Demand {
	kind := rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindService}).Draw(t, "kind")
	return Demand{
		Units:        rapid.IntRange(1, 20).Draw(t, "units"),
		Rank:         float64(i % 2),
		SlackSeconds: float64(rapid.IntRange(-10, 60).Draw(t, "slack")),
		Spec: &wire.JobSpec{
			ID:          wire.JobID(fmt.Sprint("req-", i)),
			Kind:        kind,
			CPUs:        float64(rapid.IntRange(1, 5).Draw(t, "cpus")),
			MemoryGB:    4,
			SpotAllowed: rapid.Bool().Draw(t, "spot allowed"),
			ImageGB:     1,
		},
	}
}

// drawGangDemand draws the demand of a gang of up to 10 tasks.
func drawGangDemand(t *rapid.T) Demand {
	spec := &wire.JobSpec{
		ID:          "req-77",
		Kind:        wire.KindGang,
		Tasks:       rapid.IntRange(1, 10).Draw(t, "gang's tasks"),
		CPUs:        float64(rapid.IntRange(1, 5).Draw(t, "gang's cpus")),
		MemoryGB:    4,
		SpotAllowed: rapid.Bool().Draw(t, "gang on spot"),
		SameZone:    rapid.Bool().Draw(t, "same zone"),
		ImageGB:     1,
	}
	d := Demand{
		Spec:         spec,
		Units:        spec.Tasks,
		SlackSeconds: float64(rapid.IntRange(-10, 60).Draw(t, "gang's slack")),
		Rank:         float64(rapid.IntRange(0, 1).Draw(t, "gang's rank")),
		AllOrNothing: true,
	}
	spec.Spread = !spec.SameZone && rapid.Bool().Draw(t, "spread")
	if spec.Spread {
		d.ZoneCapacityLeft = map[wire.Zone]int{"a": spec.MaxTasksPerZone(), "b": spec.MaxTasksPerZone()}
	}
	return d
}
