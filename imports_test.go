package lilaclead_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// module is the prefix of the import paths of this project's own packages.
const module = "lilaclead"

// allowedImports lists which packages of this project each package may import. Test files may
// import others, too. docs/architecture.md describes the packages.
var allowedImports = map[string]string{
	".":              "duty history internal/admin internal/cancels internal/cloud internal/config internal/features internal/intake internal/leader internal/leader/cluster internal/netio internal/peer internal/store internal/tuning internal/undecodable internal/wire upgrade",
	"cmd/lilaclead":  ". history internal/admin internal/netio internal/wire upgrade",
	"cmd/simulator":  "internal/simulator internal/wire",
	"duty":           "internal/store internal/wire",
	"history":        "",
	"upgrade":        "duty internal/store internal/wire",
	"internal/admin": "history internal/config internal/intake internal/leader internal/leader/core internal/peer internal/store internal/tuning internal/undecodable internal/wire",

	// Protocol, settings, and clients of other processes and services.
	"internal/wire":        "",
	"internal/netio":       "internal/wire",
	"internal/undecodable": "",
	"internal/config":      "internal/wire",
	"internal/features":    "internal/wire",
	"internal/tuning":      "internal/wire",
	"internal/cancels":     "internal/wire",
	"internal/store":       "internal/cancels internal/config internal/netio internal/wire",
	"internal/cloud":       "duty internal/config internal/netio internal/wire",
	"internal/peer":        "internal/cancels internal/config internal/netio internal/undecodable internal/wire",
	"internal/intake":      "internal/cancels internal/config internal/store internal/undecodable internal/wire",

	// Pure computation: no I/O, no clock.
	"internal/utility":   "",
	"internal/placement": "internal/utility internal/wire",
	"internal/fleet":     "internal/placement internal/wire",

	// The leader: each package comes after those that it imports.
	"internal/leader/demand":                    "internal/config internal/wire",
	"internal/leader/detector":                  "internal/wire",
	"internal/leader/scaling":                   "internal/cloud internal/fleet internal/wire",
	"internal/leader/delegation":                "internal/cancels internal/config internal/peer internal/wire",
	"internal/leader/election":                  "duty internal/config internal/peer internal/store internal/wire",
	"internal/leader/core":                      "internal/leader/election internal/wire",
	"internal/leader/cluster":                   "internal/config internal/leader/delegation internal/leader/demand internal/leader/detector internal/placement internal/store internal/wire upgrade",
	"internal/leader/scheduling/valuation":      "internal/leader/cluster internal/leader/demand internal/placement internal/wire",
	"internal/leader/scheduling/capacity":       "internal/fleet internal/leader/cluster internal/leader/demand internal/leader/scaling internal/leader/scheduling/valuation internal/placement internal/tuning internal/wire",
	"internal/leader/scheduling":                "internal/fleet internal/leader/cluster internal/leader/scaling internal/leader/scheduling/capacity internal/leader/scheduling/valuation internal/placement internal/tuning internal/wire",
	"internal/leader/scheduling/schedulingtest": "internal/config internal/leader/cluster internal/leader/scaling internal/store internal/tuning internal/wire", // test fixtures
	"internal/leader/agents":                    "internal/leader/cluster internal/leader/core internal/netio internal/peer internal/placement internal/wire",
	"internal/leader/progress":                  "internal/config internal/leader/agents internal/leader/cluster internal/leader/core internal/leader/election internal/peer internal/store internal/undecodable internal/wire",
	"internal/leader/autoscaler":                "duty internal/cloud internal/config internal/fleet internal/leader/cluster internal/leader/core internal/leader/scaling internal/leader/scheduling internal/wire upgrade",
	"internal/leader/restarts":                  "internal/leader/agents internal/peer internal/store internal/wire",
	"internal/leader/reconcile":                 "internal/leader/agents internal/leader/autoscaler internal/leader/cluster internal/leader/core internal/leader/delegation internal/leader/detector internal/wire",
	"internal/leader/liveness":                  "internal/config internal/leader/agents internal/leader/autoscaler internal/leader/cluster internal/leader/core internal/leader/delegation internal/leader/detector internal/leader/progress internal/peer internal/wire",
	"internal/leader/recovery":                  "internal/cancels internal/leader/agents internal/leader/autoscaler internal/leader/cluster internal/leader/core internal/leader/progress internal/leader/reconcile internal/store internal/undecodable internal/wire upgrade",
	"internal/leader":                           "duty internal/cancels internal/cloud internal/config internal/leader/agents internal/leader/autoscaler internal/leader/cluster internal/leader/core internal/leader/delegation internal/leader/election internal/leader/liveness internal/leader/progress internal/leader/reconcile internal/leader/recovery internal/leader/restarts internal/leader/scaling internal/leader/scheduling internal/netio internal/peer internal/store internal/tuning internal/undecodable internal/wire upgrade",

	// The simulation, and packages of tests. Only tests and cmd/simulator import them.
	"internal/simulator": "internal/config internal/netio internal/wire",
	"internal/scenarios": "",
	"internal/compat":    "",
}

// TestImportsFollowTheArchitecture finds imports that allowedImports does not list, and entries
// of that table that no import needs.
func TestImportsFollowTheArchitecture(t *testing.T) {
	found := importsByPackage(t)
	for pkg, imported := range found {
		allowed, listed := allowedImports[pkg]
		if !listed {
			t.Errorf("package %s is not listed in allowedImports", pkg)
			continue
		}
		for _, other := range imported {
			if !slices.Contains(strings.Fields(allowed), other) {
				t.Errorf("%s imports %s, which allowedImports does not allow", pkg, other)
			}
		}
	}
	for pkg, allowed := range allowedImports {
		if _, exists := found[pkg]; !exists {
			t.Errorf("allowedImports lists %s, which has no sources", pkg)
		}
		for _, other := range strings.Fields(allowed) {
			if !slices.Contains(found[pkg], other) {
				t.Errorf("allowedImports allows %s to import %s, but no import needs that", pkg, other)
			}
		}
	}
}

// importsByPackage returns which packages of this project each package imports, test files left
// out. A package that has only test files gets an empty entry.
func importsByPackage(t *testing.T) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	eachGoFile(t, func(file string) {
		pkg := path.Dir(filepath.ToSlash(file))
		if found[pkg] == nil {
			found[pkg] = []string{}
		}
		if strings.HasSuffix(file, "_test.go") {
			return
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			other, own := ownPackage(t, spec.Path.Value)
			if own && !slices.Contains(found[pkg], other) {
				found[pkg] = append(found[pkg], other)
			}
		}
	})
	return found
}

// ownPackage returns the directory of an imported package, and whether that is a package of this
// project.
func ownPackage(t *testing.T, quoted string) (string, bool) {
	t.Helper()
	name, err := strconv.Unquote(quoted)
	if err != nil {
		t.Fatal(err)
	}
	if name == module {
		return ".", true
	}
	return strings.CutPrefix(name, module+"/")
}

// eachGoFile calls visit for each Go file of the project, including test files. It skips hidden
// directories and those named target or journal.
func eachGoFile(t *testing.T, visit func(file string)) {
	t.Helper()
	err := filepath.WalkDir(".", func(file string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && file != "." && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "target" || entry.Name() == "journal"):
			return filepath.SkipDir
		case strings.HasSuffix(file, ".go"):
			visit(file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
