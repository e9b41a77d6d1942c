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
	// LaunchesWait means that launches may be sent only under a higher token, or that a machine
	// takes none because it lists too many exits that wait for one.
	LaunchesWait bool
	// Surpassed means that an agent has shown a higher token, and drops the term's commands until
	// the term has at least that token.
	Surpassed bool
	// RaiseBy is when a higher token is to be acquired at the latest; zero: at no time.
	RaiseBy time.Time
	// raisedAt is when the last raise began.
	raisedAt time.Time
}

const (
	// minRaiseInterval is the least time between two raises that launches wait for.
	minRaiseInterval = 5 * time.Second
	// minSurpassedInterval is the least time between two raises because of agents that have shown a
	// higher token.
	minSurpassedInterval = time.Second
)

// RequestRaiseBy requests that a higher token is acquired at a time or earlier.
func (f *Fencing) RequestRaiseBy(at time.Time) {
	if f.RaiseBy.IsZero() || at.Before(f.RaiseBy) {
		f.RaiseBy = at
	}
}

// RaiseDue reports whether a requested raise is to begin now.
func (f *Fencing) RaiseDue(now time.Time) bool {
	sinceRaise := now.Sub(f.raisedAt)
	if f.LaunchesWait && sinceRaise >= minRaiseInterval || f.Surpassed && sinceRaise >= minSurpassedInterval {
		return true
	}
	requested := f.RaiseRequested || !f.RaiseBy.IsZero() && !now.Before(f.RaiseBy)
	return requested && now.After(f.RaiseNotBefore)
}

// BeginRaise records that a raise begins, which serves all requests. Later requests wait for the
// given time.
func (f *Fencing) BeginRaise(now time.Time, pause time.Duration) {
	f.Raising, f.RaiseRequested, f.RaiseBy = true, false, time.Time{}
	f.LaunchesWait, f.Surpassed = false, false
	f.raisedAt, f.RaiseNotBefore = now, now.Add(pause)
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
