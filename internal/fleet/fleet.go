// Package fleet plans scale-out and scale-in: it takes a snapshot of demand, machines and
// offers, packs the demand into bins and returns which machines to add and which to
// return. It is pure: it reads no clock and does no I/O.
package fleet

import (
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Offer is a machine type that can be had in a zone now, as a spot or an ordinary machine.
type Offer struct {
	Type  wire.MachineType
	Zone  wire.Zone
	Spot  bool
	Total placement.Resources
	Price float64 // per hour, now
	// FetchGBPerSecond is the rate at which such a machine fetches images, GB a second.
	FetchGBPerSecond float64
	// MaxCount is how many more may be requested at once.
	MaxCount int
}

// Machine is a machine that the cluster has, or that is being added.
type Machine struct {
	ID   wire.MachineID
	Type wire.MachineType
	Zone wire.Zone
	Spot bool
	// Free is all of it while the machine boots.
	Free, Total placement.Resources
	Booting     bool
	// Idle reports that the machine is up, with nothing on it for IdleSeconds seconds.
	Idle        bool
	IdleSeconds float64
	// KeepIdleSeconds is how many seconds an idle machine is kept.
	KeepIdleSeconds float64
	// PrepaidSeconds is for how many more seconds it is paid whether it is returned or not.
	PrepaidSeconds float64
	Price          float64
	// ServiceTasks is the number of tasks of services on it.
	ServiceTasks int
	// ExpectedReleases is the room that tasks of arrays there are expected to free, the earliest
	// first.
	ExpectedReleases []ExpectedRelease
	// LargestArrayTask is the largest task of an array there.
	LargestArrayTask placement.Resources
}

// ExpectedRelease is room that is expected to be free in so many seconds.
type ExpectedRelease struct {
	InSeconds float64
	Resources placement.Resources
}

// Demand is a number of equal units that should run at the same time.
type Demand struct {
	Spec  *wire.JobSpec
	Units int
	// Rank orders demands, the highest first.
	Rank float64
	// ZoneCapacityLeft is how many units each zone may still take; nil: any number.
	ZoneCapacityLeft map[wire.Zone]int
	// SlackSeconds is how many seconds the units may wait for room and still be in time.
	SlackSeconds float64
	// AllOrNothing asks for all of the units or none, in one zone if the job requires
	// that.
	AllOrNothing bool
	// PriceLimitFactor is a factor on the price limit; 0 leaves the limit as it is.
	PriceLimitFactor float64
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Machines []Machine
	Offers   []Offer
	Demands  []Demand
	// PriceLimit is how many times the cheapest price of a unit may be paid for a unit
	// of an array or a gang.
	PriceLimit float64
	// LowestPrice returns the lowest nominal price of a unit's share of any machine type,
	// spot or not as the job allows; nil: no limit.
	LowestPrice func(*wire.JobSpec) float64
	// MaxMachinesAdded bounds the machines that one plan adds.
	MaxMachinesAdded int
}

// ScaleOut is a request for machines of one offer.
type ScaleOut struct {
	Type   wire.MachineType
	Zone   wire.Zone
	Spot   bool
	Count  int
	ForJob wire.JobID
}

// Plan is what to change in the fleet.
type Plan struct {
	ScaleOuts []ScaleOut
	ScaleIns  []wire.MachineID
	// Cordons are machines that should take tasks only when no other can: what runs there
	// would fit on the others, so that they can be returned.
	Cordons []wire.MachineID
}
