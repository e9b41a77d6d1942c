package wire

import "slices"

// MachineSpec is a machine type as the cloud offers it. Its prices are per hour.
type MachineSpec struct {
	Name             MachineType `cbor:"name"`
	CPUs             float64     `cbor:"cpus"`
	GPUs             float64     `cbor:"cards"`
	MemoryGB         float64     `cbor:"ramGb"`
	DiskGB           float64     `cbor:"localGb"`
	FetchGBPerSecond float64     `cbor:"pullGbPerS"`
	OnDemandPrice    float64     `cbor:"rate"`
	SpotPrice        float64     `cbor:"lowPrice"`
	BootTime         Seconds     `cbor:"readyS"`
	Zones            []Zone      `cbor:"sites"`
}

// Price returns the price per hour of a spot or an on-demand machine.
func (m *MachineSpec) Price(spot bool) float64 {
	if spot {
		return m.SpotPrice
	}
	return m.OnDemandPrice
}

// CanRun reports whether the job allows machines of this type and one of its tasks fits on
// an empty machine of the type.
func (m *MachineSpec) CanRun(spec *JobSpec) bool {
	return m.allowedBy(spec) && m.hasCapacityFor(spec)
}

func (m *MachineSpec) allowedBy(spec *JobSpec) bool {
	if spec.MachineTypes != nil && !slices.Contains(spec.MachineTypes, m.Name) {
		return false
	}
	return spec.Zone == "" || slices.Contains(m.Zones, spec.Zone)
}

func (m *MachineSpec) hasCapacityFor(spec *JobSpec) bool {
	fitsCompute := spec.CPUs <= m.CPUs+AmountTolerance && spec.GPUs <= m.GPUs+AmountTolerance
	fitsMemory := spec.MemoryGB <= m.MemoryGB+AmountTolerance
	fitsDisk := spec.ImageGB <= m.DiskGB+AmountTolerance
	return fitsCompute && fitsMemory && fitsDisk
}

// AmountTolerance is the tolerance of comparisons between amounts of resources. It absorbs
// the rounding of sums of decimal amounts.
const AmountTolerance = 1e-6

// MachineSpecs is the cloud's response to GET /flavors, the request for its machine types.
type MachineSpecs struct {
	Types []MachineSpec `cbor:"kits"`
}

// ScaleOutRequest asks the cloud for machines. It is idempotent: a repetition under the
// same name starts no further machine.
type ScaleOutRequest struct {
	Name  string      `cbor:"booking"`
	Type  MachineType `cbor:"kit"`
	Zone  Zone        `cbor:"site"`
	Spot  bool        `cbor:"standby"`
	Count int         `cbor:"count"`
}

// MachineNames lists machines, in the response to a ScaleOutRequest and in a request to
// scale in.
type MachineNames struct {
	Machines []MachineID `cbor:"hosts"`
}

// ListedState is the state of a machine in the cloud's machine list.
type ListedState string

// The states of the machine list.
const (
	ListedStarting ListedState = "starting"
	ListedRunning  ListedState = "running"
	ListedFailed   ListedState = "failed"
)

// ListedMachine is one entry of the cloud's machine list.
type ListedMachine struct {
	Name  MachineID   `cbor:"nameId"`
	Addr  string      `cbor:"addr"`
	Type  MachineType `cbor:"kit"`
	Zone  Zone        `cbor:"site"`
	Spot  bool        `cbor:"standby"`
	State ListedState `cbor:"status"`
	Age   Seconds     `cbor:"ageS"`
}

// MachinePage is one page of the machine list.
type MachinePage struct {
	Machines  []ListedMachine `cbor:"hosts"`
	Truncated bool            `cbor:"truncated"`
}
