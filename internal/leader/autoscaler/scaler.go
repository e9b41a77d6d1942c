package autoscaler

import (
	"lilaclead/internal/cloud"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling"
	"lilaclead/upgrade"
)

// VersionIntents is the first version that records intents.
const VersionIntents upgrade.Version = 2

// Scaler scales the cluster out and in: it requests machines from the cloud, and returns
// those that are not needed or not trusted.
type Scaler struct {
	*core.Loop
	*cloudRequests
	state     *cluster.State
	scheduler *scheduling.Scheduler
	inventory inventory

	// Tracker tracks the pending requests to the cloud, and the backoffs after refused ones.
	Tracker *scaling.Tracker
	// Intents are the recorded intents; nil if none are recorded.
	Intents *CloudIntents
	// versioned means that intents are recorded only while VersionIntents or a later version is
	// active.
	versioned bool
}

// Options configure a Scaler.
type Options struct {
	// Cloud is the client of the cloud's API.
	Cloud *cloud.Client
	// RecordIntents makes the scaler record requests before it sends them.
	RecordIntents bool
	// Versioned restricts RecordIntents to times at which VersionIntents or a later version is
	// active.
	Versioned bool
}

// NewScaler returns the scaler of a term.
func NewScaler(loop *core.Loop, state *cluster.State, scheduler *scheduling.Scheduler, tracker *scaling.Tracker, options Options) *Scaler {
	scaler := &Scaler{
		Loop:          loop,
		cloudRequests: &cloudRequests{loop: loop, Cloud: options.Cloud},
		state:         state,
		scheduler:     scheduler,
		inventory:     inventory{state: state, metrics: loop.Metrics},
		Tracker:       tracker,
		versioned:     options.Versioned,
	}
	if options.RecordIntents {
		scaler.Intents = newCloudIntents(loop, state.Settings)
	}
	return scaler
}

// recordsIntents reports whether intents are recorded now: recording is enabled and, where
// versions are negotiated, VersionIntents or a later version is active.
func (s *Scaler) recordsIntents() bool {
	return s.Intents != nil && (!s.versioned || s.state.ActiveVersion >= VersionIntents)
}
