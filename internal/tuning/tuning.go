// Package tuning holds the operators' settings: a small, documented and validated set
// that is kept in the key-value store and applied by every node without a restart.
package tuning

import (
	"errors"
	"maps"
	"slices"
	"sync/atomic"

	"lilaclead/internal/wire"
)

// Values are the values of all settings.
type Values struct {
	PreferredFactor      float64 // utility factor of machines that hold the image
	FallbackFactor       float64 // utility factor of any other fitting machine
	WaitDoublingSeconds  float64 // seconds of waiting that double a job's utility
	CycleIntervalSeconds float64 // longest time, in seconds, between scheduling cycles while jobs wait
	SpareReplicas        float64 // room that is kept free for the next replicas of services, in replicas
	SpareGangs           float64 // room that is kept free for gangs, in times the largest gang of each class
	IdleBootTimes        float64 // how long an idle machine is kept, in boot times of its type
	LogLevel             string  // error, info or debug; empty: as LOG_LEVEL says
	PriceLimit           float64 // how many times the cheapest price the room for an array's task may cost
	MaxVersion           float64 // highest version of the behaviour that may become active; 0: any
	StretchShare         float64 // share of a deadline's slack over which an array's work may be stretched
}

// Default returns the default values; docs/design.md says how they were found.
func Default() Values {
	return Values{
		PreferredFactor:      1,
		FallbackFactor:       0.5,
		WaitDoublingSeconds:  60,
		CycleIntervalSeconds: 1,
		SpareReplicas:        2,
		SpareGangs:           1,
		IdleBootTimes:        0.6,
		PriceLimit:           2.3,
		StretchShare:         0.6,
	}
}

// Override returns the base values with the settings in the map replaced.
//
// Strict is for a change that an operator makes: if any name is unknown or any value
// is not allowed, the base values are returned unchanged. Otherwise unknown names are
// ignored, since a newer node may have stored them, and a setting whose value is not
// allowed keeps its base value, so that it does not keep the others from being applied.
//
// The error joins one wire.FieldError for each invalid setting, in the order of names.
func Override(base Values, set map[string]any, strict bool) (Values, error) {
	applied := base
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(set)) {
		field, known := fieldNamed(name)
		switch {
		case known:
			if err := field.Set(&applied, set[name]); err != nil {
				errs = append(errs, err)
			}
		case strict:
			errs = append(errs, wire.FieldError{Field: name, Reason: "unknown setting"})
		}
	}
	if strict && len(errs) > 0 {
		return base, errors.Join(errs...)
	}
	return applied, errors.Join(errs...)
}

// Current holds the values that apply on a node. It is safe for concurrent use.
type Current struct{ values atomic.Pointer[Values] }

// NewCurrent returns a Current that holds the default values.
func NewCurrent() *Current {
	c := &Current{}
	c.Set(Default())
	return c
}

// Get returns the values that apply now.
func (c *Current) Get() Values { return *c.values.Load() }

// Set replaces the values.
func (c *Current) Set(values Values) { c.values.Store(&values) }
