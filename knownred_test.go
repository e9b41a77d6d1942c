package lilaclead_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI passes over the tests that KNOWN-RED.txt lists. A list that is not in its form must fail CI, or
// it could pass over tests that nobody has recorded.
func TestKnownRedListIsReadStrictly(t *testing.T) {
	const (
		short = "TestA: a cause: issue 7\n"
		long  = "TestB: SCENARIO_SEEDS=9 go test ./internal/scenarios -run 'TestB/8$': left waiting for 95 s: issue 8\n"
	)
	for _, c := range []struct {
		name, list, want string
		ok               bool
	}{
		{"short form", short, "TestA", true},
		{"long form", long, "TestB", true},
		{"both forms, without a last newline", short + strings.TrimSuffix(long, "\n"), "TestA TestB", true},
		{"colons in the command", "TestB: A=x:y go test . -run 'TestB': seen: issue 8\n", "TestB", true},
		{"empty list", "", "", false},
		{"empty line", short + "\n", "", false},
		{"comment", "# TestA\n", "", false},
		{"name alone", "TestA\n", "", false},
		{"no issue", "TestA: a cause\n", "", false},
		{"empty cause", "TestA: : issue 7\n", "", false},
		{"no test", "Benchmark: a cause: issue 7\n", "", false},
		{"pattern in place of a name", "Test.*: a cause: issue 7\n", "", false},
		{"long form without an issue's number", "TestB: go test . -run TestB: seen: unknown\n", "", false},
		{"command that runs another test", "TestB: go test . -run TestC: seen: issue 8\n", "", false},
		{"command that runs no test", "TestB: bash TestB: seen: issue 8\n", "", false},
		{"nothing seen", "TestB: go test . -run TestB: : issue 8\n", "", false},
		{"too many", strings.Repeat(short, 4), "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			out, err := exec.Command("bash", "-c", `set -euo pipefail; . .ci/known-red.sh; known_tests "$1"`, "bash", file).Output()
			got := strings.Join(strings.Fields(string(out)), " ")
			if (err == nil) != c.ok || got != c.want {
				t.Errorf("list %q: tests %q, error %v; want %q, accepted %v", c.list, got, err, c.want, c.ok)
			}
		})
	}
}
