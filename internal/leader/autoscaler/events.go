package autoscaler

import (
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// ScaleOutsRecorded is the outcome of recording scale-out requests before they are sent.
type ScaleOutsRecorded struct {
	// Requests are the requests that the write was to record for the first time.
	Requests []*scaling.PendingScaleOut
	// Err is why the record could not be written; nil if it was.
	Err error
}

// ScaleOutAnswered is the cloud's final response to a scale-out request.
type ScaleOutAnswered struct {
	// Request is the request that was answered.
	Request *scaling.PendingScaleOut
	// Machines are the machines that the cloud has started.
	Machines []wire.MachineID
	// Err is why the request failed; nil if it did not.
	Err error
}

// ScaledIn is the cloud's confirmation that machines no longer exist.
type ScaledIn struct {
	// Machines are the machines that were returned; none if only the record of scale-ins
	// was cleared.
	Machines []wire.MachineID
}
