// Package features reads the file that turns optional features on. Without a file, all of them
// are off. An unknown name or a value of the wrong type is an error that names the field, so
// that a misspelt name does not silently leave a feature off.
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

// Features says which optional features are on. The zero value has all of them off.
type Features struct {
	// RecordIntents makes the leader record requests to scale out and in before it sends them.
	RecordIntents bool
	// NegotiateVersions delays new behaviour until every controller supports it.
	NegotiateVersions bool
	// HistoryDir is the directory in which decisions are recorded; empty: they are not.
	HistoryDir string
	// HistoryLimitMB limits the total size of one controller's files in HistoryDir, in
	// megabytes; 0: the default limit.
	HistoryLimitMB float64
}

// String returns every field with its value, as in "upgrades.negotiate=true".
func (f Features) String() string {
	var assignments []string
	for _, field := range fields {
		assignments = append(assignments, fmt.Sprintf("%s=%v", field.name, field.get(&f)))
	}
	return strings.Join(assignments, " ")
}

// FilePathFor returns the path of the features file of a program that was built as
// deploy/service.toml says: in the directory deploy, beside the directory of the program.
func FilePathFor(program string) string {
	return filepath.Join(filepath.Dir(program), "..", "deploy", "features.toml")
}

// Load reads a features file. If it doesn't exist, all features are off.
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

// Parse decodes the content of a features file. If fields are wrong, the error joins one
// wire.FieldError for each of them, ordered by name.
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

// decodeTOML decodes the content of a features file. For a syntax error, the returned error
// names its position.
func decodeTOML(content []byte) (map[string]any, error) {
	var tables map[string]any
	err := toml.Unmarshal(content, &tables)
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
		return tables, nil
	case errors.As(err, &decodeErr):
		line, column := decodeErr.Position()
		return nil, fmt.Errorf("features file, line %d, column %d: %w", line, column, err)
	default:
		return nil, fmt.Errorf("features file: %w", err)
	}
}

// flatten returns the values in a table and in its nested tables by their full names, as in
// "upgrades.negotiate". An empty table that belongs to no field is itself returned as a value,
// so that its name is reported as unknown.
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

// set writes the value to the field of that name, if there is one and it allows the value.
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
