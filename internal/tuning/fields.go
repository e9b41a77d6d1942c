package tuning

import (
	"fmt"
	"slices"

	"lilaclead/internal/wire"
)

// Field describes one setting.
type Field struct {
	// Name is the name by which operators set the setting and under which it is stored.
	Name  string
	About string
	value fieldValue
}

// fieldValue reads, checks and writes the value of a field. There is one implementation for
// each type of value.
type fieldValue interface {
	// allowed describes the allowed values.
	allowed() string
	get(values *Values) any
	// set writes the value if it is allowed, and reports whether it is.
	set(values *Values, value any) bool
}

// Fields lists all settings, in the order in which operators see them.
var Fields = []Field{
	{"utility.preferred", "factor of the branch over machines that hold the image",
		number{0.01, 100, func(v *Values) *float64 { return &v.PreferredFactor }}},
	{"utility.fallback", "factor of the branch over any fitting machine",
		number{0.01, 100, func(v *Values) *float64 { return &v.FallbackFactor }}},
	{"utility.wait_raise_s", "waiting this many seconds doubles a job's utility",
		number{1, 86400, func(v *Values) *float64 { return &v.WaitDoublingSeconds }}},
	{"round.period_s", "longest time between rounds while jobs wait",
		number{0.2, 30, func(v *Values) *float64 { return &v.CycleIntervalSeconds }}},
	{"services.spare_units", "room kept free for the next replicas of services, in replicas",
		number{0, 1000, func(v *Values) *float64 { return &v.SpareReplicas }}},
	{"gangs.spare", "room kept free from arrays for the next gangs, in times the largest gang seen lately of each class",
		number{0, 100, func(v *Values) *float64 { return &v.SpareGangs }}},
	{"fleet.keep_boots", "how long a machine is kept with nothing to do, in boot times of its type",
		number{0, 100, func(v *Values) *float64 { return &v.IdleBootTimes }}},
	{"fleet.stretch_share", "share of a deadline's slack that an array's work may be stretched over",
		number{0.05, 1, func(v *Values) *float64 { return &v.StretchShare }}},
	{"fleet.dear_limit", "how many times the cheapest price the room for an array's task may cost",
		number{1, 1000, func(v *Values) *float64 { return &v.PriceLimit }}},
	{"upgrade.max_version", "highest version of the behaviour that is switched to; 0: any that every controller understands",
		number{0, 1e6, func(v *Values) *float64 { return &v.MaxVersion }}},
	{"log.level", "log level of all nodes; empty: as LOG_LEVEL says",
		choice{[]string{"", "error", "info", "debug"}, func(v *Values) *string { return &v.LogLevel }}},
}

func fieldNamed(name string) (field Field, known bool) {
	i := slices.IndexFunc(Fields, func(f Field) bool { return f.Name == name })
	if i < 0 {
		return Field{}, false
	}
	return Fields[i], true
}

// Range describes the allowed values.
func (f Field) Range() string { return f.value.allowed() }

// Get returns the field's value.
func (f Field) Get(values *Values) any { return f.value.get(values) }

// Set writes the field's value if it is allowed, and returns a wire.FieldError if it is not.
func (f Field) Set(values *Values, value any) error {
	if !f.value.set(values, value) {
		return wire.FieldError{Field: f.Name, Reason: "must be " + f.Range()}
	}
	return nil
}

// number is the value of a field that is a number from min to max.
type number struct {
	min, max float64
	pointer  func(*Values) *float64
}

func (n number) allowed() string { return fmt.Sprintf("%g to %g", n.min, n.max) }

func (n number) get(values *Values) any { return *n.pointer(values) }

func (n number) set(values *Values, value any) bool {
	decoded, ok := decodedNumber(value)
	inRange := decoded >= n.min && decoded <= n.max // false for NaN
	if !ok || !inRange {
		return false
	}
	*n.pointer(values) = decoded
	return true
}

// decodedNumber converts a number of any of the types to which CBOR numbers are decoded.
func decodedNumber(value any) (number float64, ok bool) {
	switch n := value.(type) {
	case float64:
		return n, true
	case uint64:
		return float64(n), true
	case int64:
		return float64(n), true
	default:
		return 0, false
	}
}

// choice is the value of a field that is one of several strings.
type choice struct {
	choices []string
	pointer func(*Values) *string
}

func (c choice) allowed() string { return fmt.Sprintf("one of %q", c.choices) }

func (c choice) get(values *Values) any { return *c.pointer(values) }

func (c choice) set(values *Values, value any) bool {
	text, ok := value.(string)
	if !ok || !slices.Contains(c.choices, text) {
		return false
	}
	*c.pointer(values) = text
	return true
}
