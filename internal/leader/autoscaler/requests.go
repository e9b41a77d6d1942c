package autoscaler

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/cloud"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/wire"
)

const (
	// A scale-out request without a final response is sent again after a pause that grows
	// from minScaleOutRetry to maxScaleOutRetry.
	minScaleOutRetry = 400 * time.Millisecond
	maxScaleOutRetry = 5 * time.Second
	// A scale-in request that is not confirmed is sent again after a pause that grows from
	// minScaleInRetry to maxScaleInRetry.
	minScaleInRetry = 500 * time.Millisecond
	maxScaleInRetry = 2 * time.Second
)

// cloudRequests sends requests to the cloud and retries them, only while the lease is held. Its
// methods are called by background goroutines.
type cloudRequests struct {
	loop *core.Loop
	// Cloud is the client of the cloud's API.
	Cloud *cloud.Client
}

// sendScaleOut retries a request under its name until the cloud has given a final response, and
// posts that to the loop.
func (r *cloudRequests) sendScaleOut(ctx context.Context, request *scaling.PendingScaleOut) {
	var retry scaling.RetryState
	wait := minScaleOutRetry
	for ctx.Err() == nil {
		machines, err := r.callScaleOut(ctx, request)
		if !errors.Is(err, duty.ErrNotHeld) && retry.IsFinal(err) {
			r.loop.Post(ScaleOutAnswered{request, machines, err})
			return
		}
		core.Pause(ctx, wait+rand.N(wait/2))
		wait = min(2*wait, maxScaleOutRetry)
	}
}

// callScaleOut sends a scale-out request once, if the lease is held.
func (r *cloudRequests) callScaleOut(ctx context.Context, request *scaling.PendingScaleOut) ([]wire.MachineID, error) {
	permit, err := duty.PermitFor[duty.ScaleOut](r.loop.Lease.Lease)
	if err != nil {
		return nil, err
	}
	return r.Cloud.ScaleOut(ctx, permit, request.ScaleOutRequest)
}

// sendScaleIn retries a scale-in request until the cloud has confirmed it. It returns false if the
// term ends before that.
func (r *cloudRequests) sendScaleIn(ctx context.Context, machines []wire.MachineID) bool {
	wait := minScaleInRetry
	for ctx.Err() == nil {
		err := r.callScaleIn(ctx, machines)
		if err == nil {
			return true
		}
		r.loop.Log.Debug("scale-in not confirmed", "machines", len(machines), "err", err)
		core.Pause(ctx, wait+rand.N(wait/2))
		// The pauses may stay short: only one request is in flight, however many machines are queued.
		wait = min(2*wait, maxScaleInRetry)
	}
	return false
}

// callScaleIn sends a scale-in request once, if the lease is held.
func (r *cloudRequests) callScaleIn(ctx context.Context, machines []wire.MachineID) error {
	permit, err := duty.PermitFor[duty.ScaleIn](r.loop.Lease.Lease)
	if err != nil {
		return err
	}
	return r.Cloud.ScaleIn(ctx, permit, machines)
}
