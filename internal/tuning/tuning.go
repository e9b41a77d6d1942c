// Package tuning holds the operators' own settings: a small, documented and
// validated set, kept in the state service and applied by every node without
// a restart.
package tuning

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync/atomic"

	"lilaclead/internal/wire"
)

// Values are the settings.
type Values struct {
	Preferred    float64 // utility factor of machines with the image
	Fallback     float64 // utility factor of any other fitting machine
	WaitRaiseS   float64 // waiting this long doubles a job's utility
	RoundS       float64 // the longest time between rounds with waiting jobs
	SpareUnits   float64 // room kept for the next replicas of services
	SpareGangs   float64 // room kept for the largest gang of each class, so many times
	IdleBoots    float64 // how long a machine is kept with nothing to do, in boot times of its type
	LogLevel     string  // error, info, debug; empty: as LOG_LEVEL says
	PriceLimit   float64 // how many times the cheapest price an array's room may cost
	MaxVersion   float64 // the highest version of the behaviour that is switched to; 0: any
	StretchShare float64 // share of a deadline's slack that work may be stretched over
}

// Default values; docs/design.md says how they were found.
func Default() Values {
	return Values{Preferred: 1, Fallback: 0.5, WaitRaiseS: 60, RoundS: 1, SpareUnits: 2, SpareGangs: 1, IdleBoots: 0.6, StretchShare: 0.6, PriceLimit: 2.3}
}

// Field describes one setting.
type Field struct {
	Name     string
	About    string
	Min, Max float64
	Choices  []string // the allowed values of a setting that is no number
	number   func(*Values) *float64
	text     func(*Values) *string
}

// Fields lists the settings.
var Fields = []Field{
	{Name: "utility.preferred", About: "factor of the branch over machines that hold the image", Min: 0.01, Max: 100, number: func(v *Values) *float64 { return &v.Preferred }},
	{Name: "utility.fallback", About: "factor of the branch over any fitting machine", Min: 0.01, Max: 100, number: func(v *Values) *float64 { return &v.Fallback }},
	{Name: "utility.wait_raise_s", About: "waiting this many seconds doubles a job's utility", Min: 1, Max: 86400, number: func(v *Values) *float64 { return &v.WaitRaiseS }},
	{Name: "round.period_s", About: "longest time between rounds while jobs wait", Min: 0.2, Max: 30, number: func(v *Values) *float64 { return &v.RoundS }},
	{Name: "services.spare_units", About: "room kept free for the next replicas of services, in replicas", Min: 0, Max: 1000, number: func(v *Values) *float64 { return &v.SpareUnits }},
	{Name: "gangs.spare", About: "room kept free from arrays for the next gangs, in times the largest gang seen lately of each class", Min: 0, Max: 100, number: func(v *Values) *float64 { return &v.SpareGangs }},
	{Name: "fleet.keep_boots", About: "how long a machine is kept with nothing to do, in boot times of its type", Min: 0, Max: 100, number: func(v *Values) *float64 { return &v.IdleBoots }},
	{Name: "fleet.stretch_share", About: "share of a deadline's slack that an array's work may be stretched over", Min: 0.05, Max: 1, number: func(v *Values) *float64 { return &v.StretchShare }},
	{Name: "fleet.dear_limit", About: "how many times the cheapest price the room for an array's task may cost", Min: 1, Max: 1000, number: func(v *Values) *float64 { return &v.PriceLimit }},
	{Name: "upgrade.max_version", About: "highest version of the behaviour that is switched to; 0: any that every controller understands", Min: 0, Max: 1e6, number: func(v *Values) *float64 { return &v.MaxVersion }},
	{Name: "log.level", About: "log level of all nodes; empty: as LOG_LEVEL says", Choices: []string{"", "error", "info", "debug"}, text: func(v *Values) *string { return &v.LogLevel }},
}

// Range describes what is allowed.
func (f Field) Range() string {
	if f.text != nil {
		return fmt.Sprintf("one of %q", f.Choices)
	}
	return fmt.Sprintf("%g to %g", f.Min, f.Max)
}

// Get reads the field from values.
func (f Field) Get(v *Values) any {
	if f.text != nil {
		return *f.text(v)
	}
	return *f.number(v)
}

// Set checks and writes the field.
func (f Field) Set(v *Values, to any) error {
	bad := wire.FieldError{Field: f.Name, Reason: "must be " + f.Range()}
	if f.text != nil {
		s, ok := to.(string)
		for _, choice := range f.Choices {
			if ok && s == choice {
				*f.text(v) = s
				return nil
			}
		}
		return bad
	}
	var n float64
	switch x := to.(type) {
	case float64:
		n = x
	case uint64:
		n = float64(x)
	case int64:
		n = float64(x)
	default:
		return bad
	}
	if math.IsNaN(n) || n < f.Min || n > f.Max {
		return bad
	}
	*f.number(v) = n
	return nil
}

// Apply sets what the map names. Strict, it is all or nothing, and unknown names are
// errors. Otherwise these are ignored, as a newer node may have stored them, and what
// is out of range is left as it was: one such setting once kept all others from being
// applied. Every error is returned.
func Apply(base Values, set map[string]any, strict bool) (Values, error) {
	applied := base
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(set)) {
		i := slices.IndexFunc(Fields, func(f Field) bool { return f.Name == name })
		switch {
		case i >= 0:
			if err := Fields[i].Set(&applied, set[name]); err != nil {
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

// Current shares the current values between the actors of a node.
type Current struct{ current atomic.Pointer[Values] }

// NewCurrent holds the default values.
func NewCurrent() *Current {
	b := &Current{}
	v := Default()
	b.current.Store(&v)
	return b
}

// Get is the current values.
func (b *Current) Get() Values { return *b.current.Load() }

// Set replaces them.
func (b *Current) Set(v Values) { b.current.Store(&v) }
