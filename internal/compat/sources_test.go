package compat_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// unexportedKeys are the tags of the structs that no sample can be made of here: of
// unexported types and of structs without a name.
var unexportedKeys = []string{
	"nameId lane owner shape urgency parts cpus cards ramGb bundle imageGb kits site samePlace apart standby expectedS snapshotEveryS snapshotS dueS", // a submission
	"at controller kind duty token version why", // an event of the history, which only its own package reads
	"addr orders", // what a node asks another to pass on to a worker
	"version",     // the answer to a change of settings
	"version",     // the same, as the command line reads it
	"ready",       // the answer of a node that is ready
}

// simulatorPackages are packages that play the outside world in tests: they send what the
// protocol says and store nothing that the program reads.
var simulatorPackages = []string{"simulator", "scenarios"}

// buildOutput is the folder of what is built, by .gitignore no part of the sources.
// A build of the version in production leaves that version's sources there.
const buildOutput = "target"

// A type with keys, anywhere in the program, has a sample.
func TestEveryTypeHasASample(t *testing.T) {
	sampled := map[string]bool{}
	for _, s := range samples() {
		name, _, _ := strings.Cut(reflect.TypeOf(s.value).String(), "[") // of a generic type, without its parameters
		sampled[name] = true
	}
	var others []string
	for _, found := range structsWithKeys(t, "../..") {
		if ast.IsExported(found.name) {
			if !sampled[found.pkg+"."+found.name] {
				t.Errorf("%s.%s: no sample of a type with keys (%s)", found.pkg, found.name, found.keys)
			}
			continue
		}
		others = append(others, found.keys)
	}
	slices.Sort(others)
	want := slices.Clone(unexportedKeys)
	slices.Sort(want)
	if !slices.Equal(others, want) {
		t.Errorf("keys of unexported structs: got\n%s\nwant\n%s", strings.Join(others, "\n"), strings.Join(want, "\n"))
	}
}

type structWithKeys struct{ pkg, name, keys string }

// structsWithKeys lists the structs with cbor or json tags in the program's sources.
func structsWithKeys(t *testing.T, root string) []structWithKeys {
	t.Helper()
	var structs []structWithKeys
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && isSkippedDir(entry.Name()):
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		structs = append(structs, structsWithKeysOf(file)...)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if least := len(samples()) / 2; len(structs) < least {
		t.Fatalf("got %d structs with keys, want at least %d", len(structs), least)
	}
	return structs
}

func isSkippedDir(name string) bool {
	isHidden := strings.HasPrefix(name, ".") && name != ".."
	return isHidden || name == buildOutput || slices.Contains(simulatorPackages, name)
}

// structsWithKeysOf lists the structs with tags of one file, also those without a name.
func structsWithKeysOf(file *ast.File) []structWithKeys {
	var structs []structWithKeys
	names := map[*ast.StructType]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.TypeSpec:
			if typ, ok := n.Type.(*ast.StructType); ok {
				names[typ] = n.Name.Name
			}
		case *ast.StructType:
			if keys := tagKeys(n); len(keys) > 0 {
				structs = append(structs, structWithKeys{file.Name.Name, names[n], strings.Join(keys, " ")})
			}
		}
		return true
	})
	return structs
}

// tagKeys returns the names in the cbor and json tags of a struct.
func tagKeys(typ *ast.StructType) []string {
	var keys []string
	for _, field := range typ.Fields.List {
		if field.Tag == nil {
			continue
		}
		text, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			continue
		}
		for _, kind := range []string{"cbor", "json"} {
			if tag, ok := reflect.StructTag(text).Lookup(kind); ok {
				name, options, _ := strings.Cut(tag, ",")
				if name == "" {
					name = "," + options
				}
				keys = append(keys, name)
			}
		}
	}
	return keys
}
