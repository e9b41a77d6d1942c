package scaling

import (
	"fmt"
	"time"

	"lilaclead/internal/fleet"
	"lilaclead/internal/wire"
)

const (
	// MaxScaleOut is the most machines that the cloud accepts in one scale-out request.
	MaxScaleOut = 50
	// MaxScaleIn is the most machines that the cloud accepts in one scale-in request.
	MaxScaleIn = 100
)

// Offer identifies machines that the cloud rents out: a machine type in a zone, on demand or
// spot.
type Offer struct {
	Type wire.MachineType
	Zone wire.Zone
	// Spot means that the machines are spot instances.
	Spot bool
}

// PendingScaleOut is a scale-out request that is not yet answered.
type PendingScaleOut struct {
	wire.ScaleOutRequest
	// RequestedAt is when a leader decided on the request.
	RequestedAt time.Time
	// Adopted means that an earlier leader decided on the request.
	Adopted bool
}

// Offer returns the offer that the request is for.
func (p *PendingScaleOut) Offer() Offer { return Offer{p.Type, p.Zone, p.Spot} }

// Tracker tracks one leader's requests to the cloud. It is not safe for concurrent use.
type Tracker struct {
	token    wire.FencingToken           // makes the requests' names unique among leaders
	sequence int                         // number of the last request
	pending  map[string]*PendingScaleOut // by name
	backoffs map[Offer]*offerBackoff
	pause    cloudPause
	scaleIns scaleInQueue
}

// NewTracker returns an empty tracker of the leader with the fencing token.
func NewTracker(token wire.FencingToken) *Tracker {
	return &Tracker{
		token:    token,
		pending:  map[string]*PendingScaleOut{},
		backoffs: map[Offer]*offerBackoff{},
	}
}

// StartScaleOut adds a pending request for up to MaxScaleOut machines, under a unique name,
// and returns it. The caller sends it until the cloud has given a final response.
func (t *Tracker) StartScaleOut(scaleOut fleet.ScaleOut, now time.Time) *PendingScaleOut {
	t.sequence++
	request := &PendingScaleOut{
		ScaleOutRequest: wire.ScaleOutRequest{
			Name:  fmt.Sprintf("b-%d-%d", t.token, t.sequence),
			Type:  scaleOut.Type,
			Zone:  scaleOut.Zone,
			Spot:  scaleOut.Spot,
			Count: scaleOut.Count,
		},
		RequestedAt: now,
	}
	t.pending[request.Name] = request
	return request
}

// Adopt adds a pending request of an earlier leader. The request keeps its name.
func (t *Tracker) Adopt(request wire.ScaleOutRequest, requestedAt time.Time) *PendingScaleOut {
	adopted := &PendingScaleOut{ScaleOutRequest: request, RequestedAt: requestedAt, Adopted: true}
	t.pending[request.Name] = adopted
	return adopted
}

// Withdraw removes a pending request that was never sent.
func (t *Tracker) Withdraw(request *PendingScaleOut) { delete(t.pending, request.Name) }

// PendingScaleOuts returns the requests that are not yet answered, in no particular order.
func (t *Tracker) PendingScaleOuts() []*PendingScaleOut {
	pending := make([]*PendingScaleOut, 0, len(t.pending))
	for _, request := range t.pending {
		pending = append(pending, request)
	}
	return pending
}

// Available reports whether an offer may be requested: it is not backed off from, and no
// request for it is pending.
func (t *Tracker) Available(offer Offer, now time.Time) bool {
	if backoff := t.backoffs[offer]; backoff != nil && now.Before(backoff.until) {
		return false
	}
	for _, request := range t.pending {
		if request.Offer() == offer {
			return false
		}
	}
	return true
}

// Paused reports whether scale-out requests are paused because the cloud was unavailable.
func (t *Tracker) Paused(now time.Time) bool { return t.pause.active(now) }
