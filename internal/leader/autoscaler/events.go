package autoscaler

import (
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// ScaleOutsRecorded is the outcome of recording scale-outs before they are sent.
type ScaleOutsRecorded struct {
	Fresh []*scaling.PendingScaleOut
	Err   error
}

// ScaleOutAnswered is the cloud's final answer to a scale-out.
type ScaleOutAnswered struct {
	Request  *scaling.PendingScaleOut
	Machines []wire.MachineID
	Err      error
}

// ScaledIn says that the cloud has confirmed that machines are gone.
type ScaledIn struct{ Machines []wire.MachineID }
