package compat_test

import (
	"bufio"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"lilaclead/internal/wire"
)

// sampleBytes returns the stored encodings of the samples, by sample name.
func sampleBytes(t *testing.T) map[string][]byte {
	t.Helper()
	return readHexFile(t, "testdata/keys.hex")
}

// readHexFile returns the byte strings of a file by name. Each line holds a name, a colon, a
// space and the bytes as hexadecimal digits; other lines are skipped.
func readHexFile(t *testing.T, path string) map[string][]byte {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	data := map[string][]byte{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		name, digits, ok := strings.Cut(lines.Text(), ": ")
		if !ok {
			continue
		}
		raw, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(name, err)
		}
		data[name] = raw
	}
	return data
}

// decodeGeneric decodes a value without a type, into maps with the keys of the encoding.
func decodeGeneric(t *testing.T, raw []byte) any {
	t.Helper()
	var decoded any
	if err := wire.Decode(raw, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// diagnosis returns CBOR bytes in diagnostic notation, or the error if they are malformed.
func diagnosis(raw []byte) string {
	text, err := cbor.Diagnose(raw)
	if err != nil {
		return err.Error()
	}
	return text
}

// decodeAs decodes bytes as a value of the given type.
func decodeAs(typ reflect.Type, raw []byte) (any, error) {
	decoded := reflect.New(typ)
	err := wire.Decode(raw, decoded.Interface())
	return decoded.Elem().Interface(), err
}

// unsetFields returns the paths of the fields of a value that have the zero value. Of a
// slice it looks at the first element only.
func unsetFields(v reflect.Value, path string) []string {
	switch v.Kind() {
	case reflect.Struct:
		var unset []string
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.Name != "_" {
				unset = append(unset, unsetFields(v.Field(i), path+"."+field.Name)...)
			}
		}
		return unset
	case reflect.Slice:
		if v.Len() > 0 {
			return unsetFields(v.Index(0), path+"[0]")
		}
	}
	if v.IsZero() {
		return []string{path}
	}
	return nil
}

// isSubset reports whether two generic values are equal but for maps, in which the superset
// may have further keys.
func isSubset(subset, superset any) bool {
	switch sub := subset.(type) {
	case map[any]any:
		super, ok := superset.(map[any]any)
		for key, value := range sub {
			ok = ok && isSubset(value, super[key])
		}
		return ok
	case []any:
		super, ok := superset.([]any)
		if !ok || len(sub) != len(super) {
			return false
		}
		for i := range sub {
			if !isSubset(sub[i], super[i]) {
				return false
			}
		}
		return true
	default:
		return reflect.DeepEqual(subset, superset)
	}
}

// withUnknownKeys returns a copy of a generic value in which each map has further keys.
func withUnknownKeys(value any) any {
	switch container := value.(type) {
	case map[any]any:
		extended := map[any]any{"aa_new": map[any]any{"n": []any{1, "two"}}, "zz_new": nil}
		for key, element := range container {
			extended[key] = withUnknownKeys(element)
		}
		return extended
	case []any:
		extended := make([]any, len(container))
		for i := range container {
			extended[i] = withUnknownKeys(container[i])
		}
		return extended
	default:
		return value
	}
}
