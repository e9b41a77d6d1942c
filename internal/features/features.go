// Package features reads the file that turns optional parts on. Without a file, all of
// them are off. An unknown name or a value of a wrong type is an error that names the
// field, so that a misspelt name does not leave a part off unnoticed.
package features

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"lilaclead/internal/wire"
)

// Features says which optional parts are on. The zero value has all of them off.
type Features struct {
	// RecordIntents has requests to scale out and in recorded before they are sent.
	RecordIntents bool
	// NegotiateVersions has new behaviour begin only once every controller understands it.
	NegotiateVersions bool
	// HistoryDir is the directory in which decisions are recorded; empty: they are not.
	HistoryDir string
	// HistoryLimitMB limits the size of a controller's files in it; 0: the default.
	HistoryLimitMB float64
}

// String returns every field with its value, as in "upgrades.negotiate=true".
func (f Features) String() string {
	var settings []string
	for _, known := range fields {
		settings = append(settings, fmt.Sprintf("%s=%v", known.name, known.get(&f)))
	}
	return strings.Join(settings, " ")
}

// PathBeside returns the path of the file for a program that was built as the deploy
// file says: in deploy/, beside the directory of the program.
func PathBeside(program string) string {
	return filepath.Join(filepath.Dir(program), "..", "deploy", "features.toml")
}

// Load reads a file. If there is none, all parts are off.
func Load(path string) (Features, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return Features{}, nil
	}
	if err != nil {
		return Features{}, fmt.Errorf("features file: %w", err)
	}
	return Parse(content)
}

// Parse reads the content of a file. The error joins one wire.FieldError for each
// field that is wrong, in the order of names.
func Parse(content []byte) (Features, error) {
	tables, err := decodeTOML(content)
	if err != nil {
		return Features{}, err
	}
	var parsed Features
	var errs []error
	values := flatten("", tables)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if err := parsed.set(name, values[name]); err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		return Features{}, fmt.Errorf("features file: %w", errors.Join(errs...))
	}
	return parsed, nil
}

// decodeTOML decodes the content of a file. The error names the position of a syntax
// error.
func decodeTOML(content []byte) (map[string]any, error) {
	var tables map[string]any
	err := toml.Unmarshal(content, &tables)
	var syntax *toml.DecodeError
	switch {
	case err == nil:
		return tables, nil
	case errors.As(err, &syntax):
		line, column := syntax.Position()
		return nil, fmt.Errorf("features file, line %d, column %d: %w", line, column, err)
	default:
		return nil, fmt.Errorf("features file: %w", err)
	}
}

// flatten returns the values of a table and of the tables in it by their full names,
// as in "upgrades.negotiate". An empty table that no field is in is returned as a
// value, so that its name is reported as unknown.
func flatten(prefix string, table map[string]any) map[string]any {
	values := map[string]any{}
	for name, value := range table {
		fullName := prefix + name
		inner, isTable := value.(map[string]any)
		switch {
		case !isTable:
			values[fullName] = value
		case len(inner) == 0 && !isFieldTable(fullName):
			values[fullName] = value
		default:
			maps.Copy(values, flatten(fullName+".", inner))
		}
	}
	return values
}

// set writes the field of that name.
func (f *Features) set(name string, value any) error {
	field, known := fieldNamed(name)
	if !known {
		return wire.FieldError{Field: name, Reason: "unknown name"}
	}
	if !field.set(f, value) {
		return wire.FieldError{Field: name, Reason: field.requirement}
	}
	return nil
}
