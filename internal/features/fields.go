package features

import (
	"math"
	"slices"
	"strings"
)

// field is a field of the file.
type field struct {
	name string
	// requirement says what its value must be.
	requirement string
	// set writes the value, unless it is not allowed, and reports whether it did.
	set func(f *Features, value any) bool
	get func(f *Features) any
}

// fields lists the fields of the file.
var fields = []field{
	flagField("duties.record_intents", func(f *Features) *bool { return &f.RecordIntents }),
	flagField("upgrades.negotiate", func(f *Features) *bool { return &f.NegotiateVersions }),
	textField("history.dir", func(f *Features) *string { return &f.HistoryDir }),
	positiveField("history.limit_mb", func(f *Features) *float64 { return &f.HistoryLimitMB }),
}

// fieldNamed returns the field of that name, if there is one.
func fieldNamed(name string) (found field, known bool) {
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if i < 0 {
		return field{}, false
	}
	return fields[i], true
}

// isFieldTable reports whether any field is in the table of that name.
func isFieldTable(name string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return strings.HasPrefix(f.name, name+".") })
}

// flagField returns a field that is true or false.
func flagField(name string, at func(*Features) *bool) field {
	return newField(name, "must be true or false", at, asType[bool])
}

// textField returns a field that is a text.
func textField(name string, at func(*Features) *string) field {
	return newField(name, "must be a text", at, asType[string])
}

// positiveField returns a field that is a number above 0.
func positiveField(name string, at func(*Features) *float64) field {
	return newField(name, "must be a number above 0", at, asPositive)
}

// newField returns a field whose value lies where at says; convert converts and checks
// a decoded value.
func newField[T any](name, requirement string, at func(*Features) *T, convert func(any) (T, bool)) field {
	return field{
		name:        name,
		requirement: requirement,
		set: func(f *Features, value any) bool {
			converted, ok := convert(value)
			if ok {
				*at(f) = converted
			}
			return ok
		},
		get: func(f *Features) any { return *at(f) },
	}
}

// asType returns a value of type T, if it is one.
func asType[T any](value any) (T, bool) {
	typed, ok := value.(T)
	return typed, ok
}

// asPositive returns an integer or a fraction as a number, if it is above 0 and finite.
func asPositive(value any) (float64, bool) {
	number, ok := value.(float64)
	if integer, isInteger := value.(int64); isInteger {
		number, ok = float64(integer), true
	}
	positive := number > 0 // false for NaN
	return number, ok && positive && !math.IsInf(number, 1)
}
