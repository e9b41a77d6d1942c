package placement

import (
	"testing"

	"lilaclead/internal/wire"
)

// A gang that must fetch its image goes where the last of its machines has the image
// soonest. The number of machines that fetch and the resources left free count only after that.
func TestGangGoesWhereLastFetchEndsSoonest(t *testing.T) {
	machine := func(id wire.MachineID, freeCPUs, fetchRate float64, image ImageState) Machine {
		m := machineIn("a", id, freeCPUs)
		m.FetchGBPerSecond, m.Images = fetchRate, map[wire.ImageID]ImageState{"i": image}
		return m
	}
	inZoneB := func(m Machine) Machine {
		m.Zone = "b"
		return m
	}
	fetching := func(m Machine, gb float64) Machine {
		m.FetchingGB = gb // of other images, which share its rate
		return m
	}
	onSpot := func(m Machine) Machine {
		m.Spot = true
		return m
	}
	slow := func() Machine { return machine("m", 4, 0.3, ImageAbsent) }
	quickN := func() Machine { return machine("n", 2, 1, ImageAbsent) }
	quickO := func() Machine { return machine("o", 2, 1, ImageAbsent) }
	for _, c := range []struct {
		name     string
		machines []Machine
		want     map[wire.MachineID]int
	}{
		{"both tasks fit on the slow machine", []Machine{slow(), quickN(), quickO()}, map[wire.MachineID]int{"m": 0, "n": 1, "o": 1}},
		{"the quick machines are in another zone", []Machine{slow(), inZoneB(quickN()), inZoneB(quickO())}, map[wire.MachineID]int{"m": 0, "n": 1, "o": 1}},
		{"the last fetch takes 4.4 s elsewhere, 4.7 s on the slow machine", []Machine{slow(), inZoneB(quickN()), inZoneB(fetching(quickO(), 3))}, map[wire.MachineID]int{"m": 0, "n": 1, "o": 1}},
		{"the last fetch takes 5.4 s elsewhere, 4.7 s on the slow machine", []Machine{slow(), inZoneB(quickN()), inZoneB(fetching(quickO(), 4))}, map[wire.MachineID]int{"m": 2}},
		{"a spot machine is a little slower", []Machine{onSpot(machine("m", 4, 0.8, ImageAbsent)), machine("n", 4, 1, ImageAbsent)}, map[wire.MachineID]int{"m": 0, "n": 2}},
		{"the slow machine has the image", []Machine{machine("m", 4, 0.3, ImagePresent), inZoneB(quickN()), inZoneB(quickO())}, map[wire.MachineID]int{"m": 2}},
		{"a machine fetches the image already", []Machine{machine("m", 2, 0.3, ImageFetching), machine("n", 2, 0.8, ImageAbsent), quickO()}, map[wire.MachineID]int{"n": 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := gangSpec("req-1", wire.PriorityUrgent, 2, 2)
			spec.ImageGB = 1.4
			got := startsByMachine(snapshotOf(c.machines, Job{Spec: spec}))
			for id, want := range c.want {
				if got[id] != want {
					t.Errorf("starts %v, want %v", got, c.want)
				}
			}
		})
	}
}
