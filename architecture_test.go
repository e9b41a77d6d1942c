package lilaclead_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strings"
	"testing"
)

// architecturePage is the page on which engineers look up the names of the code behind an alert
// or a log line.
const architecturePage = "docs/architecture.md"

// codeName matches package.Name and package.Type.Member in back quotes. sourcePath matches a
// file or directory of this repository in back quotes.
var (
	codeName   = regexp.MustCompile("`([a-z]+(?:\\.[A-Za-z]\\w*){1,2})`")
	sourcePath = regexp.MustCompile("`((?:internal|cmd|docs|deploy)/[\\w./-]+|\\w+_test\\.go)`")
)

// TestArchitecturePageNamesWhatExists looks up every name and path of the page in the sources.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredNames(t)
	names := codeName.FindAllSubmatch(page, -1)
	if len(names) < 50 {
		t.Errorf("only %d names found in %s, want 50 or more", len(names), architecturePage)
	}
	for _, match := range names {
		if name := string(match[1]); !declared[name] {
			t.Errorf("%s names %s, which does not exist", architecturePage, name)
		}
	}
	for _, match := range sourcePath.FindAllSubmatch(page, -1) {
		if _, err := os.Stat(string(match[1])); err != nil {
			t.Errorf("%s names a path: %v", architecturePage, err)
		}
	}
}

// declaredNames returns package.Name of all top-level declarations outside test files, and
// package.Type.Member of their methods and fields.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	eachGoFile(t, func(file string) {
		if strings.HasSuffix(file, "_test.go") {
			return
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range namesOf(parsed) {
			declared[parsed.Name.Name+"."+name] = true
		}
	})
	return declared
}

// namesOf returns the top-level names of a file, and Type.Member of methods and fields.
func namesOf(file *ast.File) []string {
	var names []string
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			names = append(names, receiverPrefix(decl)+decl.Name.Name)
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				names = append(names, namesOfSpec(spec)...)
			}
		}
	}
	return names
}

// receiverPrefix returns "Type." of a method, "" of a function.
func receiverPrefix(decl *ast.FuncDecl) string {
	if decl.Recv == nil {
		return ""
	}
	receiver := decl.Recv.List[0].Type
	for {
		switch r := receiver.(type) {
		case *ast.StarExpr:
			receiver = r.X
		case *ast.IndexExpr:
			receiver = r.X
		case *ast.IndexListExpr:
			receiver = r.X
		case *ast.Ident:
			return r.Name + "."
		default:
			return ""
		}
	}
}

// namesOfSpec returns the names that a type, constant or variable declaration declares.
func namesOfSpec(spec ast.Spec) []string {
	var names []string
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			names = append(names, name.Name)
		}
	case *ast.TypeSpec:
		names = append(names, spec.Name.Name)
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					names = append(names, spec.Name.Name+"."+name.Name)
				}
			}
		}
	}
	return names
}
