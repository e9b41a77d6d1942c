// Package features reads the file that turns optional parts on. A missing file means
// that all are off; an unknown name or a wrong type is an error that names the field.
package features

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/wire"
)

// Features says which parts are on. The zero value has all of them off.
type Features struct {
	// RecordIntents has rentals and returns recorded before they are sent.
	RecordIntents bool
	// NegotiateVersions has new behaviour begin only once every controller understands it.
	NegotiateVersions bool
	// HistoryDir is the folder in which what is decided is recorded; empty: none is.
	HistoryDir string
	// HistoryLimitMB is how much a controller's files there may take; 0: the default.
	HistoryLimitMB float64
}

// field of the file.
type field struct {
	name string
	// set takes the value, or says what it must be.
	set func(f *Features, value any) error
	get func(f *Features) any
}

// What a value must be.
const (
	mustBeBool     = "must be true or false"
	mustBeText     = "must be a text"
	mustBePositive = "must be a number above 0"
)

// typed is a field that takes values of one type.
func typed[T bool | string](name, must string, at func(*Features) *T) field {
	return field{name, func(f *Features, value any) error {
		v, ok := value.(T)
		if !ok {
			return errors.New(must)
		}
		*at(f) = v
		return nil
	}, func(f *Features) any { return *at(f) }}
}

// flag is a field that turns a part on.
func flag(name string, at func(*Features) *bool) field { return typed(name, mustBeBool, at) }

// text is a field that is a text.
func text(name string, at func(*Features) *string) field { return typed(name, mustBeText, at) }

// positive is a field that is a number above 0.
func positive(name string, at func(*Features) *float64) field {
	return field{name, func(f *Features, value any) error {
		if whole, ok := value.(int64); ok {
			value = float64(whole)
		}
		n, ok := value.(float64)
		if !ok || !(n > 0) || math.IsInf(n, 0) {
			return errors.New(mustBePositive)
		}
		*at(f) = n
		return nil
	}, func(f *Features) any { return *at(f) }}
}

// fields are all that a file may name.
var fields = []field{
	flag("duties.record_intents", func(f *Features) *bool { return &f.RecordIntents }),
	flag("upgrades.negotiate", func(f *Features) *bool { return &f.NegotiateVersions }),
	text("history.dir", func(f *Features) *string { return &f.HistoryDir }),
	positive("history.limit_mb", func(f *Features) *float64 { return &f.HistoryLimitMB }),
}

// PathBeside is where the file lies for a program that was built as the deploy file
// says: in deploy/, beside the folder of the program.
func PathBeside(program string) string {
	return filepath.Join(filepath.Dir(program), "..", "deploy", "features.toml")
}

// Load reads a file. Missing, all is off.
func Load(path string) (Features, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Features{}, nil
	}
	if err != nil {
		return Features{}, fmt.Errorf("features file: %w", err)
	}
	return Parse(b)
}

// Parse reads the text of a file and reports everything that is wrong.
func Parse(b []byte) (Features, error) {
	var tables map[string]any
	if err := toml.Unmarshal(b, &tables); err != nil {
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			row, column := syntax.Position()
			return Features{}, fmt.Errorf("features file, line %d, column %d: %w", row, column, err)
		}
		return Features{}, fmt.Errorf("features file: %w", err)
	}
	var f Features
	var errs []error
	values := flatten("", tables)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if err := f.set(name, values[name]); err != nil {
			errs = append(errs, wire.FieldError{Field: name, Reason: err.Error()})
		}
	}
	if len(errs) > 0 {
		return Features{}, fmt.Errorf("features file: %w", errors.Join(errs...))
	}
	return f, nil
}

// set takes one field's value.
func (f *Features) set(name string, value any) error {
	for _, known := range fields {
		if known.name == name {
			return known.set(f, value)
		}
	}
	return errors.New("unknown name")
}

// flatten names each value by its tables.
func flatten(prefix string, table map[string]any) map[string]any {
	out := map[string]any{}
	for name, value := range table {
		name = prefix + name
		inner, isTable := value.(map[string]any)
		if !isTable {
			out[name] = value
			continue
		}
		if len(inner) == 0 && !knownTable(name) {
			out[name] = value // so that it is reported
		}
		maps.Copy(out, flatten(name+".", inner))
	}
	return out
}

// knownTable tells whether some field lies in the table.
func knownTable(name string) bool {
	return slices.ContainsFunc(fields, func(f field) bool { return strings.HasPrefix(f.name, name+".") })
}

// String lists every part with its value.
func (f Features) String() string {
	var out []string
	for _, known := range fields {
		out = append(out, fmt.Sprintf("%s=%v", known.name, known.get(&f)))
	}
	return strings.Join(out, " ")
}
