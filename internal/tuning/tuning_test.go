package tuning

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"lilaclead/internal/wire"
)

// partlyInvalidSettings holds settings with allowed values, settings with values that are not
// allowed, and one setting that only a newer node knows.
var partlyInvalidSettings = map[string]any{"fleet.keep_boots": 2.0, "fleet.dear_limit": -1.0, "gangs.of_tomorrow": "yes", "log.level": "loud", "round.period_s": 2.0}

func TestInvalidStoredSettingsKeepTheirBaseValues(t *testing.T) {
	got, err := Override(Default(), partlyInvalidSettings, false)
	want := Default()
	want.IdleBootTimes, want.CycleIntervalSeconds = 2, 2
	if got != want {
		t.Errorf("%v: got %+v, want %+v", partlyInvalidSettings, got, want)
	}
	for _, field := range []string{"fleet.dear_limit", "log.level"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v: got error %v, want one that names %s", partlyInvalidSettings, err, field)
		}
	}
	if err != nil && strings.Contains(err.Error(), "gangs.of_tomorrow") {
		t.Errorf("%v: got error %v, want none for an unknown setting", partlyInvalidSettings, err)
	}
}

func TestStrictChangeIsAllOrNothing(t *testing.T) {
	got, err := Override(Default(), partlyInvalidSettings, true)
	if got != Default() {
		t.Errorf("%v: got %+v, want the base values", partlyInvalidSettings, got)
	}
	for _, field := range []string{"fleet.dear_limit", "gangs.of_tomorrow", "log.level"} {
		if err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%v: got error %v, want one that names %s", partlyInvalidSettings, err, field)
		}
	}
	var first wire.FieldError
	if !errors.As(err, &first) || first.Field != "fleet.dear_limit" {
		t.Errorf("%v: got first error %v, want that of fleet.dear_limit, the first by name", partlyInvalidSettings, first)
	}
}

func TestOverrideWithoutSettingsReturnsBaseValues(t *testing.T) {
	for _, strict := range []bool{false, true} {
		if got, err := Override(Default(), nil, strict); got != Default() || err != nil {
			t.Errorf("no settings, strict %t: got %+v, %v, want the base values", strict, got, err)
		}
	}
}

func TestFieldSetAcceptsOnlyAllowedValues(t *testing.T) {
	for _, tt := range []struct {
		name  string
		field string
		value any
		want  any // nil: not allowed
	}{
		{"fraction", "round.period_s", 2.5, 2.5},
		{"unsigned integer", "round.period_s", uint64(2), 2.0},
		{"signed integer", "round.period_s", int64(2), 2.0},
		{"lower bound", "round.period_s", 0.2, 0.2},
		{"upper bound", "round.period_s", 30.0, 30.0},
		{"below the range", "round.period_s", 0.1, nil},
		{"above the range", "round.period_s", 30.1, nil},
		{"negative integer", "services.spare_units", int64(-1), nil},
		{"not a number", "round.period_s", math.NaN(), nil},
		{"infinity", "round.period_s", math.Inf(1), nil},
		{"text for a number", "round.period_s", "2", nil},
		{"null for a number", "round.period_s", nil, nil},
		{"choice", "log.level", "debug", "debug"},
		{"empty choice", "log.level", "", ""},
		{"text that is not among the choices", "log.level", "loud", nil},
		{"number for a text", "log.level", 1.0, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			field, known := fieldNamed(tt.field)
			if !known {
				t.Fatalf("%s is not a setting", tt.field)
			}
			values := Default()
			err := field.Set(&values, tt.value)
			if tt.want == nil {
				want := wire.FieldError{Field: tt.field, Reason: "must be " + field.Range()}
				if err != error(want) || values != Default() {
					t.Errorf("Set(%v): got %v, %+v, want %v and no change", tt.value, err, values, want)
				}
				return
			}
			if got := field.Get(&values); err != nil || got != tt.want {
				t.Errorf("Set(%v): got %v, %v, want %v", tt.value, got, err, tt.want)
			}
		})
	}
}

func TestRangeDescribesAllowedValues(t *testing.T) {
	for name, want := range map[string]string{
		"round.period_s": "0.2 to 30",
		"log.level":      `one of ["" "error" "info" "debug"]`,
	} {
		field, known := fieldNamed(name)
		if !known {
			t.Errorf("%s is not a setting", name)
		} else if got := field.Range(); got != want {
			t.Errorf("range of %s: got %q, want %q", name, got, want)
		}
	}
}

func TestEveryFieldHasItsOwnValueAndAllowedDefault(t *testing.T) {
	if got, want := len(Fields), reflect.TypeFor[Values]().NumField(); got != want {
		t.Errorf("Fields: got %d, want %d, one for each field of Values", got, want)
	}
	names, addresses := map[string]bool{}, map[any]bool{}
	var values Values
	for _, field := range Fields {
		if names[field.Name] {
			t.Errorf("%s is listed twice", field.Name)
		}
		names[field.Name] = true
		var address any
		switch value := field.value.(type) {
		case number:
			address = value.pointer(&values)
		case choice:
			address = value.pointer(&values)
		}
		if addresses[address] {
			t.Errorf("%s shares its value with another field", field.Name)
		}
		addresses[address] = true
		defaults := Default()
		if err := field.Set(&values, field.Get(&defaults)); err != nil {
			t.Errorf("default of %s: %v", field.Name, err)
		}
	}
	if values != Default() {
		t.Errorf("all fields set to their defaults: got %+v, want %+v", values, Default())
	}
}

func TestCurrentHoldsDefaultsUntilSet(t *testing.T) {
	current := NewCurrent()
	if got := current.Get(); got != Default() {
		t.Errorf("before Set: got %+v, want the defaults", got)
	}
	want := Default()
	want.LogLevel = "debug"
	current.Set(want)
	if got := current.Get(); got != want {
		t.Errorf("after Set: got %+v, want %+v", got, want)
	}
}
