package core

import (
	"sync/atomic"
	"time"

	"lilaclead/internal/wire"
)

// Fencing is the fencing token of a term and the state of its replacement by a higher one.
type Fencing struct {
	// Token is the token under which the term acts. It is also the revision of the
	// leader's key.
	Token wire.FencingToken
	// Raising means that the request for a higher token has not been answered.
	Raising bool
	// RaiseRequested means that a higher token is to be acquired, not before RaiseNotBefore.
	RaiseRequested bool
	// RaiseNotBefore is the time before which no requested raise begins.
	RaiseNotBefore time.Time
}

// Published is the part of a term that other goroutines read.
type Published struct {
	// DelegationToken is the token under which other controllers may renew leases as
	// delegates of this leader, 0 if there is none yet.
	DelegationToken atomic.Uint64
	// InFlightLaunchCancelSince is the time of the oldest cancellation of a job of which a
	// launch may still be in flight. Nil or the zero time means that there is none.
	InFlightLaunchCancelSince atomic.Pointer[time.Time]
}

// OldestInFlightLaunchCancel returns what InFlightLaunchCancelSince holds, the zero time if
// there is no such cancellation.
func (p *Published) OldestInFlightLaunchCancel() time.Time {
	if at := p.InFlightLaunchCancelSince.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
