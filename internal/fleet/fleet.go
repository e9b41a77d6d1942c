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
	// FetchGBPerS is the rate at which such a machine fetches images, GB a second.
	FetchGBPerS float64
	// Room is how many more may be requested at once.
	Room int
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
	// Idle reports that the machine is up, with nothing on it for IdleS seconds.
	Idle  bool
	IdleS float64
	// KeepS is how many seconds an idle machine is kept.
	KeepS float64
	// PaidS is for how many more seconds it is paid whether it is returned or not.
	PaidS float64
	Price float64
	// Services is the number of tasks of services on it.
	Services int
	// Freeing is the room that tasks of arrays there are expected to free, the earliest
	// first.
	Freeing []Freeing
	// Unit is the largest task of an array there.
	Unit placement.Resources
}

// Freeing is room that is expected to be free in so many seconds.
type Freeing struct {
	InS  float64
	Room placement.Resources
}

// Demand is a number of equal units that should run at the same time.
type Demand struct {
	Spec  *wire.JobSpec
	Units int
	// Rank orders demands, the highest first.
	Rank float64
	// ZoneLeft is how many units each zone may still take; nil: any number.
	ZoneLeft map[wire.Zone]int
	// SlackS is how many seconds the units may wait for room and still be in time.
	SlackS float64
	// AllOrNothing asks for all of the units or none, in one zone if the job requires
	// that.
	AllOrNothing bool
	// PriceStretch is a factor on the price limit; 0 leaves the limit as it is.
	PriceStretch float64
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Machines []Machine
	Offers   []Offer
	Demands  []Demand
	// PriceLimit is how many times the cheapest price of a unit may be paid for a unit
	// of an array or a gang.
	PriceLimit float64
	// Cheapest returns the lowest nominal price of a unit's share of any machine type,
	// spot or not as the job allows; nil: no limit.
	Cheapest func(*wire.JobSpec) float64
	// MaxScaleOuts bounds the machines that one plan adds.
	MaxScaleOuts int
}

// ScaleOut is a request for machines of one offer.
type ScaleOut struct {
	Type  wire.MachineType
	Zone  wire.Zone
	Spot  bool
	Count int
	For   wire.JobID
}

// Plan is what to change in the fleet.
type Plan struct {
	ScaleOuts []ScaleOut
	ScaleIns  []wire.MachineID
	// Cordons are machines that should take tasks only when no other can: what runs there
	// would fit on the others, so that they can be returned.
	Cordons []wire.MachineID
}
