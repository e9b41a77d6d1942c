package autoscaler

import (
	"context"
	"errors"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

// clearIntentsAfter is how long nothing must have been recorded before a record whose
// requests are all answered is emptied: that is a write of its own, which the next intent
// would save.
const clearIntentsAfter = 5 * time.Second

// ScaleOutIntent is the stored form of a scale-out request that may be on its way to the
// cloud.
type ScaleOutIntent struct {
	Request wire.ScaleOutRequest `cbor:"request"`
	Since   wire.Timestamp       `cbor:"since"`
}

// CloudIntents are the requests that the term is about to send to the cloud, recorded
// before they are sent (package duty). The cloud knows no fencing tokens: it executes a
// request of an earlier leader as well as one of this term, however late.
type CloudIntents struct {
	loop      *core.Loop
	scaleOuts *duty.Intents[duty.ScaleOut, ScaleOutIntent]
	scaleIns  *duty.Intents[duty.ScaleIn, wire.MachineID]

	// The fields below are owned by the term's loop.

	// recording means that a write of the scale-out record is in flight.
	recording bool
	// unrecorded are the scale-out requests that are not yet recorded, and so not sent.
	unrecorded []*scaling.PendingScaleOut
	// recordedAt is when the scale-out record was last written.
	recordedAt time.Time
	// scaledInAt is when the cloud last confirmed a scale-in.
	scaledInAt time.Time
}

// newCloudIntents returns the intents of a term that holds its lease.
func newCloudIntents(loop *core.Loop, settings *config.Settings) *CloudIntents {
	lease := loop.Lease.Lease
	maxRecordBytes := int(settings.State.Strictest().ValueKB * 1024)
	return &CloudIntents{
		loop:      loop,
		scaleOuts: duty.NewIntents[duty.ScaleOut, ScaleOutIntent](lease, maxRecordBytes),
		scaleIns:  duty.NewIntents[duty.ScaleIn, wire.MachineID](lease, maxRecordBytes),
	}
}

// EarlierIntents are the intents that an earlier leader left unfinished.
type EarlierIntents struct {
	scaleOuts []ScaleOutIntent
	// ScaleIns are the machines that it was returning.
	ScaleIns []wire.MachineID
}

// Load reads the intents that an earlier leader left unfinished. A record that can't be
// decoded is left as it is, and the requests that would have to be recorded there are
// refused for the whole term.
func (c *CloudIntents) Load(ctx context.Context) (EarlierIntents, error) {
	scaleOuts, err := c.scaleOuts.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return EarlierIntents{}, err
	}
	scaleIns, err := c.scaleIns.Load(ctx)
	if err != nil && !errors.Is(err, duty.ErrUndecodable) {
		return EarlierIntents{}, err
	}
	return EarlierIntents{scaleOuts.Open, scaleIns.Open}, nil
}

// AdoptIntents continues the requests of an earlier leader under the same names: what the
// cloud has executed already is found done, and a late copy of the request changes nothing.
func (s *Scaler) AdoptIntents(earlier EarlierIntents) {
	for _, id := range earlier.ScaleIns {
		s.adoptScaleIn(id)
	}
	for _, intent := range earlier.scaleOuts {
		s.adoptScaleOut(intent)
	}
}

// adoptScaleIn returns a machine that an earlier leader was returning.
func (s *Scaler) adoptScaleIn(id wire.MachineID) {
	if _, removed := s.state.RemovedMachines[id]; removed {
		return
	}
	machine := s.state.GetOrAddMachine(id)
	// The machine accepts no tasks from now on, also if the lease is not held for the
	// moment and the scale-in is requested by a later check of the machine.
	machine.DrainReason = cluster.DrainAdoptedScaleIn
	s.ScaleIn(machine, cluster.DrainAdoptedScaleIn)
}

// adoptScaleOut repeats a scale-out request of an earlier leader.
func (s *Scaler) adoptScaleOut(intent ScaleOutIntent) {
	request := s.Tracker.Adopt(intent.Request, intent.Since.Time())
	s.Log.Info("scale-out adopted", "request", request.Name, "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"count", request.Count, "age", time.Since(request.RequestedAt))
	s.Spawn(func(ctx context.Context) { s.sendScaleOut(ctx, request) })
}
