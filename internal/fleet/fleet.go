// Package fleet plans scale-out and scale-in. From a snapshot of demands, machines and offers it
// derives which machines to add, which to return to the cloud, and which to cordon. It reads no
// clock and does no I/O.
package fleet

import (
	"lilaclead/internal/placement"
	"lilaclead/internal/wire"
)

// Offer is a machine type that can be requested in a zone now, as a spot or an on-demand machine.
type Offer struct {
	Type  wire.MachineType
	Zone  wire.Zone
	Spot  bool
	Total placement.Resources
	// PricePerHour is the current price of one machine per hour.
	PricePerHour float64
	// FetchGBPerSecond is the rate at which such a machine fetches images, in GB per second.
	// With 0, only jobs without an image can run there.
	FetchGBPerSecond float64
	// MaxCount is how many more such machines may be requested at once.
	MaxCount int
}

// Machine is a machine of the cluster, or one that was requested and has not started yet.
type Machine struct {
	ID   wire.MachineID
	Type wire.MachineType
	Zone wire.Zone
	Spot bool
	// Free is what no task uses. It equals Total while the machine boots.
	Free, Total placement.Resources
	Booting     bool
	// Idle means that the machine is up and has run nothing for IdleSeconds.
	Idle        bool
	IdleSeconds float64
	// KeepIdleSeconds is how long the machine is kept while it is idle.
	KeepIdleSeconds float64
	// PrepaidSeconds is how long the machine is still paid for even if it is returned now. It is
	// 0 or negative once that time is over.
	PrepaidSeconds float64
	// PricePerHour is the price per hour.
	PricePerHour float64
	// ServiceTasks is the number of service tasks on the machine.
	ServiceTasks int
	// ExpectedReleases are the resources that the array and gang tasks on the machine are expected
	// to release, the earliest first.
	ExpectedReleases []ExpectedRelease
	// LargestBatchTask are the resources of the array or gang task that uses the most CPUs on the
	// machine. It is zero if there is no such task.
	LargestBatchTask placement.Resources
}

// ExpectedRelease is an amount of resources that a task is expected to release in InSeconds.
type ExpectedRelease struct {
	InSeconds float64
	Resources placement.Resources
}

// Demand asks for a number of tasks of one job to run at the same time. Its units are these tasks,
// which all need the same resources.
type Demand struct {
	Spec  *wire.JobSpec
	Units int
	// Rank orders the demands: those of the highest rank are packed first.
	Rank float64
	// ZoneCapacityLeft is how many more units each zone may take; nil means any number.
	ZoneCapacityLeft map[wire.Zone]int
	// SlackSeconds is how long the units may wait for resources and still be in time.
	SlackSeconds float64
	// AllOrNothing requires resources for all units or for none, and in one zone if the job
	// requires that.
	AllOrNothing bool
	// PriceLimitFactor multiplies Snapshot.MaxPriceRatio for this demand. Values below 1, including
	// the zero value, leave the limit unchanged.
	PriceLimitFactor float64
	// AvoidMachines are the machines on which the job has failed. Their resources do not count.
	AvoidMachines map[wire.MachineID]bool
	// Reserve means that the resources are kept free for expected jobs like Spec's. A plan does
	// not report such a demand as unmet.
	Reserve bool
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Machines []Machine
	Offers   []Offer
	Demands  []Demand
	// MaxPriceRatio is the highest accepted price of a unit of an array or a gang, as a multiple of
	// LowestUnitPrice. Services have no price limit.
	MaxPriceRatio float64
	// LowestUnitPrice returns the lowest nominal price per hour of one unit of a job, which is the
	// unit's share of the price of a machine. It considers all machine types, and spot machines
	// only if the job allows them. If it is nil, prices are not limited.
	LowestUnitPrice func(*wire.JobSpec) float64
	// MaxMachinesAdded is the highest number of machines that one plan may add.
	MaxMachinesAdded int
}

// ScaleOut is a request for Count machines of one offer. ForJob is the job for which the first of
// them is added.
type ScaleOut struct {
	Type   wire.MachineType
	Zone   wire.Zone
	Spot   bool
	Count  int
	ForJob wire.JobID
}

// Plan lists the changes to the fleet.
type Plan struct {
	ScaleOuts []ScaleOut
	ScaleIns  []wire.MachineID
	// Cordons are machines that should take array and gang tasks only if no other machine can. Their
	// present load would fit on other machines, so that they become idle and can be returned.
	Cordons []wire.MachineID
	// Unmet are the demands with units for which there are no resources and no machines are added.
	Unmet []UnmetDemand
}

// UnmetDemand is a job for some or all of whose units a plan has neither resources nor machines
// to add.
type UnmetDemand struct {
	Job    wire.JobID
	Reason UnmetReason
}

// UnmetReason is why a plan leaves a demand unmet.
type UnmetReason int

// Reasons for which demands are unmet.
const (
	// UnmetByOffers means that no offer suits the job.
	UnmetByOffers UnmetReason = iota
	// UnmetByPrice means that the offers that suit the job exceed its price limit.
	UnmetByPrice
)
