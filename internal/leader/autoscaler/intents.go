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

// clearIntentsAfter is the delay before a record whose requests are all answered is emptied.
// Emptying it costs a write, which is saved if the next intent replaces the record before that.
const clearIntentsAfter = 5 * time.Second

// ScaleOutIntent is the stored form of a scale-out request that may be on its way to the
// cloud.
type ScaleOutIntent struct {
	Request wire.ScaleOutRequest `cbor:"request"`
	Since   wire.Timestamp       `cbor:"since"`
}

// CloudIntents are the requests that the term is about to send to the cloud, recorded
// before they are sent (package duty). The cloud checks no fencing tokens: it executes a request of
// an earlier leader just like one of this term, however late it arrives.
type CloudIntents struct {
	loop      *core.Loop
	scaleOuts *duty.Intents[duty.ScaleOut, ScaleOutIntent]
	scaleIns  *duty.Intents[duty.ScaleIn, wire.MachineID]

	// The fields below are owned by the term's loop.

	// recordingScaleOuts means that a write of the scale-out record is in flight.
	recordingScaleOuts bool
	// unrecordedScaleOuts are the scale-out requests that are not yet recorded, and so not sent.
	unrecordedScaleOuts []*scaling.PendingScaleOut
	// scaleOutsRecordedAt is when the scale-out record was last written.
	scaleOutsRecordedAt time.Time
	// scaleInConfirmedAt is when the cloud last confirmed a scale-in.
	scaleInConfirmedAt time.Time
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

// EarlierIntents are the recorded requests of earlier leaders that may not be executed yet.
type EarlierIntents struct {
	scaleOuts []ScaleOutIntent
	// ScaleIns are the machines that were being returned.
	ScaleIns []wire.MachineID
}

// Load reads the intents of earlier leaders. A record that can't be decoded is left as it is. No
// request can then be recorded there for the whole term, and so none of its kind is sent.
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

// AdoptIntents repeats the requests of earlier leaders under the same names. This is safe: what the
// cloud has executed already is not executed again, and a late copy of the request changes nothing.
func (s *Scaler) AdoptIntents(earlier EarlierIntents) {
	for _, id := range earlier.ScaleIns {
		s.adoptScaleIn(id)
	}
	for _, intent := range earlier.scaleOuts {
		s.adoptScaleOut(intent)
	}
}

// adoptScaleIn repeats an earlier leader's scale-in of a machine, unless the machine is known to be
// removed.
func (s *Scaler) adoptScaleIn(id wire.MachineID) {
	if _, removed := s.state.RemovedMachines[id]; removed {
		return
	}
	machine := s.state.GetOrAddMachine(id)
	// The machine is given no tasks from now on, even if the lease is not held at the moment. ScaleIn
	// then does nothing, and a later check of the machine requests the scale-in.
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
