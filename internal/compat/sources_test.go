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

// unexportedKeys are the keys of the structs that this package can't make a sample of:
// unexported types and structs without a name.
var unexportedKeys = []string{
	"nameId lane owner shape urgency parts cpus cards ramGb bundle imageGb kits site samePlace apart standby expectedS snapshotEveryS snapshotS dueS", // the body of a submission
	"at controller kind duty token version why", // an event of the history, which only package history reads
	"addr orders", // what a node asks another to pass on to an agent
	"version",     // the response to a change of settings
	"version",     // that response as the command line decodes it
	"ready",       // the response of a node that is ready
}

// simulatorPackages are packages that simulate the outside world in tests. They send messages
// of the protocol, and store nothing that the program reads.
var simulatorPackages = []string{"simulator", "scenarios"}

// buildOutputDir holds the output of builds, which .gitignore excludes from the sources. A
// build of the version in production leaves that version's sources there.
const buildOutputDir = "target"

// A type without a sample would escape the tests of its keys. So every exported struct of
// the program with keys in its tags must have a sample.
func TestEveryTypeWithKeysHasSample(t *testing.T) {
	sampled := map[string]bool{}
	for _, s := range samples() {
		name, _, _ := strings.Cut(reflect.TypeOf(s.value).String(), "[") // drops the type arguments of a generic type
		sampled[name] = true
	}
	var unexported []string
	for _, found := range structsWithKeys(t, "../..") {
		if ast.IsExported(found.name) {
			if !sampled[found.pkg+"."+found.name] {
				t.Errorf("%s.%s: no sample of a type with keys (%s)", found.pkg, found.name, found.keys)
			}
			continue
		}
		unexported = append(unexported, found.keys)
	}
	slices.Sort(unexported)
	want := slices.Clone(unexportedKeys)
	slices.Sort(want)
	if !slices.Equal(unexported, want) {
		t.Errorf("keys of unexported structs: got\n%s\nwant\n%s", strings.Join(unexported, "\n"), strings.Join(want, "\n"))
	}
}

type structWithKeys struct{ pkg, name, keys string }

// structsWithKeys returns the structs with cbor or json tags in the sources under root. Test
// files and simulatorPackages are left out.
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
		structs = append(structs, structsWithKeysInFile(file)...)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if minStructs := len(samples()) / 2; len(structs) < minStructs {
		t.Fatalf("got %d structs with keys, want at least %d", len(structs), minStructs)
	}
	return structs
}

func isSkippedDir(name string) bool {
	isHidden := strings.HasPrefix(name, ".") && name != ".."
	return isHidden || name == buildOutputDir || slices.Contains(simulatorPackages, name)
}

// structsWithKeysInFile returns the structs with cbor or json tags of one file, including
// those without a name.
func structsWithKeysInFile(file *ast.File) []structWithKeys {
	var structs []structWithKeys
	names := map[*ast.StructType]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.TypeSpec:
			if typ, ok := node.Type.(*ast.StructType); ok {
				names[typ] = node.Name.Name
			}
		case *ast.StructType:
			if keys := tagKeys(node); len(keys) > 0 {
				structs = append(structs, structWithKeys{file.Name.Name, names[node], strings.Join(keys, " ")})
			}
		}
		return true
	})
	return structs
}

// tagKeys returns the keys in the cbor and json tags of a struct. For a tag without a key,
// it returns the tag's options.
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
