// Package fleet decides which machines to rent and which to return: from a
// snapshot of demand, machines and offers to bookings and releases. It is
// pure; it knows no clock and does no I/O.
package fleet

import (
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Offer is a type, zone and kind that may be rented now.
type Offer struct {
	Type  wire.MachineType
	Zone  wire.Zone
	Spot  bool
	Total placement.Resources
	Price float64 // per hour, now
	// FetchGBPerS in GB a second.
	FetchGBPerS float64
	// Room is how many more may be asked for at once.
	Room int
}

// Machine that we have, or that is on its way.
type Machine struct {
	ID   wire.MachineID
	Type wire.MachineType
	Zone wire.Zone
	Spot bool
	// Free room; of a machine that still boots, all of it.
	Free, Total placement.Resources
	Booting     bool
	// Idle: up, with nothing on it for IdleS.
	Idle  bool
	IdleS float64
	// KeepS is how long it is kept with nothing to do.
	KeepS float64
	// PaidS is how much longer it is paid for whatever we do.
	PaidS float64
	Price float64
	// Services on it.
	Services int
	// Freeing is room that tasks of arrays there are expected to free.
	Freeing []Freeing
	// Unit is the largest task of an array there.
	Unit placement.Resources
}

// Freeing is room that is expected to be free in a while.
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
	// SlackS is how long the units may wait for room and still be in time.
	SlackS float64
	// AllOrNothing: all of the units or none, in one zone if the job wants that.
	AllOrNothing bool
	// PriceStretch stretches the limit on the price; 0 leaves it as it is.
	PriceStretch float64
}

// Snapshot is all that a plan looks at.
type Snapshot struct {
	Machines []Machine
	Offers   []Offer
	Demands  []Demand
	// PriceLimit is how many times the cheapest price that the types have for
	// a unit may be paid for a unit of an array.
	PriceLimit float64
	// Cheapest is the lowest nominal price of a unit's worth of any type,
	// spot or not as the job allows; nil: no limit.
	Cheapest func(*wire.JobSpec) float64
	// MaxScaleOuts bounds the machines rented by one plan.
	MaxScaleOuts int
}

// ScaleOut asks for machines of one offer.
type ScaleOut struct {
	Type  wire.MachineType
	Zone  wire.Zone
	Spot  bool
	Count int
	For   wire.JobID
}

// Plan is what to do.
type Plan struct {
	ScaleOuts []ScaleOut
	ScaleIns  []wire.MachineID
	// Cordons are machines that should take tasks only when no other can:
	// what runs there would fit on the others, so that they can be returned.
	Cordons []wire.MachineID
}
