package wire

import "slices"

// Flavor is a machine type as the cloud offers it.
type Flavor struct {
	Name       Kit     `cbor:"name"`
	CPUs       float64 `cbor:"cpus"`
	Cards      float64 `cbor:"cards"`
	RAM        float64 `cbor:"ramGb"`
	LocalGB    float64 `cbor:"localGb"`
	PullGBPerS float64 `cbor:"pullGbPerS"`
	Rate       float64 `cbor:"rate"`
	LowPrice   float64 `cbor:"lowPrice"`
	ReadyS     Seconds `cbor:"readyS"`
	Sites      []Zone  `cbor:"sites"`
}

// Price per hour of one kind.
func (f *Flavor) Price(spot bool) float64 {
	if spot {
		return f.LowPrice
	}
	return f.Rate
}

// Fits tells whether one task of the job fits an empty machine of this type
// that the job allows.
func (f *Flavor) Fits(s *Spec) bool {
	if s.Kits != nil && !slices.Contains(s.Kits, f.Name) {
		return false
	}
	if s.Site != "" && !slices.Contains(f.Sites, s.Site) {
		return false
	}
	return s.CPUs <= f.CPUs+Eps && s.Cards <= f.Cards+Eps && s.RAM <= f.RAM+Eps && s.ImageGB <= f.LocalGB+Eps
}

// Eps absorbs the rounding of sums of decimal amounts.
const Eps = 1e-6

// Flavors is the answer of GET /flavors.
type Flavors struct {
	Kits []Flavor `cbor:"kits"`
}

// Booking asks for machines.
type Booking struct {
	Name    string `cbor:"booking"`
	Kit     Kit    `cbor:"kit"`
	Site    Zone   `cbor:"site"`
	Standby bool   `cbor:"standby"`
	Count   int    `cbor:"count"`
}

// Hosts names machines, in the answer to a booking and in a release.
type Hosts struct {
	Hosts []MachineID `cbor:"hosts"`
}

// HostState of the machine list.
type HostState string

// The states of the machine list.
const (
	HostStarting HostState = "starting"
	HostRunning  HostState = "running"
	HostFailed   HostState = "failed"
)

// Host is one line of the machine list.
type Host struct {
	Name    MachineID `cbor:"nameId"`
	Addr    string    `cbor:"addr"`
	Kit     Kit       `cbor:"kit"`
	Site    Zone      `cbor:"site"`
	Standby bool      `cbor:"standby"`
	State   HostState `cbor:"status"`
	Age     Seconds   `cbor:"ageS"`
}

// HostPage is one page of the machine list.
type HostPage struct {
	Hosts     []Host `cbor:"hosts"`
	Truncated bool   `cbor:"truncated"`
}
