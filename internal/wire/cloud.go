package wire

import "slices"

// MachineSpec is a machine type as the cloud offers it.
type MachineSpec struct {
	Name          MachineType `cbor:"name"`
	CPUs          float64     `cbor:"cpus"`
	GPUs          float64     `cbor:"cards"`
	MemoryGB      float64     `cbor:"ramGb"`
	DiskGB        float64     `cbor:"localGb"`
	FetchGBPerS   float64     `cbor:"pullGbPerS"`
	OnDemandPrice float64     `cbor:"rate"`
	SpotPrice     float64     `cbor:"lowPrice"`
	BootTime      Seconds     `cbor:"readyS"`
	Zones         []Zone      `cbor:"sites"`
}

// Price per hour of one kind.
func (f *MachineSpec) Price(spot bool) float64 {
	if spot {
		return f.SpotPrice
	}
	return f.OnDemandPrice
}

// Fits tells whether one task of the job fits an empty machine of this type
// that the job allows.
func (f *MachineSpec) Fits(s *JobSpec) bool {
	if s.MachineTypes != nil && !slices.Contains(s.MachineTypes, f.Name) {
		return false
	}
	if s.Zone != "" && !slices.Contains(f.Zones, s.Zone) {
		return false
	}
	return s.CPUs <= f.CPUs+Eps && s.GPUs <= f.GPUs+Eps && s.MemoryGB <= f.MemoryGB+Eps && s.ImageGB <= f.DiskGB+Eps
}

// Eps absorbs the rounding of sums of decimal amounts.
const Eps = 1e-6

// MachineSpecs is the answer to GET /flavors.
type MachineSpecs struct {
	Types []MachineSpec `cbor:"kits"`
}

// ScaleOutRequest asks for machines; a request repeated under its name rents nothing twice.
type ScaleOutRequest struct {
	Name  string      `cbor:"booking"`
	Type  MachineType `cbor:"kit"`
	Zone  Zone        `cbor:"site"`
	Spot  bool        `cbor:"standby"`
	Count int         `cbor:"count"`
}

// MachineNames lists machines, in the answer to a rental request and in a release.
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
