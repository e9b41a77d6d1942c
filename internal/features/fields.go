package features

import (
	"math"
	"slices"
	"strings"
)

// field describes a field of the features file.
type field struct {
	name string
	// requirement says what the value must be. It is the reason reported for a wrong value.
	requirement string
	// set writes the value if it is allowed, and reports whether it is.
	set func(f *Features, value any) bool
	get func(f *Features) any
}

// fields lists the fields of the features file, in the order of Features.String.
var fields = []field{
	flagField("duties.record_intents", func(f *Features) *bool { return &f.RecordIntents }),
	flagField("upgrades.negotiate", func(f *Features) *bool { return &f.NegotiateVersions }),
	textField("history.dir", func(f *Features) *string { return &f.HistoryDir }),
	positiveField("history.limit_mb", func(f *Features) *float64 { return &f.HistoryLimitMB }),
}

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

func flagField(name string, pointer func(*Features) *bool) field {
	return newField(name, "must be true or false", pointer, asType[bool])
}

func textField(name string, pointer func(*Features) *string) field {
	return newField(name, "must be a text", pointer, asType[string])
}

// positiveField returns a field that is a finite number above 0.
func positiveField(name string, pointer func(*Features) *float64) field {
	return newField(name, "must be a number above 0", pointer, asPositive)
}

// newField returns a field whose value is stored at the address that pointer returns. The
// function convert converts a decoded value, and reports whether it is allowed.
func newField[T any](name, requirement string, pointer func(*Features) *T, convert func(any) (T, bool)) field {
	return field{
		name:        name,
		requirement: requirement,
		set: func(f *Features, value any) bool {
			converted, ok := convert(value)
			if ok {
				*pointer(f) = converted
			}
			return ok
		},
		get: func(f *Features) any { return *pointer(f) },
	}
}

// asType returns the value as a T, and whether it is of that type.
func asType[T any](value any) (T, bool) {
	typed, ok := value.(T)
	return typed, ok
}

// asPositive returns an integer or a fraction as a float64, and whether it is a finite number
// above 0.
func asPositive(value any) (float64, bool) {
	number, ok := value.(float64)
	if integer, isInteger := value.(int64); isInteger {
		number, ok = float64(integer), true
	}
	positive := number > 0 // false for NaN
	return number, ok && positive && !math.IsInf(number, 1)
}
