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

// sampleBytes returns the bytes of the samples by their names.
func sampleBytes(t *testing.T) map[string][]byte {
	t.Helper()
	return readHexFile(t, "testdata/keys.hex")
}

// readHexFile returns the bytes in a file by their names.
func readHexFile(t *testing.T, path string) map[string][]byte {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	data := map[string][]byte{}
	lines := bufio.NewScanner(f)
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

// decodeGeneric decodes a value by the keys that its bytes have.
func decodeGeneric(t *testing.T, raw []byte) any {
	t.Helper()
	var v any
	if err := wire.Decode(raw, &v); err != nil {
		t.Fatal(err)
	}
	return v
}

// diagnosis returns the readable form of CBOR bytes.
func diagnosis(raw []byte) string {
	text, err := cbor.Diagnose(raw)
	if err != nil {
		return err.Error()
	}
	return text
}

// decodeAs decodes a value of a type.
func decodeAs(typ reflect.Type, raw []byte) (any, error) {
	v := reflect.New(typ)
	err := wire.Decode(raw, v.Interface())
	return v.Elem().Interface(), err
}

// unsetFields lists the fields that have not been decoded.
func unsetFields(v reflect.Value, path string) []string {
	switch v.Kind() {
	case reflect.Struct:
		var out []string
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.Name != "_" {
				out = append(out, unsetFields(v.Field(i), path+"."+f.Name)...)
			}
		}
		return out
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

// isSubset reports whether b has all that a has; b may have more keys.
func isSubset(a, b any) bool {
	switch x := a.(type) {
	case map[any]any:
		y, ok := b.(map[any]any)
		for k, v := range x {
			ok = ok && isSubset(v, y[k])
		}
		return ok
	case []any:
		y, ok := b.([]any)
		if !ok || len(x) != len(y) {
			return false
		}
		for i := range x {
			if !isSubset(x[i], y[i]) {
				return false
			}
		}
		return true
	default:
		return reflect.DeepEqual(a, b)
	}
}

// withUnknownKeys adds keys to all maps of a value.
func withUnknownKeys(v any) any {
	switch x := v.(type) {
	case map[any]any:
		out := map[any]any{"aa_new": map[any]any{"n": []any{1, "two"}}, "zz_new": nil}
		for k, e := range x {
			out[k] = withUnknownKeys(e)
		}
		return out
	case []any:
		out := make([]any, len(x))
		for i := range x {
			out[i] = withUnknownKeys(x[i])
		}
		return out
	default:
		return v
	}
}
