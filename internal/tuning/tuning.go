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
	PreferredFactor      float64 // factor on the utility of machines that hold the job's image
	FallbackFactor       float64 // factor on the utility of any other fitting machine
	WaitDoublingSeconds  float64 // seconds of waiting that double a job's utility
	CycleIntervalSeconds float64 // longest time, in seconds, between scheduling cycles while jobs wait
	SpareReplicas        float64 // resources kept free for the next replicas of services, in replicas
	SpareGangs           float64 // resources kept free for gangs, as a multiple of the largest gang of each class
	IdleBootTimes        float64 // how long an idle machine is kept, in boot times of its type
	LogLevel             string  // error, info or debug; empty: the level set by LOG_LEVEL
	PriceLimit           float64 // highest price for an array's task, as a multiple of the lowest price
	MaxVersion           float64 // highest version of the behaviour that may become active; 0: any
	StretchShare         float64 // share of its deadline's slack over which an array's work may be spread
}

// Default returns the default values. Those that are not listed here are 0 or empty.
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

// Override applies the given settings, which are keyed by name, to a copy of the base values
// and returns it.
//
// Strict mode is for a change by an operator: if any name is unknown or any value is not
// allowed, Override returns the base values unchanged. Without strict mode, for stored
// settings, it ignores unknown names, since a newer node may have stored them. A setting whose
// value is not allowed then keeps its base value, so that the other settings still apply.
//
// The error joins one wire.FieldError for each invalid setting, ordered by name.
func Override(base Values, settings map[string]any, strict bool) (Values, error) {
	applied := base
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		field, known := fieldNamed(name)
		switch {
		case known:
			if err := field.Set(&applied, settings[name]); err != nil {
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
